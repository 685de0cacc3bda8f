//! A fleet: a complete system of real processes on loopback.

mod builder;
mod control;
mod faults;
mod process;
mod running;

pub use builder::FleetBuilder;
pub use process::{FleetError, ProcessHandle};
pub use running::{Fleet, UpstreamHandle, VmHandle};
