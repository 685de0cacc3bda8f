//! Stateful fuzzing of the decisions against simple oracles.

mod claims;
mod fuzz_config;
mod generations;
