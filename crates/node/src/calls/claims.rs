//! Claims idempotency keys in the platform's table.

use crate::state::{ConditionalWrite, NodeShared, WriteOutcome};
use skylarkshed_core::{ClockTime, CustomerName, ServiceName};
use skylarkshed_platform::TableStore;
use skylarkshed_policy::{
    ClaimAction, ClaimInput, ClaimMachine, ClaimRow, ClaimState, StoredResponse,
};
use std::sync::atomic::Ordering;
use std::sync::Arc;

const CLAIM_ROW_PREFIX: &str = "claim/";
const MAX_WRITE_ATTEMPTS: u32 = 8;
const FIRST_RETRY_DELAY: ClockTime = ClockTime::from_millis(100);

/// The result of a claim.
pub(crate) enum ClaimOutcome {
    /// This VM, and no other, may send the call once.
    Granted(GrantedClaim),
    /// The call ran before; this is its response.
    Replay(StoredResponse),
    /// This VM won't send the call, and knows of no other claimant that did.
    NotRun,
    /// Another claimant may have run the call.
    InUse,
    /// The key was used for another request.
    Mismatch,
}

/// The right to send a call once.
pub(crate) struct GrantedClaim {
    row_key: String,
    row: ClaimRow,
    version: u64,
}

/// Returns the row key of an idempotency key.
pub(crate) fn claim_row_key(customer: &CustomerName, service: &ServiceName, key: &str) -> String {
    format!("{CLAIM_ROW_PREFIX}{customer}/{service}/{key}")
}

/// Claims an idempotency key for a request, identified by the hash of its route and body.
pub(crate) async fn claim(shared: &NodeShared, row_key: String, request: String) -> ClaimOutcome {
    let serial = shared.claim_serial.fetch_add(1, Ordering::Relaxed);
    let (mut machine, mut action) = ClaimMachine::start(shared.incarnation, serial, request);
    loop {
        let input = match action {
            ClaimAction::Write(row, version) => write(shared, &row_key, &row, version).await,
            ClaimAction::Read => read(shared, &row_key).await,
            ClaimAction::Send => {
                let version = machine.row_version();
                return ClaimOutcome::Granted(GrantedClaim {
                    row_key,
                    row: machine.row().clone(),
                    version,
                });
            }
            ClaimAction::RefuseNotRun if shared.sent_keys.contains(&row_key) => {
                return ClaimOutcome::InUse;
            }
            ClaimAction::RefuseNotRun => return ClaimOutcome::NotRun,
            ClaimAction::RefuseUnknown => return ClaimOutcome::InUse,
            ClaimAction::RefuseMismatch => return ClaimOutcome::Mismatch,
            ClaimAction::Replay(response) => return ClaimOutcome::Replay(response),
        };
        action = machine.handle(input);
    }
}

impl GrantedClaim {
    /// Records that the call is about to be sent.
    pub(crate) fn record_sent(&self, shared: &NodeShared) {
        shared.sent_keys.record(&self.row_key);
    }

    /// Releases the key after a call of which nothing was sent.
    pub(crate) fn release(self, shared: &Arc<NodeShared>) {
        shared.sent_keys.forget(&self.row_key);
        self.write_state(shared, ClaimState::Released);
    }

    /// Stores the response, which is replayed when the key is used again.
    pub(crate) fn store_response(self, shared: &Arc<NodeShared>, response: StoredResponse) {
        self.write_state(shared, ClaimState::Answered(response));
    }

    fn write_state(self, shared: &Arc<NodeShared>, state: ClaimState) {
        let row = ClaimRow { state, ..self.row };
        let value = Some(to_json(&row));
        let write = ConditionalWrite {
            key: self.row_key,
            version: self.version,
            value,
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let row_key = write.key.clone();
            if !retry_write(&shared, write).await {
                log::warn!(row = row_key.as_str(); "can't store the result of a claim");
            }
        });
    }
}

/// Stores a new row; reports whether it is stored.
pub(crate) async fn store_row(shared: &NodeShared, row_key: String, row: &ClaimRow) -> bool {
    let write = ConditionalWrite {
        key: row_key,
        version: 0,
        value: Some(to_json(row)),
    };
    retry_write(shared, write).await
}

/// Writes a row, with retries; reports whether the row has this value afterwards.
async fn retry_write(shared: &NodeShared, write: ConditionalWrite) -> bool {
    let mut delay = FIRST_RETRY_DELAY;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match shared.claim_writer.write(write.clone()).await {
            WriteOutcome::Committed => return true,
            // After a lost reply, a retry conflicts with its own earlier write.
            WriteOutcome::Conflict => {
                if let Ok(row) = shared.platform.read(&write.key).await {
                    return row.map(|row| row.value) == write.value;
                }
            }
            WriteOutcome::Unavailable | WriteOutcome::ReplyLost => {}
        }
        tokio::time::sleep(delay.to_duration()).await;
        delay = delay + delay;
    }
    false
}

async fn write(shared: &NodeShared, row_key: &str, row: &ClaimRow, version: u64) -> ClaimInput {
    let write = ConditionalWrite {
        key: row_key.to_owned(),
        version,
        value: Some(to_json(row)),
    };
    match shared.claim_writer.write(write).await {
        WriteOutcome::Committed => ClaimInput::Inserted,
        WriteOutcome::Conflict => ClaimInput::AlreadyExists,
        WriteOutcome::Unavailable => ClaimInput::Unavailable,
        WriteOutcome::ReplyLost => ClaimInput::ReplyLost,
    }
}

async fn read(shared: &NodeShared, row_key: &str) -> ClaimInput {
    let Ok(row) = shared.platform.read(row_key).await else {
        return ClaimInput::RowUnreadable;
    };
    let Some(row) = row else {
        return ClaimInput::RowRead(None);
    };
    match serde_json::from_str(&row.value) {
        Ok(claim) => ClaimInput::RowRead(Some((claim, row.version))),
        Err(_) => ClaimInput::RowUnreadable,
    }
}

fn to_json(row: &ClaimRow) -> String {
    serde_json::to_string(row).expect("a row is plain data")
}
