//! Rollouts of good and bad versions, as operators order them.

use crate::checks::{RolloutEnd, RolloutRecord};
use crate::faults::FaultTargets;
use crate::schedule::PlannedFault;
use crate::versions::{draw_fault, UpstreamVersion};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use serde_json::{json, Value};
use skylarkshed_core::ClockTime;
use skylarkshed_stand_ins::{FakeStore, APP_SERVICE, MODEL_SERVICE};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const SERVICES: [&str; 2] = [APP_SERVICE, MODEL_SERVICE];
/// The time for the new upstreams to be listed before the order.
const START_TIME: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time after its limit at which operators give up a rollout without an end.
const GIVE_UP_AFTER: ClockTime = ClockTime::from_millis(5_000);
/// The upstreams of a version that was rolled back leave after this time.
const PAUSE_BEFORE_DRAIN: Duration = Duration::from_millis(2_000);

/// The orders that have not ended, by service.
#[derive(Default)]
pub(crate) struct RolloutOrders {
    open: Mutex<BTreeMap<&'static str, Value>>,
}

impl RolloutOrders {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, Value>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the open orders again, after the store has lost them.
    pub(crate) fn write_again(&self, store: &FakeStore) {
        for (service, order) in self.lock().iter() {
            store.put("op", &row_key(service), order);
        }
    }
}

fn row_key(service: &str) -> String {
    format!("rollout/{service}")
}

/// Starts a new version of a service, orders its rollout and does what operators do at its
/// end.
pub(crate) async fn run_rollout(fault: PlannedFault, targets: &FaultTargets) {
    let mut rng = SmallRng::seed_from_u64(fault.choice);
    let service = *SERVICES.choose(&mut rng).expect("there are some");
    let (quality, version_fault) = draw_fault(service, &mut rng);
    let name = format!("v{}", fault.at.as_millis());
    let version = Arc::new(UpstreamVersion::new(name, version_fault));
    targets.upstreams.start_version(service, &version).await;
    tokio::time::sleep(START_TIME).await;
    let ordered_at = targets.observer.now();
    let record = RolloutRecord {
        service: service.to_owned(),
        version: version.name.clone(),
        quality,
        ordered_at,
        due_at: ordered_at + fault.duration,
        end: None,
    };
    println!(
        "{:>6} ms  {record:?}, {:?}",
        ordered_at.as_millis(),
        version.fault
    );
    let due_at = record.due_at;
    let number = {
        let mut state = targets.observer.lock();
        state.world.rollouts.push(record);
        state.world.rollouts.len() - 1
    };
    let order = json!({
        "service": service,
        "target": version.name,
        "duration_s": fault.duration.to_duration().as_secs_f64(),
    });
    targets.rollouts.lock().insert(service, order.clone());
    targets.store.put("op", &row_key(service), &order);
    let end = wait_for_end(service, &version.name, due_at + GIVE_UP_AFTER, targets).await;
    targets.rollouts.lock().remove(service);
    let ended_at = targets.observer.now();
    println!(
        "{:>6} ms  rollout of {service} ended: {end:?}",
        ended_at.as_millis()
    );
    targets.observer.lock().world.rollouts[number].end = end.map(|end| (ended_at, end));
    if end == Some(RolloutEnd::Done) {
        targets.upstreams.complete(&version, service).await;
        return;
    }
    if end.is_none() {
        targets.store.remove("op", &row_key(service));
    }
    tokio::time::sleep(PAUSE_BEFORE_DRAIN).await;
    targets.upstreams.drain(&version, service).await;
}

/// Returns how a rollout ends; none if it hasn't ended at `give_up_at`.
async fn wait_for_end(
    service: &str,
    version: &str,
    give_up_at: ClockTime,
    targets: &FaultTargets,
) -> Option<RolloutEnd> {
    while targets.observer.now() < give_up_at {
        let status = targets.store.row("status", &row_key(service));
        let status = status.filter(|status| status["target"] == version);
        match status.as_ref().and_then(|status| status["state"].as_str()) {
            Some("done") => return Some(RolloutEnd::Done),
            Some("rolled_back") => return Some(RolloutEnd::RolledBack),
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
    None
}
