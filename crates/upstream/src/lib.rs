//! Model engines and plain services, as the system sees them.
//!
//! [`EngineClient`] and [`ApplicationClient`] are the seams; [`HttpEngine`]
//! and [`HttpApplication`] speak to them over HTTP. Another wire needs one
//! more file beside each.

mod application;
mod engine;
mod http_application;
mod http_engine;
pub mod wire;

pub use application::{ApplicationAnswer, ApplicationClient, CallFailure, PlainCall};
pub use engine::{EngineClient, EngineError, EngineEvent};
pub use http_application::HttpApplication;
pub use http_engine::{EngineStream, HttpEngine};
