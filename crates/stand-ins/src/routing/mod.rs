//! The store and the upstreams that a gateway meets, inside a test.

mod scripted_response;
mod store;
mod upstream;

pub use scripted_response::{ScriptedResponse, StreamEnd, StreamScript};
pub use store::{FakeStore, StoreMode};
pub use upstream::{FakeUpstream, ReceivedRequest};
