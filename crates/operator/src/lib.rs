//! The gRPC schema of the operators' service and the code generated from it.
//!
//! The schema is `schema/operator.proto`. The generated code is committed;
//! `cargo xtask generate` regenerates it.

mod client;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
#[path = "generated.rs"]
mod committed;

pub use client::connect;
pub use committed::generated::skylarkshed::operator as schema;
