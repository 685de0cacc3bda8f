//! A table of engines with prefill queues and memory, in steps of 5 ms.

use skylarkshed_core::ClockTime;
use skylarkshed_policy::{EngineLoad, EngineRun};
use std::collections::VecDeque;

pub const STEP_MS: u64 = 5;
pub const PROMPT_TOKENS: u64 = 8_000;
pub const TOKENS_PER_S: u64 = 8_000;
/// An answer has 130 events of 6 tokens, each token a step of 5.09 ms.
pub const ANSWER_TOKENS: u64 = 780;
const MEMORY_TOKENS: u64 = 88_000;
const SLOTS: usize = 16;
/// Events come seven times slower while a prompt is prefilled.
const SLOW_FACTOR: u64 = 7;
const REPORT_AGE_STEPS: usize = 40;
const COPY_MS: u64 = 4_000;

/// A stream at an engine, from its arrival on.
#[derive(Clone, Debug)]
pub struct Stream {
    number: usize,
    priority: u8,
    sent_at: u64,
    /// The prompt tokens, thousandths of them, that are still to be prefilled.
    prefill_left: u64,
    /// Seventh parts of produced tokens.
    produced: u64,
    has_started: bool,
}

#[derive(Debug)]
pub struct Engine {
    speed_percent: u64,
    waiting: VecDeque<Stream>,
    running: Vec<Stream>,
    copies: Vec<u64>,
    history: VecDeque<EngineLoad>,
    pub preempted: u64,
    pub waited_for_room: u64,
    last_blocked: Option<usize>,
}

/// What happened to a stream in a step.
pub enum StreamEvent {
    Started { number: usize, elapsed_ms: u64 },
    Ended { number: usize },
}

impl Engine {
    pub fn new(speed_percent: u64) -> Self {
        Engine {
            speed_percent,
            waiting: VecDeque::new(),
            running: Vec::new(),
            copies: Vec::new(),
            history: VecDeque::new(),
            preempted: 0,
            waited_for_room: 0,
            last_blocked: None,
        }
    }

    /// `asked_at` is when the caller's VM began to choose.
    pub fn send(&mut self, number: usize, asked_at: u64) {
        self.send_with_priority(number, asked_at, 0);
    }

    /// Engines begin with the lowest priority number.
    pub fn send_with_priority(&mut self, number: usize, asked_at: u64, priority: u8) {
        let position = self
            .waiting
            .partition_point(|other| other.priority <= priority);
        let stream = Stream {
            number,
            priority,
            sent_at: asked_at,
            prefill_left: PROMPT_TOKENS * 1_000,
            produced: 0,
            has_started: false,
        };
        self.waiting.insert(position, stream);
    }

    /// Ends a stream whose caller has left, and returns the tokens that were prefilled for it.
    pub fn cancel(&mut self, number: usize) -> u64 {
        self.waiting.retain(|stream| stream.number != number);
        let position = self
            .running
            .iter()
            .position(|stream| stream.number == number);
        let stream = position.map(|position| self.running.remove(position));
        stream.map_or(0, |stream| {
            PROMPT_TOKENS.saturating_sub(stream.prefill_left / 1_000)
        })
    }

    pub fn hold_copy(&mut self, now: u64) {
        if self.free() >= PROMPT_TOKENS {
            self.copies.push(now + COPY_MS);
        }
    }

    /// The load as it is now; reports show that of 200 ms ago.
    pub fn load(&self) -> EngineLoad {
        let decoding = self.running.iter().filter(|stream| stream.has_started);
        let runs = decoding.map(|stream| EngineRun {
            request: stream.number.to_string().into(),
            tokens: stream.tokens(),
        });
        EngineLoad {
            waiting: self.waiting.len() as u64,
            running: self.running.len() as u64,
            runs: runs.collect(),
            used_tokens: self.running.iter().map(Stream::tokens).sum(),
            free_tokens: Some(self.free()),
            ..EngineLoad::default()
        }
    }

    pub fn report(&self) -> EngineLoad {
        self.history.front().cloned().unwrap_or_default()
    }

    pub fn free(&self) -> u64 {
        let running: u64 = self.running.iter().map(Stream::tokens).sum();
        MEMORY_TOKENS.saturating_sub(running + self.copies.len() as u64 * PROMPT_TOKENS)
    }

    /// The room beside the prompts that wait for it.
    pub fn room(&self) -> u64 {
        let waiting: u64 = self.waiting.iter().map(Stream::tokens).sum();
        self.free().saturating_sub(waiting)
    }

    /// The prompts due, in tokens.
    pub fn due(&self) -> u64 {
        let streams = self.waiting.iter().chain(&self.running);
        let left: u64 = streams.map(|stream| stream.prefill_left).sum();
        left / 1_000
    }

    pub fn step(&mut self, now: u64) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        self.copies.retain(|until| *until > now);
        self.admit();
        let prefilling = self
            .running
            .iter_mut()
            .find(|stream| stream.prefill_left > 0);
        let is_prefilling = prefilling.is_some();
        if let Some(stream) = prefilling {
            let done = TOKENS_PER_S * STEP_MS * self.speed_percent / 100;
            stream.prefill_left = stream.prefill_left.saturating_sub(done);
            if stream.prefill_left == 0 && !stream.has_started {
                stream.has_started = true;
                let elapsed_ms = now - stream.sent_at;
                events.push(StreamEvent::Started {
                    number: stream.number,
                    elapsed_ms,
                });
            }
        }
        let produced = match is_prefilling {
            true => 1,
            false => SLOW_FACTOR,
        };
        for stream in self
            .running
            .iter_mut()
            .filter(|stream| stream.prefill_left == 0)
        {
            stream.produced += produced;
            if stream.produced >= ANSWER_TOKENS * SLOW_FACTOR {
                events.push(StreamEvent::Ended {
                    number: stream.number,
                });
            }
        }
        self.running
            .retain(|stream| stream.produced < ANSWER_TOKENS * SLOW_FACTOR);
        self.preempt();
        self.history.push_back(self.load());
        if self.history.len() > REPORT_AGE_STEPS {
            self.history.pop_front();
        }
        events
    }

    /// A prefill waits until the room for the whole prompt is free.
    fn admit(&mut self) {
        while let Some(first) = self.waiting.front() {
            if self.running.len() >= SLOTS {
                return;
            }
            if self.free() < first.tokens() {
                if self.last_blocked != Some(first.number) {
                    self.waited_for_room += 1;
                    self.last_blocked = Some(first.number);
                }
                return;
            }
            self.running.extend(self.waiting.pop_front());
        }
    }

    /// The newest request gives way when the memory runs out, and is read again.
    fn preempt(&mut self) {
        let used: u64 = self.running.iter().map(Stream::tokens).sum();
        if used + self.copies.len() as u64 * PROMPT_TOKENS <= MEMORY_TOKENS {
            return;
        }
        if let Some(mut stream) = self.running.pop() {
            stream.prefill_left = stream.tokens() * 1_000;
            self.preempted += 1;
            self.waiting.push_front(stream);
        }
    }
}

impl Stream {
    fn tokens(&self) -> u64 {
        PROMPT_TOKENS + self.produced / SLOW_FACTOR
    }
}

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}
