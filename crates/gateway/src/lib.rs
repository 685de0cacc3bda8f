//! The gateway process of one VM, which forwards HTTP requests to upstreams.
//!
//! [`run_gateway`] serves until the process is told to stop. The modules:
//!
//! - `caller` accepts callers' connections, `dispatch` admits or refuses each
//!   request;
//! - `call` forwards application calls and `stream` forwards event streams;
//! - `store_watch` keeps the configuration and the upstream table up to date;
//! - `peers` shares the store's change feeds between VMs;
//! - `engine_ledgers` shares the loads of engines between VMs;
//! - `quarantine` keeps requests that end engines away from them;
//! - `retry_loans` borrows retries from other VMs and lends them some;
//! - `rollouts` shifts services to other versions;
//! - `upstreams` tracks the upstreams and the load that this VM puts on them.
//!
//! The formats of requests, upstream responses and the store are defined by the
//! platform, which implements [`WireProtocol`] and [`RoutingStore`].

mod call;
mod call_attempt;
mod call_guard;
mod caller;
mod caller_response;
mod config_state;
mod connection_activity;
mod counters;
mod deadline;
mod dispatch;
mod engine_calls;
mod engine_ledgers;
mod exchange;
mod gateway_state;
mod jitter;
mod log_writer;
mod message_error;
mod peers;
mod platform_api;
mod process_check;
mod process_witness;
mod quarantine;
mod refusal;
mod retry_loans;
mod rollouts;
mod run;
mod settings;
mod status_endpoints;
mod store_outage;
mod store_watch;
mod stream;
mod tracked_stream;
mod unanswered_request;
mod upstreams;

pub use log_writer::{start_logging, LogError};
pub use message_error::MessageError;
pub use platform_api::{
    ControlUpdate, FeedSource, HeadError, KvCacheCopy, RequestHead, ResponseHead, RolloutSnapshot,
    RolloutStatus, RoutingStore, SendOptions, StoreError, UpstreamUpdate, VmUpdate, WireProtocol,
};
pub use run::{run_gateway, GatewayError};
pub use settings::{GatewayListen, GatewaySettings, GatewayTimes};
