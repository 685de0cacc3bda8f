//! Conversions of a call's result: stored, sent between VMs, or sent to the caller.

use crate::refusal::{Refusal, RefusalOutcome, RefusalReason};
use bytes::Bytes;
use http::{header, HeaderValue, StatusCode};
use skylarkshed_core::{ClockTime, UnsentCall};
use skylarkshed_peer::wire::ForwardedOutcome;
use skylarkshed_policy::StoredResponse;
use skylarkshed_upstream::ApplicationResponse;
use volo_http::body::Body;
use volo_http::response::Response;

/// The result of an application call.
pub(crate) type CallResult = Result<ApplicationResponse, Refusal>;

/// Converts a response to its stored form.
pub(crate) fn to_stored(response: &ApplicationResponse) -> StoredResponse {
    let body = String::from_utf8_lossy(&response.body).into_owned();
    StoredResponse {
        status: response.status,
        body,
    }
}

/// Converts a stored response back.
pub(crate) fn from_stored(response: StoredResponse) -> ApplicationResponse {
    ApplicationResponse {
        status: response.status,
        body: Bytes::from(response.body),
    }
}

/// Converts a result to the form that is sent between VMs.
pub(crate) fn to_forwarded(result: CallResult) -> ForwardedOutcome {
    match result {
        Ok(response) => ForwardedOutcome {
            status: u32::from(response.status),
            body: response.body.to_vec(),
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

/// Converts a result from another VM back.
///
/// A `not_run` needs two proofs that nothing was sent: the other VM's, which its
/// result states, and this VM's, which is `unsent`.
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

/// Converts a result to an HTTP response to the caller.
pub(crate) fn to_response(result: CallResult) -> Response {
    let response = match result {
        Ok(response) => response,
        Err(refusal) => return refusal.into_response(),
    };
    let mut http_response = Response::new(Body::from(response.body));
    *http_response.status_mut() =
        StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let json = HeaderValue::from_static("application/json");
    http_response
        .headers_mut()
        .insert(header::CONTENT_TYPE, json);
    http_response
}
