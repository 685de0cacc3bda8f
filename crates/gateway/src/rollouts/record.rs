//! One rollout, and the changes of what this VM knows of it.

use super::progress::{RolloutProgress, WithdrawalScope};
use super::word::RolloutWord;
use crate::platform_api::RolloutStatus;
use crate::upstreams::UpstreamDirectory;
use skylarkshed_core::{ClockTime, CustomerName, MonotonicClock, RolloutSpec};
use skylarkshed_policy::{
    bake_slice_at, drop_old_bake_slices, select_baking_rule, select_untaken_use,
    select_version_rule, CanaryAllowance, CanarySpread, CanaryUse, FailureKind, RejectedVersions,
    RejectionReason, RolloutSamples, RolloutState, RolloutTimes, VersionFilter, VersionRejection,
    VersionSamples, ROLLOUT_SLICES,
};
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::task::AbortHandle;

/// One rollout; dropping it stops its task.
#[derive(Debug)]
pub(super) struct RolloutRecord {
    pub(super) spec: RolloutSpec,
    pub(super) clock: MonotonicClock,
    pub(super) times: RolloutTimes,
    progress: Mutex<RolloutProgress>,
    pub(super) task: Mutex<Option<AbortHandle>>,
    /// Whether the store has returned from an older copy. The operators then write the
    /// order again, under another revision.
    pub(super) is_restored: AtomicBool,
}

impl Drop for RolloutRecord {
    fn drop(&mut self) {
        self.stop_watching();
    }
}

impl RolloutRecord {
    pub(super) fn new(
        spec: RolloutSpec,
        clock: MonotonicClock,
        times: RolloutTimes,
        allowance: CanaryAllowance,
        before: VersionSamples,
    ) -> Self {
        let progress = RolloutProgress::new(clock.now(), allowance, before);
        RolloutRecord {
            spec,
            clock,
            times,
            progress: Mutex::new(progress),
            task: Mutex::default(),
            is_restored: AtomicBool::new(false),
        }
    }

    pub(super) fn progress(&self) -> MutexGuard<'_, RolloutProgress> {
        // The fields are consistent between changes, so a poisoned lock is usable.
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn state(&self) -> RolloutState {
        self.progress().state
    }

    pub(super) fn is_running(&self) -> bool {
        self.state() == RolloutState::Running
    }

    /// Records a state that a VM decided on, unless the rollout has already ended.
    pub(super) fn record_state(&self, state: RolloutState) {
        let mut progress = self.progress();
        if progress.state == RolloutState::Running && state != progress.state {
            progress.set_state(state, self.clock.now());
            drop(progress);
            self.log_end();
        }
    }

    /// Records the stored end. It takes precedence over one that a VM decided on: the
    /// platform acts on it.
    pub(super) fn record_stored_end(&self, state: RolloutState) {
        let mut progress = self.progress();
        progress.is_stored = true;
        if state != progress.state {
            progress.set_state(state, self.clock.now());
            drop(progress);
            self.log_end();
        }
    }

    fn log_end(&self) {
        let progress = self.progress();
        let allowance = progress.allowance.clone();
        let (state, is_stored) = (progress.state, progress.is_stored);
        drop(progress);
        log::info!(
            service:% = self.spec.service,
            to:% = self.spec.to,
            order = self.spec.revision,
            state:? = state,
            is_stored,
            elapsed_ms = self.elapsed().as_millis(),
            arrivals = allowance.arrivals(),
            untaken = allowance.untaken(),
            earned = allowance.earned();
            "rollout ended"
        );
    }

    /// Withdraws a version after its rollout is done.
    pub(super) fn record_withdrawal(&self, scope: WithdrawalScope) {
        let mut progress = self.progress();
        if progress.state != RolloutState::Done || progress.withdrawal >= Some(scope) {
            return;
        }
        progress.withdrawal = Some(scope);
        drop(progress);
        log::warn!(
            service:% = self.spec.service,
            to:% = self.spec.to,
            order = self.spec.revision,
            scope:?,
            elapsed_ms = self.elapsed().as_millis();
            "version withdrawn"
        );
    }

    /// Ends the withdrawal of a version by this VM alone.
    pub(super) fn end_own_withdrawal(&self) {
        let mut progress = self.progress();
        if progress.withdrawal != Some(WithdrawalScope::Vm) {
            return;
        }
        progress.withdrawal = None;
        drop(progress);
        log::info!(
            service:% = self.spec.service,
            to:% = self.spec.to,
            order = self.spec.revision,
            elapsed_ms = self.elapsed().as_millis();
            "withdrawal ended"
        );
    }

    /// Returns which versions a request may be sent to; `is_taken` tells whether it was taken
    /// for the version under test. A withdrawn version is avoided only while another one has
    /// upstreams that work normally.
    pub(super) fn version_filter(
        &self,
        upstreams: &UpstreamDirectory,
        is_taken: bool,
    ) -> VersionFilter {
        let (state, is_withdrawn, canary_use, rejected) = {
            let progress = self.progress();
            let canary_use = match is_taken {
                true => CanaryUse::Taken,
                false => self.untaken_use(&progress),
            };
            let is_withdrawn = progress.withdrawal.is_some();
            let rejected = progress.rejected.clone();
            (progress.state, is_withdrawn, canary_use, rejected)
        };
        let to = &self.spec.to;
        let rule = match state {
            RolloutState::Done => {
                select_baking_rule(to, is_withdrawn && self.has_alternative(upstreams))
            }
            state => select_version_rule(to, state, canary_use),
        };
        rejected.restrict(rule, self.clock.now())
    }

    /// Reports whether a version that this or an earlier rollout has not rejected, and that
    /// is not the new one, has upstreams that work normally.
    pub(super) fn has_alternative(&self, upstreams: &UpstreamDirectory) -> bool {
        let rejected = self.progress().rejected.clone();
        let is_other = |version: &_| *version != self.spec.to && !rejected.contains(version);
        upstreams.has_version(&self.spec.service, is_other)
    }

    /// Reports whether such a version has upstreams that are listed.
    pub(super) fn lists_alternative(&self, upstreams: &UpstreamDirectory) -> bool {
        let rejected = self.progress().rejected.clone();
        let is_other = |version: &_| *version != self.spec.to && !rejected.contains(version);
        upstreams.lists_version(&self.spec.service, is_other)
    }

    /// Returns the versions that are rejected once the order is replaced or removed.
    pub(super) fn rejected_after(&self) -> RejectedVersions {
        let progress = self.progress();
        let mut rejected = progress.rejected.clone();
        let reason = match progress.state {
            RolloutState::RolledBack => Some(RejectionReason::RolledBack),
            RolloutState::Running => Some(RejectionReason::Unfinished),
            RolloutState::Done => progress.withdrawal.map(|_| RejectionReason::Withdrawn),
        };
        let Some(reason) = reason else {
            return rejected;
        };
        let now = self.clock.now();
        let forbidden_until = match (progress.state, self.untaken_use(&progress)) {
            (RolloutState::Running, CanaryUse::Forbidden) => {
                now + self.spec.duration.since(progress.elapsed(now))
            }
            _ => ClockTime::ZERO,
        };
        let rejection = VersionRejection {
            version: self.spec.to.clone(),
            order: self.spec.revision,
            reason,
        };
        rejected.insert(rejection, forbidden_until);
        rejected
    }

    /// Takes over what a stored state tells of earlier orders, its own one included.
    pub(super) fn learn_rejections(&self, status: &RolloutStatus) {
        let mut progress = self.progress();
        let rejected = &mut progress.rejected;
        rejected.merge(&status.rejected, &self.spec.to);
        let order = status.spec_revision;
        if order == self.spec.revision || rejected.record_end(order, status.state) {
            return;
        }
        let reason = match status.state {
            RolloutState::Running => RejectionReason::Unfinished,
            RolloutState::RolledBack => RejectionReason::RolledBack,
            RolloutState::Done => return,
        };
        let rejection = VersionRejection {
            version: status.to.clone(),
            order,
            reason,
        };
        rejected.merge(&[rejection], &self.spec.to);
    }

    /// Stops the task that watches the rollout. Observed attempts may keep the record for
    /// as long as their streams last.
    pub(super) fn stop_watching(&self) {
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(task) = task.as_ref() {
            task.abort();
        }
    }

    /// Returns how a request that was not taken may use the version under test.
    fn untaken_use(&self, progress: &RolloutProgress) -> CanaryUse {
        let elapsed = progress.elapsed(self.clock.now());
        let is_other_expected = progress.knowledge.is_other_expected();
        select_untaken_use(is_other_expected, elapsed, self.spec.duration)
    }

    /// Reports whether slow streams of the new version should go on at another one.
    pub(super) fn is_taken_back(&self) -> bool {
        let progress = self.progress();
        match progress.state {
            RolloutState::Running => false,
            RolloutState::RolledBack => true,
            RolloutState::Done => progress.withdrawal.is_some() && progress.has_alternative,
        }
    }

    /// Drops the samples that the comparison after the end no longer needs.
    pub(super) fn drop_old_samples(&self) {
        let now = self.clock.now();
        let mut progress = self.progress();
        let current = bake_slice_at(progress.elapsed(now), self.spec.duration);
        drop_old_bake_slices(&mut progress.samples, current);
    }

    /// Returns the time since the rollout began.
    pub(super) fn elapsed(&self) -> ClockTime {
        self.progress().elapsed(self.clock.now())
    }

    /// Records how long the rollout has run by the knowledge of another. A process that was
    /// restarted takes its first samples for the rollout's first ones until then.
    pub(super) fn record_elapsed(&self, elapsed: ClockTime) {
        let now = self.clock.now();
        let duration = self.spec.duration;
        let mut progress = self.progress();
        let assumed = progress.elapsed(now);
        progress.record_elapsed(now, elapsed);
        let actual = progress.elapsed(now);
        // VMs learn of an order one after another, so small differences are usual.
        let is_late = actual.since(assumed).as_millis() * ROLLOUT_SLICES >= duration.as_millis();
        if is_late && progress.state == RolloutState::Running {
            let slice = RolloutSamples::slice_at(actual, duration);
            progress.samples.move_to(slice);
        }
    }

    /// Returns this VM's samples, including the attempts that are open or overdue.
    pub(super) fn snapshot(&self) -> RolloutSamples {
        let now = self.clock.now();
        let progress = self.progress();
        let mut samples = progress.samples.clone();
        for attempt in progress.open.values() {
            let age = now.since(attempt.sent_at);
            let slice = self.slice(&progress, attempt.sent_at);
            let pair = samples.slice(slice);
            let version = match attempt.is_new {
                true => &mut pair.new,
                false => &mut pair.old,
            };
            let route = version.route(&attempt.route);
            match progress.is_overdue(&attempt.route, age) {
                true => route.record_first(age),
                false => route.open += 1,
            }
        }
        samples
    }

    /// Returns the slice of a time on this VM's clock.
    pub(super) fn slice(&self, progress: &RolloutProgress, at: ClockTime) -> u64 {
        let elapsed = progress.elapsed(at);
        match progress.done_at.is_some_and(|done_at| at >= done_at) {
            true => bake_slice_at(elapsed, self.spec.duration),
            false => RolloutSamples::slice_at(elapsed, self.spec.duration),
        }
    }

    /// Takes a request of a route for the new version, if it is allowed.
    pub(super) fn take_canary(&self, route: &str) -> bool {
        let now = self.clock.now();
        let mut progress = self.progress();
        if progress.state != RolloutState::Running || now >= progress.lease_until {
            return false;
        }
        let own_sent = progress.samples.sent_to_new_on(route);
        let priority = progress.spread.priority(route, own_sent);
        let elapsed = progress.elapsed(now);
        let duration = self.spec.duration;
        progress.allowance.try_take(priority, elapsed, duration)
    }

    /// Records how a request ended; `first` is the time to its response or first event.
    pub(super) fn record_outcome(
        &self,
        is_new: bool,
        route: &str,
        customer: Option<&CustomerName>,
        sent_at: ClockTime,
        first: Result<ClockTime, FailureKind>,
    ) {
        let mut progress = self.progress();
        let slice = self.slice(&progress, sent_at);
        let samples = progress.version(slice, is_new).route(route);
        match first {
            Ok(first) => samples.record_first(first),
            Err(kind) => samples.record_failure(kind),
        }
        if let Some(customer) = customer {
            let samples = &mut progress.samples;
            samples.record_customer(customer, is_new, first.is_err());
        }
    }

    /// Takes over the state and the samples of a record of the same order.
    pub(super) fn take_over(&self, previous: &RolloutRecord) {
        let now = self.clock.now();
        let previous = previous.progress();
        let mut progress = self.progress();
        progress.state = previous.state;
        progress.done_at = previous.done_at;
        progress.withdrawal = previous.withdrawal;
        progress.samples = previous.samples.clone();
        progress.allowance = previous.allowance.clone();
        progress.has_reserve = previous.has_reserve;
        progress.needs_reserve = previous.needs_reserve;
        progress.knowledge = previous.knowledge;
        progress.rejected = previous.rejected.clone();
        progress.elapsed_before = previous.elapsed(now);
    }

    /// Applies the word of a hub.
    pub(super) fn apply_word(&self, word: RolloutWord) {
        match word.is_stored && word.state != RolloutState::Running {
            true => self.record_stored_end(word.state),
            false => self.record_state(word.state),
        }
        if word.is_withdrawn {
            self.record_withdrawal(WithdrawalScope::Fleet);
        }
        self.record_elapsed(ClockTime::from_millis(word.elapsed_ms));
        let now = self.clock.now();
        let mut progress = self.progress();
        if word.has_quorum {
            progress.lease_until = now + self.times.lease;
        }
        progress.spread = CanarySpread::new(&word.sent, &word.requests);
        progress.knowledge.is_expected_by_hub = word.is_other_expected;
        progress.rejected.merge(&word.rejected, &self.spec.to);
        progress.word = word;
    }
}
