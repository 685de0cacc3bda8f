//! Observes the attempts of requests for the comparison of versions.

use super::progress::{OpenAttempt, RolloutProgress};
use super::recent::RecentSamples;
use super::record::RolloutRecord;
use crate::counters;
use skylarkshed_core::{ClockTime, CustomerName, MonotonicClock, ServiceName, VersionName};
use skylarkshed_policy::{RolloutState, VersionFilter};
use std::sync::Arc;

/// How often it is checked whether a first event is overdue.
const CHECK_INTERVAL: ClockTime = ClockTime::from_millis(100);
/// The intervals between events of which the median is a sample of a stream's pace: one
/// of them may be long because the engine prefills another prompt.
const PACE_INTERVALS: usize = 7;

/// A request that was taken for the new version; it is refunded if it is not sent there.
#[derive(Debug)]
pub(crate) struct CanaryTicket {
    pub(super) record: Option<Arc<RolloutRecord>>,
}

impl Drop for CanaryTicket {
    fn drop(&mut self) {
        if let Some(record) = self.record.take() {
            record.progress().allowance.refund();
        }
    }
}

/// Which versions an attempt may be sent to.
#[derive(Debug, Default)]
pub(crate) struct AttemptRule {
    pub(crate) filter: VersionFilter,
    pub(crate) ticket: Option<CanaryTicket>,
}

/// The identity of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptInfo<'a> {
    pub(crate) version: &'a VersionName,
    pub(crate) route: &'a str,
    pub(crate) customer: Option<&'a CustomerName>,
    /// Whether no attempt of the request was sent before. The comparison leaves out the
    /// others: a request that fails by itself fails again.
    pub(crate) is_first: bool,
    /// Whether the whole prompt is prefilled, so that the time to the first event counts.
    pub(crate) is_timed: bool,
}

impl AttemptInfo<'_> {
    fn is_judged(&self) -> bool {
        self.is_first && self.is_timed
    }
}

/// Observes one attempt until it is dropped.
#[derive(Debug)]
pub(crate) struct AttemptProbe {
    clock: MonotonicClock,
    target: Option<ProbeTarget>,
    recent: Option<RecentTarget>,
    sent_at: ClockTime,
    last_event_at: Option<ClockTime>,
    intervals: Vec<ClockTime>,
    is_slow: bool,
}

/// Where the samples go while no rollout is running.
#[derive(Debug)]
struct RecentTarget {
    recent: Arc<RecentSamples>,
    service: ServiceName,
    route: String,
    is_timed: bool,
}

#[derive(Debug)]
struct ProbeTarget {
    record: Arc<RolloutRecord>,
    number: u64,
    is_new: bool,
    route: String,
    customer: Option<CustomerName>,
    is_first: bool,
    /// Whether it was taken from the allowance.
    is_taken: bool,
    is_timed: bool,
    /// The slice in which the pace was last recorded.
    paced_slice: Option<u64>,
}

impl AttemptProbe {
    /// Starts to observe an attempt that is about to be sent.
    pub(super) fn start(
        clock: MonotonicClock,
        record: Option<Arc<RolloutRecord>>,
        recent: Option<(Arc<RecentSamples>, ServiceName)>,
        info: &AttemptInfo<'_>,
        ticket: Option<CanaryTicket>,
    ) -> Self {
        let sent_at = clock.now();
        let recent = recent.map(|(recent, service)| RecentTarget {
            recent,
            service,
            route: info.route.to_owned(),
            is_timed: info.is_judged(),
        });
        AttemptProbe {
            clock,
            target: record.map(|record| ProbeTarget::start(record, info, ticket, sent_at)),
            recent,
            sent_at,
            last_event_at: None,
            intervals: Vec::new(),
            is_slow: false,
        }
    }

    /// Records that the upstream has received the attempt. A request earns a share for the
    /// version under test once, if it reached the service.
    pub(crate) fn record_reached(&mut self) {
        if let Some(target) = self.target.as_ref().filter(|target| target.is_first) {
            target.record.progress().allowance.record_request();
        }
    }

    /// Records that nothing was sent.
    pub(crate) fn record_unsent(&mut self) {
        if let Some(target) = self.target.as_ref().filter(|target| target.is_new) {
            let mut progress = target.record.progress();
            match target.is_taken {
                true => progress.allowance.refund(),
                false => progress.allowance.remove_arrival(),
            }
        }
    }

    /// Records an event, or a whole response.
    pub(crate) fn record_event(&mut self) {
        let now = self.clock.now();
        if self.target.is_none() && self.recent.is_none() {
            return;
        }
        match self.last_event_at.replace(now) {
            None => self.record_first(now.since(self.sent_at)),
            Some(previous) => self.intervals.push(now.since(previous)),
        }
        if self.intervals.len() >= PACE_INTERVALS {
            self.intervals.sort_unstable();
            let median = self.intervals[PACE_INTERVALS / 2];
            self.intervals.clear();
            self.record_pace(now, median);
        }
    }

    fn record_first(&mut self, time: ClockTime) {
        if let Some(target) = &mut self.target {
            target.record_first(self.sent_at, time);
        }
        if let Some(recent) = self.recent.as_ref().filter(|recent| recent.is_timed) {
            let (service, route) = (&recent.service, &recent.route);
            let samples = &recent.recent;
            samples.record_outcome(service, route, self.clock.now(), Ok(time));
        }
    }

    fn record_pace(&mut self, now: ClockTime, median: ClockTime) {
        if let Some(target) = &mut self.target {
            self.is_slow = target.record_pace(now, median);
        }
        // One sample a stream is enough.
        if let Some(recent) = self.recent.take() {
            let (service, route) = (&recent.service, &recent.route);
            recent.recent.record_pace(service, route, now, median);
        }
    }

    /// Records that the attempt is given up because its first event is overdue.
    pub(crate) fn record_overdue(&mut self) {
        self.record_first(self.clock.now().since(self.sent_at));
    }

    /// Reports whether a stream should go on elsewhere: the version under test lets it
    /// wait, or has been rolled back and is slow.
    pub(crate) fn should_leave(&self) -> bool {
        let Some(target) = self.target.as_ref().filter(|target| target.is_new) else {
            return false;
        };
        match self.last_event_at {
            None => target.is_overdue(self.clock.now().since(self.sent_at)),
            Some(_) => self.is_slow && target.record.is_taken_back(),
        }
    }

    /// Waits until the first event of the version under test is overdue.
    pub(crate) async fn overdue(&self) {
        while !(self.last_event_at.is_none() && self.should_leave()) {
            tokio::time::sleep(CHECK_INTERVAL.to_duration()).await;
        }
    }
}

/// Records that a request is sent to the version that is rolled out.
fn record_send(progress: &mut RolloutProgress, ticket: Option<CanaryTicket>) {
    let permission = match ticket {
        // The ticket has counted the arrival.
        Some(mut ticket) => {
            drop(ticket.record.take());
            "taken"
        }
        None => {
            progress.allowance.record_arrival();
            "none"
        }
    };
    if progress.state == RolloutState::Running {
        counters::count_canary(permission);
    }
}

impl Drop for AttemptProbe {
    fn drop(&mut self) {
        if let Some(target) = &self.target {
            target.record.progress().open.remove(&target.number);
        }
    }
}

impl ProbeTarget {
    fn start(
        record: Arc<RolloutRecord>,
        info: &AttemptInfo<'_>,
        ticket: Option<CanaryTicket>,
        sent_at: ClockTime,
    ) -> Self {
        let is_new = *info.version == record.spec.to;
        let mut progress = record.progress();
        let is_taken = ticket.is_some();
        if is_new {
            record_send(&mut progress, ticket);
        }
        let slice = record.slice(&progress, sent_at);
        progress.version(slice, is_new).route(info.route).sent += 1;
        let number = progress.open_attempt(OpenAttempt {
            route: info.route.to_owned(),
            is_new,
            sent_at,
        });
        if !info.is_judged() {
            progress.open.remove(&number);
        }
        drop(progress);
        ProbeTarget {
            record,
            number,
            is_new,
            route: info.route.to_owned(),
            customer: info.customer.cloned(),
            is_first: info.is_first,
            is_taken,
            is_timed: info.is_judged(),
            paced_slice: None,
        }
    }

    fn record_first(&mut self, sent_at: ClockTime, time: ClockTime) {
        self.record.progress().open.remove(&self.number);
        if self.is_timed {
            let customer = self.customer.as_ref();
            self.record
                .record_outcome(self.is_new, &self.route, customer, sent_at, Ok(time));
        }
    }

    /// Records the median interval between events, at most once a slice; reports whether
    /// it is slow.
    fn record_pace(&mut self, now: ClockTime, median: ClockTime) -> bool {
        let mut progress = self.record.progress();
        let slice = self.record.slice(&progress, now);
        if self.paced_slice != Some(slice) {
            self.paced_slice = Some(slice);
            let version = progress.version(slice, self.is_new);
            version.route(&self.route).pace.record(median);
        }
        progress.word.is_slow_pace(&self.route, median)
    }

    fn is_overdue(&self, age: ClockTime) -> bool {
        let is_judged = self.record.is_running() || self.record.is_taken_back();
        let progress = self.record.progress();
        is_judged && self.is_timed && progress.is_overdue(&self.route, age)
    }
}
