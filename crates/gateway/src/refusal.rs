//! What a caller is told when its request is not served.

use crate::answer::{AnswerBody, CallerAnswer};
use crate::counters;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use skylarkshed_core::{ClockTime, UnsentCall};

const PROBLEM_TYPE: &str = "application/problem+json";

/// Proof that no upstream ran a request or ever will.
///
/// It comes from a request of which nothing was sent, or from the word of each
/// upstream that it was sent to.
#[derive(Debug)]
pub(crate) struct NotRunProof(());

impl From<UnsentCall> for NotRunProof {
    fn from(_: UnsentCall) -> Self {
        NotRunProof(())
    }
}

/// Collects what the sends of one request prove.
#[derive(Debug, Default)]
pub(crate) struct RunEvidence {
    may_have_run: bool,
}

impl RunEvidence {
    /// Notes a send whose upstream did not say that it did not run the request.
    pub(crate) fn note_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    pub(crate) fn proof(&self) -> Option<NotRunProof> {
        (!self.may_have_run).then_some(NotRunProof(()))
    }
}

/// Why a request is refused; no upstream ran it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NotRunReason {
    NotReady,
    StaleConfig,
    Leaving,
    NoUpstream,
    UpstreamsBusy,
    RetryBudget,
    SlowRequest,
}

impl NotRunReason {
    pub(crate) const fn label(self) -> &'static str {
        match self {
            NotRunReason::NotReady => "not_ready",
            NotRunReason::StaleConfig => "stale_config",
            NotRunReason::Leaving => "leaving",
            NotRunReason::NoUpstream => "no_upstream",
            NotRunReason::UpstreamsBusy => "upstreams_busy",
            NotRunReason::RetryBudget => "retry_budget",
            NotRunReason::SlowRequest => "slow_request",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            NotRunReason::SlowRequest => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Why a request is not proper.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BadRequestReason {
    Malformed,
    BrokenBody,
    BodyTooLong,
    UnknownKey,
    UnknownRoute,
}

impl BadRequestReason {
    pub(crate) const fn label(self) -> &'static str {
        match self {
            BadRequestReason::Malformed => "malformed",
            BadRequestReason::BrokenBody => "broken_body",
            BadRequestReason::BodyTooLong => "body_too_long",
            BadRequestReason::UnknownKey => "unknown_key",
            BadRequestReason::UnknownRoute => "unknown_route",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            BadRequestReason::Malformed | BadRequestReason::BrokenBody => StatusCode::BAD_REQUEST,
            BadRequestReason::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BadRequestReason::UnknownKey => StatusCode::UNAUTHORIZED,
            BadRequestReason::UnknownRoute => StatusCode::NOT_FOUND,
        }
    }
}

/// Why a request failed that may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FailureReason {
    UpstreamBroke,
    BadAnswer,
    Timeout,
}

impl FailureReason {
    pub(crate) const fn label(self) -> &'static str {
        match self {
            FailureReason::UpstreamBroke => "upstream_broke",
            FailureReason::BadAnswer => "bad_answer",
            FailureReason::Timeout => "timeout",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            FailureReason::Timeout => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}

/// Refuses a request that no upstream ran, and says when to come back.
pub(crate) fn refuse(
    _proof: NotRunProof,
    reason: NotRunReason,
    retry_after: ClockTime,
) -> CallerAnswer {
    let mut answer = problem(reason.status(), reason.label(), "not_run");
    let seconds = format!("{:.3}", retry_after.as_millis() as f64 / 1_000.0);
    let value = HeaderValue::try_from(seconds).expect("a number is a valid header");
    answer.headers_mut().insert(RETRY_AFTER, value);
    answer
}

/// Rejects a request that is not proper.
pub(crate) fn reject(reason: BadRequestReason) -> CallerAnswer {
    problem(reason.status(), reason.label(), "not_run")
}

/// Fails a request that may have run.
pub(crate) fn fail(reason: FailureReason) -> CallerAnswer {
    problem(reason.status(), reason.label(), "unknown")
}

fn problem(status: StatusCode, reason: &'static str, outcome: &'static str) -> CallerAnswer {
    counters::count_refusal(reason);
    let body = serde_json::json!({
        "status": status.as_u16(),
        "reason": reason,
        "outcome": outcome,
    });
    let mut answer = Response::new(AnswerBody::whole(Bytes::from(body.to_string())));
    *answer.status_mut() = status;
    let value = HeaderValue::from_static(PROBLEM_TYPE);
    answer.headers_mut().insert(CONTENT_TYPE, value);
    answer
}
