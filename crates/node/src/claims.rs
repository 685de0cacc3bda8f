//! Claims a call's key in the platform's table.

use crate::claim_writer::{ConditionalWrite, WriteOutcome};
use crate::shared::NodeShared;
use skylarkshed_core::{ClockTime, CustomerName, ServiceName};
use skylarkshed_platform::TableStore;
use skylarkshed_policy::{
    ClaimAction, ClaimInput, ClaimMachine, ClaimRow, ClaimState, StoredResponse,
};
use std::sync::atomic::Ordering;
use std::sync::Arc;

const CLAIM_PREFIX: &str = "claim/";
const MOST_TRIES: u32 = 8;
const TRY_PAUSE: ClockTime = ClockTime::from_millis(100);

/// What a claim came to.
pub(crate) enum ClaimOutcome {
    /// This VM, and no other, may send the call once.
    Granted(GrantedClaim),
    /// The call ran before; this is its answer.
    Answered(StoredResponse),
    /// This VM won't send the call, and knows of nobody who did.
    NotRun,
    /// Another claimant may have run the call.
    InUse,
    /// The key was used for another request.
    Mismatch,
}

/// The right to send a call once.
pub(crate) struct GrantedClaim {
    key: String,
    row: ClaimRow,
    version: u64,
}

/// Returns the row's key of a call's idempotency key.
pub(crate) fn claim_key(customer: &CustomerName, service: &ServiceName, key: &str) -> String {
    format!("{CLAIM_PREFIX}{customer}/{service}/{key}")
}

/// Claims a key for a request, named by the hash of route and body.
pub(crate) async fn claim(shared: &NodeShared, key: String, request: String) -> ClaimOutcome {
    let serial = shared.claim_serial.fetch_add(1, Ordering::Relaxed);
    let (mut machine, mut action) = ClaimMachine::start(shared.incarnation, serial, request);
    loop {
        let input = match action {
            ClaimAction::Write(row, version) => write(shared, &key, &row, version).await,
            ClaimAction::Read => read(shared, &key).await,
            ClaimAction::Send => {
                let version = machine.row_version();
                return ClaimOutcome::Granted(GrantedClaim {
                    key,
                    row: machine.row().clone(),
                    version,
                });
            }
            ClaimAction::RefuseNotRun if shared.sent_keys.contains(&key) => {
                return ClaimOutcome::InUse;
            }
            ClaimAction::RefuseNotRun => return ClaimOutcome::NotRun,
            ClaimAction::RefuseUnknown => return ClaimOutcome::InUse,
            ClaimAction::RefuseMismatch => return ClaimOutcome::Mismatch,
            ClaimAction::Replay(answer) => return ClaimOutcome::Answered(answer),
        };
        action = machine.handle(input);
    }
}

impl GrantedClaim {
    /// Notes that the call is about to be sent.
    pub(crate) fn note_sent(&self, shared: &NodeShared) {
        shared.sent_keys.note(&self.key);
    }

    /// Gives the key back after a call of which nothing was sent.
    pub(crate) fn release(self, shared: &Arc<NodeShared>) {
        shared.sent_keys.forget(&self.key);
        self.finish(shared, ClaimState::Released);
    }

    /// Stores the answer, so that the key's next use gets it.
    pub(crate) fn answer(self, shared: &Arc<NodeShared>, answer: StoredResponse) {
        self.finish(shared, ClaimState::Answered(answer));
    }

    fn finish(self, shared: &Arc<NodeShared>, state: ClaimState) {
        let row = ClaimRow { state, ..self.row };
        let value = Some(to_text(&row));
        let write = ConditionalWrite {
            key: self.key,
            version: self.version,
            value,
        };
        let shared = shared.clone();
        tokio::spawn(async move { retry_write(&shared, write).await });
    }
}

/// Stores a row that no other VM writes; tells whether it stands.
pub(crate) async fn store_row(shared: &NodeShared, key: String, row: &ClaimRow) -> bool {
    let write = ConditionalWrite {
        key,
        version: 0,
        value: Some(to_text(row)),
    };
    retry_write(shared, write).await
}

async fn retry_write(shared: &NodeShared, write: ConditionalWrite) -> bool {
    let mut pause = TRY_PAUSE;
    for _ in 0..MOST_TRIES {
        match shared.claims.write(write.clone()).await {
            // After a lost reply the write meets its own earlier effect.
            WriteOutcome::Committed | WriteOutcome::Conflict => return true,
            WriteOutcome::Unavailable | WriteOutcome::ReplyLost => {}
        }
        tokio::time::sleep(pause.to_duration()).await;
        pause = pause + pause;
    }
    false
}

async fn write(shared: &NodeShared, key: &str, row: &ClaimRow, version: u64) -> ClaimInput {
    let write = ConditionalWrite {
        key: key.to_owned(),
        version,
        value: Some(to_text(row)),
    };
    match shared.claims.write(write).await {
        WriteOutcome::Committed => ClaimInput::Inserted,
        WriteOutcome::Conflict => ClaimInput::AlreadyExists,
        WriteOutcome::Unavailable => ClaimInput::Unavailable,
        WriteOutcome::ReplyLost => ClaimInput::ReplyLost,
    }
}

async fn read(shared: &NodeShared, key: &str) -> ClaimInput {
    let Ok(row) = shared.platform.read(key).await else {
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

fn to_text(row: &ClaimRow) -> String {
    serde_json::to_string(row).expect("a row is plain data")
}
