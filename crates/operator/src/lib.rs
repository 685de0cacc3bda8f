//! The operators' schema and the code generated from it.
//!
//! The schema is `schema/operator.proto`. Its generated code is committed;
//! `cargo xtask generate` writes it again.

mod client;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
#[path = "generated.rs"]
mod committed;

pub use client::connect;
pub use committed::generated::skylarkshed::operator as schema;
