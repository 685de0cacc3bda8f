//! Generations: the caller gets each token once and in order, whatever engines do.

use crate::fuzz_config::fuzz_config;
use faststr::FastStr;
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use skylarkshed_core::{
    AttemptNumber, ClockTime, FailureDetection, GenerationId, ResumeSettings, UpstreamName,
};
use skylarkshed_policy::{
    AttemptFailure, AttemptPhase, GenerationAction, GenerationEnvironment, GenerationInput,
    GenerationMachine, GenerationPlan, NoUpstreamReason,
};
use std::collections::BTreeSet;

const GENERATION: GenerationId = GenerationId(7);
const MAX_TOKENS: u32 = 12;

/// A transition of the test.
#[derive(Clone, Debug)]
enum GenerationEvent {
    /// An attempt sends its next token, correctly.
    Token(usize),
    /// An attempt repeats a token, possibly with a different text.
    Repeat(usize, u32, bool),
    /// An attempt skips tokens.
    Skip(usize, u32),
    /// An attempt sends a message of another generation or attempt.
    Mismatched(usize, bool),
    /// An attempt reports that the generation is complete.
    End(usize),
    /// An attempt fails.
    Failed(usize),
    /// A removed attempt sends a token late.
    Late(usize),
    /// Time passes.
    Wait(u64),
    /// Sets whether upstreams are available from now on.
    SetUpstreams(bool),
    /// Sets whether the budget allows races from now on.
    SetBudget(bool),
}

struct GenerationEvents;

impl ReferenceStateMachine for GenerationEvents {
    type State = ();
    type Transition = GenerationEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<GenerationEvent> {
        let position = 0..2_usize;
        prop_oneof![
            8 => position.clone().prop_map(GenerationEvent::Token),
            2 => (position.clone(), 0..4_u32, any::<bool>())
                .prop_map(|(position, back, differs)| {
                    GenerationEvent::Repeat(position, back, differs)
                }),
            1 => (position.clone(), 1..3_u32)
                .prop_map(|(position, by)| GenerationEvent::Skip(position, by)),
            1 => (position.clone(), any::<bool>())
                .prop_map(|(position, other)| GenerationEvent::Mismatched(position, other)),
            2 => position.clone().prop_map(GenerationEvent::End),
            2 => position.clone().prop_map(GenerationEvent::Failed),
            2 => position.prop_map(GenerationEvent::Late),
            4 => (1..900_u64).prop_map(GenerationEvent::Wait),
            1 => any::<bool>().prop_map(GenerationEvent::SetUpstreams),
            1 => any::<bool>().prop_map(GenerationEvent::SetBudget),
        ]
        .boxed()
    }

    fn apply((): (), _transition: &GenerationEvent) {}
}

struct FuzzEnvironment {
    may_race: bool,
}

impl GenerationEnvironment for FuzzEnvironment {
    fn silence_limit(&self, _: &UpstreamName, _: AttemptPhase, _: u32) -> ClockTime {
        ClockTime::from_millis(300)
    }

    fn try_race(&self, _cost: u32) -> bool {
        self.may_race
    }
}

/// The state machine, with the tokens that its caller and its attempts have seen.
struct FuzzGeneration {
    machine: GenerationMachine,
    environment: FuzzEnvironment,
    now: ClockTime,
    has_upstreams: bool,
    /// Each live attempt with the index of its next token.
    live: Vec<(AttemptNumber, u32)>,
    removed: Vec<AttemptNumber>,
    used: BTreeSet<AttemptNumber>,
    delivered: Vec<FastStr>,
    is_ended: bool,
}

impl FuzzGeneration {
    fn start() -> Self {
        let plan = GenerationPlan {
            generation: GENERATION,
            first_attempt: AttemptNumber(1),
            prompt_tokens: 5,
            received: Vec::new(),
            deliver_from: 0,
            held: None,
            version: None,
        };
        let settings = ResumeSettings {
            detection: FailureDetection::Race,
            ..ResumeSettings::default()
        };
        let (machine, actions) = GenerationMachine::start(plan, settings, ClockTime::ZERO);
        let mut fuzz = FuzzGeneration {
            machine,
            environment: FuzzEnvironment { may_race: true },
            now: ClockTime::ZERO,
            has_upstreams: true,
            live: Vec::new(),
            removed: Vec::new(),
            used: BTreeSet::new(),
            delivered: Vec::new(),
            is_ended: false,
        };
        fuzz.perform(actions);
        fuzz
    }

    fn handle(&mut self, input: GenerationInput) {
        let actions = self.machine.handle(input, self.now, &self.environment);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<GenerationAction>) {
        for action in actions {
            assert!(!self.is_ended, "action after the end of the generation");
            match action {
                GenerationAction::Start { attempt, .. } => self.open_attempt(attempt),
                GenerationAction::Cancel { attempt } => self.remove_attempt(attempt),
                GenerationAction::Deliver { index, token, .. } => {
                    assert_eq!(
                        index as usize,
                        self.delivered.len(),
                        "token out of order or delivered twice"
                    );
                    assert_eq!(token, text(index), "wrong token delivered");
                    self.delivered.push(token);
                }
                GenerationAction::Finish { total } => {
                    assert_eq!(
                        total as usize,
                        self.delivered.len(),
                        "incomplete generation"
                    );
                    self.is_ended = true;
                }
                GenerationAction::Fail { .. } => self.is_ended = true,
                GenerationAction::Notice { .. } => {}
            }
        }
    }

    fn open_attempt(&mut self, attempt: AttemptNumber) {
        assert!(self.used.insert(attempt), "attempt number used twice");
        if !self.has_upstreams {
            let reason = NoUpstreamReason::NoneFree;
            return self.handle(GenerationInput::NoUpstream { attempt, reason });
        }
        self.live.push((attempt, self.delivered.len() as u32));
        let upstream = UpstreamName::new(format!("engine-{attempt}"));
        self.handle(GenerationInput::Sent {
            attempt,
            upstream,
            version: "v1".into(),
        });
    }

    fn remove_attempt(&mut self, attempt: AttemptNumber) {
        self.live.retain(|(other, _)| *other != attempt);
        self.removed.push(attempt);
    }

    fn send_token(
        &mut self,
        attempt: AttemptNumber,
        message_attempt: AttemptNumber,
        index: u32,
        token: FastStr,
    ) {
        self.handle(GenerationInput::Token {
            attempt,
            generation: GENERATION,
            message_attempt,
            index,
            token,
        });
    }
}

struct GenerationTest;

impl StateMachineTest for GenerationTest {
    type SystemUnderTest = FuzzGeneration;
    type Reference = GenerationEvents;

    fn init_test((): &()) -> FuzzGeneration {
        FuzzGeneration::start()
    }

    fn apply(mut fuzz: FuzzGeneration, (): &(), event: GenerationEvent) -> FuzzGeneration {
        let attempt = |position: usize| fuzz.live.get(position).copied();
        match event {
            GenerationEvent::Token(position) => {
                if let Some((number, next)) =
                    attempt(position).filter(|(_, next)| *next < MAX_TOKENS)
                {
                    fuzz.live[position].1 += 1;
                    fuzz.send_token(number, number, next, text(next));
                }
            }
            GenerationEvent::Repeat(position, back, differs) => {
                if let Some((number, next)) = attempt(position).filter(|(_, next)| *next > back) {
                    let index = next - 1 - back;
                    // A wrong text can be detected only if the token was already accepted.
                    let is_accepted = (index as usize) < fuzz.delivered.len();
                    let wrong = differs && is_accepted;
                    let token = if wrong {
                        FastStr::new("wrong")
                    } else {
                        text(index)
                    };
                    fuzz.send_token(number, number, index, token);
                }
            }
            GenerationEvent::Skip(position, by) => {
                if let Some((number, next)) = attempt(position).filter(|(_, n)| n + by < MAX_TOKENS)
                {
                    fuzz.live[position].1 += by + 1;
                    fuzz.send_token(number, number, next + by, text(next + by));
                }
            }
            GenerationEvent::Mismatched(position, other_generation) => {
                if let Some((attempt, index)) = attempt(position) {
                    let generation = GenerationId(GENERATION.0 + u128::from(other_generation));
                    let message_attempt = AttemptNumber(attempt.0 + u32::from(!other_generation));
                    let token = FastStr::new("of another request");
                    let input = GenerationInput::Token {
                        attempt,
                        generation,
                        message_attempt,
                        index,
                        token,
                    };
                    fuzz.handle(input);
                }
            }
            GenerationEvent::End(position) => {
                if let Some((attempt, total)) = attempt(position) {
                    let (generation, message_attempt) = (GENERATION, attempt);
                    fuzz.handle(GenerationInput::End {
                        attempt,
                        generation,
                        message_attempt,
                        total,
                    });
                }
            }
            GenerationEvent::Failed(position) => {
                if let Some((attempt, _)) = attempt(position) {
                    fuzz.remove_attempt(attempt);
                    let failure = AttemptFailure::Broken;
                    fuzz.handle(GenerationInput::Failed { attempt, failure });
                }
            }
            GenerationEvent::Late(position) => {
                if let Some(number) = fuzz.removed.iter().rev().nth(position).copied() {
                    let index = fuzz.delivered.len() as u32;
                    fuzz.send_token(number, number, index, FastStr::new("late"));
                }
            }
            GenerationEvent::Wait(millis) => {
                fuzz.now = fuzz.now + ClockTime::from_millis(millis);
                fuzz.handle(GenerationInput::Tick);
            }
            GenerationEvent::SetUpstreams(has_upstreams) => fuzz.has_upstreams = has_upstreams,
            GenerationEvent::SetBudget(may_race) => fuzz.environment.may_race = may_race,
        }
        fuzz
    }

    fn check_invariants(fuzz: &FuzzGeneration, (): &()) {
        if fuzz.is_ended {
            return;
        }
        assert!(fuzz.live.len() <= 2, "more than two attempts in parallel");
        let next_tick = fuzz.machine.next_tick(&fuzz.environment);
        assert!(next_tick < ClockTime::NEVER, "no next tick is scheduled");
        let live = fuzz.machine.live_attempts().count();
        assert_eq!(live, fuzz.live.len(), "live attempts differ from the model");
    }
}

fn text(index: u32) -> FastStr {
    FastStr::new(format!("token-{index}"))
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn caller_gets_each_token_once(sequential 1..120 => GenerationTest);
}
