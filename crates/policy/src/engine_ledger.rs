//! Keeps what is known of one engine's load at the VM that owns the engine's ledger.
//!
//! Load pattern: many VMs choose engines at the same moment from reports that are 200 ms
//! old, so that engines are overloaded in turns while others are idle. The owner of an
//! engine's ledger adds what all VMs have placed there since the report.

use crate::engine_choice::EngineLoad;
use crate::prefill_speed::PrefillSpeed;
use faststr::FastStr;
use skylarkshed_core::ClockTime;
use std::collections::VecDeque;

/// The engine is asked again after this time: its reports are 200 ms old.
const REPORT_INTERVAL: ClockTime = ClockTime::from_millis(200);
/// A report that is asked for this time after a placement includes it: reports are 200 ms
/// old, and the prompt needs some time to the engine.
const REPORT_DELAY: ClockTime = ClockTime::from_millis(300);
/// An engine prefills its whole queue in some seconds, so an older report tells nothing.
const REPORT_LIFETIME: ClockTime = ClockTime::from_millis(2_000);
/// The VM that placed the work may have died without a word.
const WORK_LIFETIME: ClockTime = ClockTime::from_millis(10_000);
/// A ledger without any message is dropped after this time.
const IDLE_LIFETIME: ClockTime = ClockTime::from_millis(30_000);

/// The expected answer as a percentage of the prompt, if nothing is known of it.
const ANSWER_PERCENT: u64 = 10;
/// Larger numbers of requests in a report are faults: engines have some 16 slots.
const MAX_REQUESTS: u64 = 10_000;
/// Larger numbers of tokens in reports and messages are faults: engines hold some 100,000.
pub(crate) const MAX_TOKENS: u64 = 10_000_000;

/// Engines have some 16 slots; more placements are those of a faulty VM.
const MAX_ENTRIES: usize = 1_024;
/// Ends of work are remembered for late placements: as many as engines answer in some seconds.
const MAX_ENDS: usize = 256;

/// Work that a VM has sent to an engine.
#[derive(Clone, Debug)]
pub struct PlacedWork {
    /// Identifies this placement: a request can be placed at an engine again, and as a prompt
    /// and a copy at once.
    pub placement: u64,
    /// The request's identifier.
    pub request: FastStr,
    /// What the engine does with it.
    pub kind: WorkKind,
    /// The length of the prompt, or of the copy.
    pub prompt_tokens: u64,
    /// The expected length of the answer in tokens; zero if unknown.
    pub output_tokens: u64,
}

/// The kind of work that is placed at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// A prompt to prefill.
    Prompt,
    /// A copy of a KV cache, which takes room but no prefill.
    Copy,
}

/// What became of placed work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromptEvent {
    /// The first event came.
    FirstEvent {
        /// The time from the send to the first event.
        elapsed: ClockTime,
    },
    /// The stream ended, or left the engine.
    Ended,
}

/// The load of an engine as its owner knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerView {
    /// The length of the prompts that are due: waiting, being prefilled and placed since the
    /// report. Of those being prefilled, half is due on average.
    pub due_tokens: u64,
    /// The running generations that have produced events.
    pub running: u64,
    /// The room of the KV cache that nothing placed is expected to take; unknown if the
    /// engine does not tell its capacity.
    pub free_tokens: Option<u64>,
    /// The speed of the engine's prefills, if it is known.
    pub tokens_per_s: Option<u64>,
    /// The time since the last report was asked for; [`ClockTime::NEVER`] without one.
    pub age: ClockTime,
    /// Whether a request of the VM that asked for the report has just failed at the engine.
    pub is_suspect: bool,
    /// The total length of the prompts that were ever placed here, in tokens. It tells later
    /// placements from those in this view, also within a millisecond.
    pub placed_total: u64,
}

impl LedgerView {
    /// Returns the view of an engine whose owner does not answer, from a report that this VM
    /// asked for itself. It counts the prompts that this VM has sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_policy::{EngineLoad, LedgerView};
    ///
    /// let load = EngineLoad { waiting: 1, unreported: 1, ..EngineLoad::default() };
    /// assert_eq!(LedgerView::from_load(&load, 8_000).due_tokens, 16_000);
    /// ```
    pub fn from_load(load: &EngineLoad, usual_prompt: u64) -> LedgerView {
        let mut ledger = EngineLedger::default();
        ledger.record_report(load, ClockTime::ZERO);
        let mut view = ledger.view(ClockTime::ZERO, usual_prompt);
        let unreported = load.unreported.min(MAX_REQUESTS) * usual_prompt;
        view.due_tokens += unreported;
        let taken = unreported + expected_answer(unreported, 0);
        view.free_tokens = view.free_tokens.map(|free| free.saturating_sub(taken));
        view
    }
}

/// What is known of one engine's load.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{EngineLedger, EngineLoad, PlacedWork, WorkKind};
///
/// let at = ClockTime::from_millis;
/// let mut ledger = EngineLedger::default();
/// ledger.record_report(&EngineLoad::default(), at(1_000));
/// let work = PlacedWork {
///     placement: 1,
///     request: "request-1".into(),
///     kind: WorkKind::Prompt,
///     prompt_tokens: 8_000,
///     output_tokens: 800,
/// };
/// ledger.place(work, at(1_010));
/// assert_eq!(ledger.view(at(1_020), 8_000).due_tokens, 8_000);
/// // A later report includes the prompt.
/// ledger.record_report(&EngineLoad { waiting: 1, ..EngineLoad::default() }, at(1_310));
/// assert_eq!(ledger.view(at(1_320), 8_000).due_tokens, 8_000);
/// ```
#[derive(Debug, Default)]
pub struct EngineLedger {
    report: Option<LedgerReport>,
    entries: Vec<LedgerEntry>,
    /// The placements that have ended last. Messages may overtake each other.
    ends: VecDeque<u64>,
    speed: PrefillSpeed,
    placed_total: u64,
    used_at: ClockTime,
}

/// An engine's last report.
#[derive(Debug)]
struct LedgerReport {
    load: EngineLoad,
    asked_at: ClockTime,
    /// Whether the numbers of requests and of their tokens can be true.
    has_queue: bool,
    /// Whether all figures can be true.
    is_plausible: bool,
}

/// Placed work that has not ended.
#[derive(Debug)]
struct LedgerEntry {
    work: PlacedWork,
    placed_at: ClockTime,
    has_started: bool,
    /// Whether the prompt found no other one due, and none was placed after it.
    is_alone: bool,
}

impl EngineLedger {
    /// Reports whether the last report is so old that the engine has to be asked.
    pub fn needs_report(&self, now: ClockTime) -> bool {
        let report = self.report.as_ref();
        report.is_none_or(|report| now.since(report.asked_at) >= REPORT_INTERVAL)
    }

    /// Reports whether a figure of the last report can't be true; it counts as unknown.
    pub fn has_absurd_report(&self) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| !report.is_plausible)
    }

    /// Records a report of the engine. One that was asked for earlier than the last is ignored.
    pub fn record_report(&mut self, load: &EngineLoad, asked_at: ClockTime) {
        let last = self.report.as_ref().map(|report| report.asked_at);
        if last.is_some_and(|last| asked_at < last) {
            return;
        }
        let has_queue = load.waiting.max(load.running) <= MAX_REQUESTS
            && load.used_tokens <= MAX_TOKENS
            && load.runs.iter().all(|run| run.tokens <= MAX_TOKENS);
        let free_tokens = load.free_tokens.filter(|free| *free <= MAX_TOKENS);
        self.report = Some(LedgerReport {
            is_plausible: has_queue && free_tokens.is_some(),
            load: EngineLoad {
                free_tokens,
                ..load.clone()
            },
            asked_at,
            has_queue,
        });
        self.touch(asked_at);
    }

    /// Adds work that a VM sends to the engine. Work of the same request and kind is replaced;
    /// a placement that has ended already is ignored.
    pub fn place(&mut self, work: PlacedWork, now: ClockTime) {
        self.touch(now);
        if self.ends.contains(&work.placement) {
            return;
        }
        let is_alone = self.view(now, 1).due_tokens == 0 && work.kind == WorkKind::Prompt;
        self.entries.retain(|entry| {
            let is_same = entry.work.request == work.request && entry.work.kind == work.kind;
            !is_same && entry.is_alive(now)
        });
        if self.entries.len() >= MAX_ENTRIES {
            // The oldest has most likely ended.
            self.entries.remove(0);
        }
        if work.kind == WorkKind::Prompt {
            let tokens = work.prompt_tokens.min(MAX_TOKENS);
            self.placed_total = self.placed_total.saturating_add(tokens);
            for entry in &mut self.entries {
                entry.is_alone &= entry.has_started;
            }
        }
        self.entries.push(LedgerEntry {
            work: PlacedWork {
                prompt_tokens: work.prompt_tokens.min(MAX_TOKENS),
                output_tokens: work.output_tokens.min(MAX_TOKENS),
                ..work
            },
            placed_at: now,
            has_started: false,
            is_alone,
        });
    }

    /// Records what became of placed work.
    pub fn record_event(&mut self, placement: u64, event: PromptEvent, now: ClockTime) {
        self.touch(now);
        match event {
            PromptEvent::FirstEvent { elapsed } => self.record_first_event(placement, elapsed, now),
            PromptEvent::Ended => {
                let entries = &mut self.entries;
                entries.retain(|entry| entry.work.placement != placement);
                if self.ends.len() == MAX_ENDS {
                    self.ends.pop_front();
                }
                self.ends.push_back(placement);
            }
        }
    }

    /// Returns the engine's load; `usual_prompt` is the usual length of prompts.
    pub fn view(&self, now: ClockTime, usual_prompt: u64) -> LedgerView {
        let usual_prompt = usual_prompt.min(MAX_TOKENS);
        let report = self.report.as_ref();
        let age = report.map_or(ClockTime::NEVER, |report| now.since(report.asked_at));
        let report = report.filter(|_| age < REPORT_LIFETIME);
        let mut view = match report {
            Some(report) => report.view(usual_prompt),
            None => LedgerView::default(),
        };
        for entry in self.entries.iter().filter(|entry| entry.is_alive(now)) {
            let covering = report.filter(|report| report.covers(entry));
            if covering.is_none_or(|report| !report.has_queue) {
                view.due_tokens += entry.due_tokens();
                view.running += u64::from(entry.has_started);
            }
            let taken = entry.taken_tokens(covering);
            view.free_tokens = view.free_tokens.map(|free| free.saturating_sub(taken));
        }
        view.tokens_per_s = self.speed.tokens_per_s(now);
        view.age = age;
        view.placed_total = self.placed_total;
        view
    }

    /// Returns the total length of the prompts that any VM has placed since a view, in tokens.
    /// Prompts that have left since count as well: each VM that placed one then follows the
    /// rule of [`revise_choice`](crate::revise_choice).
    pub fn placed_tokens_since(&self, placed_total: u64) -> u64 {
        self.placed_total.saturating_sub(placed_total)
    }

    /// Reports whether nothing was recorded for so long that the ledger may be dropped.
    pub fn is_unused(&self, now: ClockTime) -> bool {
        now.since(self.used_at) >= IDLE_LIFETIME
    }

    fn touch(&mut self, now: ClockTime) {
        self.used_at = self.used_at.max(now);
    }

    fn record_first_event(&mut self, placement: u64, elapsed: ClockTime, now: ClockTime) {
        let mut entries = self.entries.iter_mut();
        let entry = entries
            .find(|entry| entry.work.placement == placement && entry.work.kind == WorkKind::Prompt);
        let Some(entry) = entry.filter(|entry| !entry.has_started) else {
            return;
        };
        entry.has_started = true;
        if entry.is_alone {
            let tokens = entry.work.prompt_tokens;
            self.speed.record_prefill(tokens, elapsed, now);
        }
    }
}

impl LedgerReport {
    /// Reports whether the engine had the work when it made the report.
    fn covers(&self, entry: &LedgerEntry) -> bool {
        self.asked_at >= entry.placed_at + REPORT_DELAY
    }

    fn view(&self, usual_prompt: u64) -> LedgerView {
        let load = &self.load;
        let free_tokens = load.free_tokens;
        if !self.has_queue {
            return LedgerView {
                free_tokens,
                is_suspect: load.is_suspect,
                ..LedgerView::default()
            };
        }
        let waiting = load.waiting * usual_prompt;
        LedgerView {
            // A prefill of unknown progress is half done on average.
            due_tokens: waiting + load.prefilling_tokens() / 2,
            running: load.running.saturating_sub(load.prefills()),
            free_tokens: free_tokens.map(|free| free.saturating_sub(waiting)),
            is_suspect: load.is_suspect,
            ..LedgerView::default()
        }
    }
}

impl LedgerEntry {
    fn is_alive(&self, now: ClockTime) -> bool {
        now.since(self.placed_at) < WORK_LIFETIME
    }

    /// Returns the length of the prompt until its first event.
    fn due_tokens(&self) -> u64 {
        match self.work.kind {
            WorkKind::Prompt if !self.has_started => self.work.prompt_tokens,
            WorkKind::Prompt | WorkKind::Copy => 0,
        }
    }

    /// Returns the room that the work takes beyond what the report counts as used: all of it
    /// if the report doesn't cover it, else the rest of its answer.
    fn taken_tokens(&self, covering: Option<&LedgerReport>) -> u64 {
        let work = &self.work;
        let answer = expected_answer(work.prompt_tokens, work.output_tokens);
        match (covering, work.kind) {
            (None, WorkKind::Prompt) => work.prompt_tokens + answer,
            (None, WorkKind::Copy) => work.prompt_tokens,
            (Some(_), WorkKind::Copy) => 0,
            (Some(report), WorkKind::Prompt) => {
                let mut runs = report.load.runs.iter();
                let run = runs.find(|run| run.request == work.request);
                let produced = run.map_or(0, |run| run.tokens.saturating_sub(work.prompt_tokens));
                answer.saturating_sub(produced)
            }
        }
    }
}

/// Returns the expected length of an answer, in tokens; `output_tokens` is zero if unknown.
pub(crate) fn expected_answer(prompt_tokens: u64, output_tokens: u64) -> u64 {
    match output_tokens {
        0 => prompt_tokens * ANSWER_PERCENT / 100,
        known => known,
    }
}
