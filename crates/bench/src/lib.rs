//! Real processes for experiments and tests, and the callers that load them.
//!
//! - [`FleetBuilder`] starts a whole system of processes on loopback:
//!   platform, entry VMs, engines, applications and proxies.
//! - [`GenerationClient`] and [`CallClient`] send requests and keep what came
//!   back, so that the oracles can check it.

mod client;
mod experiments;
mod fleet;
mod load;
mod report;

pub use client::{CallClient, CallResponse, GenerationClient, GenerationResult, GenerationSpec};
pub use experiments::{find_experiment, Experiment, EXPERIMENTS};
pub use fleet::{Fleet, FleetBuilder, FleetError, ProcessHandle, UpstreamHandle, VmHandle};
pub use report::{Report, ReportRow};
