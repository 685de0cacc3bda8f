//! Advances the running moves: evidence, steps and reversals.
//!
//! Every VM stops a move on its own evidence and informs the others. One VM per
//! service, the coordinator, which rendezvous hashing chooses, also aggregates the
//! evidence of all VMs and takes the steps. Two VMs may both act as
//! coordinator: a step is a row that only one of them can commit.

use crate::configuration::sync_task::commit;
use crate::state::{MoveEvidence, MoveKey, NodeShared};
use futures::future::join_all;
use skylarkshed_core::{ClockTime, ConfigurationChange, MoveEntry, MoveState, ServiceName};
use skylarkshed_peer::wire::{MoveId, PeerBody};
use skylarkshed_policy::{
    compare_versions, decide_move, is_top_ranked, MoveDecision, VersionVerdict,
};
use std::collections::HashMap;
use std::sync::Arc;

const ADVANCE_INTERVAL: ClockTime = ClockTime::from_millis(250);
const PEER_TIMEOUT: ClockTime = ClockTime::from_millis(500);

/// The number of VMs that coordinate a service's moves.
const COORDINATORS_PER_SERVICE: usize = 1;

/// The number of requests that a new version had served at its last step.
struct StepBaseline {
    share_ppm: u32,
    requests: u64,
}

/// Advances all moves until the process exits.
pub(crate) async fn run_moves(shared: Arc<NodeShared>) {
    let mut baselines = HashMap::new();
    loop {
        let running = running_moves(&shared);
        let keys: Vec<MoveKey> = running
            .iter()
            .map(|(service, entry)| (service.clone(), entry.revision))
            .collect();
        shared.evidence.retain(&keys);
        baselines.retain(|key, _| keys.contains(key));
        for (service, entry) in running {
            advance(&shared, &service, &entry, &mut baselines).await;
        }
        tokio::time::sleep(ADVANCE_INTERVAL.to_duration()).await;
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

async fn advance(
    shared: &Arc<NodeShared>,
    service: &ServiceName,
    entry: &MoveEntry,
    baselines: &mut HashMap<MoveKey, StepBaseline>,
) {
    let key = (service.clone(), entry.revision);
    let own_evidence = shared.evidence.get(&key);
    let verdict = compare_versions(&own_evidence.old, &own_evidence.new);
    if verdict != VersionVerdict::NoFault || shared.is_move_stopped(service, entry) {
        return reverse(shared, service, entry, &verdict).await;
    }
    if !is_coordinator(shared, service) {
        return;
    }
    let combined = aggregate_evidence(shared, &key, own_evidence).await;
    let requests = combined.new.total();
    let baseline = baselines.entry(key).or_insert(StepBaseline {
        share_ppm: 0,
        requests,
    });
    if baseline.share_ppm != entry.share_ppm {
        *baseline = StepBaseline {
            share_ppm: entry.share_ppm,
            requests,
        };
    }
    let since_step = requests.saturating_sub(baseline.requests);
    let now = ClockTime::wall_clock_now();
    match decide_move(entry, &combined.old, &combined.new, since_step, now) {
        MoveDecision::Wait => {}
        MoveDecision::Step { share_ppm } => step(shared, service, entry, share_ppm).await,
        MoveDecision::Finish => finish(shared, service, entry).await,
        MoveDecision::Reverse { verdict } => reverse(shared, service, entry, &verdict).await,
    }
}

/// Adds the evidence of all other VMs that reply.
async fn aggregate_evidence(
    shared: &Arc<NodeShared>,
    key: &MoveKey,
    own_evidence: MoveEvidence,
) -> MoveEvidence {
    let id = MoveId {
        service: key.0.to_string(),
        revision: key.1 .0,
    };
    let pending = shared.peer_addresses().into_iter().map(|address| {
        let body = PeerBody::RequestEvidence(id.clone());
        shared.peers.request(address, body, PEER_TIMEOUT)
    });
    let mut combined = own_evidence;
    for reply in join_all(pending).await {
        let Ok(PeerBody::Evidence(text)) = reply else {
            continue;
        };
        if let Ok(evidence) = serde_json::from_str::<MoveEvidence>(&text) {
            combined.merge(&evidence);
        }
    }
    combined
}

async fn step(shared: &Arc<NodeShared>, service: &ServiceName, entry: &MoveEntry, share_ppm: u32) {
    let change_id = format!("step-{service}-{}-{share_ppm}", entry.revision);
    let (service, of) = (service.clone(), entry.revision);
    commit_move_change(
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
    commit_move_change(
        shared,
        &change_id,
        ConfigurationChange::FinishMove { service, of },
    )
    .await;
}

/// Stops the move here, informs the other VMs, and commits the reversal.
///
/// While the platform is unavailable, the move stays stopped and the commit is retried.
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
            "stopped a move"
        );
        announce_stop(shared, service, entry);
    }
    let change_id = format!("reverse-{service}-{}", entry.revision);
    let change = ConfigurationChange::ReverseMove {
        service: service.clone(),
        of: Some(entry.revision),
        reason: reason_text(verdict),
    };
    commit_move_change(shared, &change_id, change).await;
}

fn announce_stop(shared: &Arc<NodeShared>, service: &ServiceName, entry: &MoveEntry) {
    let id = MoveId {
        service: service.to_string(),
        revision: entry.revision.0,
    };
    for address in shared.peer_addresses() {
        let (shared, id) = (shared.clone(), id.clone());
        tokio::spawn(async move {
            // A VM that can't be reached stops the move on its own evidence.
            let _ = shared
                .peers
                .request(address, PeerBody::StopMove(id), PEER_TIMEOUT)
                .await;
        });
    }
}

async fn commit_move_change(
    shared: &Arc<NodeShared>,
    change_id: &str,
    change: ConfigurationChange,
) {
    match commit(shared, change_id, change).await {
        Ok(revision) => {
            log::info!(revision = revision.0, change = change_id; "committed a change of a move")
        }
        Err(error) => {
            log::warn!(change = change_id, error = error.to_string(); "can't commit a change of a move");
        }
    }
}

fn is_coordinator(shared: &NodeShared, service: &ServiceName) -> bool {
    let membership = shared.membership.lock().expect("not poisoned");
    let others = membership.present().map(|(record, _)| &record.name);
    is_top_ranked(
        &shared.settings.name,
        others,
        service,
        COORDINATORS_PER_SERVICE,
    )
}

fn reason_text(verdict: &VersionVerdict) -> String {
    match verdict {
        VersionVerdict::NoFault => "another VM found a fault".to_owned(),
        VersionVerdict::Fails { route } if route.is_empty() => "it fails".to_owned(),
        VersionVerdict::Fails { route } => format!("it fails on {route}"),
        VersionVerdict::FailsFor { customer } => format!("it fails for {customer}"),
        VersionVerdict::Slow { route } => format!("it is slow on {route}"),
        VersionVerdict::Untested => "it responded to nothing".to_owned(),
    }
}
