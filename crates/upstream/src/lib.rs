//! Clients of the upstreams: model engines and plain applications.
//!
//! [`EngineClient`] and [`ApplicationClient`] are the interfaces; [`HttpEngine`]
//! and [`HttpApplication`] implement them over HTTP. Another protocol needs one
//! more module for each.

mod application;
mod engine;
mod http_application;
mod http_engine;
pub mod wire;

pub use application::{ApplicationAnswer, ApplicationClient, CallFailure, PlainCall};
pub use engine::{EngineClient, EngineError, EngineEvent};
pub use http_application::HttpApplication;
pub use http_engine::{EngineStream, HttpEngine};
