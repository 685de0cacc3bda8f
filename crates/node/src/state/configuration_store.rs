//! The active configuration of this VM, and how changes are committed and pulled.
//!
//! A change is the row after the last one in the platform's table; the first VM
//! to write that row commits the revision. A VM never goes back to an older revision.

use crate::counters;
use arc_swap::ArcSwap;
use skylarkshed_core::{CatalogError, CatalogState, ChangeRecord, ConfigurationChange};
use skylarkshed_core::{ClockTime, RevisionNumber};
use skylarkshed_platform::wire::{RowCondition, RowWrite, ScanRequest, Transaction};
use skylarkshed_platform::{PlatformError, TableStore};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use thiserror::Error;

const CHANGE_PREFIX: &str = "config/change/";
const CHANGE_ID_PREFIX: &str = "config/id/";
const MAX_KEPT_CHANGES: usize = 4_096;
const MAX_SCAN_ROWS: usize = 256;
const MAX_COMMIT_ATTEMPTS: usize = 8;
const RETRY_DELAY: ClockTime = ClockTime::from_millis(50);

/// Why a change was not committed.
#[derive(Debug, Error)]
pub(crate) enum ChangeError {
    /// The change contradicts the active configuration.
    #[error("{0}")]
    Invalid(#[from] CatalogError),
    /// Another change of the same subject was committed first.
    #[error(
        "revision {0} changed the same service, version, customer or move first; \
         review it and send the change again"
    )]
    Conflict(RevisionNumber),
    /// The identifier was used for another change.
    #[error("the change identifier was used for another change, revision {0}")]
    ReusedId(RevisionNumber),
    /// The platform did not confirm whether the change was committed.
    #[error("the outcome of the change is unknown ({0}); send the same change identifier again")]
    Platform(PlatformError),
    /// A row can't be read.
    #[error("can't read a row of the configuration: {0}")]
    BadRow(String),
}

/// The active configuration and the last changes that led to it.
pub(crate) struct ConfigurationStore {
    state: ArcSwap<CatalogState>,
    /// The last changes, oldest first; also serialises writers.
    changes: Mutex<VecDeque<ChangeRecord>>,
}

impl ConfigurationStore {
    pub(crate) fn new() -> Self {
        ConfigurationStore {
            state: ArcSwap::default(),
            changes: Mutex::default(),
        }
    }

    /// Returns the active configuration.
    pub(crate) fn current(&self) -> Arc<CatalogState> {
        self.state.load_full()
    }

    /// Applies changes in order; skips those that were applied before.
    ///
    /// # Errors
    ///
    /// Fails at the first change that doesn't apply to the revision before it. The
    /// changes before that one stay applied.
    pub(crate) fn apply(&self, records: &[ChangeRecord]) -> Result<RevisionNumber, CatalogError> {
        let mut changes = self.changes.lock().expect("not poisoned");
        let mut state = self.state.load_full();
        let mut result = Ok(());
        for record in records {
            if record.revision <= state.revision {
                continue;
            }
            match state.apply(record) {
                Ok(next) => state = Arc::new(next),
                Err(error) => {
                    result = Err(error);
                    break;
                }
            }
            changes.push_back(record.clone());
        }
        while changes.len() > MAX_KEPT_CHANGES {
            changes.pop_front();
        }
        let revision = state.revision;
        self.state.store(state);
        counters::set_revision(revision.0);
        result.map(|()| revision)
    }

    /// Replaces the configuration by a snapshot if that is newer.
    pub(crate) fn apply_snapshot(&self, snapshot: CatalogState) {
        let mut changes = self.changes.lock().expect("not poisoned");
        if snapshot.revision <= self.state.load().revision {
            return;
        }
        changes.clear();
        counters::set_revision(snapshot.revision.0);
        self.state.store(Arc::new(snapshot));
    }

    /// Returns the changes after a revision, or `None` if some of them are no longer kept.
    pub(crate) fn changes_after(&self, revision: RevisionNumber) -> Option<Vec<ChangeRecord>> {
        let changes = self.changes.lock().expect("not poisoned");
        if revision >= self.state.load().revision {
            return Some(Vec::new());
        }
        let first = changes.front()?.revision;
        if first > revision.next() {
            return None;
        }
        Some(
            changes
                .iter()
                .filter(|record| record.revision > revision)
                .cloned()
                .collect(),
        )
    }

    /// Reads all new changes from the platform's table.
    pub(crate) async fn pull<T: TableStore>(&self, table: &T) -> Result<(), ChangeError> {
        loop {
            let records = scan_changes(table, self.current().revision).await?;
            self.apply(&records)?;
            if records.len() < MAX_SCAN_ROWS {
                return Ok(());
            }
        }
    }

    /// Commits a change; committing it again with the same identifier has no effect.
    pub(crate) async fn commit_change<T: TableStore>(
        &self,
        table: &T,
        change_id: &str,
        change: ConfigurationChange,
    ) -> Result<RevisionNumber, ChangeError> {
        let start = self.current().revision;
        let mut last_error = PlatformError::Unavailable(
            "another change was committed first at every attempt".to_owned(),
        );
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            match self.try_commit(table, change_id, &change, start).await {
                Ok(Some(revision)) => return Ok(revision),
                Ok(None) => {}
                Err(ChangeError::Platform(error)) => {
                    last_error = error;
                    tokio::time::sleep(RETRY_DELAY.to_duration()).await;
                }
                Err(error) => return Err(error),
            }
        }
        Err(ChangeError::Platform(last_error))
    }

    /// Tries once to commit; returns `None` if another change got the revision.
    async fn try_commit<T: TableStore>(
        &self,
        table: &T,
        change_id: &str,
        change: &ConfigurationChange,
        start: RevisionNumber,
    ) -> Result<Option<RevisionNumber>, ChangeError> {
        if let Some(revision) = self.find_committed(table, change_id, change).await? {
            return Ok(Some(revision));
        }
        let current = self.current();
        self.check_conflict(table, change, start).await?;
        let revision = current.revision.next();
        let record = ChangeRecord {
            revision,
            change_id: change_id.to_owned(),
            change: change.clone(),
        };
        current.apply(&record)?;
        let reply = table.transact(&change_transaction(&record)).await;
        let reply = reply.map_err(ChangeError::Platform)?;
        if reply.committed {
            self.apply(&[record])?;
            return Ok(Some(revision));
        }
        self.pull(table).await?;
        Ok(None)
    }

    /// Returns the revision of the change that was committed with this identifier.
    async fn find_committed<T: TableStore>(
        &self,
        table: &T,
        change_id: &str,
        change: &ConfigurationChange,
    ) -> Result<Option<RevisionNumber>, ChangeError> {
        let row = table
            .read(&change_id_key(change_id))
            .await
            .map_err(ChangeError::Platform)?;
        let Some(row) = row else { return Ok(None) };
        let revision = row.value.parse().map(RevisionNumber);
        let revision = revision.map_err(|_| ChangeError::BadRow(row.key))?;
        self.pull(table).await?;
        let row = table
            .read(&change_key(revision))
            .await
            .map_err(ChangeError::Platform)?;
        let row = row.ok_or_else(|| ChangeError::BadRow(change_key(revision)))?;
        let record: ChangeRecord = serde_json::from_str(&row.value)
            .map_err(|error| ChangeError::BadRow(error.to_string()))?;
        match is_same_request(&record.change, change) {
            true => Ok(Some(revision)),
            false => Err(ChangeError::ReusedId(revision)),
        }
    }

    /// Rejects a change of a subject that another change modified since `start`.
    async fn check_conflict<T: TableStore>(
        &self,
        table: &T,
        change: &ConfigurationChange,
        start: RevisionNumber,
    ) -> Result<(), ChangeError> {
        if let Some(since) = self.changes_after(start) {
            return find_conflict(&since, change);
        }
        // A snapshot came without the changes that led to it.
        let mut last = start;
        loop {
            let since = scan_changes(table, last).await?;
            find_conflict(&since, change)?;
            match since.last() {
                Some(record) if since.len() == MAX_SCAN_ROWS => last = record.revision,
                _ => return Ok(()),
            }
        }
    }
}

/// Reads the next changes after a revision, at most [`MAX_SCAN_ROWS`].
async fn scan_changes<T: TableStore>(
    table: &T,
    after: RevisionNumber,
) -> Result<Vec<ChangeRecord>, ChangeError> {
    let request = ScanRequest {
        prefix: CHANGE_PREFIX.to_owned(),
        after: change_key(after),
        limit: MAX_SCAN_ROWS,
    };
    let rows = table.scan(&request).await.map_err(ChangeError::Platform)?;
    rows.iter()
        .map(|row| serde_json::from_str(&row.value))
        .collect::<Result<_, _>>()
        .map_err(|error| ChangeError::BadRow(error.to_string()))
}

fn find_conflict(since: &[ChangeRecord], change: &ConfigurationChange) -> Result<(), ChangeError> {
    let conflict = since
        .iter()
        .find(|record| subject(&record.change) == subject(change));
    match conflict {
        Some(record) => Err(ChangeError::Conflict(record.revision)),
        None => Ok(()),
    }
}

/// Reports whether two changes come from the same operator request.
///
/// A retried move request has new times, so the times of moves are not compared.
fn is_same_request(committed: &ConfigurationChange, requested: &ConfigurationChange) -> bool {
    match (committed, requested) {
        (
            ConfigurationChange::StartMove {
                service: left,
                to: left_to,
                ..
            },
            ConfigurationChange::StartMove {
                service: right,
                to: right_to,
                ..
            },
        ) => left == right && left_to == right_to,
        (
            ConfigurationChange::ReverseMove { service: left, .. },
            ConfigurationChange::ReverseMove { service: right, .. },
        ) => left == right,
        _ => committed == requested,
    }
}

/// Returns the subject of a change; two concurrent changes of one subject conflict.
fn subject(change: &ConfigurationChange) -> (&'static str, &str, &str) {
    match change {
        ConfigurationChange::PutService(entry) => ("service", entry.name.as_str(), ""),
        ConfigurationChange::PutVersion { service, version } => {
            ("version", service.as_str(), version.name.as_str())
        }
        ConfigurationChange::PutCustomer(entry) => ("customer", entry.name.as_str(), ""),
        ConfigurationChange::StartMove { service, .. }
        | ConfigurationChange::StepMove { service, .. }
        | ConfigurationChange::FinishMove { service, .. }
        | ConfigurationChange::ReverseMove { service, .. } => ("move", service.as_str(), ""),
    }
}

fn change_transaction(record: &ChangeRecord) -> Transaction {
    let change_key = change_key(record.revision);
    let id_key = change_id_key(&record.change_id);
    let value = serde_json::to_string(record).expect("a change is plain data");
    Transaction {
        conditions: vec![
            RowCondition {
                key: change_key.clone(),
                version: 0,
            },
            RowCondition {
                key: id_key.clone(),
                version: 0,
            },
        ],
        writes: vec![
            RowWrite {
                key: change_key,
                value: Some(value),
            },
            RowWrite {
                key: id_key,
                value: Some(record.revision.to_string()),
            },
        ],
    }
}

fn change_key(revision: RevisionNumber) -> String {
    format!("{CHANGE_PREFIX}{:012}", revision.0)
}

fn change_id_key(change_id: &str) -> String {
    format!("{CHANGE_ID_PREFIX}{change_id}")
}
