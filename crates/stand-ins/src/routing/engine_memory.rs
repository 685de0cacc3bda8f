//! The memory of an engine: prompts wait for room in it, and load reports show it.

use super::engine_report::{EngineReport, ReportedRun};
use super::headers;
use super::received_request::ReceivedRequest;
use skylarkshed_core::ClockTime;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// A report tells the state of this time ago.
const REPORT_AGE: ClockTime = ClockTime::from_millis(200);
/// The prompts that wait at the same time; the engine refuses others.
const MAX_WAITING: usize = 4;
/// The urgency of requests that state none.
const USUAL_URGENCY: u8 = 5;

/// The place of a prompt in the queue: its urgency, then the order of arrival.
type QueueKey = (u8, u64);

#[derive(Default)]
struct MemoryState {
    next: u64,
    waiting: BTreeMap<QueueKey, u64>,
    running: BTreeMap<u64, RunningPrompt>,
    /// Reports with their times, oldest first.
    reports: VecDeque<(ClockTime, EngineReport)>,
}

struct RunningPrompt {
    request: String,
    prompt_tokens: u64,
    /// The tokens reserved for the prompt and its whole output.
    reserved_tokens: u64,
    events: u64,
}

/// The memory of an engine.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_stand_ins::EngineMemory;
///
/// let memory = EngineMemory::new(4_000, 1_700_000_000_000);
/// let report = memory.old_report(ClockTime::from_millis(200));
/// assert_eq!((report.cache_used, report.cache_total), (0, 4_000));
/// ```
pub struct EngineMemory {
    total_tokens: u64,
    /// When the engine started, in Unix milliseconds.
    born: u64,
    state: Mutex<MemoryState>,
    changed: Notify,
}

impl EngineMemory {
    /// Creates the memory of an engine that started at `born`, in Unix milliseconds.
    pub fn new(total_tokens: u64, born: u64) -> Self {
        EngineMemory {
            total_tokens,
            born,
            state: Mutex::default(),
            changed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets a request wait for room; `None` if too many wait already.
    pub fn enter(self: &Arc<Self>, request: &ReceivedRequest) -> Option<MemoryPlace> {
        let tokens = request.header(headers::TOKENS).unwrap_or_default();
        let mut tokens = tokens.split(',').map(|text| text.parse().unwrap_or(0));
        let prompt_tokens = tokens.next().unwrap_or(0);
        let reserved_tokens = prompt_tokens + tokens.next().unwrap_or(0);
        let urgency = request.header(headers::URGENCY);
        let urgency = urgency.and_then(|text| text.parse().ok());
        let mut state = self.lock();
        if state.waiting.len() >= MAX_WAITING {
            return None;
        }
        state.next += 1;
        let key = (urgency.unwrap_or(USUAL_URGENCY), state.next);
        // A request that no engine has room for runs alone.
        let reserved_tokens = reserved_tokens.min(self.total_tokens);
        state.waiting.insert(key, reserved_tokens);
        let id = request.header(headers::REQUEST_ID).unwrap_or_default();
        Some(MemoryPlace {
            memory: self.clone(),
            key,
            request: id.to_owned(),
            prompt_tokens,
        })
    }

    /// Gives room to the first in the queue; reports whether it is the one with this key.
    fn try_run(&self, place: &MemoryPlace) -> bool {
        let mut state = self.lock();
        let Some((first, tokens)) = state.waiting.first_key_value() else {
            return false;
        };
        let (first, tokens) = (*first, *tokens);
        if first != place.key || state.used_tokens() + tokens > self.total_tokens {
            return false;
        }
        state.waiting.remove(&first);
        let running = RunningPrompt {
            request: place.request.clone(),
            prompt_tokens: place.prompt_tokens,
            reserved_tokens: tokens,
            events: 0,
        };
        state.running.insert(first.1, running);
        true
    }

    /// Keeps a report on the state at `now` for later.
    pub fn keep_report(&self, now: ClockTime) {
        let mut state = self.lock();
        let report = state.report(self.total_tokens, self.born);
        state.reports.push_back((now, report));
        while state
            .reports
            .get(1)
            .is_some_and(|(at, _)| *at + REPORT_AGE <= now)
        {
            state.reports.pop_front();
        }
    }

    /// Returns a report on the state of [`REPORT_AGE`] ago; of an idle engine if it started
    /// later.
    pub fn old_report(&self, now: ClockTime) -> EngineReport {
        let state = self.lock();
        let mut old = state.reports.iter().rev();
        let old = old.find(|(at, _)| *at + REPORT_AGE <= now);
        let idle = || MemoryState::default().report(self.total_tokens, self.born);
        old.map_or_else(idle, |(_, report)| report.clone())
    }
}

impl MemoryState {
    fn used_tokens(&self) -> u64 {
        let running = self.running.values();
        running.map(|prompt| prompt.reserved_tokens).sum()
    }

    fn report(&self, cache_total: u64, born: u64) -> EngineReport {
        let begun = self.running.values().filter(|prompt| prompt.events > 0);
        let runs = begun.map(|prompt| {
            let tokens = prompt.prompt_tokens + prompt.events;
            ReportedRun(prompt.request.clone(), tokens, prompt.events, 0)
        });
        EngineReport {
            born,
            waiting: self.waiting.len(),
            running: self.running.len(),
            cache_used: self.used_tokens(),
            cache_total,
            runs: runs.collect(),
        }
    }
}

/// The place of a request in an engine's queue or memory, free when it is dropped.
pub struct MemoryPlace {
    memory: Arc<EngineMemory>,
    key: QueueKey,
    request: String,
    prompt_tokens: u64,
}

impl MemoryPlace {
    /// Returns when the request has room.
    pub async fn wait_for_room(&self) {
        loop {
            let mut changed = std::pin::pin!(self.memory.changed.notified());
            changed.as_mut().enable();
            if self.memory.try_run(self) {
                // The next one in the queue may have room as well.
                return self.memory.changed.notify_waiters();
            }
            changed.await;
        }
    }

    /// Counts an event that the request has produced.
    pub fn count_event(&self) {
        if let Some(prompt) = self.memory.lock().running.get_mut(&self.key.1) {
            prompt.events += 1;
        }
    }
}

impl Drop for MemoryPlace {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.waiting.remove(&self.key);
        state.running.remove(&self.key.1);
        drop(state);
        self.memory.changed.notify_waiters();
    }
}
