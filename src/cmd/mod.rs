//! The subcommands, one module each.

pub(crate) mod check;
mod config_report;
pub(crate) mod customer;
pub(crate) mod describe;
pub(crate) mod explain;
pub(crate) mod gateway;
mod operator;
pub(crate) mod serve;
pub(crate) mod service;
pub(crate) mod traffic_move;
pub(crate) mod version;
pub(crate) mod watch;
