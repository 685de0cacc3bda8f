//! Clients of the upstreams: model engines and plain applications.
//!
//! [`EngineClient`] and [`ApplicationClient`] are the interfaces; [`HttpEngineClient`]
//! and [`HttpApplicationClient`] implement them over HTTP. Another protocol needs one
//! more module for each.

mod application;
mod engine;
mod http_application;
mod http_engine;
pub mod wire;

pub use application::{ApplicationClient, ApplicationRequest, ApplicationResponse, CallError};
pub use engine::{EngineClient, EngineError, EngineEvent};
pub use http_application::HttpApplicationClient;
pub use http_engine::{EngineStream, HttpEngineClient};
