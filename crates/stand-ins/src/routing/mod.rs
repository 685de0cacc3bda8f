//! A fake store and fake upstreams for tests of the gateway.

mod config;
mod control_calls;
pub mod headers;
mod received_request;
mod scripted_response;
mod store;
mod store_messages;
mod upstream;

pub use config::{
    default_config, route, upstream_row, GatewayFile, APP_SERVICE, DEPOT_KEY, HOST, MODEL_SERVICE,
    VENDOR_KEY,
};
pub use control_calls::ControlCalls;
pub use received_request::ReceivedRequest;
pub use scripted_response::{ScriptedResponse, StreamEnd, StreamScript};
pub use store::{FakeStore, StoreCopy, StoreMode};
pub use upstream::FakeUpstream;
