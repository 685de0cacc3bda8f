//! Responses to requests that are refused or fail.

use crate::caller_response::{CallerResponse, ResponseBody};
use crate::counters;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use skylarkshed_core::{ClockTime, UnsentCall};

const PROBLEM_TYPE: &str = "application/problem+json";

/// Proof that no upstream ran a request or ever will.
///
/// Either nothing of the request was sent, or each upstream that received it
/// reported that it did not run it.
#[derive(Debug)]
pub(crate) struct NotRunProof(());

impl From<UnsentCall> for NotRunProof {
    fn from(_: UnsentCall) -> Self {
        NotRunProof(())
    }
}

/// Tracks whether an upstream may have run a request.
#[derive(Debug, Default)]
pub(crate) struct RunTracker {
    may_have_run: bool,
}

impl RunTracker {
    /// Records an attempt whose upstream did not report that it did not run the
    /// request.
    pub(crate) fn mark_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    pub(crate) fn proof(&self) -> Option<NotRunProof> {
        (!self.may_have_run).then_some(NotRunProof(()))
    }
}

/// Why a request is refused that no upstream ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NotRunReason {
    NotReady,
    StaleConfig,
    Leaving,
    NoUpstream,
    UpstreamsBusy,
    UpstreamsDeferred,
    /// No engine can serve the stream before its deadline.
    EnginesFull,
    RetryBudget,
    SlowRequest,
    /// Other bodies occupy the memory for its body.
    NoMemory,
    /// Its prompt has a part that ends engines.
    PromptBlocked,
    /// Upstreams can't be told what the request needs.
    Unwritable,
}

impl NotRunReason {
    pub(crate) const fn label(self) -> &'static str {
        match self {
            NotRunReason::NotReady => "not_ready",
            NotRunReason::StaleConfig => "stale_config",
            NotRunReason::Leaving => "leaving",
            NotRunReason::NoUpstream => "no_upstream",
            NotRunReason::UpstreamsBusy => "upstreams_busy",
            NotRunReason::UpstreamsDeferred => "upstreams_deferred",
            NotRunReason::EnginesFull => "engines_full",
            NotRunReason::RetryBudget => "retry_budget",
            NotRunReason::SlowRequest => "slow_request",
            NotRunReason::NoMemory => "no_memory",
            NotRunReason::PromptBlocked => "prompt_blocked",
            NotRunReason::Unwritable => "unwritable",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            NotRunReason::SlowRequest => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Why a request is invalid.
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

/// Why a request failed that an upstream may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FailureReason {
    UpstreamBroke,
    BadResponse,
    Timeout,
    /// The process ends.
    Ending,
    /// Its prompt has a part that ends engines.
    PromptBlocked,
}

impl FailureReason {
    pub(crate) const fn label(self) -> &'static str {
        match self {
            FailureReason::UpstreamBroke => "upstream_broke",
            FailureReason::BadResponse => "bad_answer",
            FailureReason::Timeout => "timeout",
            FailureReason::Ending => "ending",
            FailureReason::PromptBlocked => "prompt_blocked",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            FailureReason::Timeout | FailureReason::Ending => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}

/// Why a response is not an upstream's, for the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProblemReason(pub(crate) &'static str);

/// Refuses a request that no upstream ran, with a `Retry-After` header.
pub(crate) fn refuse(
    _proof: NotRunProof,
    reason: NotRunReason,
    retry_after: ClockTime,
) -> CallerResponse {
    let mut response = problem(reason.status(), reason.label(), "not_run");
    let seconds = format!("{:.3}", retry_after.as_millis() as f64 / 1_000.0);
    let value = HeaderValue::try_from(seconds).expect("a number is a valid header");
    response.headers_mut().insert(RETRY_AFTER, value);
    response
}

/// Rejects an invalid request.
pub(crate) fn reject(reason: BadRequestReason) -> CallerResponse {
    problem(reason.status(), reason.label(), "not_run")
}

/// Fails a request that an upstream may have run.
pub(crate) fn fail(reason: FailureReason) -> CallerResponse {
    problem(reason.status(), reason.label(), "unknown")
}

fn problem(status: StatusCode, reason: &'static str, outcome: &'static str) -> CallerResponse {
    counters::count_refusal(reason);
    let body = serde_json::json!({
        "status": status.as_u16(),
        "reason": reason,
        "outcome": outcome,
    });
    let mut response = Response::new(ResponseBody::complete(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response.extensions_mut().insert(ProblemReason(reason));
    let value = HeaderValue::from_static(PROBLEM_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
