//! Synchronises this VM's configuration with the platform and the other VMs.

use crate::counters;
use crate::load_poll_task::handle_leaving;
use crate::state::{ChangeError, NodeShared};
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

/// The number of VMs of a zone that poll the platform at the configured interval.
const POLLERS_PER_ZONE: usize = 1;
/// The other VMs of a zone poll at this multiple of the interval.
const SLOW_POLL_FACTOR: u64 = 5;
const PEER_TIMEOUT: ClockTime = ClockTime::from_millis(1_000);

/// Reads the platform's list of VMs and the configuration until the process exits.
pub(crate) async fn run_sync(shared: Arc<NodeShared>) {
    loop {
        read_vm_list(&shared).await;
        synchronise(&shared).await;
        let next_poll = tokio::time::sleep(poll_interval(&shared).to_duration());
        tokio::select! {
            () = next_poll => {}
            () = shared.outdated.notified() => {}
        }
    }
}

/// Returns the time until this VM polls the platform again.
///
/// One VM of each zone, which rendezvous hashing chooses, polls often. The others
/// learn of newer revisions and of leaving upstreams by gossip.
fn poll_interval(shared: &NodeShared) -> ClockTime {
    let settings = &shared.settings;
    let membership = shared.membership.lock().expect("not poisoned");
    let zone_vms = membership
        .present()
        .filter(|(record, _)| record.zone == settings.zone)
        .map(|(record, _)| &record.name);
    let is_poller = is_top_ranked(&settings.name, zone_vms, &settings.zone, POLLERS_PER_ZONE);
    let factor = if is_poller { 1 } else { SLOW_POLL_FACTOR };
    ClockTime::from_millis(settings.platform.poll.as_millis() * factor)
}

/// Pulls new changes from the platform or, if it is unavailable, from other VMs.
async fn synchronise(shared: &Arc<NodeShared>) {
    let pulled = shared.configuration.pull(&shared.platform).await;
    let outcome = if pulled.is_ok() { "ok" } else { "failed" };
    counters::count_platform("pull_configuration", outcome);
    let is_pulled = match pulled {
        Ok(()) => true,
        Err(error) => {
            log::warn!(error = error.to_string(); "can't pull the configuration from the platform");
            pull_from_peers(shared).await
        }
    };
    announce_revision(shared);
    if is_pulled && !shared.is_ready.swap(true, Ordering::Relaxed) {
        log::info!(revision = shared.configuration.current().revision.0; "ready");
    }
}

/// Pulls from the other VMs, highest revision first, until one of them succeeds.
///
/// Reports whether any did.
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
    match shared.peers.request(address, request, PEER_TIMEOUT).await {
        Ok(PeerBody::Changes(batch)) => apply_batch(shared, &batch),
        _ => false,
    }
}

/// Applies the changes of another VM; reports whether they could be applied.
pub(crate) fn apply_batch(shared: &Arc<NodeShared>, batch: &ChangeBatch) -> bool {
    if !batch.snapshot.is_empty() {
        let Ok(snapshot) = serde_json::from_str::<CatalogState>(&batch.snapshot) else {
            return false;
        };
        shared.configuration.apply_snapshot(snapshot);
    }
    let records: Result<Vec<ChangeRecord>, _> = batch
        .records
        .iter()
        .map(|text| serde_json::from_str(text))
        .collect();
    let Ok(records) = records else { return false };
    let applied = shared.configuration.apply(&records);
    announce_revision(shared);
    if applied.is_err() {
        shared.outdated.notify_one();
    }
    applied.is_ok()
}

/// Returns the changes after a revision, or a snapshot if some of them are no longer kept.
pub(crate) fn make_batch(shared: &Arc<NodeShared>, after: RevisionNumber) -> ChangeBatch {
    let current = shared.configuration.current();
    let to_json =
        |record: &ChangeRecord| serde_json::to_string(record).expect("a change is plain data");
    match shared.configuration.changes_after(after) {
        Some(changes) => ChangeBatch {
            records: changes.iter().map(to_json).collect(),
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

/// Commits a change and pushes it to all other VMs.
pub(crate) async fn commit(
    shared: &Arc<NodeShared>,
    change_id: &str,
    change: ConfigurationChange,
) -> Result<RevisionNumber, ChangeError> {
    let before = shared.configuration.current().revision;
    let committed = shared
        .configuration
        .commit_change(&shared.platform, change_id, change)
        .await;
    announce_revision(shared);
    push_changes(shared, before);
    committed
}

fn announce_revision(shared: &NodeShared) {
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
            // A VM that can't be reached learns of the newer revision by gossip, then pulls.
            let _ = shared
                .peers
                .request(address, PeerBody::Push(batch), PEER_TIMEOUT)
                .await;
        });
    }
}

async fn read_vm_list(shared: &Arc<NodeShared>) {
    let listing = match shared.platform.list().await {
        Ok(listing) => listing,
        Err(error) => {
            counters::count_platform("list", "failed");
            log::warn!(error = error.to_string(); "can't read the platform's list of VMs");
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
    shared.update_vm_count();
    let leaving = listing
        .vms
        .iter()
        .filter(|vm| vm.kind == VmKind::Upstream && vm.state == VmState::Leaving);
    for vm in leaving {
        for state in shared.registry.find_by_name(vm.name.as_str()) {
            handle_leaving(shared, &state, now, "list");
        }
    }
}
