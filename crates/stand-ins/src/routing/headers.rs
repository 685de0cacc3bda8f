//! The names of the platform's headers, in lower case.

/// Identifies one attempt of a caller.
pub const REQUEST_ID: &str = "x-attempt-id";
/// The milliseconds that the caller will still wait.
pub const TIME_LEFT: &str = "x-deadline-remaining";
/// The customer's name, sent to upstreams.
pub const CUSTOMER: &str = "x-tenant";
/// The name of the upstream that a request is meant for.
pub const EXPECTED_UPSTREAM: &str = "x-expected-instance";
/// The name of the upstream that answers a health check.
pub const UPSTREAM: &str = "x-instance-id";
/// The number of prompt tokens and the maximum number of output tokens.
pub const TOKENS: &str = "x-token-usage";
/// The parts of the prompt, in order, as identifiers and lengths.
pub const PROMPT_PARTS: &str = "x-prompt-prefix";
/// The urgency of a request; 0 is the most urgent, 5 counts if it is absent.
pub const URGENCY: &str = "x-request-urgency";
/// The last event that the receiver of a stream has.
pub const LAST_EVENT: &str = "last-event-id";
/// An upstream's signature of its response.
pub const SIGNATURE: &str = "x-server-signature";
/// Marks a response whose request the upstream did not run.
pub const NOT_RUN: &str = "x-not-executed";
/// The path of the readiness check.
pub const READINESS_PATH: &str = "/-/readiness";
