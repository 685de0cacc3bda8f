//! Tracks the upstreams that can receive work.
//!
//! The entries in the store may expire, arrive late and reappear.

use skylarkshed_core::{ClockTime, UpstreamName, UpstreamRecord};
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Debug)]
struct TableEntry {
    record: Arc<UpstreamRecord>,
    /// When the entry is dropped, if it expired during an outage of the store.
    drop_at: Option<ClockTime>,
}

/// The known upstreams by name.
///
/// An entry that is missing right after an outage of the store may have expired
/// only because its heartbeats were lost, so it is kept for a grace period.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::UpstreamTable;
///
/// let mut table = UpstreamTable::new(ClockTime::from_millis(2_000));
/// assert!(table.replace(Vec::new(), ClockTime::ZERO).is_empty());
/// assert_eq!(table.records().count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamTable {
    entries: BTreeMap<UpstreamName, TableEntry>,
    /// How long entries may take to reappear after an outage.
    grace: ClockTime,
    is_store_unavailable: bool,
    grace_ends_at: ClockTime,
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
}

impl UpstreamTable {
    /// Creates an empty table; `grace` is how long entries may take to reappear after
    /// an outage of the store.
    pub fn new(grace: ClockTime) -> Self {
        UpstreamTable {
            entries: BTreeMap::new(),
            grace,
            is_store_unavailable: false,
            grace_ends_at: ClockTime::ZERO,
        }
    }

    /// Records that the store does not respond.
    pub fn mark_store_unavailable(&mut self) {
        self.is_store_unavailable = true;
    }

    /// Records that the store responds; after an outage, this starts the grace period.
    pub fn mark_store_available(&mut self, now: ClockTime) {
        if self.is_store_unavailable {
            self.is_store_unavailable = false;
            self.grace_ends_at = now + self.grace;
        }
    }

    /// Inserts or updates an upstream's entry.
    pub fn put(&mut self, mut record: UpstreamRecord, changes: &mut Vec<UpstreamChange>) {
        let known = self.entries.get(&record.name);
        // Leaving is final for one incarnation of an upstream.
        let was_leaving = known
            .is_some_and(|entry| entry.record.is_leaving && entry.record.started == record.started);
        record.is_leaving |= was_leaving;
        if known.is_some_and(|entry| *entry.record == record && entry.drop_at.is_none()) {
            return;
        }
        self.remove_replaced(&record, changes);
        let record = Arc::new(record);
        let entry = TableEntry {
            record: record.clone(),
            drop_at: None,
        };
        self.entries.insert(record.name.clone(), entry);
        changes.push(match record.is_leaving {
            true => UpstreamChange::Leaving(record),
            false => UpstreamChange::Updated(record),
        });
    }

    /// Removes upstreams that previously had the address of a new one. Their entries
    /// outlive them by a few heartbeats.
    fn remove_replaced(&mut self, record: &UpstreamRecord, changes: &mut Vec<UpstreamChange>) {
        self.entries.retain(|name, entry| {
            let is_replaced = entry.record.address == record.address
                && *name != record.name
                && entry.record.started < record.started;
            if is_replaced {
                changes.push(UpstreamChange::Removed(name.clone()));
            }
            !is_replaced
        });
    }

    /// Removes an upstream's entry. Within the grace period, the entry of an upstream that
    /// is not leaving is kept until the period ends and reported as missing.
    pub fn remove(
        &mut self,
        name: &UpstreamName,
        now: ClockTime,
        changes: &mut Vec<UpstreamChange>,
    ) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if now < self.grace_ends_at && !entry.record.is_leaving {
            if entry.drop_at.is_none() {
                entry.drop_at = Some(self.grace_ends_at);
                changes.push(UpstreamChange::Missing(name.clone()));
            }
            return;
        }
        self.entries.remove(name);
        changes.push(UpstreamChange::Removed(name.clone()));
    }

    /// Replaces the whole table; upstreams without a record are removed.
    pub fn replace(&mut self, records: Vec<UpstreamRecord>, now: ClockTime) -> Vec<UpstreamChange> {
        let mut changes = Vec::new();
        let is_listed = |name: &UpstreamName| records.iter().any(|record| record.name == *name);
        let missing = self.entries.keys().filter(|name| !is_listed(name));
        let missing: Vec<UpstreamName> = missing.cloned().collect();
        for name in &missing {
            self.remove(name, now, &mut changes);
        }
        for record in records {
            self.put(record, &mut changes);
        }
        changes
    }

    /// Drops the entries that did not reappear within the grace period.
    pub fn expire(&mut self, now: ClockTime) -> Vec<UpstreamChange> {
        let mut changes = Vec::new();
        self.entries.retain(|name, entry| {
            let is_kept = entry.drop_at.is_none_or(|at| now < at);
            if !is_kept {
                changes.push(UpstreamChange::Removed(name.clone()));
            }
            is_kept
        });
        changes
    }

    /// Returns when [`UpstreamTable::expire`] is due next.
    pub fn next_expiry(&self) -> Option<ClockTime> {
        self.entries
            .values()
            .filter_map(|entry| entry.drop_at)
            .min()
    }

    /// Returns the records of all upstreams.
    pub fn records(&self) -> impl Iterator<Item = &Arc<UpstreamRecord>> {
        self.entries.values().map(|entry| &entry.record)
    }
}
