//! Real processes for experiments and tests, and the callers that load them.
//!
//! - [`FleetBuilder`] starts a whole system of processes on loopback:
//!   platform, entry VMs, engines, applications and proxies.
//! - [`GenerationCaller`] and [`QuickCaller`] send requests and keep what came
//!   back, so that the oracles can check it.

mod caller;
mod experiments;
mod fleet;
mod load;
mod report;

pub use caller::{AnswerTrace, CallTrace, GenerationCaller, GenerationQuery, QuickCaller};
pub use experiments::{find_experiment, Experiment, EXPERIMENTS};
pub use fleet::{Fleet, FleetBuilder, FleetError, ProcessHandle, UpstreamHandle, VmHandle};
pub use report::{Report, ReportRow};
