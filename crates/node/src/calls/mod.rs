//! Application calls: at most once or with retries, with idempotency keys.

pub(crate) mod application_call;
pub(crate) mod call_path;
pub(crate) mod call_result;
pub(crate) mod call_sender;
pub(crate) mod claimed_call;
pub(crate) mod claims;
pub(crate) mod minted_call;
pub(crate) mod minted_key;
