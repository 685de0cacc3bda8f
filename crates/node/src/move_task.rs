//! Carries the moves under way: evidence, steps and reversals.
//!
//! Every VM stops a move on its own evidence and tells the others. One VM per
//! service, found by rendezvous hashing, also sums the evidence of all VMs and
//! takes the steps. Two VMs that both hold themselves for that one do no harm:
//! a step is a committed row.

use crate::evidence_registry::{MoveEvidence, MoveKey};
use crate::shared::NodeShared;
use crate::sync_task::commit;
use futures::future::join_all;
use skylarkshed_core::{ClockTime, ConfigurationChange, MoveEntry, MoveState, ServiceName};
use skylarkshed_peer::wire::{MoveId, PeerBody};
use skylarkshed_policy::{
    compare_versions, decide_move, is_top_ranked, MoveDecision, VersionVerdict,
};
use std::collections::HashMap;
use std::sync::Arc;

const PERIOD: ClockTime = ClockTime::from_millis(250);
const PEER_WAIT: ClockTime = ClockTime::from_millis(500);

/// So many VMs carry a service's moves.
const CARRIERS: usize = 1;

/// The requests that a new version had served at its last step.
struct StepBaseline {
    share_ppm: u32,
    requests: u64,
}

/// Carries all moves for ever.
pub(crate) async fn run_moves(shared: Arc<NodeShared>) {
    let mut marks = HashMap::new();
    loop {
        let running = running_moves(&shared);
        let keys: Vec<MoveKey> = running
            .iter()
            .map(|(service, entry)| (service.clone(), entry.revision))
            .collect();
        shared.evidence.keep(&keys);
        marks.retain(|key, _| keys.contains(key));
        for (service, entry) in running {
            carry(&shared, &service, &entry, &mut marks).await;
        }
        tokio::time::sleep(PERIOD.to_duration()).await;
    }
}

fn running_moves(shared: &NodeShared) -> Vec<(ServiceName, MoveEntry)> {
    let catalog = shared.configuration.current();
    let moves = catalog.services.values().filter_map(|service| {
        let entry = service.latest_move.clone()?;
        let is_running = entry.state == MoveState::Running;
        is_running.then(|| (service.entry.name.clone(), entry))
    });
    moves.collect()
}

async fn carry(
    shared: &Arc<NodeShared>,
    service: &ServiceName,
    entry: &MoveEntry,
    marks: &mut HashMap<MoveKey, StepBaseline>,
) {
    let key = (service.clone(), entry.revision);
    let own = shared.evidence.get(&key);
    let verdict = compare_versions(&own.old, &own.new);
    if verdict != VersionVerdict::NoFault || shared.is_move_stopped(service, entry) {
        return reverse(shared, service, entry, &verdict).await;
    }
    if !is_carrier(shared, service) {
        return;
    }
    let sum = gather(shared, &key, own).await;
    let requests = sum.new.total();
    let mark = marks.entry(key).or_insert(StepBaseline {
        share_ppm: 0,
        requests,
    });
    if mark.share_ppm != entry.share_ppm {
        *mark = StepBaseline {
            share_ppm: entry.share_ppm,
            requests,
        };
    }
    let since_step = requests.saturating_sub(mark.requests);
    let now = ClockTime::wall_clock_now();
    match decide_move(entry, &sum.old, &sum.new, since_step, now) {
        MoveDecision::Wait => {}
        MoveDecision::Step { share_ppm } => step(shared, service, entry, share_ppm).await,
        MoveDecision::Finish => finish(shared, service, entry).await,
        MoveDecision::Reverse { verdict } => reverse(shared, service, entry, &verdict).await,
    }
}

/// Adds the evidence of all other VMs that answer.
async fn gather(shared: &Arc<NodeShared>, key: &MoveKey, own: MoveEvidence) -> MoveEvidence {
    let name = MoveId {
        service: key.0.to_string(),
        revision: key.1 .0,
    };
    let asked = shared.peer_addresses().into_iter().map(|address| {
        let body = PeerBody::RequestEvidence(name.clone());
        shared.peers.request(address, body, PEER_WAIT)
    });
    let mut sum = own;
    for reply in join_all(asked).await {
        let Ok(PeerBody::Evidence(text)) = reply else {
            continue;
        };
        if let Ok(evidence) = serde_json::from_str::<MoveEvidence>(&text) {
            sum.merge(&evidence);
        }
    }
    sum
}

async fn step(shared: &Arc<NodeShared>, service: &ServiceName, entry: &MoveEntry, share_ppm: u32) {
    let change_id = format!("step-{service}-{}-{share_ppm}", entry.revision);
    let (service, of) = (service.clone(), entry.revision);
    make(
        shared,
        &change_id,
        ConfigurationChange::StepMove {
            service,
            of,
            share_ppm,
        },
    )
    .await;
}

async fn finish(shared: &Arc<NodeShared>, service: &ServiceName, entry: &MoveEntry) {
    let change_id = format!("finish-{service}-{}", entry.revision);
    let (service, of) = (service.clone(), entry.revision);
    make(
        shared,
        &change_id,
        ConfigurationChange::FinishMove { service, of },
    )
    .await;
}

/// Stops the move here, tells the other VMs, and commits the reversal.
///
/// While the platform is out the move stays stopped, and this is tried again.
async fn reverse(
    shared: &Arc<NodeShared>,
    service: &ServiceName,
    entry: &MoveEntry,
    verdict: &VersionVerdict,
) {
    if shared.stop_move(service, entry.revision) {
        log::warn!(
            service = service.as_str(),
            version = entry.to.as_str(),
            verdict = format!("{verdict:?}").as_str();
            "a move is stopped"
        );
        tell_stop(shared, service, entry);
    }
    let change_id = format!("reverse-{service}-{}", entry.revision);
    let change = ConfigurationChange::ReverseMove {
        service: service.clone(),
        of: Some(entry.revision),
        reason: reason_text(verdict),
    };
    make(shared, &change_id, change).await;
}

fn tell_stop(shared: &Arc<NodeShared>, service: &ServiceName, entry: &MoveEntry) {
    let name = MoveId {
        service: service.to_string(),
        revision: entry.revision.0,
    };
    for address in shared.peer_addresses() {
        let (shared, name) = (shared.clone(), name.clone());
        tokio::spawn(async move {
            // A VM that can't be reached acts on its own evidence.
            let _ = shared
                .peers
                .request(address, PeerBody::StopMove(name), PEER_WAIT)
                .await;
        });
    }
}

async fn make(shared: &Arc<NodeShared>, change_id: &str, change: ConfigurationChange) {
    match commit(shared, change_id, change).await {
        Ok(revision) => log::info!(revision = revision.0, change = change_id; "a move goes on"),
        Err(error) => {
            log::warn!(change = change_id, error = error.to_string(); "a move can't go on");
        }
    }
}

fn is_carrier(shared: &NodeShared, service: &ServiceName) -> bool {
    let membership = shared.membership.lock().expect("not poisoned");
    let others = membership.present().map(|(record, _)| &record.name);
    is_top_ranked(&shared.settings.name, others, service, CARRIERS)
}

fn reason_text(verdict: &VersionVerdict) -> String {
    match verdict {
        VersionVerdict::NoFault => "another VM found a fault".to_owned(),
        VersionVerdict::Fails { route } if route.is_empty() => "it fails".to_owned(),
        VersionVerdict::Fails { route } => format!("it fails on {route}"),
        VersionVerdict::FailsFor { customer } => format!("it fails for {customer}"),
        VersionVerdict::Slow { route } => format!("it is slow on {route}"),
    }
}
