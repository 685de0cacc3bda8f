//! The tables of the store as this VM knows them, for itself and for others.

use skylarkshed_core::ClockTime;
use skylarkshed_policy::{FeedBatch, FeedCache, FeedError, FeedRow};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use tokio::sync::watch;

/// What another VM is told.
pub(crate) struct BoardAnswer {
    pub(crate) rows: Vec<FeedRow>,
    pub(crate) revision: u64,
    /// When the rows were last known to be the newest.
    pub(crate) proved: ClockTime,
    pub(crate) proofs: u64,
}

/// The caches of all tables, by the sources' names.
pub(crate) struct NewsBoard {
    caches: Mutex<HashMap<&'static str, FeedCache>>,
    changed: watch::Sender<()>,
}

impl NewsBoard {
    pub(crate) fn new() -> Self {
        let (changed, _) = watch::channel(());
        NewsBoard {
            caches: Mutex::default(),
            changed,
        }
    }

    /// Notes an answer of the store or of another VM.
    pub(crate) fn note(
        &self,
        source: &'static str,
        reading: &FeedBatch,
        is_whole: bool,
        proved: ClockTime,
    ) {
        let mut caches = self.caches.lock().unwrap_or_else(PoisonError::into_inner);
        let cache = caches.entry(source).or_default();
        match is_whole {
            true => cache.replace(reading, proved),
            false => cache.apply(reading, proved),
        }
        drop(caches);
        self.changed.send_replace(());
    }

    /// Waits until there is news after a revision or a proof.
    pub(crate) async fn wait(
        &self,
        source: &str,
        after: Option<u64>,
        proof: u64,
        wait: ClockTime,
    ) -> Result<BoardAnswer, FeedError> {
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait.to_duration();
        loop {
            changed.borrow_and_update();
            let answer = self.answer(source, after)?;
            let is_news = !answer.rows.is_empty() || answer.proofs != proof;
            let changing = tokio::time::timeout_at(deadline, changed.changed());
            if is_news || after.is_none() || changing.await.is_err() {
                return Ok(answer);
            }
        }
    }

    fn answer(&self, source: &str, after: Option<u64>) -> Result<BoardAnswer, FeedError> {
        let caches = self.caches.lock().unwrap_or_else(PoisonError::into_inner);
        let cache = caches.get(source).ok_or(FeedError::Unknown)?;
        Ok(BoardAnswer {
            rows: cache.changes(after)?,
            revision: cache.revision(),
            proved: cache.fresh_at(),
            proofs: cache.confirmations(),
        })
    }
}
