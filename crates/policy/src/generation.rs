//! Produces one generation over any number of attempts.

mod replacement;
mod silence;

use crate::generation_types::{
    AttemptFailure, AttemptPhase, FailReason, GenerationAction, GenerationEnvironment,
    GenerationInput, GenerationPlan, NoUpstreamReason, NoticeReason, StartReason,
};
use crate::token_ledger::{LedgerVerdict, TokenLedger};
use skylarkshed_core::{
    AttemptNumber, ClockTime, GenerationId, ResumeSettings, UpstreamName, VersionName,
};

const MAX_ATTEMPTS_WITHOUT_TOKEN: u32 = 12;
/// The delay before another attempt if no upstream could take the last one.
const RETRY_DELAY: ClockTime = ClockTime::from_millis(100);

#[derive(Clone, Debug)]
struct LiveAttempt {
    number: AttemptNumber,
    upstream: UpstreamName,
    version: Option<VersionName>,
    phase: AttemptPhase,
    last_message_at: ClockTime,
    is_suspected: bool,
}

/// The state machine of one generation.
///
/// Pass events to [`GenerationMachine::handle`] and carry out the returned actions;
/// send a tick at [`GenerationMachine::next_tick`]. After a finish or a failure it
/// returns no more actions.
#[derive(Clone, Debug)]
pub struct GenerationMachine {
    plan: GenerationPlan,
    settings: ResumeSettings,
    ledger: TokenLedger,
    live: Vec<LiveAttempt>,
    next_attempt: AttemptNumber,
    attempts_without_token: u32,
    waiting_since: Option<ClockTime>,
    retry_at: Option<ClockTime>,
    avoid: Vec<UpstreamName>,
    is_ended: bool,
}

impl GenerationMachine {
    /// Starts a generation; the returned actions start its first attempt.
    pub fn start(
        plan: GenerationPlan,
        settings: ResumeSettings,
        now: ClockTime,
    ) -> (Self, Vec<GenerationAction>) {
        let ledger = TokenLedger::with_tokens(plan.received.clone());
        let mut machine = GenerationMachine {
            next_attempt: plan.first_attempt,
            plan,
            settings,
            ledger,
            live: Vec::new(),
            attempts_without_token: 0,
            waiting_since: None,
            retry_at: None,
            avoid: Vec::new(),
            is_ended: false,
        };
        let mut actions = Vec::new();
        let reason = match machine.plan.held {
            Some(_) => StartReason::Held,
            None => StartReason::First,
        };
        machine.start_attempt(reason, now, &mut actions);
        (machine, actions)
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle<E: GenerationEnvironment>(
        &mut self,
        input: GenerationInput,
        now: ClockTime,
        environment: &E,
    ) -> Vec<GenerationAction> {
        let mut actions = Vec::new();
        if self.is_ended {
            return actions;
        }
        match input {
            GenerationInput::Sent {
                attempt,
                upstream,
                version,
            } => {
                self.on_sent(attempt, upstream, version, now);
            }
            GenerationInput::NoUpstream { attempt, reason } => {
                self.on_no_upstream(attempt, reason, now, &mut actions);
            }
            GenerationInput::Token {
                attempt,
                generation,
                message_attempt,
                index,
                token,
            } => {
                if self.check_message(attempt, generation, message_attempt, &mut actions) {
                    self.on_token(attempt, index, &token, now, &mut actions);
                }
            }
            GenerationInput::End {
                attempt,
                generation,
                message_attempt,
                total,
            } => {
                if self.check_message(attempt, generation, message_attempt, &mut actions) {
                    self.on_end(attempt, total, now, &mut actions);
                }
            }
            GenerationInput::Failed { attempt, failure } => {
                self.on_failed(attempt, failure, now, &mut actions);
            }
            GenerationInput::Tick => self.on_tick(now, environment, &mut actions),
        }
        actions
    }

    /// Returns when the next tick is due.
    pub fn next_tick<E: GenerationEnvironment>(&self, environment: &E) -> ClockTime {
        let deadlines = self.live.iter().map(|live| match live.is_suspected {
            true => live.last_message_at + self.max_silence(live, environment),
            false => live.last_message_at + self.silence_limit(live, environment),
        });
        deadlines
            .chain(self.retry_at)
            .min()
            .unwrap_or(ClockTime::NEVER)
    }

    /// Returns the accepted tokens.
    pub fn ledger(&self) -> &TokenLedger {
        &self.ledger
    }

    /// Returns the version that has to produce the tokens, once the generation has
    /// begun.
    pub fn version(&self) -> Option<&VersionName> {
        self.plan.version.as_ref()
    }

    /// Returns the attempts in progress.
    pub fn live_attempts(&self) -> impl Iterator<Item = AttemptNumber> + '_ {
        self.live.iter().map(|live| live.number)
    }

    fn start_attempt(
        &mut self,
        reason: StartReason,
        now: ClockTime,
        actions: &mut Vec<GenerationAction>,
    ) {
        if self.attempts_without_token >= MAX_ATTEMPTS_WITHOUT_TOKEN {
            return self.fail(FailReason::TooManyAttempts, actions);
        }
        self.attempts_without_token += 1;
        self.retry_at = None;
        let attempt = self.next_attempt;
        self.next_attempt = attempt.next();
        self.live.push(LiveAttempt {
            number: attempt,
            upstream: UpstreamName::default(),
            version: None,
            phase: AttemptPhase::Prefill,
            last_message_at: now,
            is_suspected: false,
        });
        let held = self.plan.held.take();
        let avoid = self.avoid.clone();
        actions.push(GenerationAction::Start {
            attempt,
            reason,
            held,
            avoid,
        });
    }

    fn on_sent(
        &mut self,
        attempt: AttemptNumber,
        upstream: UpstreamName,
        version: VersionName,
        now: ClockTime,
    ) {
        self.waiting_since = None;
        if let Some(live) = self.live_attempt_mut(attempt) {
            live.upstream = upstream;
            live.version = Some(version);
            live.last_message_at = now;
        }
    }

    fn on_no_upstream(
        &mut self,
        attempt: AttemptNumber,
        reason: NoUpstreamReason,
        now: ClockTime,
        actions: &mut Vec<GenerationAction>,
    ) {
        self.live.retain(|live| live.number != attempt);
        match reason {
            NoUpstreamReason::VersionWithdrawn => self.fail(FailReason::VersionWithdrawn, actions),
            NoUpstreamReason::VersionGone => self.fail(FailReason::VersionGone, actions),
            NoUpstreamReason::NoneFree if self.live.is_empty() => {
                self.wait_for_upstream(now, actions)
            }
            NoUpstreamReason::NoneFree => {}
        }
    }

    /// Waits for an upstream that can continue the generation.
    fn wait_for_upstream(&mut self, now: ClockTime, actions: &mut Vec<GenerationAction>) {
        let since = *self.waiting_since.get_or_insert(now);
        if now.since(since) >= self.settings.patience {
            return self.fail(FailReason::NoEngine, actions);
        }
        // An upstream that has failed before is better than none.
        self.avoid.clear();
        self.attempts_without_token = self.attempts_without_token.saturating_sub(1);
        self.retry_at = Some(now + RETRY_DELAY);
    }

    /// Reports whether a message belongs to this generation and to a live attempt; if
    /// not, adds a notice.
    fn check_message(
        &mut self,
        attempt: AttemptNumber,
        generation: GenerationId,
        message_attempt: AttemptNumber,
        actions: &mut Vec<GenerationAction>,
    ) -> bool {
        let Some(live) = self.live.iter().find(|live| live.number == attempt) else {
            let upstream = UpstreamName::default();
            actions.push(GenerationAction::Notice {
                reason: NoticeReason::StaleMessage,
                upstream,
            });
            return false;
        };
        if generation == self.plan.generation && message_attempt == attempt {
            return true;
        }
        let upstream = live.upstream.clone();
        actions.push(GenerationAction::Notice {
            reason: NoticeReason::CrossedMessage,
            upstream,
        });
        false
    }

    fn on_token(
        &mut self,
        attempt: AttemptNumber,
        index: u32,
        token: &str,
        now: ClockTime,
        actions: &mut Vec<GenerationAction>,
    ) {
        match self.ledger.offer(attempt, index, token) {
            LedgerVerdict::Accepted => {
                self.on_accepted(attempt, now, actions);
                if index >= self.plan.deliver_from {
                    let token = self.ledger.tokens()[index as usize].clone();
                    actions.push(GenerationAction::Deliver {
                        attempt,
                        index,
                        token,
                    });
                }
            }
            LedgerVerdict::Duplicate => {
                self.notice(attempt, NoticeReason::RepeatedToken, actions);
            }
            LedgerVerdict::Stale => self.notice(attempt, NoticeReason::StaleMessage, actions),
            LedgerVerdict::Conflict => {
                self.notice(attempt, NoticeReason::ConflictingToken, actions);
                self.replace(attempt, StartReason::WrongToken, now, actions);
            }
            LedgerVerdict::Gap => {
                self.notice(attempt, NoticeReason::MissingToken, actions);
                self.replace(attempt, StartReason::WrongToken, now, actions);
            }
        }
    }

    fn on_accepted(
        &mut self,
        attempt: AttemptNumber,
        now: ClockTime,
        actions: &mut Vec<GenerationAction>,
    ) {
        self.attempts_without_token = 0;
        let losers = self.live.iter().filter(|live| live.number != attempt);
        let losers = losers.map(|live| GenerationAction::Cancel {
            attempt: live.number,
        });
        actions.extend(losers);
        self.live.retain(|live| live.number == attempt);
        let Some(live) = self.live_attempt_mut(attempt) else {
            return;
        };
        live.phase = AttemptPhase::Decoding;
        live.last_message_at = now;
        live.is_suspected = false;
        let version = live.version.clone();
        if self.plan.version.is_none() {
            self.plan.version = version;
        }
    }

    fn on_end(
        &mut self,
        attempt: AttemptNumber,
        total: u32,
        now: ClockTime,
        actions: &mut Vec<GenerationAction>,
    ) {
        let is_current = self
            .ledger
            .current()
            .is_none_or(|current| current == attempt);
        if is_current && total == self.ledger.next_index() {
            self.is_ended = true;
            let others = self.live.iter().filter(|live| live.number != attempt);
            let others = others.map(|live| GenerationAction::Cancel {
                attempt: live.number,
            });
            actions.extend(others);
            actions.push(GenerationAction::Finish { total });
            return;
        }
        self.replace(attempt, StartReason::ShortAnswer, now, actions);
    }

    fn on_failed(
        &mut self,
        attempt: AttemptNumber,
        failure: AttemptFailure,
        now: ClockTime,
        actions: &mut Vec<GenerationAction>,
    ) {
        let needs_held_attempt = self.ledger.next_index() < self.plan.deliver_from;
        if needs_held_attempt && self.live.iter().any(|live| live.number == attempt) {
            return self.fail(FailReason::HeldGone, actions);
        }
        self.remove_attempt(attempt, StartReason::Failed(failure), now, actions);
    }

    fn notice(
        &self,
        attempt: AttemptNumber,
        reason: NoticeReason,
        actions: &mut Vec<GenerationAction>,
    ) {
        let live = self.live.iter().find(|live| live.number == attempt);
        let upstream = live.map(|live| live.upstream.clone()).unwrap_or_default();
        actions.push(GenerationAction::Notice { reason, upstream });
    }

    fn fail(&mut self, reason: FailReason, actions: &mut Vec<GenerationAction>) {
        self.is_ended = true;
        let live = self.live.drain(..);
        actions.extend(live.map(|live| GenerationAction::Cancel {
            attempt: live.number,
        }));
        actions.push(GenerationAction::Fail { reason });
    }

    fn live_attempt_mut(&mut self, attempt: AttemptNumber) -> Option<&mut LiveAttempt> {
        self.live.iter_mut().find(|live| live.number == attempt)
    }
}
