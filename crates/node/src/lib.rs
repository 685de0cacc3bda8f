//! The `serve` process of one VM: runs the state machines of the policy crate
//! with sockets and timers.
//!
//! [`run_node`] serves until the process gets a termination signal. Its modules:
//!
//! - `caller_api` serves callers, `operators` serves operators;
//! - `generation_task` and `call_path` send requests to upstreams;
//! - `sync_task` and `membership_task` synchronise with the platform and the other VMs;
//! - `move_task` shifts traffic between versions, by the counts in `evidence_registry`;
//! - `registry` holds the state of the upstreams as this VM measures it.

mod admission;
mod application_call;
mod attempt_runner;
mod auth;
mod call_path;
mod call_result;
mod call_sender;
mod caller_api;
mod claim_writer;
mod claimed_call;
mod claims;
mod clients;
mod configuration;
mod counters;
mod cursor;
mod drain;
mod evidence_registry;
mod generation_environment;
mod generation_task;
mod load_poll_task;
mod membership_task;
mod minted_call;
mod minted_key;
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
