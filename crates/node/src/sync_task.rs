//! Keeps this VM's configuration in step with the platform and the peers.

use crate::configuration::ChangeError;
use crate::counters;
use crate::membership_task::note_size;
use crate::shared::NodeShared;
use skylarkshed_core::{
    CatalogState, ChangeRecord, ClockTime, ConfigurationChange, RevisionNumber,
};
use skylarkshed_peer::wire::{ChangeBatch, PeerBody};
use skylarkshed_platform::wire::{VmKind, VmState};
use skylarkshed_platform::VmDirectory;
use skylarkshed_policy::is_top_ranked;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// So many VMs of a zone read the platform often.
const POLLERS: usize = 1;
/// Other VMs of a zone read the platform so many times less often.
const SLOW_POLL_FACTOR: u64 = 5;
const PEER_WAIT: ClockTime = ClockTime::from_millis(1_000);

/// Reads the platform's list and the configuration for ever.
pub(crate) async fn run_sync(shared: Arc<NodeShared>) {
    loop {
        read_listing(&shared).await;
        synchronise(&shared).await;
        let pause = tokio::time::sleep(poll_pause(&shared).to_duration());
        tokio::select! {
            () = pause => {}
            () = shared.behind.notified() => {}
        }
    }
}

/// Returns the time to the next reading of the platform.
///
/// One VM of each zone, found by rendezvous hashing, reads often; it tells the
/// others what it learns.
fn poll_pause(shared: &NodeShared) -> ClockTime {
    let own = &shared.settings;
    let membership = shared.membership.lock().expect("not poisoned");
    let neighbours = membership
        .present()
        .filter(|(record, _)| record.zone == own.zone)
        .map(|(record, _)| &record.name);
    let is_poller = is_top_ranked(&own.name, neighbours, &own.zone, POLLERS);
    let factor = if is_poller { 1 } else { SLOW_POLL_FACTOR };
    ClockTime::from_millis(own.platform.poll.as_millis() * factor)
}

/// Learns new changes from the platform or, if it is out, from peers.
async fn synchronise(shared: &Arc<NodeShared>) {
    let pulled = shared.configuration.pull(&shared.platform).await;
    let outcome = if pulled.is_ok() { "ok" } else { "failed" };
    counters::count_platform("pull_configuration", outcome);
    let is_known = match pulled {
        Ok(()) => true,
        Err(error) => {
            log::warn!(error = error.to_string(); "the configuration can't be pulled");
            pull_from_peers(shared).await
        }
    };
    note_revision(shared);
    if is_known && !shared.ready.swap(true, Ordering::Relaxed) {
        log::info!(revision = shared.configuration.current().revision.0; "ready");
    }
}

/// Pulls from the peer with the highest revision; tells whether any answered.
async fn pull_from_peers(shared: &Arc<NodeShared>) -> bool {
    let mut peers: Vec<(RevisionNumber, SocketAddr)> = {
        let membership = shared.membership.lock().expect("not poisoned");
        membership
            .present()
            .map(|(record, revision)| (revision, record.address))
            .collect()
    };
    peers.sort_unstable_by(|left, right| right.cmp(left));
    for (_, address) in peers {
        if pull_from(shared, address).await {
            return true;
        }
    }
    false
}

async fn pull_from(shared: &Arc<NodeShared>, address: SocketAddr) -> bool {
    let after = shared.configuration.current().revision;
    let request = PeerBody::Pull(after.0);
    match shared.peers.request(address, request, PEER_WAIT).await {
        Ok(PeerBody::Changes(batch)) => take_batch(shared, &batch),
        _ => false,
    }
}

/// Applies the changes of another VM; tells whether they could be applied.
pub(crate) fn take_batch(shared: &Arc<NodeShared>, batch: &ChangeBatch) -> bool {
    if !batch.snapshot.is_empty() {
        let Ok(snapshot) = serde_json::from_str::<CatalogState>(&batch.snapshot) else {
            return false;
        };
        shared.configuration.take_snapshot(snapshot);
    }
    let records: Result<Vec<ChangeRecord>, _> = batch
        .records
        .iter()
        .map(|text| serde_json::from_str(text))
        .collect();
    let Ok(records) = records else { return false };
    let applied = shared.configuration.apply(&records);
    note_revision(shared);
    if applied.is_err() {
        shared.behind.notify_one();
    }
    applied.is_ok()
}

/// Makes the batch of all changes after a revision.
pub(crate) fn make_batch(shared: &Arc<NodeShared>, after: RevisionNumber) -> ChangeBatch {
    let current = shared.configuration.current();
    let to_text =
        |record: &ChangeRecord| serde_json::to_string(record).expect("a change is plain data");
    match shared.configuration.changes_after(after) {
        Some(changes) => ChangeBatch {
            records: changes.iter().map(to_text).collect(),
            revision: current.revision.0,
            snapshot: String::new(),
        },
        None => ChangeBatch {
            records: Vec::new(),
            revision: current.revision.0,
            snapshot: serde_json::to_string(&*current).expect("the configuration is plain data"),
        },
    }
}

/// Makes a change and tells it to all other VMs.
pub(crate) async fn commit(
    shared: &Arc<NodeShared>,
    change_id: &str,
    change: ConfigurationChange,
) -> Result<RevisionNumber, ChangeError> {
    let before = shared.configuration.current().revision;
    let made = shared
        .configuration
        .change(&shared.platform, change_id, change)
        .await;
    note_revision(shared);
    push_changes(shared, before);
    made
}

fn note_revision(shared: &NodeShared) {
    let revision = shared.configuration.current().revision;
    let mut membership = shared.membership.lock().expect("not poisoned");
    membership.set_revision(revision);
}

/// Pushes the changes after a revision to all other VMs.
fn push_changes(shared: &Arc<NodeShared>, after: RevisionNumber) {
    let batch = make_batch(shared, after);
    for address in shared.peer_addresses() {
        let (shared, batch) = (shared.clone(), batch.clone());
        tokio::spawn(async move {
            // A VM that can't be reached learns the change from heartbeats.
            let _ = shared
                .peers
                .request(address, PeerBody::Push(batch), PEER_WAIT)
                .await;
        });
    }
}

async fn read_listing(shared: &Arc<NodeShared>) {
    let listing = match shared.platform.list().await {
        Ok(listing) => listing,
        Err(error) => {
            counters::count_platform("list", "failed");
            log::warn!(error = error.to_string(); "the list of VMs can't be read");
            return;
        }
    };
    counters::count_platform("list", "ok");
    let now = shared.clock.now();
    let entries = listing.vms.iter().filter(|vm| vm.kind == VmKind::Entry);
    let entries = entries.map(|vm| (vm.name.clone(), vm.zone.clone(), vm.address));
    shared
        .membership
        .lock()
        .expect("not poisoned")
        .set_listed_vms(entries.collect());
    note_size(shared);
    let leaving = listing
        .vms
        .iter()
        .filter(|vm| vm.kind == VmKind::Upstream && vm.state == VmState::Leaving);
    for vm in leaving {
        for record in shared.registry.named(vm.name.as_str()) {
            crate::load_poll_task::note_leaving(shared, &record, now, "list");
        }
    }
}
