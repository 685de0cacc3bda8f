//! Keeps a call that may not be repeated from running twice.
//!
//! The VM that inserts the row of a call's key is its only claimant, and a
//! claimant sends once. Whoever finds a row of somebody else sends nothing. A
//! row is never removed: a claimant that sent nothing marks it as released, and
//! the next claim writes over exactly that version.

use serde::{Deserialize, Serialize};
use skylarkshed_core::IncarnationId;

const MOST_WRITES: u32 = 4;

/// The stored answer of a call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// How far a claimed call has come.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The claimant may have sent it.
    Claimed,
    /// It ran and this is its answer.
    Answered(StoredResponse),
    /// The claimant sent nothing and gave the key back.
    Released,
}

/// The table row of a call's key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The incarnation of the claimant.
    pub claimant: IncarnationId,
    /// Distinguishes the claims of one incarnation.
    pub serial: u64,
    /// The hash of the route and body, so that a key names one request only.
    pub request: String,
    /// How far the call has come.
    pub state: ClaimState,
}

/// What happened to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimInput {
    /// The row was inserted.
    Inserted,
    /// There is a row already.
    AlreadyExists,
    /// Nothing was written.
    Unavailable,
    /// The row may have been inserted.
    ReplyLost,
    /// The row and its version were read; none if there is none.
    RowRead(Option<(ClaimRow, u64)>),
    /// The row could not be read.
    RowUnreadable,
}

/// What is to be done about a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Write this row if the present one has this version; 0 means that there is none.
    Write(ClaimRow, u64),
    /// Read the row.
    Read,
    /// Send the call; this is returned once at most.
    Send,
    /// Refuse: the call did not run and this VM won't send it.
    RefuseNotRun,
    /// Refuse: another claimant may have run the call.
    RefuseUnknown,
    /// Refuse: the key was used for another request.
    RefuseMismatch,
    /// Return the stored answer.
    Replay(StoredResponse),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClaimPhase {
    Inserting,
    ReadingAfterConflict,
    ReadingAfterLoss,
    Ended,
}

/// The state of one claim.
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
    /// Starts a claim; `request` is the hash of route and body.
    pub fn start(claimant: IncarnationId, serial: u64, request: String) -> (Self, ClaimAction) {
        let row = ClaimRow {
            claimant,
            serial,
            request,
            state: ClaimState::Claimed,
        };
        let action = ClaimAction::Write(row.clone(), 0);
        let phase = ClaimPhase::Inserting;
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

    /// Takes what happened and returns what is to be done.
    pub fn handle(&mut self, input: ClaimInput) -> ClaimAction {
        match (self.phase, input) {
            (ClaimPhase::Inserting, ClaimInput::Inserted) => self.end(ClaimAction::Send),
            (ClaimPhase::Inserting, ClaimInput::AlreadyExists) => {
                self.phase = ClaimPhase::ReadingAfterConflict;
                ClaimAction::Read
            }
            (ClaimPhase::Inserting, ClaimInput::ReplyLost) => {
                self.phase = ClaimPhase::ReadingAfterLoss;
                ClaimAction::Read
            }
            (ClaimPhase::Inserting, ClaimInput::Unavailable) => self.end(ClaimAction::RefuseNotRun),
            (ClaimPhase::ReadingAfterLoss, ClaimInput::RowRead(Some((row, _))))
                if self.is_own(&row) =>
            {
                self.end(ClaimAction::Send)
            }
            // The write may still take effect, but nothing was sent and nothing will be.
            (
                ClaimPhase::ReadingAfterLoss,
                ClaimInput::RowRead(None) | ClaimInput::RowUnreadable,
            ) => self.end(ClaimAction::RefuseNotRun),
            (
                ClaimPhase::ReadingAfterConflict | ClaimPhase::ReadingAfterLoss,
                ClaimInput::RowRead(Some((row, version))),
            ) => self.judge(row, version),
            _ => self.end(ClaimAction::RefuseUnknown),
        }
    }

    /// Returns the row that this claim writes.
    pub fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Returns the version of the row once it is written.
    pub fn row_version(&self) -> u64 {
        self.base_version + 1
    }

    fn is_own(&self, row: &ClaimRow) -> bool {
        row.claimant == self.row.claimant && row.serial == self.row.serial
    }

    fn judge(&mut self, row: ClaimRow, version: u64) -> ClaimAction {
        if row.state == ClaimState::Released {
            return self.write_over(version);
        }
        if row.request != self.row.request {
            return self.end(ClaimAction::RefuseMismatch);
        }
        match row.state {
            ClaimState::Answered(answer) => self.end(ClaimAction::Replay(answer)),
            ClaimState::Claimed | ClaimState::Released => self.end(ClaimAction::RefuseUnknown),
        }
    }

    /// Claims a key that its last claimant gave back.
    fn write_over(&mut self, version: u64) -> ClaimAction {
        if self.writes >= MOST_WRITES {
            return self.end(ClaimAction::RefuseUnknown);
        }
        self.writes += 1;
        self.base_version = version;
        self.phase = ClaimPhase::Inserting;
        ClaimAction::Write(self.row.clone(), version)
    }

    fn end(&mut self, action: ClaimAction) -> ClaimAction {
        self.phase = ClaimPhase::Ended;
        action
    }
}
