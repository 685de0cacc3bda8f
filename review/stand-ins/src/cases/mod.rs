//! The cases.

pub mod next_rollout;
pub mod quarantined_prompt;
pub mod quarantined_route;
pub mod refused_after_run;
pub mod silent_store;
