//! Ensures that a non-idempotent call runs at most once.
//!
//! The VM that inserts the row of an idempotency key is the key's only claimant,
//! and a claimant sends the call once. A VM that finds another claimant's row
//! sends nothing. Rows are never removed: a claimant that sent nothing marks its
//! row as released, and the next claim overwrites exactly that version.

use serde::{Deserialize, Serialize};
use skylarkshed_core::IncarnationId;

/// The number of writes after which a claim is refused.
const MAX_WRITES: u32 = 4;

/// The stored response of a call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// The progress of a claimed call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The claimant may have sent the call.
    Claimed,
    /// The call ran and got this response.
    Answered(StoredResponse),
    /// The claimant sent nothing and released the key.
    Released,
}

/// The table row of an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The incarnation of the claimant.
    pub claimant: IncarnationId,
    /// Distinguishes the claims of one incarnation.
    pub serial: u64,
    /// The hash of the route and body, which binds a key to one request.
    pub request: String,
    /// The progress of the call.
    pub state: ClaimState,
}

/// An event in the life of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimInput {
    /// The row was inserted, or the released row was overwritten.
    Inserted,
    /// The row already exists, or its version is not the expected one.
    AlreadyExists,
    /// Nothing was written.
    Unavailable,
    /// The reply was lost; the row may have been written.
    ReplyLost,
    /// The row and its version were read; `None` if there is no row.
    RowRead(Option<(ClaimRow, u64)>),
    /// The row could not be read.
    RowUnreadable,
}

/// The next step of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Write this row if the stored one has this version; 0 means that there is none.
    Write(ClaimRow, u64),
    /// Read the row.
    Read,
    /// Send the call; this is returned at most once.
    Send,
    /// Refuse: the call did not run and this VM will not send it.
    RefuseNotRun,
    /// Refuse: another claimant may have run the call.
    RefuseUnknown,
    /// Refuse: the key was used for another request.
    RefuseMismatch,
    /// Return the stored response.
    Replay(StoredResponse),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClaimPhase {
    Writing,
    ReadingAfterConflict,
    ReadingAfterLostReply,
    Ended,
}

/// The state machine of one claim.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::IncarnationId;
/// use skylarkshed_policy::{ClaimAction, ClaimInput, ClaimMachine};
///
/// let (mut machine, action) = ClaimMachine::start(IncarnationId(1), 7, "hash".into());
/// assert!(matches!(action, ClaimAction::Write(_, 0)));
/// assert_eq!(machine.handle(ClaimInput::Inserted), ClaimAction::Send);
/// ```
#[derive(Clone, Debug)]
pub struct ClaimMachine {
    row: ClaimRow,
    phase: ClaimPhase,
    base_version: u64,
    writes: u32,
}

impl ClaimMachine {
    /// Starts a claim; `request` is the hash of the route and body.
    pub fn start(claimant: IncarnationId, serial: u64, request: String) -> (Self, ClaimAction) {
        let row = ClaimRow {
            claimant,
            serial,
            request,
            state: ClaimState::Claimed,
        };
        let action = ClaimAction::Write(row.clone(), 0);
        let phase = ClaimPhase::Writing;
        (
            ClaimMachine {
                row,
                phase,
                base_version: 0,
                writes: 1,
            },
            action,
        )
    }

    /// Handles an event and returns the next step.
    pub fn handle(&mut self, input: ClaimInput) -> ClaimAction {
        match (self.phase, input) {
            (ClaimPhase::Writing, ClaimInput::Inserted) => self.end(ClaimAction::Send),
            (ClaimPhase::Writing, ClaimInput::AlreadyExists) => {
                self.phase = ClaimPhase::ReadingAfterConflict;
                ClaimAction::Read
            }
            (ClaimPhase::Writing, ClaimInput::ReplyLost) => {
                self.phase = ClaimPhase::ReadingAfterLostReply;
                ClaimAction::Read
            }
            (ClaimPhase::Writing, ClaimInput::Unavailable) => self.end(ClaimAction::RefuseNotRun),
            (ClaimPhase::ReadingAfterLostReply, ClaimInput::RowRead(Some((row, _))))
                if self.is_own(&row) =>
            {
                self.end(ClaimAction::Send)
            }
            // The write may still take effect, but this VM has sent nothing and never will.
            (
                ClaimPhase::ReadingAfterLostReply,
                ClaimInput::RowRead(None) | ClaimInput::RowUnreadable,
            ) => self.end(ClaimAction::RefuseNotRun),
            (
                ClaimPhase::ReadingAfterConflict | ClaimPhase::ReadingAfterLostReply,
                ClaimInput::RowRead(Some((row, version))),
            ) => self.resolve_conflict(row, version),
            _ => self.end(ClaimAction::RefuseUnknown),
        }
    }

    /// Returns the row that this claim writes.
    pub fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Returns the version that the row has once it is written.
    pub fn row_version(&self) -> u64 {
        self.base_version + 1
    }

    fn is_own(&self, row: &ClaimRow) -> bool {
        row.claimant == self.row.claimant && row.serial == self.row.serial
    }

    fn resolve_conflict(&mut self, row: ClaimRow, version: u64) -> ClaimAction {
        if row.state == ClaimState::Released {
            return self.overwrite_released(version);
        }
        if row.request != self.row.request {
            return self.end(ClaimAction::RefuseMismatch);
        }
        match row.state {
            ClaimState::Answered(response) => self.end(ClaimAction::Replay(response)),
            ClaimState::Claimed | ClaimState::Released => self.end(ClaimAction::RefuseUnknown),
        }
    }

    /// Claims a key that its last claimant released.
    fn overwrite_released(&mut self, version: u64) -> ClaimAction {
        if self.writes >= MAX_WRITES {
            return self.end(ClaimAction::RefuseUnknown);
        }
        self.writes += 1;
        self.base_version = version;
        self.phase = ClaimPhase::Writing;
        ClaimAction::Write(self.row.clone(), version)
    }

    fn end(&mut self, action: ClaimAction) -> ClaimAction {
        self.phase = ClaimPhase::Ended;
        action
    }
}
