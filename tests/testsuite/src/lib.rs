//! Fixtures of the integration tests, which run real processes.

mod fixture;
mod gateway_rig;
mod raw_caller;
mod running_answer;

pub use fixture::{check_whole, query, SERVICE_CALLS};
pub use gateway_rig::{
    config_metric, wait_metric, GatewayRig, OtherVm, RigBuilder, KEY, OTHER_KEY,
};
pub use raw_caller::{RawAnswer, RawCaller};
pub use running_answer::RunningAnswer;
