//! Caches of the store's tables, from which other VMs are served.

use bytes::Bytes;
use skylarkshed_core::ClockTime;
use skylarkshed_peer::wire::FeedRowWire;
use skylarkshed_peer::{pack_rows, PeerError};
use skylarkshed_policy::{FeedBatch, FeedCache, FeedError, FeedPosition, FeedRow};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// The part of a cached table that another VM requested.
pub(crate) struct FeedChanges {
    pub(crate) rows: Vec<FeedRow>,
    pub(crate) position: FeedPosition,
    /// When the rows were last confirmed as current.
    pub(crate) fresh_at: ClockTime,
    /// The number of such confirmations.
    pub(crate) confirmations: u64,
}

/// The most recently compressed part of a table.
struct PackedChanges {
    after: Option<FeedPosition>,
    position: FeedPosition,
    rows: Bytes,
}

/// The caches of all tables, by source name.
pub(crate) struct FeedCaches {
    caches: Mutex<HashMap<&'static str, FeedCache>>,
    /// The VMs of a zone request the same part of a table at the same time.
    packed: Mutex<HashMap<String, PackedChanges>>,
    changed: watch::Sender<()>,
}

impl FeedCaches {
    pub(crate) fn new() -> Self {
        let (changed, _) = watch::channel(());
        FeedCaches {
            caches: Mutex::default(),
            packed: Mutex::default(),
            changed,
        }
    }

    /// Records a batch from the store or from another VM.
    pub(crate) fn record(
        &self,
        source: &'static str,
        batch: &FeedBatch,
        is_complete: bool,
        fresh_at: ClockTime,
        version: fn(&FeedRow) -> Option<u64>,
    ) {
        let mut caches = self.caches.lock().unwrap_or_else(PoisonError::into_inner);
        let cache = caches.entry(source).or_default();
        match is_complete {
            true => cache.replace(batch, fresh_at, version),
            false => cache.apply(batch, fresh_at),
        }
        drop(caches);
        self.changed.send_replace(());
    }

    /// Returns the era of a cached table; 0 if there is none.
    pub(crate) fn era(&self, source: &str) -> u64 {
        self.position(source).map_or(0, |position| position.era)
    }

    /// Returns the newest known point in the history of a cached table.
    pub(crate) fn position(&self, source: &str) -> Option<FeedPosition> {
        let caches = self.caches.lock().unwrap_or_else(PoisonError::into_inner);
        caches.get(source).map(FeedCache::position)
    }

    /// Waits, up to `wait`, for changes after a position or a new freshness
    /// confirmation. Without a position it returns the whole table as soon as it is
    /// known.
    pub(crate) async fn wait(
        &self,
        source: &str,
        after: Option<FeedPosition>,
        known_confirmations: u64,
        wait: ClockTime,
    ) -> Result<FeedChanges, FeedError> {
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait.to_duration();
        loop {
            changed.borrow_and_update();
            let changes = self.changes_after(source, after);
            let is_ready = match &changes {
                Ok(_) if after.is_none() => true,
                Ok(changes) => {
                    !changes.rows.is_empty() || changes.confirmations != known_confirmations
                }
                Err(FeedError::Unknown) => after.is_some(),
                Err(FeedError::HistoryLost) => true,
            };
            let changing = tokio::time::timeout_at(deadline, changed.changed());
            if is_ready || changing.await.is_err() {
                return changes;
            }
        }
    }

    /// Returns the compressed rows of changes.
    ///
    /// The lock is held during the compression, so that VMs that request the same
    /// changes wait for the first one's result.
    pub(crate) fn pack(
        &self,
        source: &str,
        after: Option<FeedPosition>,
        changes: &FeedChanges,
    ) -> Result<Bytes, PeerError> {
        let mut packed = self.lock_packed();
        let last = packed.get(source);
        let last = last.filter(|last| last.after == after && last.position == changes.position);
        if let Some(last) = last {
            return Ok(last.rows.clone());
        }
        let rows = pack_rows(changes.rows.iter().map(to_wire).collect())?;
        let changes = PackedChanges {
            after,
            position: changes.position,
            rows: rows.clone(),
        };
        packed.insert(source.to_owned(), changes);
        Ok(rows)
    }

    fn lock_packed(&self) -> MutexGuard<'_, HashMap<String, PackedChanges>> {
        // Insertions can't leave the map inconsistent, so a poisoned lock is usable.
        self.packed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn changes_after(
        &self,
        source: &str,
        after: Option<FeedPosition>,
    ) -> Result<FeedChanges, FeedError> {
        let caches = self.caches.lock().unwrap_or_else(PoisonError::into_inner);
        let cache = caches.get(source).ok_or(FeedError::Unknown)?;
        Ok(FeedChanges {
            rows: cache.changes(after)?,
            position: cache.position(),
            fresh_at: cache.fresh_at(),
            confirmations: cache.confirmations(),
        })
    }
}

/// Converts a row to its form in messages between VMs.
pub(super) fn to_wire(row: &FeedRow) -> FeedRowWire {
    FeedRowWire {
        key: row.key.to_string(),
        revision: row.revision,
        value: row.value.as_ref().map(|value| value.to_vec()),
    }
}
