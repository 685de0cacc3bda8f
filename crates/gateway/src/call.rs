//! Forwards an application call to an upstream, and retries it at others if it
//! may be retried.
//!
//! An attempt that is slow goes on while another upstream is tried, because that one may
//! refuse. The first answer is used, and the other attempts are dropped.

use crate::call_attempt::{
    run_attempt, to_caller_response, AttemptOutcome, EndedAttempt, OpenAttempt,
};
use crate::call_guard::CallGuard;
use crate::caller_response::CallerResponse;
use crate::counters;
use crate::exchange::CallerRequest;
use crate::gateway_state::{GatewayState, ServiceTraffic};
use crate::platform_api::WireProtocol;
use crate::refusal::{fail, refuse, FailureReason, NotRunReason, RunTracker};
use crate::rollouts::{AttemptInfo, AttemptProbe, CanaryTicket};
use crate::upstreams::{UpstreamQuery, UpstreamState};
use futures::stream::{FuturesUnordered, StreamExt};
use skylarkshed_core::{ClockTime, UpstreamName};
use skylarkshed_policy::{is_worth_attempt, outage_delay, UpstreamHealth, VersionFilter};
use std::future::Future;
use std::sync::Arc;

/// How many upstreams may refuse a connection before the call is refused.
const MAX_UNSENT: usize = 4;
/// The `Retry-After` time of a refusal: the time of a few calls, in which slots
/// become free.
const RETRY_AFTER: ClockTime = ClockTime::from_millis(40);

/// What is done next for a call.
enum NextStep {
    Respond(CallerResponse),
    Retry,
    /// Wait for the attempts that have not ended.
    Wait,
}

/// The attempts to serve one call.
struct CallAttempts<'a> {
    state: &'a GatewayState,
    traffic: Arc<ServiceTraffic>,
    request: &'a CallerRequest,
    guard: CallGuard,
    run_tracker: RunTracker,
    tried: Vec<UpstreamName>,
    /// How many upstreams may have received the call, without `current`.
    sends: u32,
    unsent: usize,
    /// The last attempt, until it ends or is slow.
    current: Option<OpenAttempt>,
    /// Whether the current attempt is slow and no other upstream is left.
    is_slow_alone: bool,
    /// Which versions the next attempt may be sent to.
    version_filter: VersionFilter,
    /// The permission to send it to the version under test.
    ticket: Option<CanaryTicket>,
    /// When the next retry was taken from the budget, if it was already.
    reserved_at: Option<ClockTime>,
    /// The response if no further attempt is made.
    fallback: Option<CallerResponse>,
}

/// Forwards a call and returns the response for its caller.
pub(crate) async fn serve_call<P: WireProtocol>(
    state: &Arc<GatewayState>,
    request: &CallerRequest,
) -> CallerResponse {
    let traffic = state.traffic(&request.service);
    traffic.budget.record_request(state.clock.now());
    let mut attempts = CallAttempts {
        state,
        traffic,
        request,
        guard: CallGuard::new(state.clone(), request),
        run_tracker: RunTracker::default(),
        tried: Vec::new(),
        sends: 0,
        unsent: 0,
        current: None,
        is_slow_alone: false,
        version_filter: VersionFilter::default(),
        ticket: None,
        reserved_at: None,
        fallback: None,
    };
    let mut open = FuturesUnordered::new();
    loop {
        attempts.update_version_filter();
        let blocked_for = attempts.guard.blocked_for();
        if let Some(retry_after) = blocked_for.filter(|_| open.is_empty()) {
            return attempts.finish_blocked(retry_after);
        }
        let upstream = attempts.next_upstream().filter(|_| blocked_for.is_none());
        match upstream.filter(|upstream| attempts.is_worth_attempt(upstream)) {
            Some(upstream) => {
                let (attempt, probe) = attempts.start(upstream);
                open.push(run_attempt::<P>(state, request, attempt, probe));
            }
            None if open.is_empty() => return attempts.finish_unserved(NotRunReason::NoUpstream),
            None => {}
        }
        if let Some(response) = attempts.wait_for(&mut open).await {
            return response;
        }
    }
}

impl CallAttempts<'_> {
    /// Determines which versions the next attempt may be sent to.
    fn update_version_filter(&mut self) {
        let request = self.request;
        let is_first = self.tried.is_empty();
        let rollouts = &self.state.rollouts;
        let upstreams = &self.state.upstreams;
        let route = &request.route.name;
        let next = rollouts.attempt_rule(&request.service, upstreams, route, is_first);
        (self.version_filter, self.ticket) = (next.filter, next.ticket);
    }

    /// Starts to observe an attempt for the comparison of versions.
    fn observe(&mut self, upstream: &UpstreamState) -> AttemptProbe {
        let request = self.request;
        let info = AttemptInfo {
            version: &upstream.record.version,
            route: &request.route.name,
            customer: request.customer.as_ref(),
            is_first: self.sends == 0,
            is_timed: true,
        };
        let rollouts = &self.state.rollouts;
        rollouts.start_attempt(&request.service, &info, self.ticket.take())
    }

    fn next_upstream(&self) -> Option<Arc<UpstreamState>> {
        self.state.upstreams.choose(&UpstreamQuery {
            service: &self.request.service,
            zone: &self.state.settings.zone,
            avoid: &self.tried,
            avoid_zones: &[],
            version_filter: &self.version_filter,
            prompt_hash: None,
        })
    }

    fn is_worth_attempt(&self, upstream: &UpstreamState) -> bool {
        let request = self.request;
        let health = upstream.health(self.state.clock.now());
        let elapsed = request.deadline.elapsed();
        is_worth_attempt(health, self.unsent, elapsed, request.route.target_latency)
    }

    fn start(&mut self, upstream: Arc<UpstreamState>) -> (OpenAttempt, AttemptProbe) {
        let probe = self.observe(&upstream);
        let attempt = OpenAttempt {
            number: self.tried.len(),
            upstream,
            started: self.state.clock.now(),
            is_first: self.sends == 0,
        };
        self.tried.push(attempt.upstream.name().clone());
        self.current = Some(attempt.clone());
        self.is_slow_alone = false;
        (attempt, probe)
    }

    /// Waits for open attempts; returns the response, or none if the call is retried.
    async fn wait_for<F>(&mut self, open: &mut FuturesUnordered<F>) -> Option<CallerResponse>
    where
        F: Future<Output = EndedAttempt>,
    {
        loop {
            let deadline = &self.request.deadline;
            let limit = self.time_until_slow().min(deadline.remaining());
            let next = tokio::select! {
                biased;
                Some(ended) = open.next() => self.handle_end(ended, open.is_empty()),
                () = tokio::time::sleep(limit.to_duration()) => match deadline.is_expired() {
                    true => NextStep::Respond(self.expire()),
                    false => self.handle_slowness(),
                },
            };
            match next {
                NextStep::Respond(response) => return Some(response),
                NextStep::Retry => return None,
                NextStep::Wait => {}
            }
        }
    }

    /// Returns the time after which the call may be retried beside the current attempt.
    fn time_until_slow(&self) -> ClockTime {
        let route = &self.request.route;
        let may_retry = route.kind.is_retryable() && self.sends + 1 < route.max_attempts;
        match &self.current {
            Some(current) if may_retry && !self.is_slow_alone => {
                let timeout = self.traffic.latency.attempt_timeout(route.target_latency);
                timeout.since(self.state.clock.now().since(current.started))
            }
            _ => ClockTime::NEVER,
        }
    }

    /// Lets the current attempt, which is slow, go on beside another one.
    fn handle_slowness(&mut self) -> NextStep {
        if self.current.is_none() || !self.can_retry_elsewhere() {
            self.is_slow_alone = true;
            return NextStep::Wait;
        }
        self.count_as_failed(FailureReason::Timeout);
        self.reserved_at = None;
        counters::count_retry(FailureReason::Timeout.label());
        NextStep::Retry
    }

    /// Ends the call at its deadline.
    fn expire(&mut self) -> CallerResponse {
        self.count_as_failed(FailureReason::Timeout);
        self.finish_unserved(NotRunReason::UpstreamsBusy)
    }

    /// Counts the current attempt as failed, although its upstream may still respond.
    fn count_as_failed(&mut self, reason: FailureReason) {
        let Some(current) = self.current.take() else {
            return;
        };
        current.upstream.mark_suspect(self.state.clock.now());
        self.record_outcome(&current, &AttemptOutcome::Failed(reason));
        self.sends += 1;
        self.run_tracker.mark_may_have_run();
        self.fallback = Some(fail(reason));
    }

    /// Reports whether another healthy upstream is left and the budget allows a
    /// retry, which it then reserves.
    fn can_retry_elsewhere(&mut self) -> bool {
        let now = self.state.clock.now();
        let other = self.next_upstream();
        let is_healthy = other.is_some_and(|other| other.health(now) == UpstreamHealth::Healthy);
        is_healthy && self.reserve_retry()
    }

    /// Takes the next retry from the budget, unless that was already done.
    fn reserve_retry(&mut self) -> bool {
        let now = self.state.clock.now();
        if self.reserved_at.is_none() && self.traffic.budget.try_retry(now) {
            self.reserved_at = Some(now);
        }
        self.reserved_at.is_some()
    }

    /// Handles the end of an attempt; `is_last` tells that no other one is open.
    fn handle_end(&mut self, ended: EndedAttempt, is_last: bool) -> NextStep {
        let EndedAttempt { attempt, outcome } = ended;
        let is_current = self.take_current(attempt.number);
        let label = outcome.label();
        let is_unsent = matches!(outcome, AttemptOutcome::Unsent);
        match is_current {
            true => self.record_outcome(&attempt, &outcome),
            // It was counted when it was slow.
            false => self.log_outcome(&attempt.upstream, &outcome),
        }
        match outcome {
            AttemptOutcome::Response(parts, body) => {
                self.guard.record_response();
                let time = self.state.clock.now().since(attempt.started);
                if parts.status.is_success() && is_current {
                    attempt.upstream.mark_healthy();
                }
                self.traffic.latency.record(time);
                return NextStep::Respond(to_caller_response(parts, body));
            }
            AttemptOutcome::UpstreamError(parts, body) => {
                self.guard.record_response();
                self.run_tracker.mark_may_have_run();
                self.fallback = Some(to_caller_response(parts, body));
            }
            AttemptOutcome::Failed(reason) => {
                if reason == FailureReason::UpstreamBroke {
                    self.guard.examine_loss(attempt.upstream.clone());
                }
                self.run_tracker.mark_may_have_run();
                self.fallback = Some(fail(reason));
            }
            // The fallback of an earlier attempt stays valid.
            AttemptOutcome::NotRun | AttemptOutcome::Unsent => {}
        }
        match (is_current, is_unsent) {
            (true, true) => self.unsent += 1,
            (true, false) => self.sends += 1,
            (false, _) if !is_last => return NextStep::Wait,
            (false, _) => {}
        }
        self.retry_or_finish(label, is_last)
    }

    /// Takes the current attempt if it has this number; reports whether it has.
    fn take_current(&mut self, number: usize) -> bool {
        let is_current = |current: &mut OpenAttempt| current.number == number;
        self.current.take_if(is_current).is_some()
    }

    /// Retries the call after a failed attempt, if that is allowed.
    fn retry_or_finish(&mut self, label: &'static str, is_last: bool) -> NextStep {
        let request = self.request;
        let can_retry = request.route.kind.is_retryable() || !self.run_tracker.may_have_run();
        let has_attempts_left = self.sends < request.route.max_attempts && self.unsent < MAX_UNSENT;
        let reason = match can_retry && has_attempts_left && !request.deadline.is_expired() {
            false => Some(NotRunReason::UpstreamsBusy),
            true if self.sends > 0 && !self.reserve_retry() => Some(NotRunReason::RetryBudget),
            true => None,
        };
        match reason {
            None => {
                self.reserved_at = None;
                counters::count_retry(label);
                NextStep::Retry
            }
            Some(reason) if is_last => NextStep::Respond(self.finish_unserved(reason)),
            Some(_) => NextStep::Wait,
        }
    }

    /// Ends the call without a success.
    fn finish_unserved(&mut self, reason: NotRunReason) -> CallerResponse {
        if let Some(taken_at) = self.reserved_at.take() {
            let now = self.state.clock.now();
            self.traffic.budget.refund(taken_at, now);
        }
        if let Some(response) = self.fallback.take() {
            return response;
        }
        match self.run_tracker.proof() {
            Some(proof) => match self.state.deferral_of(self.request) {
                Some(delay) => refuse(proof, NotRunReason::UpstreamsDeferred, delay),
                None => refuse(proof, reason, self.retry_after(reason)),
            },
            None => fail(FailureReason::UpstreamBroke),
        }
    }

    /// Ends a call that must not be sent, because upstreams have ended under its like.
    fn finish_blocked(&mut self, retry_after: ClockTime) -> CallerResponse {
        match self.run_tracker.proof() {
            Some(proof) => refuse(proof, NotRunReason::PromptBlocked, retry_after),
            None => self
                .fallback
                .take()
                .unwrap_or_else(|| fail(FailureReason::PromptBlocked)),
        }
    }

    fn retry_after(&self, reason: NotRunReason) -> ClockTime {
        let request = self.request;
        match reason {
            NotRunReason::NoUpstream => {
                let time_left = request.deadline.remaining();
                outage_delay(request.route.target_latency, time_left, rand::random())
            }
            _ => RETRY_AFTER,
        }
    }

    /// Logs the outcome of an attempt and counts it for its upstream's version.
    fn record_outcome(&self, attempt: &OpenAttempt, outcome: &AttemptOutcome) {
        let request = self.request;
        let upstream = &attempt.upstream;
        if let Some(kind) = outcome.failure_kind().filter(|_| attempt.is_first) {
            self.state.rollouts.record_failure(
                &request.service,
                &upstream.record.version,
                &request.route.name,
                request.customer.as_ref(),
                kind,
            );
        }
        self.log_outcome(upstream, outcome);
    }

    fn log_outcome(&self, upstream: &UpstreamState, outcome: &AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::Response(..)) {
            return;
        }
        log::info!(
            request = self.request.id(),
            upstream:% = upstream.name(),
            zone:% = upstream.record.zone,
            cause = outcome.label(),
            sends = self.sends,
            after_ms = self.request.deadline.elapsed().as_millis();
            "attempt failed"
        );
    }
}
