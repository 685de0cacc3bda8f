//! The configuration's changes: by operators, by running moves, and from other VMs.

pub(crate) mod move_task;
pub(crate) mod operators;
pub(crate) mod sync_task;
