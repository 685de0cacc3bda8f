//! A fleet: a complete system of real processes on loopback.

mod builder;
mod control;
mod faults;
mod handles;
mod launcher;
mod process;
mod running;

pub use builder::FleetBuilder;
pub use handles::{UpstreamHandle, VmHandle};
pub use process::{FleetError, ProcessHandle};
pub use running::Fleet;
