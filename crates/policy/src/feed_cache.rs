//! What a VM has read of a table of the platform's store, for itself and others.

use bytes::Bytes;
use faststr::FastStr;
use skylarkshed_core::ClockTime;
use std::collections::BTreeMap;

/// Removed rows that are remembered for VMs that ask for changes; of a larger
/// table half as many as it has rows, as a zone's upstreams may end at once.
const LEAST_REMOVED: usize = 512;

/// A row, or its removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedRow {
    /// The row's key.
    pub key: FastStr,
    /// The revision of its last change.
    pub revision: u64,
    /// Its value; none if it was removed.
    pub value: Option<Bytes>,
}

/// Rows of a table as of some time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedBatch {
    /// The rows, whole or changed.
    pub rows: Vec<FeedRow>,
    /// The store's revision as far as known.
    pub revision: u64,
    /// How long ago these were known to be the newest, at their arrival.
    pub age: ClockTime,
}

/// Why a VM can't give the changes that another asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedError {
    /// It knows nothing of the table yet.
    Unknown,
    /// The changes asked for are not kept any more.
    HistoryLost,
}

/// The rows of one table, with the removed ones that others may not know of.
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
    is_known: bool,
    /// Removals up to this revision are forgotten.
    base: u64,
    revision: u64,
    fresh_at: ClockTime,
    confirmations: u64,
}

impl FeedCache {
    /// Takes the whole table; `proved` is when it was known to be the newest.
    pub fn replace(&mut self, reading: &FeedBatch, proved: ClockTime) {
        if self.is_known && reading.revision < self.revision {
            return;
        }
        self.rows.clear();
        self.insert(&reading.rows);
        self.is_known = true;
        self.base = reading.revision;
        self.revision = reading.revision;
        self.prove(proved);
    }

    /// Takes changes.
    pub fn apply(&mut self, reading: &FeedBatch, proved: ClockTime) {
        self.insert(&reading.rows);
        self.revision = self.revision.max(reading.revision);
        self.forget_removed();
        self.prove(proved);
    }

    /// Returns the rows changed after a revision, or all that are there.
    ///
    /// # Errors
    ///
    /// Fails if changes after `after` may be missing.
    pub fn changes(&self, after: Option<u64>) -> Result<Vec<FeedRow>, FeedError> {
        if !self.is_known {
            return Err(FeedError::Unknown);
        }
        let rows = self.rows.values();
        match after {
            None => Ok(rows.filter(|row| row.value.is_some()).cloned().collect()),
            Some(after) if after < self.base => Err(FeedError::HistoryLost),
            Some(after) => Ok(rows.filter(|row| row.revision > after).cloned().collect()),
        }
    }

    /// Returns the store's revision as far as known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns when the rows were last known to be the newest.
    pub fn fresh_at(&self) -> ClockTime {
        self.fresh_at
    }

    /// Returns how many proofs of freshness there were.
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

    fn prove(&mut self, proved: ClockTime) {
        if proved > self.fresh_at {
            self.fresh_at = proved;
            self.confirmations += 1;
        }
    }

    fn forget_removed(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        let mut removed: Vec<u64> = removed.map(|row| row.revision).collect();
        if removed.len() <= LEAST_REMOVED.max(self.rows.len() / 2) {
            return;
        }
        removed.sort_unstable();
        let forgotten = removed[removed.len() / 2];
        self.base = self.base.max(forgotten);
        self.rows
            .retain(|_, row| row.value.is_some() || row.revision > forgotten);
    }
}
