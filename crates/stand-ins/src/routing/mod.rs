//! A fake store and fake upstreams for tests of the gateway.

mod connection;
mod control_calls;
mod endless_response;
mod event_stream;
mod scripted_response;
mod store;
mod upstream;
mod version_fault;

pub use endless_response::EndlessResponse;
pub use scripted_response::{ScriptedResponse, StreamEnd, StreamScript};
pub use store::{FakeStore, StoreCopy, StoreMode};
pub use upstream::{FakeUpstream, ReceivedRequest};
pub use version_fault::{FaultEffect, VersionFault};
