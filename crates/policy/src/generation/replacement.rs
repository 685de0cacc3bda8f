//! Replacement of failed attempts.

use super::GenerationMachine;
use crate::generation_types::{FailReason, GenerationAction, StartReason};
use skylarkshed_core::{AttemptNumber, ClockTime};

impl GenerationMachine {
    /// Cancels an attempt and continues with another.
    pub(super) fn replace(
        &mut self,
        attempt: AttemptNumber,
        reason: StartReason,
        now: ClockTime,
        actions: &mut Vec<GenerationAction>,
    ) {
        actions.push(GenerationAction::Cancel { attempt });
        if self.ledger.next_index() < self.plan.deliver_from {
            return self.fail(FailReason::HeldGone, actions);
        }
        self.remove_attempt(attempt, reason, now, actions);
    }

    /// Removes an attempt; if none is left, starts another.
    pub(super) fn remove_attempt(
        &mut self,
        attempt: AttemptNumber,
        reason: StartReason,
        now: ClockTime,
        actions: &mut Vec<GenerationAction>,
    ) {
        let Some(index) = self.live.iter().position(|live| live.number == attempt) else {
            return;
        };
        let live = self.live.remove(index);
        if !self.avoid.contains(&live.upstream) {
            self.avoid.push(live.upstream);
        }
        if self.ledger.current() == Some(attempt) {
            self.ledger.release();
        }
        if self.live.is_empty() {
            self.start_attempt(reason, now, actions);
        }
    }
}
