//! Caches what a VM has read of a table of the platform's store, for its own use
//! and for the VMs that read the change feed from it.

use bytes::Bytes;
use faststr::FastStr;
use skylarkshed_core::ClockTime;
use std::collections::BTreeMap;

/// The minimum number of tombstones kept for VMs that request changes. A larger
/// table keeps half as many as it has rows, because all upstreams of a zone may
/// end at once.
const MIN_TOMBSTONES: usize = 512;

/// A row of a table, or the tombstone of a removed row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedRow {
    /// The row's key.
    pub key: FastStr,
    /// The revision of its last change.
    pub revision: u64,
    /// The row's value; `None` for a tombstone.
    pub value: Option<Bytes>,
}

/// A point in the history of the store's changes.
///
/// The store counts its revisions anew when it returns from an older copy; this
/// begins a new era. Revisions of different eras can't be compared.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::FeedPosition;
///
/// let before = FeedPosition { era: 1, revision: 900 };
/// let restored = FeedPosition { era: 2, revision: 850 };
/// assert!(restored.is_in_later_era(before));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FeedPosition {
    /// How often the store has returned from an older copy.
    pub era: u64,
    /// The number of changes since then, and before in the copy.
    pub revision: u64,
}

impl FeedPosition {
    /// Reports whether the store returned from an older copy after `other`.
    pub fn is_in_later_era(self, other: FeedPosition) -> bool {
        self.era > other.era
    }
}

/// Rows read from a table's change feed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedBatch {
    /// All rows of the table, or only the changed ones.
    pub rows: Vec<FeedRow>,
    /// The newest point of the store's history that these rows reflect.
    pub position: FeedPosition,
    /// How long before their arrival these rows were confirmed to be current.
    pub age: ClockTime,
}

/// Why a cache cannot return the requested changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedError {
    /// The cache has not been filled yet, or not in the requested era.
    Unknown,
    /// The requested changes are no longer kept.
    HistoryLost,
}

/// The rows of one table, with the tombstones that other VMs may not have yet.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{FeedCache, FeedBatch, FeedPosition, FeedRow};
///
/// let mut cache = FeedCache::default();
/// let at = |revision| FeedPosition { era: 1, revision };
/// assert!(cache.changes(Some(at(3))).is_err());
/// let row = FeedRow { key: "a".into(), revision: 4, value: None };
/// let age = ClockTime::ZERO;
/// let table = FeedBatch { rows: vec![], position: at(3), age };
/// cache.replace(&table, ClockTime::ZERO, |_| None);
/// let changes = FeedBatch { rows: vec![row.clone()], position: at(4), age };
/// cache.apply(&changes, ClockTime::ZERO);
/// assert_eq!(cache.changes(Some(at(3))), Ok(vec![row]));
/// ```
#[derive(Clone, Debug, Default)]
pub struct FeedCache {
    rows: BTreeMap<FastStr, FeedRow>,
    is_filled: bool,
    /// The lowest revision after which all changes are known; older tombstones are
    /// discarded.
    min_revision: u64,
    position: FeedPosition,
    fresh_at: ClockTime,
    confirmations: u64,
}

impl FeedCache {
    /// Replaces the whole table, unless the cached one is newer; `fresh_at` is when it
    /// was confirmed to be current.
    ///
    /// `version` returns the version that a row's writer gave it, if it did. When the
    /// store has returned from an older copy, a row with a higher version than the
    /// copy's is kept until its writer has written it again: other VMs that start in
    /// the meantime must not begin with an older one.
    pub fn replace(
        &mut self,
        batch: &FeedBatch,
        fresh_at: ClockTime,
        version: impl Fn(&FeedRow) -> Option<u64>,
    ) {
        let is_older_era = self.position.is_in_later_era(batch.position);
        let is_later_era = batch.position.is_in_later_era(self.position);
        let is_older =
            is_older_era || (!is_later_era && batch.position.revision < self.position.revision);
        if self.is_filled && is_older {
            return;
        }
        let previous = std::mem::take(&mut self.rows);
        self.insert(&batch.rows);
        if is_later_era {
            self.keep_newer_versions(previous, batch.position, version);
        }
        self.is_filled = true;
        self.min_revision = batch.position.revision;
        self.position = batch.position;
        self.confirm(fresh_at);
    }

    fn keep_newer_versions(
        &mut self,
        previous: BTreeMap<FastStr, FeedRow>,
        position: FeedPosition,
        version: impl Fn(&FeedRow) -> Option<u64>,
    ) {
        for (key, row) in previous {
            let Some(known) = version(&row) else {
                continue;
            };
            let restored = self.rows.get(&key).and_then(&version);
            if restored.is_none_or(|restored| restored < known) {
                let revision = position.revision;
                self.rows.insert(key, FeedRow { revision, ..row });
            }
        }
    }

    /// Applies changes; `fresh_at` is when they were confirmed to be current. Changes
    /// of another era are ignored.
    pub fn apply(&mut self, batch: &FeedBatch, fresh_at: ClockTime) {
        if batch.position.era != self.position.era {
            return;
        }
        self.insert(&batch.rows);
        let revision = self.position.revision.max(batch.position.revision);
        self.position.revision = revision;
        self.discard_tombstones();
        self.confirm(fresh_at);
    }

    /// Returns the rows that changed after a position, or all existing rows.
    ///
    /// # Errors
    ///
    /// Fails if changes after `after` may be missing, or if it is in a later era than
    /// the cached rows.
    pub fn changes(&self, after: Option<FeedPosition>) -> Result<Vec<FeedRow>, FeedError> {
        if !self.is_filled {
            return Err(FeedError::Unknown);
        }
        let rows = self.rows.values();
        let Some(after) = after else {
            return Ok(rows.filter(|row| row.value.is_some()).cloned().collect());
        };
        if after.is_in_later_era(self.position) {
            return Err(FeedError::Unknown);
        }
        if self.position.is_in_later_era(after) || after.revision < self.min_revision {
            return Err(FeedError::HistoryLost);
        }
        let is_later = |row: &&FeedRow| row.revision > after.revision;
        Ok(rows.filter(is_later).cloned().collect())
    }

    /// Returns the newest known point of the store's history.
    pub fn position(&self) -> FeedPosition {
        self.position
    }

    /// Returns when the rows were last confirmed to be current.
    pub fn fresh_at(&self) -> ClockTime {
        self.fresh_at
    }

    /// Returns how often the rows were confirmed to be current.
    pub fn confirmations(&self) -> u64 {
        self.confirmations
    }

    fn insert(&mut self, rows: &[FeedRow]) {
        for row in rows {
            let known = self.rows.get(&row.key);
            if known.is_none_or(|known| known.revision <= row.revision) {
                self.rows.insert(row.key.clone(), row.clone());
            }
        }
    }

    fn confirm(&mut self, fresh_at: ClockTime) {
        if fresh_at > self.fresh_at {
            self.fresh_at = fresh_at;
            self.confirmations += 1;
        }
    }

    fn discard_tombstones(&mut self) {
        let tombstones = self.rows.values().filter(|row| row.value.is_none());
        let mut tombstones: Vec<u64> = tombstones.map(|row| row.revision).collect();
        if tombstones.len() <= MIN_TOMBSTONES.max(self.rows.len() / 2) {
            return;
        }
        tombstones.sort_unstable();
        let discarded_revision = tombstones[tombstones.len() / 2];
        self.min_revision = self.min_revision.max(discarded_revision);
        self.rows
            .retain(|_, row| row.value.is_some() || row.revision > discarded_revision);
    }
}
