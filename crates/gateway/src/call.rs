//! Forwards an application call to an upstream, and retries it at others if it
//! may be retried.

use crate::caller_response::{CallerResponse, ResponseBody};
use crate::counters;
use crate::exchange::{send, CallerRequest, SendError, UpstreamResponse};
use crate::gateway_state::{GatewayState, ServiceTraffic};
use crate::platform_api::WireProtocol;
use crate::refusal::{fail, refuse, FailureReason, NotRunReason, RunTracker};
use crate::rollouts::{AttemptInfo, AttemptProbe, CanaryTicket};
use crate::upstreams::{UpstreamQuery, UpstreamState};
use bytes::Bytes;
use http::{response, Response};
use skylarkshed_core::{ClockTime, UpstreamName};
use skylarkshed_policy::{is_worth_attempt, outage_delay, UpstreamHealth, VersionRule};
use std::future::Future;
use std::pin::{pin, Pin};
use std::sync::Arc;

/// How many upstreams may refuse a connection before the call is refused.
const MAX_UNSENT: usize = 4;
/// The `Retry-After` time of a refusal: the time of a few calls, in which slots
/// become free.
const RETRY_AFTER: ClockTime = ClockTime::from_millis(40);

/// The outcome of one attempt.
enum AttemptOutcome {
    /// A response for the caller.
    Response(response::Parts, Bytes),
    /// An error response of the upstream; another upstream may succeed.
    UpstreamError(response::Parts, Bytes),
    /// Nothing was sent.
    Unsent,
    /// The upstream reports that it did not run the call.
    NotRun,
    /// The call may have run.
    Failed(FailureReason),
}

impl AttemptOutcome {
    const fn label(&self) -> &'static str {
        match self {
            AttemptOutcome::Response(..) => "answer",
            AttemptOutcome::UpstreamError(..) => "upstream_error",
            AttemptOutcome::Unsent => "unsent",
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::Failed(reason) => reason.label(),
        }
    }
}

/// The attempts to serve one call.
struct CallAttempts<'a> {
    state: &'a GatewayState,
    traffic: Arc<ServiceTraffic>,
    request: &'a CallerRequest,
    run_tracker: RunTracker,
    tried: Vec<UpstreamName>,
    sends: u32,
    unsent: usize,
    /// Which versions the next attempt may be sent to.
    version_rule: VersionRule,
    /// The permission to send it to the version under test.
    ticket: Option<CanaryTicket>,
    /// Whether the next retry has already been taken from the budget.
    is_retry_reserved: bool,
    /// The response if no further attempt is made.
    fallback: Option<CallerResponse>,
}

/// Forwards a call and returns the response for its caller.
pub(crate) async fn serve_call<P: WireProtocol>(
    state: &GatewayState,
    request: &CallerRequest,
) -> CallerResponse {
    let traffic = state.traffic(&request.service);
    traffic.budget.record_request(state.clock.now());
    let mut attempts = CallAttempts {
        state,
        traffic,
        request,
        run_tracker: RunTracker::default(),
        tried: Vec::new(),
        sends: 0,
        unsent: 0,
        version_rule: VersionRule::Any,
        ticket: None,
        is_retry_reserved: false,
        fallback: None,
    };
    loop {
        attempts.update_version_rule();
        let upstream = attempts.next_upstream();
        let Some(upstream) = upstream.filter(|upstream| attempts.is_worth_attempt(upstream)) else {
            return attempts.finish_unserved(NotRunReason::NoUpstream);
        };
        let outcome = attempts.send_to::<P>(&upstream).await;
        attempts.record_outcome(&upstream, &outcome);
        if let Some(response) = attempts.handle_outcome(outcome) {
            return response;
        }
    }
}

impl CallAttempts<'_> {
    /// Determines which versions the next attempt may be sent to.
    fn update_version_rule(&mut self) {
        let request = self.request;
        let is_first = self.tried.is_empty();
        let rollouts = &self.state.rollouts;
        let next = rollouts.attempt_rule(&request.service, &request.route.name, is_first);
        (self.version_rule, self.ticket) = (next.rule, next.ticket);
    }

    /// Starts to observe an attempt for the comparison of versions.
    fn observe(&mut self, upstream: &UpstreamState) -> AttemptProbe {
        let request = self.request;
        let info = AttemptInfo {
            version: &upstream.record.version,
            route: &request.route.name,
            customer: request.customer.as_ref(),
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
            version_rule: &self.version_rule,
            prompt_hash: None,
        })
    }

    fn is_worth_attempt(&self, upstream: &UpstreamState) -> bool {
        let request = self.request;
        let health = upstream.health(self.state.clock.now());
        let elapsed = request.deadline.elapsed();
        is_worth_attempt(health, self.unsent, elapsed, request.route.target_latency)
    }

    async fn send_to<P: WireProtocol>(&mut self, upstream: &UpstreamState) -> AttemptOutcome {
        self.tried.push(upstream.name().clone());
        let mut probe = self.observe(upstream);
        let started = self.state.clock.now();
        let options = self.request.send_options(upstream);
        let (state, request) = (self.state, self.request);
        let exchange = async {
            let mut response = send::<P>(state, request, upstream, &options).await?;
            let body = response.collect().await?;
            Ok((response, body))
        };
        let result = self.wait_for(pin!(exchange)).await;
        match result {
            Some(Ok((response, body))) => {
                let outcome = classify_response(upstream, response, body);
                if matches!(outcome, AttemptOutcome::Response(..)) {
                    let time = self.state.clock.now().since(started);
                    self.traffic.latency.record(time);
                    probe.record_event();
                }
                outcome
            }
            Some(Err(SendError::Unsent)) => AttemptOutcome::Unsent,
            Some(Err(SendError::Broken)) => {
                upstream.mark_suspect(self.state.clock.now());
                AttemptOutcome::Failed(match request.deadline.is_expired() {
                    true => FailureReason::Timeout,
                    false => FailureReason::UpstreamBroke,
                })
            }
            None => {
                upstream.mark_suspect(self.state.clock.now());
                AttemptOutcome::Failed(FailureReason::Timeout)
            }
        }
    }

    /// Waits for an attempt until the deadline, or only until its timeout if the
    /// call can be retried at another upstream.
    async fn wait_for<F: Future>(&mut self, mut exchange: Pin<&mut F>) -> Option<F::Output> {
        let request = self.request;
        let (deadline, route) = (&request.deadline, &request.route);
        if route.kind.is_retryable() && self.sends + 1 < route.max_attempts {
            let timeout = self.traffic.latency.attempt_timeout(route.target_latency);
            let result = deadline.run_within(timeout, exchange.as_mut()).await;
            if result.is_some() || self.can_retry_elsewhere() {
                return result;
            }
        }
        deadline.run_within(ClockTime::NEVER, exchange).await
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
        self.is_retry_reserved =
            self.is_retry_reserved || self.traffic.budget.try_retry(self.state.clock.now());
        self.is_retry_reserved
    }

    /// Handles the outcome of an attempt; returns the response, or none if the call is
    /// retried.
    fn handle_outcome(&mut self, outcome: AttemptOutcome) -> Option<CallerResponse> {
        let label = outcome.label();
        let is_retryable = self.request.route.kind.is_retryable();
        match outcome {
            AttemptOutcome::Response(parts, body) => return Some(to_caller_response(parts, body)),
            AttemptOutcome::UpstreamError(parts, body) => {
                self.sends += 1;
                self.run_tracker.mark_may_have_run();
                self.fallback = Some(to_caller_response(parts, body));
            }
            AttemptOutcome::Failed(reason) => {
                self.sends += 1;
                self.run_tracker.mark_may_have_run();
                self.fallback = Some(fail(reason));
            }
            // The fallback of an earlier attempt stays valid.
            AttemptOutcome::NotRun => self.sends += 1,
            AttemptOutcome::Unsent => self.unsent += 1,
        }
        let can_retry = is_retryable || !self.run_tracker.may_have_run();
        let has_attempts_left =
            self.sends < self.request.route.max_attempts && self.unsent < MAX_UNSENT;
        if !can_retry || !has_attempts_left || self.request.deadline.is_expired() {
            return Some(self.finish_unserved(NotRunReason::UpstreamsBusy));
        }
        if self.sends > 0 && !self.reserve_retry() {
            return Some(self.finish_unserved(NotRunReason::RetryBudget));
        }
        self.is_retry_reserved = false;
        counters::count_retry(label);
        None
    }

    /// Ends the call without a success.
    fn finish_unserved(&mut self, reason: NotRunReason) -> CallerResponse {
        if std::mem::take(&mut self.is_retry_reserved) {
            self.traffic.budget.refund(self.state.clock.now());
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
    fn record_outcome(&self, upstream: &UpstreamState, outcome: &AttemptOutcome) {
        let elapsed = self.request.deadline.elapsed();
        let is_failure = matches!(
            outcome,
            AttemptOutcome::UpstreamError(..) | AttemptOutcome::Failed(_)
        );
        if is_failure {
            let request = self.request;
            self.state.rollouts.record_failure(
                &request.service,
                &upstream.record.version,
                &request.route.name,
                request.customer.as_ref(),
            );
        }
        if !matches!(outcome, AttemptOutcome::Response(..)) {
            log::info!(
                request = self.request.id(),
                upstream:% = upstream.name(),
                zone:% = upstream.record.zone,
                cause = outcome.label(),
                sends = self.sends,
                after_ms = elapsed.as_millis();
                "attempt failed"
            );
        }
    }
}

/// Classifies a complete response.
fn classify_response(
    upstream: &UpstreamState,
    response: UpstreamResponse,
    body: Bytes,
) -> AttemptOutcome {
    if response.head.is_not_run || response.head.is_misdirected {
        return AttemptOutcome::NotRun;
    }
    if response.is_success() {
        upstream.mark_healthy();
        return AttemptOutcome::Response(response.parts, body);
    }
    let status = response.parts.status;
    // An unsigned failure does not come from the upstream, and an unsigned success
    // must not be forwarded.
    if !response.head.is_signed || status.is_success() {
        counters::count_bad_response("unsigned");
        return AttemptOutcome::Failed(FailureReason::BadResponse);
    }
    match status.is_server_error() {
        true => AttemptOutcome::UpstreamError(response.parts, body),
        false => AttemptOutcome::Response(response.parts, body),
    }
}

fn to_caller_response(parts: response::Parts, body: Bytes) -> CallerResponse {
    Response::from_parts(parts, ResponseBody::complete(body))
}
