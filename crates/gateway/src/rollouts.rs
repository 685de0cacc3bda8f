//! Runs the operators' rollouts and collects this VM's statistics on them.

use crate::gateway_state::GatewayState;
use crate::jitter::add_jitter;
use crate::platform_api::{RolloutSnapshot, RolloutStatus, RoutingStore, StoreError};
use arc_swap::ArcSwap;
use skylarkshed_core::{ClockTime, CustomerName, RolloutSpec, ServiceName, VersionName};
use skylarkshed_policy::{
    decide_rollout, select_version_rule, RolloutDecision, RolloutState, VersionCounts, VersionRule,
};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::task::AbortHandle;

/// How often a rollout is polled: well within the 5 s in which a bad version has
/// to be rolled back.
const POLL_INTERVAL: ClockTime = ClockTime::from_millis(800);
/// The number of VMs that poll once per interval. A larger fleet polls less often,
/// so that its calls stay within the store's rate limits.
const VMS_PER_INTERVAL: u64 = 100;

/// The evidence on a rollout: request statistics of both versions since it began.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
struct RolloutCounts {
    old: VersionCounts,
    new: VersionCounts,
}

#[derive(Debug)]
struct RolloutProgress {
    state: RolloutState,
    counts: RolloutCounts,
}

/// One rollout and this VM's statistics on it; dropping it stops its task.
#[derive(Debug)]
struct RolloutRecord {
    spec: RolloutSpec,
    progress: Mutex<RolloutProgress>,
    task: Mutex<Option<AbortHandle>>,
    /// Whether the store has returned from an older copy. The operators then write the
    /// order again, under another revision.
    is_restored: AtomicBool,
}

impl Drop for RolloutRecord {
    fn drop(&mut self) {
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(task) = task.as_ref() {
            task.abort();
        }
    }
}

impl RolloutRecord {
    fn progress(&self) -> MutexGuard<'_, RolloutProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> RolloutState {
        self.progress().state
    }

    /// Records a state, unless the rollout has already ended.
    fn record_state(&self, state: RolloutState) {
        let mut progress = self.progress();
        if progress.state == RolloutState::Running {
            progress.state = state;
        }
    }

    /// Starts polling the rollout, in place of the task that did so before.
    fn start_polling<S: RoutingStore>(self: &Arc<Self>, state: &Arc<GatewayState>, store: &S) {
        let watching = watch_rollout(state.clone(), store.clone(), Arc::downgrade(self));
        let task = tokio::spawn(watching).abort_handle();
        let mut current = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(previous) = current.replace(task) {
            previous.abort();
        }
    }

    /// Takes over from a record of the same order, which the operators had to write
    /// again; a rollout that has ended is not begun again.
    fn inherit(&self, previous: &RolloutRecord) -> bool {
        let (spec, order) = (&self.spec, &previous.spec);
        let is_same = spec.to == order.to && spec.duration == order.duration;
        let is_inherited = is_same && previous.is_restored.swap(false, Ordering::Relaxed);
        if is_inherited {
            let mut progress = self.progress();
            progress.state = previous.state();
            progress.counts = previous.counts();
        }
        is_inherited
    }

    fn counts(&self) -> RolloutCounts {
        self.progress().counts.clone()
    }
}

type RolloutMap = HashMap<ServiceName, Arc<RolloutRecord>>;

/// All rollouts, by service.
#[derive(Default)]
pub(crate) struct RolloutManager {
    rollouts: ArcSwap<RolloutMap>,
}

impl RolloutManager {
    /// Returns which versions of a service a request may be sent to; `hash` is the
    /// hash of its identifier.
    pub(crate) fn version_rule(&self, service: &ServiceName, hash: u64) -> VersionRule {
        let rollouts = self.rollouts.load();
        let rollout = rollouts.get(service);
        rollout.map_or(VersionRule::Any, |rollout| {
            select_version_rule(&rollout.spec.to, rollout.state(), hash)
        })
    }

    /// Records how a request to a version ended; `time` is none for a failure.
    pub(crate) fn record(
        &self,
        service: &ServiceName,
        version: &VersionName,
        route: &str,
        customer: Option<&CustomerName>,
        time: Option<ClockTime>,
    ) {
        let rollouts = self.rollouts.load();
        let Some(rollout) = rollouts.get(service) else {
            return;
        };
        let no_customer = CustomerName::default();
        let customer = customer.unwrap_or(&no_customer);
        let mut progress = rollout.progress();
        let counts = match *version == rollout.spec.to {
            true => &mut progress.counts.new,
            false => &mut progress.counts.old,
        };
        counts.record(route, customer, time);
    }

    /// Starts a rollout, unless it is already running here.
    pub(crate) fn start<S: RoutingStore>(
        &self,
        state: &Arc<GatewayState>,
        store: &S,
        spec: RolloutSpec,
    ) {
        let active = self.rollouts.load_full();
        let is_running = active
            .get(&spec.service)
            .is_some_and(|rollout| rollout.spec.revision == spec.revision);
        if is_running {
            return;
        }
        let record = Arc::new(RolloutRecord {
            spec,
            progress: Mutex::new(RolloutProgress {
                state: RolloutState::Running,
                counts: RolloutCounts::default(),
            }),
            task: Mutex::default(),
            is_restored: AtomicBool::new(false),
        });
        let previous = active.get(&record.spec.service);
        let is_inherited = previous.is_some_and(|previous| record.inherit(previous));
        log::info!(
            service:% = record.spec.service,
            to:% = record.spec.to,
            order = record.spec.revision,
            duration_ms = record.spec.duration.as_millis(),
            is_inherited;
            "rollout started"
        );
        let mut rollouts = (*active).clone();
        rollouts.insert(record.spec.service.clone(), record.clone());
        self.rollouts.store(Arc::new(rollouts));
        record.start_polling(state, store);
    }

    /// Writes the states again that the store lost when it returned from an older copy.
    pub(crate) fn mark_restored<S: RoutingStore>(&self, state: &Arc<GatewayState>, store: &S) {
        for record in self.rollouts.load().values() {
            record.is_restored.store(true, Ordering::Relaxed);
            record.start_polling(state, store);
        }
    }

    /// Stops a service's rollout.
    pub(crate) fn remove(&self, service: &ServiceName) {
        let mut rollouts = (*self.rollouts.load_full()).clone();
        if rollouts.remove(service).is_some() {
            log::info!(service:%; "rollout removed");
            self.rollouts.store(Arc::new(rollouts));
        }
    }
}

/// Polls a rollout until it has ended.
async fn watch_rollout<S: RoutingStore>(
    state: Arc<GatewayState>,
    store: S,
    record: std::sync::Weak<RolloutRecord>,
) {
    while let Some(record) = record.upgrade() {
        match poll_rollout(&state, &store, &record).await {
            Ok(true) => return,
            Ok(false) | Err(StoreError::Conflict) => {}
            Err(error) => {
                roll_back_on_own_evidence(&record);
                log::info!(
                    service:% = record.spec.service,
                    reason = error.label();
                    "can't poll the rollout: {error}"
                );
            }
        }
        drop(record);
        let vms = state.roster.count().unwrap_or(1) as u64;
        let interval_ms = POLL_INTERVAL.as_millis() * (1 + vms / VMS_PER_INTERVAL);
        let interval = add_jitter(ClockTime::from_millis(interval_ms));
        tokio::time::sleep(interval.to_duration()).await;
    }
}

/// Polls a rollout once; reports whether its end is stored.
async fn poll_rollout<S: RoutingStore>(
    state: &GatewayState,
    store: &S,
    record: &RolloutRecord,
) -> Result<bool, StoreError> {
    let spec = &record.spec;
    let snapshot = store.read_rollout(&spec.service).await?;
    let current = snapshot.status.as_ref();
    let known = record.state();
    let Some(current) = current.filter(|status| status.spec_revision == spec.revision) else {
        let status = make_status(spec, known, snapshot.now);
        store.write_rollout(&status, snapshot.revision).await?;
        return Ok(known != RolloutState::Running);
    };
    if current.state != RolloutState::Running {
        record_end(record, current.state);
        return Ok(true);
    }
    // The store has lost the end, or this VM alone has rolled back.
    if known != RolloutState::Running {
        return write_end(store, record, &snapshot, current, known).await;
    }
    let own = record.counts();
    let encoded = serde_json::to_vec(&own).unwrap_or_default();
    store
        .write_evidence(spec, &state.settings.name, encoded)
        .await?;
    let all = merge_evidence(store.read_evidence(spec).await?);
    let elapsed = snapshot.now.since(current.started_at);
    let end = match decide_rollout(spec, &all.old, &all.new, elapsed) {
        RolloutDecision::Wait => return Ok(false),
        RolloutDecision::Finish => RolloutState::Done,
        RolloutDecision::RollBack(verdict) => {
            log::warn!(service:% = spec.service, to:% = spec.to, verdict:? = verdict; "rolling back");
            record.record_state(RolloutState::RolledBack);
            RolloutState::RolledBack
        }
    };
    write_end(store, record, &snapshot, current, end).await
}

/// Writes the end if the row is unchanged: one VM writes it, and the others read
/// it at their next poll.
async fn write_end<S: RoutingStore>(
    store: &S,
    record: &RolloutRecord,
    snapshot: &RolloutSnapshot,
    current: &RolloutStatus,
    end: RolloutState,
) -> Result<bool, StoreError> {
    let status = RolloutStatus {
        state: end,
        ..current.clone()
    };
    store.write_rollout(&status, snapshot.revision).await?;
    record_end(record, end);
    Ok(true)
}

/// Rolls back a bad version on this VM's evidence while the store is unavailable.
fn roll_back_on_own_evidence(record: &RolloutRecord) {
    let own = record.counts();
    // The elapsed time is irrelevant: only a rollback is applied here.
    let decision = decide_rollout(&record.spec, &own.old, &own.new, ClockTime::ZERO);
    if let RolloutDecision::RollBack(verdict) = decision {
        log::warn!(
            service:% = record.spec.service,
            verdict:? = verdict;
            "rolling back on the statistics of this VM alone"
        );
        record.record_state(RolloutState::RolledBack);
    }
}

fn record_end(record: &RolloutRecord, end: RolloutState) {
    record.record_state(end);
    log::info!(
        service:% = record.spec.service,
        to:% = record.spec.to,
        order = record.spec.revision,
        state:? = end;
        "rollout ended"
    );
}

fn make_status(spec: &RolloutSpec, state: RolloutState, now: ClockTime) -> RolloutStatus {
    RolloutStatus {
        service: spec.service.clone(),
        to: spec.to.clone(),
        state,
        spec_revision: spec.revision,
        started_at: now,
    }
}

/// Sums the evidence of all VMs; rows that can't be parsed are skipped.
fn merge_evidence(rows: Vec<Vec<u8>>) -> RolloutCounts {
    let mut sum = RolloutCounts::default();
    for row in rows {
        match serde_json::from_slice::<RolloutCounts>(&row) {
            Ok(counts) => {
                sum.old.merge(&counts.old);
                sum.new.merge(&counts.new);
            }
            Err(error) => log::warn!("can't parse the evidence of a VM: {error}"),
        }
    }
    sum
}
