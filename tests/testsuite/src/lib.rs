//! Fixtures of the integration tests, which run real processes.

mod fixture;
mod running_answer;

pub use fixture::{check_whole, query, SERVICE_CALLS};
pub use running_answer::RunningAnswer;
