//! Runs the operators' rollouts and collects this VM's samples on them.

mod bake;
mod exchange;
mod notification;
mod probe;
mod progress;
mod recent;
mod record;
mod recovery;
mod reserve;
mod summary;
mod task;
mod word;

use crate::gateway_state::GatewayState;
use crate::platform_api::RoutingStore;
use crate::upstreams::UpstreamDirectory;
use arc_swap::ArcSwap;
pub(crate) use probe::{AttemptInfo, AttemptProbe, AttemptRule, CanaryTicket};
use recent::RecentSamples;
use record::RolloutRecord;
use reserve::has_reserve;
use skylarkshed_core::{CustomerName, MonotonicClock, RolloutSpec, ServiceName, VersionName};
use skylarkshed_peer::wire::{PeerBody, RolloutEnd, RolloutReport};
use skylarkshed_policy::{
    may_take_canary, CanaryAllowance, FailureKind, RejectedVersions, RolloutTimes, VersionFilter,
    VersionRule,
};
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

type RolloutMap = HashMap<ServiceName, Arc<RolloutRecord>>;

/// All rollouts, by service.
pub(crate) struct RolloutManager {
    clock: MonotonicClock,
    rollouts: ArcSwap<RolloutMap>,
    /// The rejected versions of the services whose order was removed.
    rejected: ArcSwap<HashMap<ServiceName, RejectedVersions>>,
    recent: Arc<RecentSamples>,
}

impl RolloutManager {
    pub(crate) fn new(clock: MonotonicClock) -> Self {
        RolloutManager {
            clock,
            rollouts: ArcSwap::default(),
            rejected: ArcSwap::default(),
            recent: Arc::default(),
        }
    }

    fn find(&self, service: &ServiceName) -> Option<Arc<RolloutRecord>> {
        self.rollouts.load().get(service).cloned()
    }

    /// Returns which versions of a service a request may be sent to if it isn't taken
    /// for the version under test.
    pub(crate) fn version_filter(
        &self,
        service: &ServiceName,
        upstreams: &UpstreamDirectory,
    ) -> VersionFilter {
        match self.find(service) {
            Some(record) => record.version_filter(upstreams, false),
            None => self.filter_without_order(service),
        }
    }

    /// Returns which versions the next attempt of a request may be sent to. Only the first
    /// one is taken for the version under test, or any if no other version has upstreams.
    pub(crate) fn attempt_rule(
        &self,
        service: &ServiceName,
        upstreams: &UpstreamDirectory,
        route: &str,
        is_first: bool,
    ) -> AttemptRule {
        let Some(record) = self.find(service) else {
            return AttemptRule {
                filter: self.filter_without_order(service),
                ticket: None,
            };
        };
        let has_other = || record.lists_alternative(upstreams);
        let is_taken = may_take_canary(is_first, has_other) && record.take_canary(route);
        AttemptRule {
            filter: record.version_filter(upstreams, is_taken),
            ticket: is_taken.then(|| CanaryTicket {
                record: Some(record),
            }),
        }
    }

    /// Returns which versions of a service without an order a request may be sent to.
    fn filter_without_order(&self, service: &ServiceName) -> VersionFilter {
        let rejected = self.rejected.load();
        let rejected = rejected.get(service);
        rejected.map_or_else(VersionFilter::default, |rejected| {
            rejected.restrict(VersionRule::Any, self.clock.now())
        })
    }

    /// Starts to observe an attempt that is about to be sent.
    pub(crate) fn start_attempt(
        &self,
        service: &ServiceName,
        info: &AttemptInfo<'_>,
        ticket: Option<CanaryTicket>,
    ) -> AttemptProbe {
        let record = self.find(service);
        let is_running = record.as_ref().is_some_and(|record| record.is_running());
        let recent = (!is_running).then(|| (self.recent.clone(), service.clone()));
        AttemptProbe::start(self.clock, record, recent, info, ticket)
    }

    /// Records that the first attempt of a request failed.
    pub(crate) fn record_failure(
        &self,
        service: &ServiceName,
        version: &VersionName,
        route: &str,
        customer: Option<&CustomerName>,
        kind: FailureKind,
    ) {
        let now = self.clock.now();
        let record = self.find(service);
        if !record.as_ref().is_some_and(|record| record.is_running()) {
            self.recent.record_outcome(service, route, now, Err(kind));
        }
        if let Some(record) = record {
            let is_new = *version == record.spec.to;
            record.record_outcome(is_new, route, customer, now, Err(kind));
        }
    }

    /// Handles another VM's report on a rollout.
    pub(crate) fn receive_report(&self, report: &RolloutReport) -> PeerBody {
        match self.find(&ServiceName::from(report.service.as_str())) {
            Some(record) => exchange::receive_report(&record, report),
            None => PeerBody::Done(false),
        }
    }

    /// Handles the end of a rollout that another VM knows.
    pub(crate) fn receive_end(&self, end: &RolloutEnd) -> PeerBody {
        match self.find(&ServiceName::from(end.service.as_str())) {
            Some(record) => notification::receive_end(&record, end),
            None => PeerBody::Done(false),
        }
    }

    /// Starts a rollout, unless it is already running here. `is_initial` tells whether
    /// the order was found in a whole table, so that this process may have been
    /// restarted during the rollout.
    pub(crate) fn start<S: RoutingStore>(
        &self,
        state: &Arc<GatewayState>,
        store: &S,
        spec: RolloutSpec,
        is_initial: bool,
    ) {
        let active = self.rollouts.load_full();
        let previous = active.get(&spec.service);
        if previous.is_some_and(|previous| previous.spec.revision == spec.revision) {
            return;
        }
        let before = self.recent.of_service(&spec.service, self.clock.now());
        let times = RolloutTimes::new(state.settings.times.rollback);
        let allowance = CanaryAllowance::without_reserve(state.settings.exposure);
        let record = RolloutRecord::new(spec, self.clock, times, allowance, before);
        {
            let mut progress = record.progress();
            progress.has_reserve = has_reserve(state, is_initial);
            progress.needs_reserve = progress.has_reserve;
            progress.may_recover = is_initial;
            progress.knowledge.may_have_ended = is_initial;
            progress.rejected = match previous {
                Some(previous) => previous.rejected_after(),
                None => self.rejected_of(&record.spec.service),
            };
            progress.rejected.remove(&record.spec.to);
        }
        let record = Arc::new(record);
        let is_inherited = previous.is_some_and(|previous| inherit(&record, previous));
        log::info!(
            service:% = record.spec.service,
            to:% = record.spec.to,
            order = record.spec.revision,
            duration_ms = record.spec.duration.as_millis(),
            is_inherited,
            is_initial,
            rejected:? = record.progress().rejected.rejections();
            "rollout started"
        );
        let mut rollouts = (*active).clone();
        if let Some(previous) = rollouts.insert(record.spec.service.clone(), record.clone()) {
            previous.stop_watching();
        }
        self.rollouts.store(Arc::new(rollouts));
        start_watching(&record, state, store);
    }

    /// Writes the states again that the store lost when it returned from an older copy.
    pub(crate) fn mark_restored<S: RoutingStore>(&self, state: &Arc<GatewayState>, store: &S) {
        for record in self.rollouts.load().values() {
            record.is_restored.store(true, Ordering::Relaxed);
            record.progress().is_stored = false;
            start_watching(record, state, store);
        }
    }

    /// Stops a service's rollout.
    pub(crate) fn remove(&self, service: &ServiceName) {
        let mut rollouts = (*self.rollouts.load_full()).clone();
        let Some(record) = rollouts.remove(service) else {
            return;
        };
        log::info!(service:%, to:% = record.spec.to, order = record.spec.revision; "rollout removed");
        record.stop_watching();
        let mut rejected = (*self.rejected.load_full()).clone();
        rejected.insert(service.clone(), record.rejected_after());
        self.rejected.store(Arc::new(rejected));
        self.rollouts.store(Arc::new(rollouts));
    }

    fn rejected_of(&self, service: &ServiceName) -> RejectedVersions {
        self.rejected
            .load()
            .get(service)
            .cloned()
            .unwrap_or_default()
    }
}

/// Starts watching a rollout, in place of the task that did so before.
fn start_watching<S: RoutingStore>(
    record: &Arc<RolloutRecord>,
    state: &Arc<GatewayState>,
    store: &S,
) {
    let watching = task::watch_rollout(state.clone(), store.clone(), Arc::downgrade(record));
    let task = tokio::spawn(watching).abort_handle();
    let mut current = record.task.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(previous) = current.replace(task) {
        previous.abort();
    }
}

/// Takes over from a record of the same order, which the operators had to write again;
/// a rollout that has ended is not begun again.
fn inherit(record: &RolloutRecord, previous: &RolloutRecord) -> bool {
    let (spec, order) = (&record.spec, &previous.spec);
    let is_same = spec.to == order.to && spec.duration == order.duration;
    let is_inherited = is_same && previous.is_restored.swap(false, Ordering::Relaxed);
    if is_inherited {
        record.take_over(previous);
    }
    is_inherited
}
