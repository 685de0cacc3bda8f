//! Conversions between answers as stored, as sent between VMs and as given.

use crate::refusal::{Refusal, RefusalOutcome, RefusalReason};
use bytes::Bytes;
use http::{header, HeaderValue, StatusCode};
use skylarkshed_core::{ClockTime, UnsentCall};
use skylarkshed_peer::wire::ForwardedOutcome;
use skylarkshed_policy::StoredResponse;
use skylarkshed_upstream::ApplicationResponse;
use volo_http::body::Body;
use volo_http::response::Response;

/// What a quick call came to.
pub(crate) type CallResult = Result<ApplicationResponse, Refusal>;

/// Turns an answer into the form that is stored.
pub(crate) fn to_stored(answer: &ApplicationResponse) -> StoredResponse {
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    StoredResponse {
        status: answer.status,
        body,
    }
}

/// Turns a stored answer back.
pub(crate) fn from_stored(answer: StoredResponse) -> ApplicationResponse {
    ApplicationResponse {
        status: answer.status,
        body: Bytes::from(answer.body),
    }
}

/// Turns a result into the form that is sent between VMs.
pub(crate) fn to_forwarded(result: CallResult) -> ForwardedOutcome {
    match result {
        Ok(answer) => ForwardedOutcome {
            status: u32::from(answer.status),
            body: answer.body.to_vec(),
            ..ForwardedOutcome::default()
        },
        Err(refusal) => ForwardedOutcome {
            refusal: refusal.reason().as_str().to_owned(),
            not_run: refusal.outcome() == RefusalOutcome::NotRun,
            retry_after_ms: refusal.wait_ms(),
            ..ForwardedOutcome::default()
        },
    }
}

/// Turns a result from another VM back.
///
/// That VM vouches for a `not_run`; `unsent` vouches for this one.
pub(crate) fn from_forwarded(outcome: ForwardedOutcome, unsent: UnsentCall) -> CallResult {
    if outcome.refusal.is_empty() {
        let status = u16::try_from(outcome.status).unwrap_or(502);
        return Ok(ApplicationResponse {
            status,
            body: Bytes::from(outcome.body),
        });
    }
    let reason = RefusalReason::parse(&outcome.refusal).unwrap_or(RefusalReason::AnswerLost);
    let refusal = match outcome.not_run {
        true => Refusal::not_run(unsent, reason),
        false => Refusal::unknown(reason),
    };
    Err(match outcome.retry_after_ms {
        0 => refusal,
        wait_ms => refusal.retry_after(ClockTime::from_millis(wait_ms)),
    })
}

/// Turns a result into a response to the caller.
pub(crate) fn to_response(result: CallResult) -> Response {
    let answer = match result {
        Ok(answer) => answer,
        Err(refusal) => return refusal.into_response(),
    };
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
