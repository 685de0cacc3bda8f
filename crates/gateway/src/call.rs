//! Carries a quick call to an upstream, and to another if it may be repeated.

use crate::answer::{AnswerBody, CallerAnswer};
use crate::counters;
use crate::exchange::{send, CallerRequest, LiveAnswer, SendFailure};
use crate::gateway_state::{GatewayState, ServiceTraffic};
use crate::platform_api::WireProtocol;
use crate::refusal::{fail, refuse, FailureReason, NotRunReason, RunEvidence};
use crate::upstreams::{UpstreamQuery, UpstreamState};
use bytes::Bytes;
use http::{response, Response};
use skylarkshed_core::{ClockTime, UpstreamName};
use skylarkshed_policy::UpstreamHealth;
use std::future::Future;
use std::pin::{pin, Pin};
use std::sync::Arc;

/// Upstreams that may refuse a connection before the caller is told so.
const MOST_UNSENT: usize = 4;
/// When a caller is to come back after a refusal: a few calls' time, in which
/// places become free.
const RETRY_PAUSE: ClockTime = ClockTime::from_millis(40);

/// What a try brought.
enum TryOutcome {
    /// An answer for the caller.
    Answer(response::Parts, Bytes),
    /// The upstream's own failure, which another may do better.
    UpstreamError(response::Parts, Bytes),
    /// Nothing was sent.
    Unsent,
    /// The upstream says that it did not run the call.
    NotRun,
    /// The call may have run.
    Lost(FailureReason),
}

impl TryOutcome {
    const fn label(&self) -> &'static str {
        match self {
            TryOutcome::Answer(..) => "answer",
            TryOutcome::UpstreamError(..) => "upstream_error",
            TryOutcome::Unsent => "unsent",
            TryOutcome::NotRun => "not_run",
            TryOutcome::Lost(reason) => reason.label(),
        }
    }
}

/// The tries of one call.
struct CallTries<'a> {
    state: &'a GatewayState,
    traffic: Arc<ServiceTraffic>,
    request: &'a CallerRequest,
    evidence: RunEvidence,
    tried: Vec<UpstreamName>,
    sends: u32,
    unsent: usize,
    /// The budget's part for the next send has been taken.
    is_retry_paid: bool,
    /// What the caller is told if no further try is made.
    fallback: Option<CallerAnswer>,
}

/// Carries a call and returns the answer for its caller.
pub(crate) async fn serve_call<D: WireProtocol>(
    state: &GatewayState,
    request: &CallerRequest,
) -> CallerAnswer {
    let traffic = state.traffic(&request.service);
    traffic.budget.record_request(state.clock.now());
    let mut tries = CallTries {
        state,
        traffic,
        request,
        evidence: RunEvidence::default(),
        tried: Vec::new(),
        sends: 0,
        unsent: 0,
        is_retry_paid: false,
        fallback: None,
    };
    loop {
        let Some(upstream) = tries.next_upstream() else {
            return tries.give_up(NotRunReason::NoUpstream);
        };
        let outcome = tries.try_upstream::<D>(&upstream).await;
        tries.note(&upstream, &outcome);
        if let Some(answer) = tries.settle(outcome) {
            return answer;
        }
    }
}

impl CallTries<'_> {
    fn next_upstream(&self) -> Option<Arc<UpstreamState>> {
        self.state.upstreams.choose(&UpstreamQuery {
            service: &self.request.service,
            zone: &self.state.settings.zone,
            avoid: &self.tried,
            avoid_zones: &[],
            versions: &self.request.versions,
        })
    }

    async fn try_upstream<D: WireProtocol>(&mut self, upstream: &UpstreamState) -> TryOutcome {
        self.tried.push(upstream.name().clone());
        let begun = self.state.clock.now();
        let order = self.request.order(upstream);
        let (state, request) = (self.state, self.request);
        let exchange = async {
            let mut answer = send::<D>(state, request, upstream, &order).await?;
            let body = answer.collect().await?;
            Ok((answer, body))
        };
        let done = self.wait_for(pin!(exchange)).await;
        match done {
            Some(Ok((answer, body))) => {
                let outcome = judge(upstream, answer, body);
                if matches!(outcome, TryOutcome::Answer(..)) {
                    let time = self.state.clock.now().since(begun);
                    self.traffic.pace.record(time);
                }
                outcome
            }
            Some(Err(SendFailure::Unsent)) => TryOutcome::Unsent,
            Some(Err(SendFailure::Broken)) => TryOutcome::Lost(FailureReason::UpstreamBroke),
            None => {
                upstream.suspect(self.state.clock.now());
                TryOutcome::Lost(FailureReason::Timeout)
            }
        }
    }

    /// Waits for a try; gives it up at the deadline, or sooner if it is slow
    /// and another upstream may get the call.
    async fn wait_for<F: Future>(&mut self, mut exchange: Pin<&mut F>) -> Option<F::Output> {
        let request = self.request;
        let (deadline, route) = (&request.deadline, &request.route);
        if route.kind.is_retryable() && self.sends + 1 < route.max_attempts {
            let patience = self.traffic.pace.attempt_timeout(route.target_latency);
            let done = deadline.bound(patience, exchange.as_mut()).await;
            if done.is_some() || self.may_go_elsewhere() {
                return done;
            }
        }
        deadline.bound(ClockTime::NEVER, exchange).await
    }

    /// Tells whether a sound upstream is left that the budget lets get the call.
    fn may_go_elsewhere(&mut self) -> bool {
        let now = self.state.clock.now();
        let other = self.next_upstream();
        let is_sound = other.is_some_and(|other| other.health(now) == UpstreamHealth::Healthy);
        is_sound && self.pay_retry()
    }

    /// Takes the budget's part for the next send, once.
    fn pay_retry(&mut self) -> bool {
        self.is_retry_paid =
            self.is_retry_paid || self.traffic.budget.try_retry(self.state.clock.now());
        self.is_retry_paid
    }

    /// Settles a try's outcome; returns the answer unless another try is made.
    fn settle(&mut self, outcome: TryOutcome) -> Option<CallerAnswer> {
        let label = outcome.label();
        let is_retryable = self.request.route.kind.is_retryable();
        match outcome {
            TryOutcome::Answer(parts, body) => return Some(to_answer(parts, body)),
            TryOutcome::UpstreamError(parts, body) => {
                self.sends += 1;
                self.evidence.note_may_have_run();
                self.fallback = Some(to_answer(parts, body));
            }
            TryOutcome::Lost(reason) => {
                self.sends += 1;
                self.evidence.note_may_have_run();
                self.fallback = Some(fail(reason));
            }
            // What an earlier try brought still stands.
            TryOutcome::NotRun => self.sends += 1,
            TryOutcome::Unsent => self.unsent += 1,
        }
        let may_go_on = is_retryable || !self.evidence.may_have_run();
        let has_tries = self.sends < self.request.route.max_attempts && self.unsent < MOST_UNSENT;
        if !may_go_on || !has_tries || self.request.deadline.is_over() {
            return Some(self.give_up(NotRunReason::UpstreamsBusy));
        }
        if self.sends > 0 && !self.pay_retry() {
            return Some(self.give_up(NotRunReason::RetryBudget));
        }
        self.is_retry_paid = false;
        counters::count_retry(label);
        None
    }

    /// Ends the call without a success.
    fn give_up(&mut self, reason: NotRunReason) -> CallerAnswer {
        if std::mem::take(&mut self.is_retry_paid) {
            self.traffic.budget.refund(self.state.clock.now());
        }
        if let Some(answer) = self.fallback.take() {
            return answer;
        }
        match self.evidence.proof() {
            Some(proof) => refuse(proof, reason, RETRY_PAUSE),
            None => fail(FailureReason::UpstreamBroke),
        }
    }

    /// Notes a try's outcome, also as evidence of its upstream's version.
    fn note(&self, upstream: &UpstreamState, outcome: &TryOutcome) {
        let passed = self.request.deadline.passed();
        let time = match outcome {
            TryOutcome::Answer(..) => Some(Some(passed)),
            TryOutcome::UpstreamError(..) | TryOutcome::Lost(_) => Some(None),
            TryOutcome::Unsent | TryOutcome::NotRun => None,
        };
        if let Some(time) = time {
            let request = self.request;
            self.state.rollouts.record(
                &request.service,
                &upstream.record.version,
                &request.route.name,
                request.customer.as_ref(),
                time,
            );
        }
        if !matches!(outcome, TryOutcome::Answer(..)) {
            log::info!(
                request = self.request.id(),
                upstream:% = upstream.name(),
                zone:% = upstream.record.zone,
                cause = outcome.label(),
                sends = self.sends,
                after_ms = passed.as_millis();
                "try failed"
            );
        }
    }
}

/// Judges a whole response.
fn judge(upstream: &UpstreamState, answer: LiveAnswer, body: Bytes) -> TryOutcome {
    if answer.head.is_not_run || answer.head.is_misdirected {
        return TryOutcome::NotRun;
    }
    if answer.is_success() {
        upstream.trust();
        return TryOutcome::Answer(answer.parts, body);
    }
    let status = answer.parts.status;
    // A failure without a signature is not the upstream's, and a success
    // without one is not to be handed on.
    if !answer.head.is_signed || status.is_success() {
        counters::count_bad_answer("unsigned");
        return TryOutcome::Lost(FailureReason::BadAnswer);
    }
    match status.is_server_error() {
        true => TryOutcome::UpstreamError(answer.parts, body),
        false => TryOutcome::Answer(answer.parts, body),
    }
}

fn to_answer(parts: response::Parts, body: Bytes) -> CallerAnswer {
    Response::from_parts(parts, AnswerBody::whole(body))
}
