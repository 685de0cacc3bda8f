//! The store and the upstreams that a gateway meets, inside a test.

mod reaction;
mod store;
mod upstream;

pub use reaction::{Reaction, StreamEnd, StreamScript};
pub use store::{StoreMode, StoreStandIn};
pub use upstream::{HeardRequest, UpstreamStandIn};
