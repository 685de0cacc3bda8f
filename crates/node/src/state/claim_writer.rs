//! Writes claims and responses to the platform's table, many in one transaction.

use crate::clients::Platform;
use crate::counters;
use skylarkshed_core::ClockTime;
use skylarkshed_platform::wire::{RowCondition, RowWrite, Transaction, TransactionReply};
use skylarkshed_platform::{PlatformError, TableStore};
use std::collections::HashSet;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, Semaphore};

const MAX_QUEUED_WRITES: usize = 1_024;
const MAX_WRITES_PER_TRANSACTION: usize = 64;
const MAX_CONCURRENT_TRANSACTIONS: usize = 4;

/// The result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteOutcome {
    Committed,
    /// The row has another version.
    Conflict,
    /// Nothing was written.
    Unavailable,
    /// The row may have been written.
    ReplyLost,
}

/// A write that applies only if the row has this version; 0 means that there is no row.
#[derive(Clone, Debug)]
pub(crate) struct ConditionalWrite {
    pub(crate) key: String,
    pub(crate) version: u64,
    pub(crate) value: Option<String>,
}

struct QueuedWrite {
    write: ConditionalWrite,
    outcome_tx: oneshot::Sender<WriteOutcome>,
}

/// Collects writes for a short time and sends them in one transaction.
#[derive(Clone)]
pub(crate) struct ClaimWriter {
    queue: mpsc::Sender<QueuedWrite>,
}

impl ClaimWriter {
    /// Starts the writer's task.
    pub(crate) fn start(platform: Platform, window: ClockTime) -> Self {
        let (queue, writes) = mpsc::channel(MAX_QUEUED_WRITES);
        tokio::spawn(run_batches(platform, window, writes));
        ClaimWriter { queue }
    }

    /// Writes a row.
    pub(crate) async fn write(&self, write: ConditionalWrite) -> WriteOutcome {
        let (outcome_tx, outcome) = oneshot::channel();
        if self
            .queue
            .try_send(QueuedWrite { write, outcome_tx })
            .is_err()
        {
            return WriteOutcome::Unavailable;
        }
        outcome.await.unwrap_or(WriteOutcome::ReplyLost)
    }
}

async fn run_batches(
    platform: Platform,
    window: ClockTime,
    mut writes: mpsc::Receiver<QueuedWrite>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_TRANSACTIONS));
    let mut deferred: Option<QueuedWrite> = None;
    loop {
        let first = match deferred.take() {
            Some(write) => write,
            None => match writes.recv().await {
                Some(write) => write,
                None => return,
            },
        };
        let (batch, next) = collect_batch(first, window, &mut writes).await;
        deferred = next;
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let platform = platform.clone();
        tokio::spawn(async move {
            write_batch(&platform, batch).await;
            drop(permit);
        });
    }
}

/// Collects writes to distinct rows; a second write to a row starts the next batch.
async fn collect_batch(
    first: QueuedWrite,
    window: ClockTime,
    writes: &mut mpsc::Receiver<QueuedWrite>,
) -> (Vec<QueuedWrite>, Option<QueuedWrite>) {
    let mut keys = HashSet::from([first.write.key.clone()]);
    let mut batch = vec![first];
    let end = tokio::time::Instant::now() + window.to_duration();
    while batch.len() < MAX_WRITES_PER_TRANSACTION {
        let Ok(Some(write)) = tokio::time::timeout_at(end, writes.recv()).await else {
            break;
        };
        if !keys.insert(write.write.key.clone()) {
            return (batch, Some(write));
        }
        batch.push(write);
    }
    (batch, None)
}

/// Writes a batch; reports the writes in conflict and retries the others.
async fn write_batch(platform: &Platform, mut batch: Vec<QueuedWrite>) {
    while !batch.is_empty() {
        let reply = platform.transact(&transaction(&batch)).await;
        counters::count_platform("write", if reply.is_ok() { "ok" } else { "failed" });
        match reply {
            Ok(TransactionReply {
                committed: true, ..
            }) => {
                return report_all(batch, WriteOutcome::Committed);
            }
            Ok(TransactionReply { failed, .. }) if !failed.is_empty() => {
                batch = report_conflicts(batch, &failed);
            }
            Err(PlatformError::Unavailable(_)) => {
                return report_all(batch, WriteOutcome::Unavailable);
            }
            _ => return report_all(batch, WriteOutcome::ReplyLost),
        }
    }
}

fn transaction(batch: &[QueuedWrite]) -> Transaction {
    let writes = batch.iter().map(|queued| &queued.write);
    let conditions = writes.clone();
    Transaction {
        conditions: conditions
            .map(|write| RowCondition {
                key: write.key.clone(),
                version: write.version,
            })
            .collect(),
        writes: writes
            .map(|write| RowWrite {
                key: write.key.clone(),
                value: write.value.clone(),
            })
            .collect(),
    }
}

fn report_conflicts(batch: Vec<QueuedWrite>, failed: &[usize]) -> Vec<QueuedWrite> {
    let mut others = Vec::new();
    for (index, queued) in batch.into_iter().enumerate() {
        if failed.contains(&index) {
            let _ = queued.outcome_tx.send(WriteOutcome::Conflict);
        } else {
            others.push(queued);
        }
    }
    others
}

fn report_all(batch: Vec<QueuedWrite>, outcome: WriteOutcome) {
    for queued in batch {
        // The requester may have stopped waiting.
        let _ = queued.outcome_tx.send(outcome);
    }
}
