//! Fixtures of the integration tests, which run real processes.

mod fixture;
mod gateway_config;
mod gateway_harness;
mod gateway_process;
mod raw_caller;
mod running_answer;

pub use fixture::{assert_complete_answer, query, SERVICE_CALLS};
pub use gateway_config::{KEY, OTHER_KEY};
pub use gateway_harness::{GatewayHarness, HarnessBuilder, OtherVm};
pub use gateway_process::{config_metric, program, wait_metric};
pub use raw_caller::{RawAnswer, RawCaller};
pub use running_answer::RunningAnswer;
