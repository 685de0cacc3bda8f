//! The daemon of one VM: joins the decisions with the network.
//!
//! [`run_node`] serves until the process is told to end. Inside,
//!
//! - `front` answers callers, `operators` answers operators;
//! - `generation_task` and `call_path` carry requests to upstreams;
//! - `configuration` and `membership_task` keep step with the other VMs;
//! - `move_task` carries traffic between versions, on `evidence_book`;
//! - `registry` knows the upstreams.

mod admission;
mod answers;
mod attempt_runner;
mod auth;
mod call_path;
mod claim_writer;
mod claims;
mod clients;
mod configuration;
mod counters;
mod cursor;
mod drain;
mod evidence_registry;
mod front;
mod generation_environment;
mod generation_task;
mod load_poll_task;
mod membership_task;
mod minting;
mod move_task;
mod operators;
mod peer_service;
mod prompt;
mod reason_texts;
mod refusal;
mod registry;
mod run;
mod sent_keys;
mod shared;
mod sync_task;

pub use run::{run_node, NodeError};
