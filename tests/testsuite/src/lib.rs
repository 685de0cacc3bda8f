//! Fixtures of the integration tests, which run real processes.

mod fixture;

pub use fixture::{check_whole, query, wait_for_tokens, SERVICE_CALLS};
