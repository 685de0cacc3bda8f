//! The protocols between VMs: membership, and requests of other VMs.

pub(crate) mod membership_task;
pub(crate) mod peer_service;
