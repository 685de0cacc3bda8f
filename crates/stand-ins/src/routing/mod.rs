//! A fake store and fake upstreams for tests of the gateway.

mod config;
mod connection;
mod control_calls;
mod crash_fault;
mod endless_response;
mod engine_memory;
mod engine_report;
mod engine_speed;
mod event_stream;
pub mod headers;
mod received_request;
mod scripted_response;
mod store;
mod store_messages;
mod upstream;
mod version_fault;

pub use config::{
    default_config, route, upstream_row, GatewayFile, APP_SERVICE, DEPOT_KEY, HOST, MODEL_SERVICE,
    VENDOR_KEY,
};
pub use control_calls::ControlCalls;
pub use crash_fault::{CrashFault, DOWNTIME};
pub use endless_response::EndlessResponse;
pub use engine_memory::{EngineMemory, MemoryPlace};
pub use engine_report::{EngineReport, ReportedRun};
pub use engine_speed::EngineSpeed;
pub use received_request::ReceivedRequest;
pub use scripted_response::{ResponsePart, ScriptedResponse, StreamEnd, StreamScript, UnframedEnd};
pub use store::{FakeStore, StoreCopy, StoreMode};
pub use upstream::FakeUpstream;
pub use version_fault::{FaultEffect, VersionFault};
