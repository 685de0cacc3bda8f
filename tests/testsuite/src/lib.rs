//! Shared fixtures of the integration tests, which run real processes.

mod crash_trial;
mod fixture;
mod gateway_harness;
mod gateway_process;
mod harness_builder;
mod raw_client;
mod rollout_load;
mod rollout_trial;
mod running_generation;

pub use crash_trial::{CrashTrial, SETTLE_WINDOW};
pub use fixture::{assert_complete_answer, generation_spec, BOOKING_PATH};
pub use gateway_harness::{GatewayHarness, OtherVm};
pub use gateway_process::{config_metric, peak_memory_kib, program_path, wait_for_metric};
pub use harness_builder::HarnessBuilder;
pub use raw_client::{RawClient, RawResponse};
pub use rollout_load::CallerLoad;
pub use rollout_trial::{
    RolloutTrial, DRAFT_PATH, EXPOSURE_SHARE, EXPOSURE_SLACK, ROLLBACK_TIME, WRITE_PATH,
};
pub use running_generation::RunningGeneration;
pub use skylarkshed_stand_ins::{DEPOT_KEY, MODEL_SERVICE, VENDOR_KEY};
