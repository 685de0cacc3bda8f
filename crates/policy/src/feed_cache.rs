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

/// Rows read from a table's change feed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedBatch {
    /// All rows of the table, or only the changed ones.
    pub rows: Vec<FeedRow>,
    /// The highest revision of the store that these rows reflect.
    pub revision: u64,
    /// How long before their arrival these rows were confirmed to be current.
    pub age: ClockTime,
}

/// Why a cache cannot return the requested changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedError {
    /// The cache has not been filled yet.
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
/// use skylarkshed_policy::{FeedCache, FeedBatch, FeedRow};
///
/// let mut cache = FeedCache::default();
/// assert!(cache.changes(Some(3)).is_err());
/// let row = FeedRow { key: "a".into(), revision: 4, value: None };
/// let age = ClockTime::ZERO;
/// cache.replace(&FeedBatch { rows: vec![], revision: 3, age }, ClockTime::ZERO);
/// cache.apply(&FeedBatch { rows: vec![row.clone()], revision: 4, age }, ClockTime::ZERO);
/// assert_eq!(cache.changes(Some(3)), Ok(vec![row]));
/// ```
#[derive(Clone, Debug, Default)]
pub struct FeedCache {
    rows: BTreeMap<FastStr, FeedRow>,
    is_filled: bool,
    /// The lowest revision after which all changes are known; older tombstones are
    /// discarded.
    min_revision: u64,
    revision: u64,
    fresh_at: ClockTime,
    confirmations: u64,
}

impl FeedCache {
    /// Replaces the whole table, unless the cached one is newer; `fresh_at` is when it
    /// was confirmed to be current.
    pub fn replace(&mut self, batch: &FeedBatch, fresh_at: ClockTime) {
        if self.is_filled && batch.revision < self.revision {
            return;
        }
        self.rows.clear();
        self.insert(&batch.rows);
        self.is_filled = true;
        self.min_revision = batch.revision;
        self.revision = batch.revision;
        self.confirm(fresh_at);
    }

    /// Applies changes; `fresh_at` is when they were confirmed to be current.
    pub fn apply(&mut self, batch: &FeedBatch, fresh_at: ClockTime) {
        self.insert(&batch.rows);
        self.revision = self.revision.max(batch.revision);
        self.discard_tombstones();
        self.confirm(fresh_at);
    }

    /// Returns the rows that changed after a revision, or all existing rows.
    ///
    /// # Errors
    ///
    /// Fails if changes after `after` may be missing.
    pub fn changes(&self, after: Option<u64>) -> Result<Vec<FeedRow>, FeedError> {
        if !self.is_filled {
            return Err(FeedError::Unknown);
        }
        let rows = self.rows.values();
        match after {
            None => Ok(rows.filter(|row| row.value.is_some()).cloned().collect()),
            Some(after) if after < self.min_revision => Err(FeedError::HistoryLost),
            Some(after) => Ok(rows.filter(|row| row.revision > after).cloned().collect()),
        }
    }

    /// Returns the highest known revision of the store.
    pub fn revision(&self) -> u64 {
        self.revision
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
