//! Entries of upstreams in the store, and what their changes mean.

use skylarkshed_core::{ClockTime, UpstreamName, UpstreamRecord};
use std::sync::Arc;

/// An upstream's entry in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEntry {
    /// What the upstream reports about itself.
    pub record: UpstreamRecord,
    /// The number of heartbeats of this start until the one that wrote the entry.
    pub heartbeats: u64,
}

/// The times by which entries are judged.
#[derive(Clone, Copy, Debug)]
pub struct EntryTimes {
    /// How long entries may take to reappear after an outage of the store.
    pub grace: ClockTime,
    /// How long the store takes to remove entries of upstreams that no longer exist.
    pub silence: ClockTime,
    /// The time between two heartbeats of an upstream.
    pub heartbeat: ClockTime,
}

/// A change of an upstream's entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamChange {
    /// The upstream is new or its entry changed.
    Updated(Arc<UpstreamRecord>),
    /// The upstream is leaving and gets no new work.
    Leaving(Arc<UpstreamRecord>),
    /// The entry is missing, but may reappear within the grace period.
    Missing(UpstreamName),
    /// The upstream was removed.
    Removed(UpstreamName),
    /// The entry may be old, so it is not used yet.
    Doubted(UpstreamName, EntryDoubt),
}

/// Why an entry may be old.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryDoubt {
    /// The upstream has started again since then.
    EarlierStart,
    /// The entry was removed, and its heartbeat may have been sent before.
    Removed,
}

impl EntryDoubt {
    /// Returns the label of the reason in logs.
    pub const fn label(self) -> &'static str {
        match self {
            EntryDoubt::EarlierStart => "earlier_start",
            EntryDoubt::Removed => "removed",
        }
    }
}
