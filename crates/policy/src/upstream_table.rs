//! Tracks the upstreams that can receive work.
//!
//! The entries in the store may expire, arrive late and reappear. An entry of an earlier
//! start, or one of an upstream that was removed, is not used until it is clear that a
//! living upstream renews it: the store removes the others after a few heartbeats.

use crate::departed_upstreams::{DepartedUpstream, DepartedUpstreams};
use crate::heartbeat_estimate::HeartbeatEstimate;
use crate::upstream_entry::{EntryDoubt, EntryTimes, UpstreamChange, UpstreamEntry};
use skylarkshed_core::{ClockTime, UpstreamName, UpstreamRecord};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How many times as long as the entry of a removed upstream one of an earlier start has to
/// be listed. Only an upstream whose wall clock was set back is affected.
const EARLIER_START_FACTOR: u64 = 3;

#[derive(Clone, Debug)]
struct TableEntry {
    record: Arc<UpstreamRecord>,
    /// Set if the entry may have expired during an outage of the store.
    missing: Option<MissingEntry>,
    /// Unknown if the entry was only read with the whole table, which may be much later
    /// than its heartbeat.
    heartbeats: Option<HeartbeatEstimate>,
}

/// An entry that the store no longer has, and that is still used.
#[derive(Clone, Copy, Debug)]
struct MissingEntry {
    since: ClockTime,
    drop_at: ClockTime,
}

/// An entry that is not used yet.
#[derive(Clone, Debug)]
struct DoubtedEntry {
    record: UpstreamRecord,
    use_at: ClockTime,
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
/// use skylarkshed_policy::{EntryTimes, UpstreamTable};
///
/// let mut table = UpstreamTable::new(EntryTimes {
///     grace: ClockTime::from_millis(2_000),
///     silence: ClockTime::from_millis(5_000),
///     heartbeat: ClockTime::from_millis(1_200),
/// });
/// assert!(table.replace(Vec::new(), ClockTime::ZERO).is_empty());
/// assert_eq!(table.records().count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamTable {
    entries: BTreeMap<UpstreamName, TableEntry>,
    times: EntryTimes,
    grace_ends_at: ClockTime,
    /// The end of the grace period after the store has returned from an older copy.
    restore_grace_ends_at: ClockTime,
    departed: DepartedUpstreams,
    doubted: BTreeMap<UpstreamName, DoubtedEntry>,
}

impl UpstreamTable {
    /// Creates an empty table.
    pub fn new(times: EntryTimes) -> Self {
        UpstreamTable {
            entries: BTreeMap::new(),
            times,
            grace_ends_at: ClockTime::ZERO,
            restore_grace_ends_at: ClockTime::ZERO,
            departed: DepartedUpstreams::default(),
            doubted: BTreeMap::new(),
        }
    }

    /// Records that the store has returned from an older copy, whose missing entries have
    /// the grace period to reappear.
    pub fn mark_store_restored(&mut self, now: ClockTime) {
        self.restore_grace_ends_at = now + self.times.grace;
        self.grace_ends_at = self.restore_grace_ends_at;
    }

    /// Records when the store returned from its last outage; `None` if it was not away.
    /// Entries that are missing are dropped at the end of the grace period that follows.
    pub fn record_store_return(
        &mut self,
        returned_at: Option<ClockTime>,
        now: ClockTime,
    ) -> Vec<UpstreamChange> {
        let outage_grace_ends_at = returned_at.map_or(ClockTime::ZERO, |at| at + self.times.grace);
        self.grace_ends_at = outage_grace_ends_at.max(self.restore_grace_ends_at);
        let entries = self.entries.values_mut();
        for missing in entries.filter_map(|entry| entry.missing.as_mut()) {
            missing.drop_at = self.grace_ends_at;
        }
        self.expire(now)
    }

    /// Inserts or updates an upstream's entry after a change in the store.
    pub fn put(&mut self, entry: UpstreamEntry, now: ClockTime, changes: &mut Vec<UpstreamChange>) {
        let heartbeats = HeartbeatEstimate::new(entry.heartbeats, now);
        self.review(entry, Some(heartbeats), now, changes);
    }

    /// Inserts an entry unless it may be old.
    fn review(
        &mut self,
        entry: UpstreamEntry,
        heartbeats: Option<HeartbeatEstimate>,
        now: ClockTime,
        changes: &mut Vec<UpstreamChange>,
    ) {
        let previous = self.doubted.remove(&entry.record.name);
        let Some(doubt) = self.doubt(&entry) else {
            return self.insert(entry.record, heartbeats, now, changes);
        };
        let factor = match doubt {
            EntryDoubt::EarlierStart => EARLIER_START_FACTOR,
            EntryDoubt::Removed => 1,
        };
        let delay = ClockTime::from_millis(self.times.silence.as_millis() * factor);
        let name = entry.record.name.clone();
        let previous = previous.filter(|previous| previous.record.started == entry.record.started);
        if previous.is_none() {
            changes.push(UpstreamChange::Doubted(name.clone(), doubt));
        }
        // Another read of the table tells nothing new.
        let previous = previous.filter(|_| heartbeats.is_none());
        let doubted = DoubtedEntry {
            record: entry.record,
            use_at: previous.map_or(now + delay, |previous| previous.use_at),
        };
        self.doubted.insert(name, doubted);
    }

    fn doubt(&self, entry: &UpstreamEntry) -> Option<EntryDoubt> {
        let record = &entry.record;
        // An entry of another service under the name is another writer's.
        let known = self.entries.get(&record.name);
        let known = known.filter(|known| known.record.service == record.service);
        let departed = self.departed.get(&record.name);
        let departed = departed.filter(|departed| departed.service == record.service);
        let starts = known.map(|known| known.record.started);
        let starts = starts
            .into_iter()
            .chain(departed.map(|departed| departed.started));
        if starts.max().is_some_and(|latest| record.started < latest) {
            return Some(EntryDoubt::EarlierStart);
        }
        let departed = departed.filter(|departed| departed.started == record.started)?;
        let interval = self.times.heartbeat;
        let is_renewed = departed.heartbeats.is_some_and(|heartbeats| {
            heartbeats.is_sent_after(entry.heartbeats, departed.departed_at, interval)
        });
        let is_trusted = departed.is_overwritten || record.is_leaving || is_renewed;
        (!is_trusted).then_some(EntryDoubt::Removed)
    }

    fn insert(
        &mut self,
        mut record: UpstreamRecord,
        heartbeats: Option<HeartbeatEstimate>,
        now: ClockTime,
        changes: &mut Vec<UpstreamChange>,
    ) {
        let departed = self.departed.take(&record.name);
        let departed = departed.as_ref();
        let departed = departed.filter(|departed| departed.started == record.started);
        let known = self.entries.get(&record.name);
        let known = known.filter(|known| known.record.started == record.started);
        // Leaving is final for one incarnation of an upstream.
        record.is_leaving |= departed.is_some_and(|departed| departed.was_leaving)
            || known.is_some_and(|known| known.record.is_leaving);
        let estimates = [
            heartbeats,
            departed.and_then(|departed| departed.heartbeats),
            known.and_then(|known| known.heartbeats),
        ];
        let interval = self.times.heartbeat;
        let estimates = estimates.into_iter().flatten();
        let heartbeats = estimates.reduce(|first, second| first.earlier(second, interval));
        let is_same = known.is_some_and(|known| *known.record == record && known.missing.is_none());
        if is_same {
            if let Some(known) = self.entries.get_mut(&record.name) {
                known.heartbeats = heartbeats;
            }
            return;
        }
        self.remove_replaced(&record, now, changes);
        let record = Arc::new(record);
        let entry = TableEntry {
            record: record.clone(),
            missing: None,
            heartbeats,
        };
        self.entries.insert(record.name.clone(), entry);
        changes.push(match record.is_leaving {
            true => UpstreamChange::Leaving(record),
            false => UpstreamChange::Updated(record),
        });
    }

    /// Removes upstreams that previously had the address of a new one. Their entries
    /// outlive them by a few heartbeats.
    fn remove_replaced(
        &mut self,
        record: &UpstreamRecord,
        now: ClockTime,
        changes: &mut Vec<UpstreamChange>,
    ) {
        let is_replaced = |entry: &&TableEntry| {
            entry.record.address == record.address
                && entry.record.name != record.name
                && entry.record.started < record.started
        };
        let replaced = self.entries.values().filter(is_replaced);
        let replaced: Vec<UpstreamName> = replaced.map(|entry| entry.record.name.clone()).collect();
        for name in replaced {
            self.drop_entry(&name, now, false, changes);
        }
    }

    /// Removes an upstream's entry. Within the grace period, the entry of an upstream that
    /// is not leaving is kept until the period ends and reported as missing.
    pub fn remove(
        &mut self,
        name: &UpstreamName,
        now: ClockTime,
        changes: &mut Vec<UpstreamChange>,
    ) {
        self.doubted.remove(name);
        self.departed.confirm(name, now);
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if now < self.grace_ends_at && !entry.record.is_leaving {
            if entry.missing.is_none() {
                entry.missing = Some(MissingEntry {
                    since: now,
                    drop_at: self.grace_ends_at,
                });
                changes.push(UpstreamChange::Missing(name.clone()));
            }
            return;
        }
        self.drop_entry(name, now, false, changes);
    }

    /// Removes an upstream whose entry was replaced by one that can't be read. Its next
    /// heartbeat brings it back.
    pub fn remove_unreadable(
        &mut self,
        name: &UpstreamName,
        now: ClockTime,
        changes: &mut Vec<UpstreamChange>,
    ) {
        self.doubted.remove(name);
        self.drop_entry(name, now, true, changes);
    }

    fn drop_entry(
        &mut self,
        name: &UpstreamName,
        now: ClockTime,
        is_overwritten: bool,
        changes: &mut Vec<UpstreamChange>,
    ) {
        let Some(entry) = self.entries.remove(name) else {
            return;
        };
        let departed = DepartedUpstream {
            service: entry.record.service.clone(),
            started: entry.record.started,
            was_leaving: entry.record.is_leaving,
            departed_at: entry.missing.map_or(now, |missing| missing.since),
            is_overwritten,
            heartbeats: entry.heartbeats,
        };
        self.departed.remember(name.clone(), departed);
        changes.push(UpstreamChange::Removed(name.clone()));
    }

    /// Replaces the whole table; upstreams without an entry, or with one of an earlier
    /// start, are removed.
    pub fn replace(&mut self, entries: Vec<UpstreamEntry>, now: ClockTime) -> Vec<UpstreamChange> {
        let mut changes = Vec::new();
        let listed: BTreeMap<&UpstreamName, ClockTime> = entries
            .iter()
            .map(|entry| (&entry.record.name, entry.record.started))
            .collect();
        let is_missing = |known: &&TableEntry| {
            let started = listed.get(&known.record.name);
            started.is_none_or(|started| *started < known.record.started)
        };
        let missing = self.entries.values().filter(is_missing);
        let mut missing: Vec<UpstreamName> =
            missing.map(|known| known.record.name.clone()).collect();
        let doubted = self.doubted.keys();
        missing.extend(doubted.filter(|name| !listed.contains_key(name)).cloned());
        for name in &missing {
            self.remove(name, now, &mut changes);
        }
        for entry in entries {
            self.review(entry, None, now, &mut changes);
        }
        changes
    }

    /// Drops the entries that did not reappear within the grace period, and uses those
    /// that are no longer in doubt.
    pub fn expire(&mut self, now: ClockTime) -> Vec<UpstreamChange> {
        let mut changes = Vec::new();
        let is_expired = |entry: &&TableEntry| {
            let missing = entry.missing;
            missing.is_some_and(|missing| now >= missing.drop_at)
        };
        let expired = self.entries.values().filter(is_expired);
        let expired: Vec<UpstreamName> = expired.map(|entry| entry.record.name.clone()).collect();
        for name in &expired {
            self.drop_entry(name, now, false, &mut changes);
        }
        let settled = self.doubted.values().filter(|entry| now >= entry.use_at);
        let settled: Vec<UpstreamRecord> = settled.map(|entry| entry.record.clone()).collect();
        for record in settled {
            self.doubted.remove(&record.name);
            self.insert(record, None, now, &mut changes);
        }
        changes
    }

    /// Returns when [`UpstreamTable::expire`] is due next.
    pub fn next_expiry(&self) -> Option<ClockTime> {
        self.entries
            .values()
            .filter_map(|entry| entry.missing.map(|missing| missing.drop_at))
            .min()
    }

    /// Returns the records of all upstreams.
    pub fn records(&self) -> impl Iterator<Item = &Arc<UpstreamRecord>> {
        self.entries.values().map(|entry| &entry.record)
    }
}
