//! The `serve` process of one VM: runs the state machines of the policy crate
//! with sockets and timers.
//!
//! [`run_node`] serves until the process gets a termination signal. The modules:
//!
//! - `caller_api` identifies and admits callers' requests, `refusal` tells them why a
//!   request was not served;
//! - `calls` sends application calls and `generations` runs generations;
//! - `configuration` commits and pulls changes: operators' and those of running moves;
//! - `peers` runs the membership protocol and handles requests of other VMs;
//! - `load_poll_task` asks the engines for their load;
//! - `state` holds what these share, and depends on none of them;
//! - `run` starts all of this and `drain` ends it.

mod caller_api;
mod calls;
mod clients;
mod configuration;
mod counters;
mod drain;
mod generations;
mod load_poll_task;
mod peers;
mod refusal;
mod run;
mod state;

pub use run::{run_node, NodeError};
