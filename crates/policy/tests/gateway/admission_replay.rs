//! Replays a burst of routine streams beside urgent ones, with and without admission control.

use crate::engine_replay::fleet::{
    at, Engine, StreamEvent, ANSWER_TOKENS, PROMPT_TOKENS, STEP_MS, TOKENS_PER_S,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use skylarkshed_policy::{
    choose_by_time, choose_holder, decide_admission, AdmissionDecision, AdmissionInput,
    EngineLedger, HolderRoom, LedgerView, PlacedWork, PromptEvent, PromptSize, WorkKind,
};

/// A caller leaves after this time.
const DEADLINE_MS: u64 = 20_000;
const ANSWER_MS: u64 = 4_500;
const MAX_RETURNS: u32 = 3;
const ARRIVALS_MS: u64 = 20_000;
const DURATION_MS: u64 = 45_000;
const SIZE: PromptSize = PromptSize {
    prompt_tokens: PROMPT_TOKENS,
    output_tokens: ANSWER_TOKENS,
    usual_prompt: PROMPT_TOKENS,
    usual_tokens_per_s: TOKENS_PER_S,
};

struct Caller {
    is_urgent: bool,
    arrived_at: u64,
    returns: u32,
    /// When the stream arrives next, if it is not at an engine.
    next_at: Option<u64>,
    engine: usize,
    first_event_at: Option<u64>,
    is_done: bool,
}

impl Caller {
    fn priority(&self) -> u8 {
        match self.is_urgent {
            true => 0,
            false => 2,
        }
    }

    fn target_ms(&self) -> u64 {
        match self.is_urgent {
            true => 4_000,
            false => 10_000,
        }
    }

    fn is_served(&self) -> bool {
        let in_time = |first: u64| first <= self.arrived_at + self.target_ms();
        self.is_done && self.first_event_at.is_some_and(in_time)
    }
}

#[derive(Debug, Default)]
struct Outcome {
    urgent_percent: u64,
    routine_percent: u64,
    worth_percent: u64,
    refusals: u64,
    given_up: u64,
    wasted_tokens: u64,
}

struct Replay {
    engines: Vec<Engine>,
    ledgers: Vec<EngineLedger>,
    callers: Vec<Caller>,
    rng: SmallRng,
    has_admission: bool,
    /// A moving average, as a VM knows it from streams that have ended.
    usual_answer_ms: u64,
    outcome: Outcome,
}

impl Replay {
    fn run(engines: usize, seed: u64, has_admission: bool) -> Outcome {
        let mut replay = Replay {
            engines: (0..engines).map(|_| Engine::new(100)).collect(),
            ledgers: (0..engines).map(|_| EngineLedger::default()).collect(),
            callers: Vec::new(),
            rng: SmallRng::seed_from_u64(3),
            has_admission,
            usual_answer_ms: ANSWER_MS,
            outcome: Outcome::default(),
        };
        let mut arrivals = SmallRng::seed_from_u64(seed);
        for now in (1_000..1_000 + DURATION_MS).step_by(STEP_MS as usize) {
            let routine_rate = match now {
                5_000..11_000 => 828,
                0..ARRIVALS_MS => 360,
                _ => 0,
            };
            let urgent_rate = if now < ARRIVALS_MS { 25 } else { 0 };
            for (is_urgent, rate) in [(true, urgent_rate), (false, routine_rate)] {
                if arrivals.random_range(0..10_000 / STEP_MS) < rate {
                    replay.callers.push(Caller {
                        is_urgent,
                        arrived_at: now,
                        returns: 0,
                        next_at: Some(now),
                        engine: 0,
                        first_event_at: None,
                        is_done: false,
                    });
                }
            }
            replay.step(now);
        }
        replay.finish()
    }

    fn step(&mut self, now: u64) {
        for number in 0..self.callers.len() {
            let caller = &mut self.callers[number];
            if caller.next_at.is_some_and(|next| next <= now) {
                caller.next_at = None;
                self.start(number, now);
            } else if caller.arrived_at + DEADLINE_MS == now && !caller.is_done {
                self.outcome.wasted_tokens += self.engines[caller.engine].cancel(number);
                self.outcome.given_up += 1;
                caller.next_at = None;
                let event = PromptEvent::Ended;
                self.ledgers[caller.engine].record_event(number as u64 * 2, event, at(now));
            }
        }
        for index in 0..self.engines.len() {
            for event in self.engines[index].step(now) {
                self.record(index, event, now);
            }
        }
    }

    fn record(&mut self, engine: usize, event: StreamEvent, now: u64) {
        let (number, event) = match event {
            StreamEvent::Started { number, elapsed_ms } => {
                self.callers[number].first_event_at = Some(now);
                self.copy(number, now);
                let elapsed = at(elapsed_ms);
                (number, PromptEvent::FirstEvent { elapsed })
            }
            StreamEvent::Ended { number } => {
                let caller = &mut self.callers[number];
                caller.is_done = true;
                let sample = now - caller.first_event_at.unwrap();
                self.usual_answer_ms = (self.usual_answer_ms * 15 + sample) / 16;
                (number, PromptEvent::Ended)
            }
        };
        self.ledgers[engine].record_event(number as u64 * 2, event, at(now));
    }

    /// Asks for the ledgers of six engines, and sends the stream or refuses it.
    fn start(&mut self, number: usize, now: u64) {
        let (candidates, views) = self.look(6, now);
        let choice = choose_by_time(&views, &[], &SIZE).unwrap();
        let caller = &mut self.callers[number];
        let waited = now - caller.arrived_at;
        let decision = decide_admission(&AdmissionInput {
            expected_first_event: choice.expected,
            own_prefill: at(PROMPT_TOKENS * 1_000 / TOKENS_PER_S),
            has_room: choice.has_room,
            time_left: at(DEADLINE_MS - waited),
            usual_duration: at(self.usual_answer_ms),
            is_least_urgent: !caller.is_urgent,
            random: self.rng.random(),
        });
        match decision {
            AdmissionDecision::Refuse { retry_after } if self.has_admission => {
                self.outcome.refusals += 1;
                caller.returns += 1;
                let next = now + retry_after.as_millis();
                let can_return =
                    caller.returns <= MAX_RETURNS && next < caller.arrived_at + DEADLINE_MS;
                caller.next_at = can_return.then_some(next);
            }
            _ => {
                caller.engine = candidates[choice.index];
                let priority = caller.priority();
                self.engines[caller.engine].send_with_priority(number, now, priority);
                self.record_place(candidates[choice.index], number, WorkKind::Prompt, now);
            }
        }
    }

    fn look(&mut self, count: usize, now: u64) -> (Vec<usize>, Vec<Option<LedgerView>>) {
        let mut candidates: Vec<usize> = Vec::new();
        while candidates.len() < count {
            let index = self.rng.random_range(0..self.engines.len());
            if !candidates.contains(&index) {
                candidates.push(index);
            }
        }
        let views = candidates.iter().map(|&index| {
            let ledger = &mut self.ledgers[index];
            if ledger.needs_report(at(now)) {
                ledger.record_report(&self.engines[index].report(), at(now));
            }
            Some(ledger.view(at(now), PROMPT_TOKENS))
        });
        let views = views.collect();
        (candidates, views)
    }

    fn copy(&mut self, number: usize, now: u64) {
        let (candidates, views) = self.look(3, now);
        if let Some(index) = choose_holder(&views, &SIZE, HolderRoom::CopyAndPrompt) {
            self.engines[candidates[index]].hold_copy(now);
            self.record_place(candidates[index], number, WorkKind::Copy, now);
        }
    }

    fn record_place(&mut self, engine: usize, number: usize, kind: WorkKind, now: u64) {
        let work = PlacedWork {
            placement: number as u64 * 2 + u64::from(kind == WorkKind::Copy),
            request: number.to_string().into(),
            kind,
            prompt_tokens: PROMPT_TOKENS,
            output_tokens: ANSWER_TOKENS,
        };
        self.ledgers[engine].place(work, at(now));
    }

    fn finish(mut self) -> Outcome {
        let percent = |is_urgent: bool| {
            let callers = self
                .callers
                .iter()
                .filter(|caller| caller.is_urgent == is_urgent);
            let served = callers.clone().filter(|caller| caller.is_served()).count();
            (served * 100 / callers.count()) as u64
        };
        self.outcome.urgent_percent = percent(true);
        self.outcome.routine_percent = percent(false);
        let worth = |caller: &&Caller| if caller.is_urgent { 220 } else { 57 };
        let served = self.callers.iter().filter(|caller| caller.is_served());
        let total: u64 = self.callers.iter().map(|caller| worth(&caller)).sum();
        self.outcome.worth_percent = served.map(|caller| worth(&caller)).sum::<u64>() * 100 / total;
        self.outcome
    }
}

/// Guards against refusals while all can be served, and against streams that are prefilled
/// and given up at their deadline.
#[rstest]
#[case::zone_lost(80, 4, false)]
#[case::two_zones_lost(40, 4, true)]
#[case::two_zones_lost_other_arrivals(40, 5, true)]
fn streams_that_cannot_be_served_are_refused(
    #[case] engines: usize,
    #[case] seed: u64,
    #[case] is_overloaded: bool,
) {
    let without = Replay::run(engines, seed, false);
    let with = Replay::run(engines, seed, true);
    println!("{engines} engines, seed {seed}\nwithout: {without:?}\nwith: {with:?}");
    assert_eq!(with.refusals > 0, is_overloaded);
    if is_overloaded {
        assert!(with.worth_percent > without.worth_percent);
        assert!(with.wasted_tokens < without.wasted_tokens);
        assert!(with.urgent_percent >= without.urgent_percent);
    }
}
