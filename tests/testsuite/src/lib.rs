//! Fixtures of the integration tests, which run real processes.

mod fixture;
mod gateway_config;
mod gateway_process;
mod gateway_rig;
mod raw_caller;
mod running_answer;

pub use fixture::{check_whole, query, SERVICE_CALLS};
pub use gateway_config::{KEY, OTHER_KEY};
pub use gateway_process::{config_metric, program, wait_metric};
pub use gateway_rig::{GatewayRig, OtherVm, RigBuilder};
pub use raw_caller::{RawAnswer, RawCaller};
pub use running_answer::RunningAnswer;
