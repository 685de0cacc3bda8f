//! Stateful property tests of the state machines against simple oracles.

mod claims;
mod fuzz_config;
mod generations;
