//! Detection and replacement of silent attempts.

use super::{GenerationMachine, LiveAttempt};
use crate::generation_types::{GenerationAction, GenerationEnvironment, NoticeReason, StartReason};
use skylarkshed_core::{AttemptNumber, ClockTime, FailureDetection};

const MAX_LIVE_ATTEMPTS: usize = 2;
/// After this many attempts without a token, silence limits double with each
/// further attempt, so that an underestimated prefill can eventually finish.
const ATTEMPTS_BEFORE_DOUBLING: u32 = 4;
const MAX_DOUBLINGS: u32 = 4;

impl GenerationMachine {
    pub(super) fn on_tick<E: GenerationEnvironment>(
        &mut self,
        now: ClockTime,
        environment: &E,
        actions: &mut Vec<GenerationAction>,
    ) {
        if self.retry_at.is_some_and(|due| now >= due) {
            return self.start_attempt(StartReason::NoneFree, now, actions);
        }
        let silent: Vec<AttemptNumber> = self.silent_attempts(now, environment);
        for attempt in silent {
            self.on_silence(attempt, now, environment, actions);
        }
    }

    fn silent_attempts<E: GenerationEnvironment>(
        &self,
        now: ClockTime,
        environment: &E,
    ) -> Vec<AttemptNumber> {
        let silent = self.live.iter().filter(|live| {
            now.since(live.last_message_at) >= self.silence_limit(live, environment)
        });
        silent.map(|live| live.number).collect()
    }

    fn on_silence<E: GenerationEnvironment>(
        &mut self,
        attempt: AttemptNumber,
        now: ClockTime,
        environment: &E,
        actions: &mut Vec<GenerationAction>,
    ) {
        let Some(live) = self.live.iter().find(|live| live.number == attempt) else {
            return;
        };
        let max_silence = self.max_silence(live, environment);
        let uses_races = self.settings.detection == FailureDetection::Race;
        let Some(live) = self.live_attempt_mut(attempt) else {
            return;
        };
        let is_overdue = now.since(live.last_message_at) >= max_silence;
        let is_new = !live.is_suspected;
        live.is_suspected = true;
        if is_new {
            self.notice(attempt, NoticeReason::SilentAttempt, actions);
        }
        if is_overdue || !uses_races {
            return self.replace(attempt, StartReason::Silent, now, actions);
        }
        if !is_new {
            return;
        }
        let is_hedged_attempt = self
            .live
            .first()
            .is_some_and(|first| first.number != attempt);
        if is_hedged_attempt {
            self.replace_hedged_attempt(attempt, now, environment, actions);
        } else if self.live.len() < MAX_LIVE_ATTEMPTS {
            self.start_race(attempt, now, environment, actions);
        }
    }

    /// Replaces the hedged attempt, which is silent as well, if the budget allows it.
    fn replace_hedged_attempt<E: GenerationEnvironment>(
        &mut self,
        attempt: AttemptNumber,
        now: ClockTime,
        environment: &E,
        actions: &mut Vec<GenerationAction>,
    ) {
        if !environment.try_race(self.plan.prompt_tokens + self.ledger.next_index()) {
            return self.notice(attempt, NoticeReason::RaceDenied, actions);
        }
        actions.push(GenerationAction::Cancel { attempt });
        self.remove_attempt(attempt, StartReason::Race, now, actions);
        self.start_attempt(StartReason::Race, now, actions);
    }

    /// Starts a hedged attempt beside a silent one, if the budget allows it.
    fn start_race<E: GenerationEnvironment>(
        &mut self,
        attempt: AttemptNumber,
        now: ClockTime,
        environment: &E,
        actions: &mut Vec<GenerationAction>,
    ) {
        if self.ledger.next_index() < self.plan.deliver_from {
            return;
        }
        if !environment.try_race(self.plan.prompt_tokens + self.ledger.next_index()) {
            return self.notice(attempt, NoticeReason::RaceDenied, actions);
        }
        if let Some(live) = self.live.iter().find(|live| live.number == attempt) {
            self.avoid.push(live.upstream.clone());
        }
        self.ledger.release();
        self.start_attempt(StartReason::Race, now, actions);
    }

    pub(super) fn silence_limit<E: GenerationEnvironment>(
        &self,
        live: &LiveAttempt,
        environment: &E,
    ) -> ClockTime {
        if self.settings.detection == FailureDetection::FixedTimeout {
            return self.settings.fixed_timeout;
        }
        let prefill_tokens = self.plan.prompt_tokens + self.ledger.next_index();
        let limit = environment.silence_limit(&live.upstream, live.phase, prefill_tokens);
        let doublings = self
            .attempts_without_token
            .saturating_sub(ATTEMPTS_BEFORE_DOUBLING);
        ClockTime::from_millis(limit.as_millis() << doublings.min(MAX_DOUBLINGS))
    }

    /// Returns the silence after which an attempt is replaced.
    ///
    /// A prefill may take longer than the maximum silence between tokens.
    pub(super) fn max_silence<E: GenerationEnvironment>(
        &self,
        live: &LiveAttempt,
        environment: &E,
    ) -> ClockTime {
        self.settings
            .longest_silence
            .max(self.silence_limit(live, environment))
    }
}
