//! The gateway as a process between stand-ins, a module per promise.

mod answers;
mod caller_gone;
mod configuration;
mod explaining;
mod framing;
mod leaving;
mod peers;
mod rollouts;
mod routing;
mod runs_once;
mod streams;
