//! The rollouts that operators ordered, and what this VM saw of them.

use crate::gateway_state::GatewayState;
use crate::pacing::spread;
use crate::platform_api::{RolloutSnapshot, RolloutStatus, RoutingStore, StoreError};
use arc_swap::ArcSwap;
use skylarkshed_core::{ClockTime, CustomerName, RolloutSpec, ServiceName, VersionName};
use skylarkshed_policy::{
    decide_rollout, select_version_rule, RolloutDecision, RolloutState, VersionCounts, VersionRule,
};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::task::AbortHandle;

/// How often a rollout is looked at: well within the 5 s in which a bad version
/// has to be left.
const LOOK_PERIOD: ClockTime = ClockTime::from_millis(800);
/// VMs whose looks one period carries; a larger fleet looks less often, so that
/// its calls keep within the store's rates.
const VMS_PER_PERIOD: u64 = 100;

/// Requests of both versions since the order.
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

/// One rollout as this VM sees it.
#[derive(Debug)]
struct RolloutRecord {
    order: RolloutSpec,
    progress: Mutex<RolloutProgress>,
    task: Mutex<Option<AbortHandle>>,
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

    /// Notes a state; an end is final.
    fn note_state(&self, state: RolloutState) {
        let mut progress = self.progress();
        if progress.state == RolloutState::Running {
            progress.state = state;
        }
    }

    fn counts(&self) -> RolloutCounts {
        self.progress().counts.clone()
    }
}

type RolloutMap = HashMap<ServiceName, Arc<RolloutRecord>>;

/// All rollouts by service.
#[derive(Default)]
pub(crate) struct RolloutDesk {
    rollouts: ArcSwap<RolloutMap>,
}

impl RolloutDesk {
    /// Returns which versions of a service may get a request.
    pub(crate) fn rule(&self, service: &ServiceName, draw: u64) -> VersionRule {
        let rollouts = self.rollouts.load();
        let rollout = rollouts.get(service);
        rollout.map_or(VersionRule::Any, |rollout| {
            select_version_rule(&rollout.order.to, rollout.state(), draw)
        })
    }

    /// Notes how a request ended at a version; `time` is none for a failure.
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
        let nobody = CustomerName::default();
        let customer = customer.unwrap_or(&nobody);
        let mut progress = rollout.progress();
        let counts = match *version == rollout.order.to {
            true => &mut progress.counts.new,
            false => &mut progress.counts.old,
        };
        counts.record(route, customer, time);
    }

    /// Starts a rollout, unless it is known.
    pub(crate) fn start<S: RoutingStore>(
        &self,
        state: &Arc<GatewayState>,
        store: &S,
        order: RolloutSpec,
    ) {
        let known = self.rollouts.load_full();
        let is_known = known
            .get(&order.service)
            .is_some_and(|rollout| rollout.order.revision == order.revision);
        if is_known {
            return;
        }
        log::info!(
            service:% = order.service,
            to:% = order.to,
            order = order.revision,
            duration_ms = order.duration.as_millis();
            "rollout ordered"
        );
        let record = Arc::new(RolloutRecord {
            order,
            progress: Mutex::new(RolloutProgress {
                state: RolloutState::Running,
                counts: RolloutCounts::default(),
            }),
            task: Mutex::default(),
        });
        let mut rollouts = (*known).clone();
        rollouts.insert(record.order.service.clone(), record.clone());
        self.rollouts.store(Arc::new(rollouts));
        let watching = watch_rollout(state.clone(), store.clone(), Arc::downgrade(&record));
        let task = tokio::spawn(watching).abort_handle();
        *record.task.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
    }

    /// Forgets a service's rollout.
    pub(crate) fn remove(&self, service: &ServiceName) {
        let mut rollouts = (*self.rollouts.load_full()).clone();
        if rollouts.remove(service).is_some() {
            log::info!(service:%; "rollout withdrawn");
            self.rollouts.store(Arc::new(rollouts));
        }
    }
}

/// Looks after a rollout until it has ended.
async fn watch_rollout<S: RoutingStore>(
    state: Arc<GatewayState>,
    store: S,
    record: std::sync::Weak<RolloutRecord>,
) {
    while let Some(record) = record.upgrade() {
        match look(&state, &store, &record).await {
            Ok(true) => return,
            Ok(false) | Err(StoreError::Conflict) => {}
            Err(error) => {
                stop_on_own_evidence(&record);
                log::info!(
                    service:% = record.order.service,
                    reason = error.label();
                    "rollout not looked after: {error}"
                );
            }
        }
        drop(record);
        let vms = state.roster.count().unwrap_or(1) as u64;
        let pause_ms = LOOK_PERIOD.as_millis() * (1 + vms / VMS_PER_PERIOD);
        let pause = spread(ClockTime::from_millis(pause_ms));
        tokio::time::sleep(pause.to_duration()).await;
    }
}

/// Takes one look; tells whether the rollout's end stands in the store.
async fn look<S: RoutingStore>(
    state: &GatewayState,
    store: &S,
    record: &RolloutRecord,
) -> Result<bool, StoreError> {
    let order = &record.order;
    let reading = store.read_rollout(&order.service).await?;
    let current = reading.status.as_ref();
    let Some(current) = current.filter(|status| status.order == order.revision) else {
        let status = status_of(order, RolloutState::Running, reading.now);
        store.write_rollout(&status, reading.revision).await?;
        return Ok(false);
    };
    if current.state != RolloutState::Running {
        note_end(record, current.state);
        return Ok(true);
    }
    let own = record.counts();
    let text = serde_json::to_vec(&own).unwrap_or_default();
    store
        .write_evidence(order, &state.settings.name, text)
        .await?;
    let all = merge(store.read_evidence(order).await?);
    let passed = reading.now.since(current.started);
    let end = match decide_rollout(order, &all.old, &all.new, passed) {
        RolloutDecision::Wait => return Ok(false),
        RolloutDecision::Finish => RolloutState::Done,
        RolloutDecision::RollBack(verdict) => {
            log::warn!(service:% = order.service, to:% = order.to, verdict:? = verdict; "rollout stops");
            record.note_state(RolloutState::RolledBack);
            RolloutState::RolledBack
        }
    };
    write_end(store, record, &reading, current, end).await
}

/// Writes the end under a condition: of several VMs one writes it, and the
/// others read it at their next look.
async fn write_end<S: RoutingStore>(
    store: &S,
    record: &RolloutRecord,
    reading: &RolloutSnapshot,
    current: &RolloutStatus,
    end: RolloutState,
) -> Result<bool, StoreError> {
    let status = RolloutStatus {
        state: end,
        ..current.clone()
    };
    store.write_rollout(&status, reading.revision).await?;
    note_end(record, end);
    Ok(true)
}

/// Leaves a bad version on what this VM saw alone, while the store is away.
fn stop_on_own_evidence(record: &RolloutRecord) {
    let own = record.counts();
    let step = decide_rollout(&record.order, &own.old, &own.new, ClockTime::ZERO);
    if let RolloutDecision::RollBack(verdict) = step {
        log::warn!(
            service:% = record.order.service,
            verdict:? = verdict;
            "rollout stops on this VM's evidence"
        );
        record.note_state(RolloutState::RolledBack);
    }
}

fn note_end(record: &RolloutRecord, end: RolloutState) {
    record.note_state(end);
    log::info!(
        service:% = record.order.service,
        to:% = record.order.to,
        order = record.order.revision,
        state:? = end;
        "rollout ended"
    );
}

fn status_of(order: &RolloutSpec, state: RolloutState, now: ClockTime) -> RolloutStatus {
    RolloutStatus {
        service: order.service.clone(),
        to: order.to.clone(),
        state,
        order: order.revision,
        started: now,
    }
}

/// Adds up the counts of all VMs; those that can't be read are left out.
fn merge(texts: Vec<Vec<u8>>) -> RolloutCounts {
    let mut sum = RolloutCounts::default();
    for text in texts {
        match serde_json::from_slice::<RolloutCounts>(&text) {
            Ok(counts) => {
                sum.old.merge(&counts.old);
                sum.new.merge(&counts.new);
            }
            Err(error) => log::warn!("a VM's evidence can't be read: {error}"),
        }
    }
    sum
}
