//! Shared fixtures of the integration tests, which run real processes.

mod fixture;
mod gateway_harness;
mod gateway_process;
mod raw_client;
mod running_generation;

pub use fixture::{assert_complete_answer, generation_spec, BOOKING_PATH};
pub use gateway_harness::{GatewayHarness, HarnessBuilder, OtherVm};
pub use gateway_process::{config_metric, program_path, wait_for_metric};
pub use raw_client::{RawClient, RawResponse};
pub use running_generation::RunningGeneration;
pub use skylarkshed_stand_ins::{DEPOT_KEY, VENDOR_KEY};
