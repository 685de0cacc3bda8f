//! The cases.

pub mod killed_rollout;
pub mod next_rollout;
pub mod quarantined_prompt;
pub mod quarantined_route;
pub mod silent_store;
