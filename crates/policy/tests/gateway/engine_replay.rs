//! Replays many VMs that choose engines at the same moment, with and without ledgers.

pub mod fleet;
mod outcome;

use fleet::{at, Engine, StreamEvent, ANSWER_TOKENS, PROMPT_TOKENS, STEP_MS, TOKENS_PER_S};
use outcome::Outcome;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use skylarkshed_policy::{
    are_all_busy, are_ledgers_busy, choose_by_time, choose_engine, choose_holder, revise_choice,
    EngineLedger, EngineLoad, HolderRoom, LedgerView, PlacedWork, PromptEvent, PromptSize,
    WorkKind,
};
use std::collections::HashMap;

const SEEDS: std::ops::Range<u64> = 1..5;
const VMS: usize = 86;
const ZONES: usize = 3;
const DURATION_MS: u64 = 30_000;
/// The rest of the time is enough for the first events of all prompts.
const ARRIVALS_MS: u64 = 18_000;
const START_MS: u64 = 1_000;
/// How long a VM remembers the prompts that it has sent.
const OWN_PROMPTS_MS: u64 = 250;
/// Larger figures of reports are cut when they are parsed.
const MAX_COUNT: u64 = 100_000_000;
const SIZE: PromptSize = PromptSize {
    prompt_tokens: PROMPT_TOKENS,
    output_tokens: ANSWER_TOKENS,
    usual_prompt: PROMPT_TOKENS,
    usual_tokens_per_s: TOKENS_PER_S,
};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    Reports,
    Ledgers,
}

#[derive(Clone, Copy, Debug, Default)]
struct Scenario {
    engines: usize,
    /// Prompts a second in the six seconds from 6 s on, 39 else.
    burst_rate: u64,
    is_unequal: bool,
    /// Of every third engine.
    is_owner_gone: bool,
    lost_percent: u32,
    /// The reports of every fifth engine.
    are_reports_absurd: bool,
}

/// A prompt between the question for the engines' loads and its arrival.
struct Question {
    number: usize,
    vm: usize,
    asked_at: u64,
    placed_at: u64,
    candidates: Vec<usize>,
    views: Vec<Option<LedgerView>>,
    loads: Vec<Option<EngineLoad>>,
}

struct Replay {
    rule: Rule,
    scenario: Scenario,
    /// Decides about arrivals, so that they are the same with both rules.
    arrivals: SmallRng,
    faults: SmallRng,
    engines: Vec<Engine>,
    ledgers: Vec<EngineLedger>,
    own_prompts: HashMap<(usize, usize), Vec<u64>>,
    outcome: Outcome,
}

impl Replay {
    fn run(rule: Rule, scenario: Scenario, seed: u64, outcome: Outcome) -> Outcome {
        let speed = |index| match (scenario.is_unequal, index % 3) {
            (false, _) => 100,
            (true, 0 | 1) => 70,
            (true, _) => 170,
        };
        let mut replay = Replay {
            rule,
            scenario,
            arrivals: SmallRng::seed_from_u64(seed),
            faults: SmallRng::seed_from_u64(seed),
            engines: (0..scenario.engines)
                .map(|index| Engine::new(speed(index / ZONES)))
                .collect(),
            ledgers: (0..scenario.engines)
                .map(|_| EngineLedger::default())
                .collect(),
            own_prompts: HashMap::new(),
            outcome,
        };
        replay.play();
        let engines = &replay.engines;
        replay.outcome.waited_for_room += engines
            .iter()
            .map(|engine| engine.waited_for_room)
            .sum::<u64>();
        replay.outcome.preempted += engines.iter().map(|engine| engine.preempted).sum::<u64>();
        replay.outcome
    }

    fn play(&mut self) {
        let mut questions: Vec<Question> = Vec::new();
        let mut prompts = 0;
        let mut last_due = vec![0; self.engines.len()];
        for now in (START_MS..START_MS + DURATION_MS).step_by(STEP_MS as usize) {
            let rate = match now - START_MS {
                6_000..12_000 => self.scenario.burst_rate,
                0..ARRIVALS_MS => 39,
                _ => 0,
            };
            for _ in 0..2 {
                if self.arrivals.random_range(0..2_000 / STEP_MS) < rate {
                    questions.push(self.ask(prompts, now));
                    prompts += 1;
                }
            }
            let due = questions.extract_if(.., |question| question.placed_at <= now);
            let due: Vec<Question> = due.collect();
            for question in due {
                self.place(&question, now);
            }
            self.step(now);
            if now.is_multiple_of(100) && now < START_MS + ARRIVALS_MS {
                let due: Vec<u64> = self.engines.iter().map(Engine::due).collect();
                let total: u64 = due.iter().sum();
                let busiest = due.iter().max().copied().unwrap_or(0);
                self.outcome
                    .ratios
                    .push(busiest * due.len() as u64 * 100 / total.max(1));
                if now.is_multiple_of(500) {
                    let change = due
                        .iter()
                        .zip(&last_due)
                        .map(|(new, old)| u64::abs_diff(*new, *old));
                    self.outcome
                        .changes
                        .push(change.sum::<u64>() / due.len() as u64);
                    last_due = due;
                }
            }
        }
    }

    /// Asks for the loads of three engines of the VM's zone, and of three of other zones if all
    /// are busy.
    fn ask(&mut self, number: usize, now: u64) -> Question {
        let mut rng = SmallRng::seed_from_u64(self.arrivals.random());
        let vm = rng.random_range(0..VMS);
        let mut question = Question {
            number,
            vm,
            asked_at: now,
            placed_at: now + rng.random_range(5..30),
            candidates: Vec::new(),
            views: Vec::new(),
            loads: Vec::new(),
        };
        for is_own_zone in [true, false] {
            let known = question.candidates.len();
            while question.candidates.len() < known + 3 {
                let index = rng.random_range(0..self.engines.len());
                let is_in_zone = index % ZONES == vm % ZONES;
                if is_in_zone == is_own_zone && !question.candidates.contains(&index) {
                    self.look(&mut question, index, now);
                }
            }
            let is_busy = match self.rule {
                Rule::Reports => are_all_busy(&question.loads, PROMPT_TOKENS),
                Rule::Ledgers => are_ledgers_busy(&question.views, &SIZE),
            };
            if !is_busy {
                break;
            }
        }
        question
    }

    fn look(&mut self, question: &mut Question, index: usize, now: u64) {
        question.candidates.push(index);
        let has_owner = !(self.scenario.is_owner_gone && index.is_multiple_of(3));
        if self.rule == Rule::Ledgers && has_owner {
            if self.ledgers[index].needs_report(at(now)) {
                if let Some(load) = self.report(index) {
                    self.ledgers[index].record_report(&load, at(now));
                }
            }
            let view = self.ledgers[index].view(at(now), PROMPT_TOKENS);
            question.views.push(Some(view));
            return;
        }
        let own = self.own_prompts.entry((question.vm, index)).or_default();
        own.retain(|sent_at| now - sent_at < OWN_PROMPTS_MS);
        let unreported = own.len() as u64;
        let load = self
            .report(index)
            .map(|load| EngineLoad { unreported, ..load });
        let view = load
            .as_ref()
            .map(|load| LedgerView::from_load(load, PROMPT_TOKENS));
        question.views.push(view);
        question.loads.push(load);
    }

    fn report(&mut self, index: usize) -> Option<EngineLoad> {
        self.outcome.status_checks += 1;
        if self.faults.random_range(0..100) < self.scenario.lost_percent {
            return None;
        }
        let load = self.engines[index].report();
        if self.scenario.are_reports_absurd && index.is_multiple_of(5) {
            return Some(match self.faults.random_range(0..3) {
                0 => EngineLoad {
                    waiting: MAX_COUNT,
                    ..load
                },
                1 => EngineLoad {
                    free_tokens: None,
                    used_tokens: MAX_COUNT,
                    ..load
                },
                _ => EngineLoad {
                    free_tokens: Some(MAX_COUNT),
                    running: MAX_COUNT,
                    ..load
                },
            });
        }
        Some(load)
    }

    fn place(&mut self, question: &Question, now: u64) {
        let index = match self.rule {
            Rule::Reports => choose_engine(&question.loads, &[], PROMPT_TOKENS),
            Rule::Ledgers => self.choose(question, now),
        };
        let index = index.unwrap_or(0);
        let has_room = |engine: &Engine| engine.room() >= PROMPT_TOKENS;
        let mut others = question.candidates.iter();
        let is_possible = others.any(|&other| has_room(&self.engines[other]));
        let engine = question.candidates[index];
        let is_passed_over = is_possible && !has_room(&self.engines[engine]);
        self.outcome.passed_over_room += u64::from(is_passed_over);
        self.own_prompts
            .entry((question.vm, engine))
            .or_default()
            .push(now);
        self.engines[engine].send(question.number, question.asked_at);
    }

    fn choose(&mut self, question: &Question, now: u64) -> Option<usize> {
        let choice = choose_by_time(&question.views, &[], &SIZE)?;
        let engine = question.candidates[choice.index];
        let seen = question.views[choice.index]?.placed_total;
        let placed = self.ledgers[engine].placed_tokens_since(seen);
        let next = revise_choice(&choice, &question.views, placed, &SIZE);
        self.record_place(engine, question.number, WorkKind::Prompt, now);
        if next.is_some() {
            let placement = question.number as u64 * 2;
            self.ledgers[engine].record_event(placement, PromptEvent::Ended, at(now));
        }
        self.outcome.revised += u64::from(next.is_some());
        let last = next.unwrap_or(choice);
        let has_room = |(index, view): (usize, &Option<LedgerView>)| {
            let free = view.and_then(|view| view.free_tokens);
            index != choice.index && free.is_some_and(|free| free >= PROMPT_TOKENS + ANSWER_TOKENS)
        };
        let is_possible =
            choice.has_room && next.is_none() || question.views.iter().enumerate().any(has_room);
        self.outcome.known_room_passed_over += u64::from(is_possible && !last.has_room);
        let index = last.index;
        if next.is_some() {
            let engine = question.candidates[index];
            self.record_place(engine, question.number, WorkKind::Prompt, now);
        }
        Some(index)
    }

    fn record_place(&mut self, engine: usize, number: usize, kind: WorkKind, now: u64) {
        if self.scenario.is_owner_gone && engine.is_multiple_of(3) {
            return;
        }
        let work = PlacedWork {
            placement: number as u64 * 2 + u64::from(kind == WorkKind::Copy),
            request: number.to_string().into(),
            kind,
            prompt_tokens: PROMPT_TOKENS,
            output_tokens: ANSWER_TOKENS,
        };
        self.ledgers[engine].place(work, at(now));
    }

    fn step(&mut self, now: u64) {
        for index in 0..self.engines.len() {
            for event in self.engines[index].step(now) {
                let (number, event) = match event {
                    StreamEvent::Started { number, elapsed_ms } => {
                        self.outcome.first_event_ms.push(elapsed_ms);
                        self.copy(index, number, now);
                        (
                            number,
                            PromptEvent::FirstEvent {
                                elapsed: at(elapsed_ms),
                            },
                        )
                    }
                    StreamEvent::Ended { number } => (number, PromptEvent::Ended),
                };
                self.ledgers[index].record_event(number as u64 * 2, event, at(now));
            }
        }
    }

    /// Copies a started stream to an engine of another zone.
    fn copy(&mut self, engine: usize, number: usize, now: u64) {
        let mut candidates = Vec::new();
        let mut rng = SmallRng::seed_from_u64(number as u64);
        while candidates.len() < 3 {
            let index = rng.random_range(0..self.engines.len());
            if index % ZONES != engine % ZONES {
                candidates.push(index);
            }
        }
        let holder = match self.rule {
            Rule::Reports => Some(0),
            Rule::Ledgers => {
                let views = candidates.iter().map(|&index| {
                    let has_owner = !(self.scenario.is_owner_gone && index.is_multiple_of(3));
                    has_owner.then(|| self.ledgers[index].view(at(now), PROMPT_TOKENS))
                });
                choose_holder(&views.collect::<Vec<_>>(), &SIZE, HolderRoom::CopyAndPrompt)
            }
        };
        if let Some(holder) = holder.map(|index| candidates[index]) {
            self.engines[holder].hold_copy(now);
            self.record_place(holder, number, WorkKind::Copy, now);
        }
    }
}

fn compare(scenario: Scenario) -> (Outcome, Outcome) {
    println!("{scenario:?}");
    let [reports, ledgers] = [Rule::Reports, Rule::Ledgers].map(|rule| {
        let run = |outcome, seed| Replay::run(rule, scenario, seed, outcome);
        let outcome = SEEDS.fold(Outcome::default(), run);
        outcome.print(&format!("{rule:?}"));
        outcome
    });
    (reports, ledgers)
}

/// Guards against VMs that send their prompts to the same engines at the same moment.
#[rstest]
#[case::even_load(120, 39, false)]
#[case::burst(80, 86, false)]
#[case::unequal_speeds(120, 39, true)]
#[case::burst_at_unequal_speeds(80, 86, true)]
fn ledgers_spread_prompts_more_evenly(
    #[case] engines: usize,
    #[case] burst_rate: u64,
    #[case] is_unequal: bool,
) {
    let scenario = Scenario {
        engines,
        burst_rate,
        is_unequal,
        ..Scenario::default()
    };
    let (reports, ledgers) = compare(scenario);
    assert!(ledgers.p99() < reports.p99());
    assert!(ledgers.waited_for_room <= reports.waited_for_room);
    assert_eq!(ledgers.known_room_passed_over, 0);
    assert!(ledgers.status_checks <= reports.status_checks);
}

/// Guards against a worse choice than today's while parts of the ledgers are missing or wrong.
#[rstest]
#[case::owners_gone(Scenario { is_owner_gone: true, ..Scenario::default() })]
#[case::reports_lost(Scenario { lost_percent: 30, ..Scenario::default() })]
#[case::absurd_reports(Scenario { are_reports_absurd: true, ..Scenario::default() })]
fn ledgers_are_no_worse_with_failures(#[case] failure: Scenario) {
    let scenario = Scenario {
        engines: 80,
        burst_rate: 86,
        ..failure
    };
    let (reports, ledgers) = compare(scenario);
    assert!(ledgers.p99() <= reports.p99());
}
