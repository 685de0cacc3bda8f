//! Refusals: why a request was not served, and whether it may have run.

use crate::counters;
use http::{header, HeaderValue, StatusCode};
use serde::Serialize;
use skylarkshed_core::{ClockTime, UnsentCall};
use volo_http::body::Body;
use volo_http::response::Response;

const MS_PER_S: u64 = 1_000;

macro_rules! refusal_reasons {
    ($($(#[$doc:meta])* $name:ident => $text:literal, $status:ident;)+) => {
        /// Why a request was refused.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub(crate) enum RefusalReason {
            $($(#[$doc])* $name,)+
        }

        impl RefusalReason {
            /// Returns the reason as callers receive it and as it is counted.
            pub(crate) fn as_str(self) -> &'static str {
                match self {
                    $(RefusalReason::$name => $text,)+
                }
            }

            /// Returns the reason with this text, or `None` if there is none.
            pub(crate) fn parse(text: &str) -> Option<Self> {
                match text {
                    $($text => Some(RefusalReason::$name),)+
                    _ => None,
                }
            }

            fn status(self) -> StatusCode {
                match self {
                    $(RefusalReason::$name => StatusCode::$status,)+
                }
            }
        }
    };
}

refusal_reasons! {
    /// The API key is missing or unknown.
    UnknownKey => "unknown_key", UNAUTHORIZED;
    /// The customer may not call the service.
    NotAllowed => "not_allowed", FORBIDDEN;
    /// There is no such service.
    UnknownService => "unknown_service", NOT_FOUND;
    /// There is no such path.
    UnknownPath => "unknown_path", NOT_FOUND;
    /// The request can't be read.
    BadRequest => "bad_request", BAD_REQUEST;
    /// A header can't be read.
    BadHeader => "bad_header", BAD_REQUEST;
    /// There are too many headers.
    TooManyHeaders => "too_many_headers", REQUEST_HEADER_FIELDS_TOO_LARGE;
    /// The body is too long.
    BodyTooLong => "body_too_long", PAYLOAD_TOO_LARGE;
    /// The body did not arrive in time.
    BodyTooSlow => "body_too_slow", REQUEST_TIMEOUT;
    /// The process is draining.
    Draining => "draining", SERVICE_UNAVAILABLE;
    /// The configuration is not known yet.
    NotReady => "not_ready", SERVICE_UNAVAILABLE;
    /// The customer sends too many requests.
    RateLimit => "rate_limit", TOO_MANY_REQUESTS;
    /// The customer has too many requests in progress.
    CustomerConcurrency => "customer_concurrency", TOO_MANY_REQUESTS;
    /// The wait in the admission queue would be too long.
    QueueTooLong => "queue_too_long", SERVICE_UNAVAILABLE;
    /// The request was not admitted in time.
    QueueTimeout => "queue_timeout", SERVICE_UNAVAILABLE;
    /// No upstream can take the request.
    NoUpstream => "no_upstream", SERVICE_UNAVAILABLE;
    /// The upstream has too many calls in progress.
    UpstreamBusy => "upstream_busy", SERVICE_UNAVAILABLE;
    /// No connection to an upstream could be made.
    UpstreamUnreachable => "upstream_unreachable", SERVICE_UNAVAILABLE;
    /// The upstream's response was lost.
    AnswerLost => "answer_lost", BAD_GATEWAY;
    /// The upstream's response belongs to another call.
    WrongAnswer => "wrong_answer", BAD_GATEWAY;
    /// The upstream's response did not arrive in time.
    AnswerTimeout => "answer_timeout", GATEWAY_TIMEOUT;
    /// The idempotency key could not be claimed.
    ClaimUnavailable => "claim_unavailable", SERVICE_UNAVAILABLE;
    /// A call with this idempotency key may be running or have run.
    KeyInUse => "key_in_use", CONFLICT;
    /// The idempotency key was used for another request.
    KeyMismatch => "key_mismatch", UNPROCESSABLE_ENTITY;
    /// The VM that minted the key can't be reached.
    MinterUnreachable => "minter_unreachable", SERVICE_UNAVAILABLE;
    /// The key was not minted for this customer and service, or not by this process.
    KeyNotMinted => "key_not_minted", UNPROCESSABLE_ENTITY;
    /// No engine of the version could continue the generation in time.
    NoEngine => "no_engine", SERVICE_UNAVAILABLE;
    /// Too many attempts failed.
    TooManyAttempts => "too_many_attempts", BAD_GATEWAY;
    /// The version was withdrawn.
    VersionWithdrawn => "version_withdrawn", CONFLICT;
    /// The version no longer exists.
    VersionGone => "version_gone", GONE;
    /// No engine retains the generation any more.
    HeldGone => "held_gone", GONE;
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RefusalOutcome {
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why a request was refused and whether it may have run.
///
/// The outcome `not_run` requires proof that nothing was sent.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    reason: RefusalReason,
    outcome: RefusalOutcome,
    retry_after: Option<ClockTime>,
    detail: String,
}

#[derive(Serialize)]
struct ProblemDocument<'a> {
    r#type: &'static str,
    title: &'a str,
    status: u16,
    reason: &'a str,
    outcome: RefusalOutcome,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Refuses a request of which nothing was sent.
    pub(crate) fn not_run(_proof: UnsentCall, reason: RefusalReason) -> Self {
        Refusal::new(reason, RefusalOutcome::NotRun)
    }

    /// Refuses a request that may have run.
    pub(crate) fn unknown(reason: RefusalReason) -> Self {
        Refusal::new(reason, RefusalOutcome::Unknown)
    }

    /// Sets how long the caller should wait before a retry.
    pub(crate) fn retry_after(mut self, wait: ClockTime) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets an explanation.
    pub(crate) fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    pub(crate) fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Reports whether the request certainly did not run.
    pub(crate) fn is_not_run(&self) -> bool {
        self.outcome == RefusalOutcome::NotRun
    }

    pub(crate) fn outcome(&self) -> RefusalOutcome {
        self.outcome
    }

    pub(crate) fn wait_ms(&self) -> u64 {
        self.retry_after.map_or(0, ClockTime::as_millis)
    }

    /// Returns the problem document as JSON.
    pub(crate) fn to_json(&self) -> String {
        let status = self.reason.status();
        let document = ProblemDocument {
            r#type: "about:blank",
            title: status.canonical_reason().unwrap_or_default(),
            status: status.as_u16(),
            reason: self.reason.as_str(),
            outcome: self.outcome,
            detail: &self.detail,
            retry_after_ms: self.retry_after.map(ClockTime::as_millis),
        };
        serde_json::to_string(&document).expect("a problem document is plain data")
    }

    /// Counts the refusal and converts it to a response.
    pub(crate) fn into_response(self) -> Response {
        counters::count_refusal(self.reason.as_str());
        let mut response = Response::new(Body::from(self.to_json()));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        let problem = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, problem);
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(MS_PER_S).max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    fn new(reason: RefusalReason, outcome: RefusalOutcome) -> Self {
        Refusal {
            reason,
            outcome,
            retry_after: None,
            detail: String::new(),
        }
    }
}
