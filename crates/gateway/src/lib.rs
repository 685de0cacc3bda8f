//! The daemon of one VM that routes plain HTTP to upstreams.
//!
//! [`run_gateway`] serves until the process is told to end. Inside,
//!
//! - `caller` holds callers' connections, `front` decides what becomes of a
//!   request;
//! - `call` carries quick calls and `stream` answers of many events;
//! - `store_watch` keeps the configuration and the upstreams up to date;
//! - `peers` shares what one VM read of the store with the others;
//! - `rollouts` moves services to other versions;
//! - `upstreams` knows the upstreams and what this VM sent them.
//!
//! How requests, upstreams and the store speak is left to the [`WireProtocol`]
//! and the [`RoutingStore`] of the platform it runs on.

mod answer;
mod call;
mod caller;
mod connection_watch;
mod control;
mod counters;
mod deadline;
mod dispatch;
mod engine_calls;
mod exchange;
mod gateway_state;
mod log_writer;
mod pacing;
mod peers;
mod platform_api;
mod refusal;
mod rollouts;
mod run;
mod service_pages;
mod settings;
mod store_watch;
mod stream;
mod upstreams;

pub use log_writer::{start_logging, LogError};
pub use platform_api::{
    ControlUpdate, FeedSource, HeadError, KvCacheCopy, RequestHead, ResponseHead, RolloutSnapshot,
    RolloutStatus, RoutingStore, SendOptions, StoreError, UpstreamUpdate, WireProtocol,
};
pub use run::{run_gateway, GatewayError};
pub use settings::{GatewayListen, GatewaySettings, GatewayTimes};
