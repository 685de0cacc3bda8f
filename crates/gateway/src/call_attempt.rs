//! One attempt of an application call at one upstream.

use crate::caller_response::{CallerResponse, ResponseBody};
use crate::counters;
use crate::exchange::{send, CallerRequest, SendError, UpstreamResponse};
use crate::gateway_state::GatewayState;
use crate::platform_api::WireProtocol;
use crate::refusal::FailureReason;
use crate::rollouts::AttemptProbe;
use crate::upstreams::UpstreamState;
use bytes::Bytes;
use http::{response, Response};
use skylarkshed_core::ClockTime;
use skylarkshed_policy::FailureKind;
use std::sync::Arc;

/// The outcome of one attempt.
pub(crate) enum AttemptOutcome {
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
    pub(crate) const fn label(&self) -> &'static str {
        match self {
            AttemptOutcome::Response(..) => "answer",
            AttemptOutcome::UpstreamError(..) => "upstream_error",
            AttemptOutcome::Unsent => "unsent",
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::Failed(reason) => reason.label(),
        }
    }

    /// Returns how the upstream's version failed, if it did.
    pub(crate) const fn failure_kind(&self) -> Option<FailureKind> {
        match self {
            AttemptOutcome::Response(..) | AttemptOutcome::Unsent | AttemptOutcome::NotRun => None,
            AttemptOutcome::UpstreamError(..)
            | AttemptOutcome::Failed(FailureReason::BadResponse) => {
                Some(FailureKind::ErrorResponse)
            }
            AttemptOutcome::Failed(_) => Some(FailureKind::NoResponse),
        }
    }
}

/// An attempt that has not ended.
#[derive(Clone)]
pub(crate) struct OpenAttempt {
    pub(crate) number: usize,
    pub(crate) upstream: Arc<UpstreamState>,
    pub(crate) started: ClockTime,
    /// Whether no attempt of the call was sent before.
    pub(crate) is_first: bool,
}

/// An attempt that has ended.
pub(crate) struct EndedAttempt {
    pub(crate) attempt: OpenAttempt,
    pub(crate) outcome: AttemptOutcome,
}

/// Sends a call to an upstream and receives the response. Dropping the future stops the
/// upstream's work.
pub(crate) async fn run_attempt<P: WireProtocol>(
    state: &GatewayState,
    request: &CallerRequest,
    attempt: OpenAttempt,
    mut probe: AttemptProbe,
) -> EndedAttempt {
    let upstream = &attempt.upstream;
    let options = request.send_options(upstream);
    let exchange = async {
        let mut response = send::<P>(state, request, upstream, &options).await?;
        probe.record_reached();
        let body = response.collect().await?;
        Ok((response, body))
    };
    let outcome = match exchange.await {
        Ok((response, body)) => classify_response(response, body),
        Err(SendError::Unsent) => {
            probe.record_unsent();
            AttemptOutcome::Unsent
        }
        Err(SendError::Broken) => {
            upstream.mark_suspect(state.clock.now());
            AttemptOutcome::Failed(match request.deadline.is_expired() {
                true => FailureReason::Timeout,
                false => FailureReason::UpstreamBroke,
            })
        }
    };
    if matches!(outcome, AttemptOutcome::Response(..)) {
        probe.record_event();
    }
    EndedAttempt { attempt, outcome }
}

/// Classifies a complete response.
fn classify_response(response: UpstreamResponse, body: Bytes) -> AttemptOutcome {
    if response.head.is_not_run || response.head.is_misdirected {
        return AttemptOutcome::NotRun;
    }
    if response.is_success() {
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

pub(crate) fn to_caller_response(parts: response::Parts, body: Bytes) -> CallerResponse {
    Response::from_parts(parts, ResponseBody::complete(body))
}
