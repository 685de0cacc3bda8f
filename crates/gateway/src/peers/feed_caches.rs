//! Caches of the store's tables, from which other VMs are served.

use skylarkshed_core::ClockTime;
use skylarkshed_policy::{FeedBatch, FeedCache, FeedError, FeedRow};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use tokio::sync::watch;

/// The part of a cached table that another VM requested.
pub(crate) struct FeedChanges {
    pub(crate) rows: Vec<FeedRow>,
    pub(crate) revision: u64,
    /// When the rows were last confirmed as current.
    pub(crate) fresh_at: ClockTime,
    /// The number of such confirmations.
    pub(crate) confirmations: u64,
}

/// The caches of all tables, by source name.
pub(crate) struct FeedCaches {
    caches: Mutex<HashMap<&'static str, FeedCache>>,
    changed: watch::Sender<()>,
}

impl FeedCaches {
    pub(crate) fn new() -> Self {
        let (changed, _) = watch::channel(());
        FeedCaches {
            caches: Mutex::default(),
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
    ) {
        let mut caches = self.caches.lock().unwrap_or_else(PoisonError::into_inner);
        let cache = caches.entry(source).or_default();
        match is_complete {
            true => cache.replace(batch, fresh_at),
            false => cache.apply(batch, fresh_at),
        }
        drop(caches);
        self.changed.send_replace(());
    }

    /// Waits until there are changes after a revision or a new freshness confirmation.
    pub(crate) async fn wait(
        &self,
        source: &str,
        after: Option<u64>,
        known_confirmations: u64,
        wait: ClockTime,
    ) -> Result<FeedChanges, FeedError> {
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait.to_duration();
        loop {
            changed.borrow_and_update();
            let changes = self.changes_after(source, after)?;
            let has_changes =
                !changes.rows.is_empty() || changes.confirmations != known_confirmations;
            let changing = tokio::time::timeout_at(deadline, changed.changed());
            if has_changes || after.is_none() || changing.await.is_err() {
                return Ok(changes);
            }
        }
    }

    fn changes_after(&self, source: &str, after: Option<u64>) -> Result<FeedChanges, FeedError> {
        let caches = self.caches.lock().unwrap_or_else(PoisonError::into_inner);
        let cache = caches.get(source).ok_or(FeedError::Unknown)?;
        Ok(FeedChanges {
            rows: cache.changes(after)?,
            revision: cache.revision(),
            fresh_at: cache.fresh_at(),
            confirmations: cache.confirmations(),
        })
    }
}
