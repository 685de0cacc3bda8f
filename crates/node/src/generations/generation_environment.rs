//! The running attempts of a generation, and what its state machine queries about them.

use crate::state::{InFlightGuard, NodeShared};
use skylarkshed_core::{AttemptNumber, ClockTime, UpstreamName, VersionName};
use skylarkshed_policy::{AttemptPhase, GenerationEnvironment};
use std::collections::HashMap;
use tokio::task::AbortHandle;

/// A running attempt.
pub(crate) struct AttemptHandle {
    pub(crate) guard: InFlightGuard,
    pub(crate) version: VersionName,
    pub(crate) task: AbortHandle,
}

/// The state machine's view of this VM: silence limits and the budget for hedged attempts.
pub(crate) struct TaskEnvironment<'a> {
    pub(crate) shared: &'a NodeShared,
    pub(crate) attempts: &'a HashMap<AttemptNumber, AttemptHandle>,
}

impl GenerationEnvironment for TaskEnvironment<'_> {
    fn silence_limit(
        &self,
        upstream: &UpstreamName,
        phase: AttemptPhase,
        prefill_tokens: u32,
    ) -> ClockTime {
        let settings = &self.shared.settings.resume;
        let now = self.shared.clock.now();
        let mut states = self.attempts.values().map(|attempt| &attempt.guard.state);
        let state = states.find(|state| state.entry.name == *upstream);
        state.map_or(settings.longest_silence, |state| {
            state.silence_limit(settings, phase, prefill_tokens, now)
        })
    }

    fn try_race(&self, cost: u32) -> bool {
        self.shared.race_budget.try_spend(u64::from(cost))
    }
}
