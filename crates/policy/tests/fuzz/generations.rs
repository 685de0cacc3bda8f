//! Generations: whatever engines do, the caller gets each token once, in order.

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
const TARGET: u32 = 12;

/// What an engine or the network does next.
#[derive(Clone, Debug)]
enum Happening {
    /// An attempt sends its next token, correctly.
    Token(usize),
    /// An attempt sends a token again, perhaps with another text.
    Repeat(usize, u32, bool),
    /// An attempt leaves out tokens.
    Skip(usize, u32),
    /// An attempt echoes another generation or attempt.
    Crossed(usize, bool),
    /// An attempt says that the answer is whole.
    End(usize),
    /// An attempt fails.
    Failed(usize),
    /// An attempt that was dropped sends a token late.
    Late(usize),
    /// Time passes.
    Wait(u64),
    /// Whether upstreams can be found from now on.
    Supply(bool),
    /// Whether races are in the budget from now on.
    Budget(bool),
}

struct Happenings;

impl ReferenceStateMachine for Happenings {
    type State = ();
    type Transition = Happening;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Happening> {
        let place = 0..2_usize;
        prop_oneof![
            8 => place.clone().prop_map(Happening::Token),
            2 => (place.clone(), 0..4_u32, any::<bool>())
                .prop_map(|(place, back, differs)| Happening::Repeat(place, back, differs)),
            1 => (place.clone(), 1..3_u32).prop_map(|(place, by)| Happening::Skip(place, by)),
            1 => (place.clone(), any::<bool>())
                .prop_map(|(place, other)| Happening::Crossed(place, other)),
            2 => place.clone().prop_map(Happening::End),
            2 => place.clone().prop_map(Happening::Failed),
            2 => place.prop_map(Happening::Late),
            4 => (1..900_u64).prop_map(Happening::Wait),
            1 => any::<bool>().prop_map(Happening::Supply),
            1 => any::<bool>().prop_map(Happening::Budget),
        ]
        .boxed()
    }

    fn apply((): (), _transition: &Happening) {}
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

/// The machine with what its caller and its attempts have seen.
struct FuzzGeneration {
    machine: GenerationMachine,
    environment: FuzzEnvironment,
    now: ClockTime,
    has_upstreams: bool,
    /// Each live attempt with the place of its next token.
    live: Vec<(AttemptNumber, u32)>,
    dropped: Vec<AttemptNumber>,
    used: BTreeSet<AttemptNumber>,
    delivered: Vec<FastStr>,
    ended: bool,
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
            dropped: Vec::new(),
            used: BTreeSet::new(),
            delivered: Vec::new(),
            ended: false,
        };
        fuzz.perform(actions);
        fuzz
    }

    fn feed(&mut self, input: GenerationInput) {
        let actions = self.machine.handle(input, self.now, &self.environment);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<GenerationAction>) {
        for action in actions {
            assert!(!self.ended, "an ended generation does nothing more");
            match action {
                GenerationAction::Start { attempt, .. } => self.open(attempt),
                GenerationAction::Cancel { attempt } => self.drop_attempt(attempt),
                GenerationAction::Deliver { index, token, .. } => {
                    assert_eq!(
                        index as usize,
                        self.delivered.len(),
                        "each token once, in order"
                    );
                    assert_eq!(token, text(index), "the token is the right one");
                    self.delivered.push(token);
                }
                GenerationAction::Finish { total } => {
                    assert_eq!(total as usize, self.delivered.len(), "the answer is whole");
                    self.ended = true;
                }
                GenerationAction::Fail { .. } => self.ended = true,
                GenerationAction::Notice { .. } => {}
            }
        }
    }

    fn open(&mut self, attempt: AttemptNumber) {
        assert!(
            self.used.insert(attempt),
            "an attempt's number is never used again"
        );
        if !self.has_upstreams {
            let reason = NoUpstreamReason::NoneFree;
            return self.feed(GenerationInput::NoUpstream { attempt, reason });
        }
        self.live.push((attempt, self.delivered.len() as u32));
        let upstream = UpstreamName::new(format!("engine-{attempt}"));
        self.feed(GenerationInput::Sent {
            attempt,
            upstream,
            version: "v1".into(),
        });
    }

    fn drop_attempt(&mut self, attempt: AttemptNumber) {
        self.live.retain(|(other, _)| *other != attempt);
        self.dropped.push(attempt);
    }

    fn token(&mut self, attempt: AttemptNumber, echoed: AttemptNumber, index: u32, token: FastStr) {
        self.feed(GenerationInput::Token {
            attempt,
            generation: GENERATION,
            message_attempt: echoed,
            index,
            token,
        });
    }
}

struct GenerationTest;

impl StateMachineTest for GenerationTest {
    type SystemUnderTest = FuzzGeneration;
    type Reference = Happenings;

    fn init_test((): &()) -> FuzzGeneration {
        FuzzGeneration::start()
    }

    fn apply(mut fuzz: FuzzGeneration, (): &(), happening: Happening) -> FuzzGeneration {
        let attempt = |place: usize| fuzz.live.get(place).copied();
        match happening {
            Happening::Token(place) => {
                if let Some((number, next)) = attempt(place).filter(|(_, next)| *next < TARGET) {
                    fuzz.live[place].1 += 1;
                    fuzz.token(number, number, next, text(next));
                }
            }
            Happening::Repeat(place, back, differs) => {
                if let Some((number, next)) = attempt(place).filter(|(_, next)| *next > back) {
                    let index = next - 1 - back;
                    // A wrong text is known as wrong only where a token stands already.
                    let is_standing = (index as usize) < fuzz.delivered.len();
                    let wrong = differs && is_standing;
                    let token = if wrong {
                        FastStr::new("wrong")
                    } else {
                        text(index)
                    };
                    fuzz.token(number, number, index, token);
                }
            }
            Happening::Skip(place, by) => {
                if let Some((number, next)) = attempt(place).filter(|(_, n)| n + by < TARGET) {
                    fuzz.live[place].1 += by + 1;
                    fuzz.token(number, number, next + by, text(next + by));
                }
            }
            Happening::Crossed(place, other_generation) => {
                if let Some((attempt, index)) = attempt(place) {
                    let generation = GenerationId(GENERATION.0 + u128::from(other_generation));
                    let echoed = AttemptNumber(attempt.0 + u32::from(!other_generation));
                    let token = FastStr::new("of another request");
                    let input = GenerationInput::Token {
                        attempt,
                        generation,
                        message_attempt: echoed,
                        index,
                        token,
                    };
                    fuzz.feed(input);
                }
            }
            Happening::End(place) => {
                if let Some((attempt, total)) = attempt(place) {
                    let (generation, echoed) = (GENERATION, attempt);
                    fuzz.feed(GenerationInput::End {
                        attempt,
                        generation,
                        message_attempt: echoed,
                        total,
                    });
                }
            }
            Happening::Failed(place) => {
                if let Some((attempt, _)) = attempt(place) {
                    fuzz.drop_attempt(attempt);
                    let failure = AttemptFailure::Broken;
                    fuzz.feed(GenerationInput::Failed { attempt, failure });
                }
            }
            Happening::Late(place) => {
                if let Some(number) = fuzz.dropped.iter().rev().nth(place).copied() {
                    let index = fuzz.delivered.len() as u32;
                    fuzz.token(number, number, index, FastStr::new("late"));
                }
            }
            Happening::Wait(millis) => {
                fuzz.now = fuzz.now + ClockTime::from_millis(millis);
                fuzz.feed(GenerationInput::Tick);
            }
            Happening::Supply(has_upstreams) => fuzz.has_upstreams = has_upstreams,
            Happening::Budget(may_race) => fuzz.environment.may_race = may_race,
        }
        fuzz
    }

    fn check_invariants(fuzz: &FuzzGeneration, (): &()) {
        if fuzz.ended {
            return;
        }
        assert!(
            fuzz.live.len() <= 2,
            "at most two attempts run side by side"
        );
        let next_tick = fuzz.machine.next_tick(&fuzz.environment);
        assert!(next_tick < ClockTime::NEVER, "something is always due");
        let due = fuzz.machine.live_attempts().count();
        assert_eq!(due, fuzz.live.len(), "both sides agree on the attempts");
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
