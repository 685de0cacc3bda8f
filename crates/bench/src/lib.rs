//! Runs a system of real processes for experiments and tests, and the clients that
//! load it.
//!
//! - [`FleetBuilder`] starts a whole system of processes on loopback:
//!   platform, entry VMs, engines, applications and proxies.
//! - [`GenerationClient`] and [`CallClient`] send requests and collect the results,
//!   so that they can be checked against the expected tokens.

mod client;
mod experiments;
mod fleet;
mod load;
mod report;

pub use client::{CallClient, CallResponse, GenerationClient, GenerationResult, GenerationSpec};
pub use experiments::{find_experiment, Experiment, EXPERIMENTS};
pub use fleet::{Fleet, FleetBuilder, FleetError, ProcessHandle, UpstreamHandle, VmHandle};
pub use report::{Report, ReportRow};
