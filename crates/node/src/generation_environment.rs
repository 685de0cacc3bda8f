//! The attempts of a generation, and what its state machine asks of them.

use crate::registry::InFlightGuard;
use crate::shared::NodeShared;
use skylarkshed_core::{AttemptNumber, ClockTime, UpstreamName, VersionName};
use skylarkshed_policy::{AttemptPhase, GenerationEnvironment};
use std::collections::HashMap;
use tokio::task::AbortHandle;

/// An attempt under way.
pub(crate) struct AttemptHandle {
    pub(crate) guard: InFlightGuard,
    pub(crate) version: VersionName,
    pub(crate) task: AbortHandle,
}

/// What the state machine asks of this VM.
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
        let mut records = self.attempts.values().map(|attempt| &attempt.guard.record);
        let record = records.find(|record| record.entry.name == *upstream);
        record.map_or(settings.longest_silence, |record| {
            record.silence_limit(settings, phase, prefill_tokens, now)
        })
    }

    fn try_race(&self, cost: u32) -> bool {
        self.shared.race_budget.try_spend(u64::from(cost))
    }
}
