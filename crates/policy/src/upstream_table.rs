//! Which upstreams may get work, from entries that lapse, lag and come back.

use skylarkshed_core::{ClockTime, UpstreamName, UpstreamRecord};
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Debug)]
struct BookEntry {
    record: Arc<UpstreamRecord>,
    /// When the entry is to be dropped, if it lapsed while the store was away.
    drop_at: Option<ClockTime>,
}

/// The upstreams by name.
///
/// An entry that is missing right after an outage of the store may only have
/// lapsed for want of heartbeats, so it is kept for a moment.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::UpstreamTable;
///
/// let mut book = UpstreamTable::new(ClockTime::from_millis(2_000));
/// assert!(book.replace(Vec::new(), ClockTime::ZERO).is_empty());
/// assert_eq!(book.records().count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamTable {
    entries: BTreeMap<UpstreamName, BookEntry>,
    /// How long entries may take to come back after an outage.
    lapse: ClockTime,
    store_lost: bool,
    lapse_ends: ClockTime,
}

/// A change of what is known of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamChange {
    /// It is new or its entry changed.
    Updated(Arc<UpstreamRecord>),
    /// It is leaving and gets no new work.
    Leaving(Arc<UpstreamRecord>),
    /// Its entry is missing, but may come back.
    Lapsed(UpstreamName),
    /// It is gone.
    Removed(UpstreamName),
}

impl UpstreamTable {
    /// Makes an empty book.
    pub fn new(lapse: ClockTime) -> Self {
        UpstreamTable {
            entries: BTreeMap::new(),
            lapse,
            store_lost: false,
            lapse_ends: ClockTime::ZERO,
        }
    }

    /// Notes that the store does not answer.
    pub fn mark_store_unavailable(&mut self) {
        self.store_lost = true;
    }

    /// Notes that the store answers; entries that lapsed may come back from now on.
    pub fn mark_store_available(&mut self, now: ClockTime) {
        if self.store_lost {
            self.store_lost = false;
            self.lapse_ends = now + self.lapse;
        }
    }

    /// Takes an upstream's entry.
    pub fn put(&mut self, mut record: UpstreamRecord, changes: &mut Vec<UpstreamChange>) {
        let known = self.entries.get(&record.name);
        // Leaving is final for one run of an upstream.
        let was_leaving = known
            .is_some_and(|entry| entry.record.is_leaving && entry.record.started == record.started);
        record.is_leaving |= was_leaving;
        if known.is_some_and(|entry| *entry.record == record && entry.drop_at.is_none()) {
            return;
        }
        self.remove_replaced(&record, changes);
        let record = Arc::new(record);
        let entry = BookEntry {
            record: record.clone(),
            drop_at: None,
        };
        self.entries.insert(record.name.clone(), entry);
        changes.push(match record.is_leaving {
            true => UpstreamChange::Leaving(record),
            false => UpstreamChange::Updated(record),
        });
    }

    /// Removes the upstreams that had a new one's address before it: their
    /// entries outlive them for some heartbeats.
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

    /// Takes the removal of an upstream's entry.
    pub fn remove(
        &mut self,
        name: &UpstreamName,
        now: ClockTime,
        changes: &mut Vec<UpstreamChange>,
    ) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if now < self.lapse_ends && !entry.record.is_leaving {
            if entry.drop_at.is_none() {
                entry.drop_at = Some(self.lapse_ends);
                changes.push(UpstreamChange::Lapsed(name.clone()));
            }
            return;
        }
        self.entries.remove(name);
        changes.push(UpstreamChange::Removed(name.clone()));
    }

    /// Takes the whole table; what it lacks is removed.
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

    /// Drops the entries that did not come back in time.
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

    /// Returns the next time at which [`UpstreamTable::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<ClockTime> {
        self.entries
            .values()
            .filter_map(|entry| entry.drop_at)
            .min()
    }

    /// Returns all upstreams.
    pub fn records(&self) -> impl Iterator<Item = &Arc<UpstreamRecord>> {
        self.entries.values().map(|entry| &entry.record)
    }
}
