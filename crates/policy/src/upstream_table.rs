//! Tracks the upstreams that can receive work.
//!
//! The entries in the store may expire, arrive late and reappear.

use skylarkshed_core::{ClockTime, UpstreamName, UpstreamRecord};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

#[derive(Clone, Debug)]
struct TableEntry {
    record: Arc<UpstreamRecord>,
    /// When the entry is dropped, if it expired during an outage of the store.
    drop_at: Option<ClockTime>,
}

/// An upstream whose entry was removed.
#[derive(Clone, Copy, Debug)]
struct DepartedUpstream {
    started: ClockTime,
    was_leaving: bool,
}

/// The number of removed upstreams that are remembered.
const MAX_DEPARTED: usize = 4_096;

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
/// let grace = ClockTime::from_millis(2_000);
/// let mut table = UpstreamTable::new(grace, ClockTime::from_millis(5_000));
/// assert!(table.replace(Vec::new(), ClockTime::ZERO).is_empty());
/// assert_eq!(table.records().count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamTable {
    entries: BTreeMap<UpstreamName, TableEntry>,
    /// How long entries may take to reappear after an outage.
    grace: ClockTime,
    grace_ends_at: ClockTime,
    /// The end of the grace period after the store has returned from an older copy.
    restore_grace_ends_at: ClockTime,
    departed: HashMap<UpstreamName, DepartedUpstream>,
    /// How long entries that came back with an older copy of the store are not used.
    quarantine: ClockTime,
    quarantine_ends_at: ClockTime,
    /// Upstreams that had gone and are listed again in the older copy.
    quarantined: BTreeMap<UpstreamName, UpstreamRecord>,
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
    /// an outage of the store, and `quarantine` how long the store takes to remove
    /// entries of upstreams that no longer exist.
    pub fn new(grace: ClockTime, quarantine: ClockTime) -> Self {
        UpstreamTable {
            entries: BTreeMap::new(),
            grace,
            grace_ends_at: ClockTime::ZERO,
            restore_grace_ends_at: ClockTime::ZERO,
            departed: HashMap::new(),
            quarantine,
            quarantine_ends_at: ClockTime::ZERO,
            quarantined: BTreeMap::new(),
        }
    }

    /// Records that the store has returned from an older copy.
    ///
    /// Entries that the copy lacks have the grace period to reappear. Entries of
    /// upstreams that had gone are not used until it is clear that they are renewed.
    pub fn mark_store_restored(&mut self, now: ClockTime) {
        self.restore_grace_ends_at = now + self.grace;
        self.grace_ends_at = self.restore_grace_ends_at;
        self.quarantine_ends_at = now + self.quarantine;
    }

    /// Records when the store returned from its last outage; `None` if it was not away.
    /// Entries that are missing are dropped at the end of the grace period that follows.
    pub fn record_store_return(
        &mut self,
        returned_at: Option<ClockTime>,
        now: ClockTime,
    ) -> Vec<UpstreamChange> {
        let outage_grace_ends_at = returned_at.map_or(ClockTime::ZERO, |at| at + self.grace);
        self.grace_ends_at = outage_grace_ends_at.max(self.restore_grace_ends_at);
        let missing = self.entries.values_mut();
        for entry in missing.filter(|entry| entry.drop_at.is_some()) {
            entry.drop_at = Some(self.grace_ends_at);
        }
        self.expire(now)
    }

    /// Inserts or updates an upstream's entry.
    pub fn put(
        &mut self,
        record: UpstreamRecord,
        now: ClockTime,
        changes: &mut Vec<UpstreamChange>,
    ) {
        let departed = self.departed.get(&record.name);
        let departed = departed.filter(|departed| departed.started == record.started);
        if departed.is_some() && now < self.quarantine_ends_at {
            self.quarantined.insert(record.name.clone(), record);
            return;
        }
        let was_leaving = departed.is_some_and(|departed| departed.was_leaving);
        let is_leaving = record.is_leaving || was_leaving;
        let record = UpstreamRecord {
            is_leaving,
            ..record
        };
        self.insert(record, changes);
    }

    fn insert(&mut self, mut record: UpstreamRecord, changes: &mut Vec<UpstreamChange>) {
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
        self.quarantined.remove(name);
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
        let record = entry.record.clone();
        self.entries.remove(name);
        self.remember_departed(&record);
        changes.push(UpstreamChange::Removed(name.clone()));
    }

    fn remember_departed(&mut self, record: &UpstreamRecord) {
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.clear();
        }
        let departed = DepartedUpstream {
            started: record.started,
            was_leaving: record.is_leaving,
        };
        self.departed.insert(record.name.clone(), departed);
    }

    /// Replaces the whole table; upstreams without a record are removed.
    pub fn replace(&mut self, records: Vec<UpstreamRecord>, now: ClockTime) -> Vec<UpstreamChange> {
        let mut changes = Vec::new();
        self.quarantined.clear();
        let is_listed = |name: &UpstreamName| records.iter().any(|record| record.name == *name);
        let missing = self.entries.keys().filter(|name| !is_listed(name));
        let missing: Vec<UpstreamName> = missing.cloned().collect();
        for name in &missing {
            self.remove(name, now, &mut changes);
        }
        for record in records {
            self.put(record, now, &mut changes);
        }
        changes
    }

    /// Drops the entries that did not reappear within the grace period, and uses those
    /// whose quarantine has ended.
    pub fn expire(&mut self, now: ClockTime) -> Vec<UpstreamChange> {
        let mut changes = Vec::new();
        let is_expired = |entry: &&TableEntry| entry.drop_at.is_some_and(|at| now >= at);
        let expired = self.entries.values().filter(is_expired);
        let expired: Vec<Arc<UpstreamRecord>> = expired.map(|entry| entry.record.clone()).collect();
        for record in expired {
            self.entries.remove(&record.name);
            self.remember_departed(&record);
            changes.push(UpstreamChange::Removed(record.name.clone()));
        }
        if now >= self.quarantine_ends_at {
            for record in std::mem::take(&mut self.quarantined).into_values() {
                self.put(record, now, &mut changes);
            }
        }
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
