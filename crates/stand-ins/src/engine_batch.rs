//! The fake engine's continuous batch: steps, prefill, prefix cache, priority.

use crate::token_oracle::TokenOracle;
use serde::{Deserialize, Serialize};
use skylarkshed_core::{AttemptNumber, GenerationId};
use skylarkshed_upstream::wire::{CacheEvent, GenerateRequest, LoadReport};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

const CACHE_BLOCK_TOKENS: usize = 16;
const KEPT_CACHE_EVENTS: usize = 4_096;
const CACHE_EVENT_LAG: Duration = Duration::from_millis(500);
/// One event in so many is never told.
const CACHE_EVENTS_PER_GAP: u64 = 10;

/// How fast the fake engine is.
#[derive(Clone, Debug)]
pub struct EngineSpeed {
    /// The shortest step, in microseconds.
    pub step_us: u64,
    /// What each generation of the batch adds to a step, in microseconds.
    pub per_generation_us: u64,
    /// What each token that is not cached costs at the start, in microseconds.
    pub prefill_us: u64,
    /// The most generations of the batch.
    pub batch: usize,
    /// The blocks of 16 tokens that the prefix cache holds.
    pub cache_blocks: usize,
    /// How long a generation without a reader is kept.
    pub hold: Duration,
}

/// What goes wrong in the fake engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Ends the process.
    pub die: bool,
    /// Makes no step.
    pub freeze: bool,
    /// Multiplies the time of a step; 0 counts as 1.
    pub slow: u64,
    /// Multiplies the time of a step that has at least four generations.
    pub slow_under_load: u64,
    /// Refuses this many of a hundred new generations.
    pub fail_percent: u64,
    /// Sends the token at this place twice.
    pub repeat_at: Option<u32>,
    /// Leaves out the token at this place.
    pub skip_at: Option<u32>,
    /// Changes the text of the token at this place when it is sent twice.
    pub differ: bool,
    /// Echoes another generation's identifier from this place on.
    pub crossed_at: Option<u32>,
    /// Sends the token at this place late, after the following one.
    pub late_at: Option<u32>,
    /// Reports that it is about to leave.
    pub leaving: bool,
}

/// One generation in the engine.
pub(crate) struct Sequence {
    request: GenerateRequest,
    oracle: TokenOracle,
    /// All tokens from the start of the answer.
    pub(crate) tokens: Vec<String>,
    /// The number of tokens, for the readers.
    pub(crate) length: watch::Sender<usize>,
    started: bool,
    without_reader: Option<Instant>,
}

/// All generations of one engine.
pub(crate) struct EngineBatch {
    pub(crate) version: String,
    pub(crate) faults: EngineFaults,
    pub(crate) computed: u64,
    speed: EngineSpeed,
    sequences: HashMap<(GenerationId, AttemptNumber), Sequence>,
    order: Vec<(GenerationId, AttemptNumber)>,
    cache: PrefixCache,
}

impl EngineBatch {
    pub(crate) fn new(version: String, speed: EngineSpeed) -> Self {
        EngineBatch {
            version,
            faults: EngineFaults::default(),
            computed: 0,
            cache: PrefixCache::new(speed.cache_blocks),
            speed,
            sequences: HashMap::new(),
            order: Vec::new(),
        }
    }

    /// Takes a new generation and returns its number of tokens to follow.
    pub(crate) fn admit(&mut self, request: GenerateRequest) -> watch::Receiver<usize> {
        let mut oracle = TokenOracle::new(&request.version, &request.adapter, &request.prompt);
        request.emitted.iter().for_each(|token| oracle.push(token));
        let tokens = request.emitted.clone();
        let (length, receiver) = watch::channel(tokens.len());
        let id = (request.generation, request.attempt);
        let place = self.order.partition_point(|other| {
            self.sequences
                .get(other)
                .is_some_and(|s| s.request.priority >= request.priority)
        });
        self.order.insert(place, id);
        let sequence = Sequence {
            request,
            oracle,
            tokens,
            length,
            started: false,
            without_reader: None,
        };
        self.sequences.insert(id, sequence);
        receiver
    }

    pub(crate) fn find(&self, id: &(GenerationId, AttemptNumber)) -> Option<&Sequence> {
        self.sequences.get(id)
    }

    pub(crate) fn remove(&mut self, id: &(GenerationId, AttemptNumber)) {
        self.sequences.remove(id);
        self.order.retain(|other| other != id);
    }

    /// Returns the cache's events after a number, late and with gaps.
    pub(crate) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let events = self.cache.events.iter().filter(|(made, event)| {
            let is_told = made.elapsed() >= CACHE_EVENT_LAG;
            let is_missing = event.sequence % CACHE_EVENTS_PER_GAP == 0;
            event.sequence > after && is_told && !is_missing
        });
        events.map(|(_, event)| event.clone()).collect()
    }

    pub(crate) fn load(&self) -> LoadReport {
        let active = self.sequences.values().filter(|s| !s.is_done()).count();
        let running = active.min(self.speed.batch);
        LoadReport {
            running: running as u32,
            waiting: (active - running) as u32,
            leaving: self.faults.leaving,
            version: self.version.clone(),
        }
    }

    /// Makes one step and returns how long it takes.
    pub(crate) fn step(&mut self) -> Duration {
        self.drop_abandoned();
        if self.faults.freeze {
            return Duration::from_micros(self.speed.step_us);
        }
        let active: Vec<_> = self
            .order
            .iter()
            .filter(|id| !self.sequences[id].is_done())
            .collect();
        let batch: Vec<_> = active.into_iter().take(self.speed.batch).copied().collect();
        let mut micros = self.speed.step_us + self.speed.per_generation_us * batch.len() as u64;
        for id in &batch {
            micros += self.advance(id);
        }
        let mut factor = self.faults.slow.max(1);
        if batch.len() >= 4 {
            factor *= self.faults.slow_under_load.max(1);
        }
        Duration::from_micros(micros * factor)
    }

    fn advance(&mut self, id: &(GenerationId, AttemptNumber)) -> u64 {
        let Some(sequence) = self.sequences.get_mut(id) else {
            return 0;
        };
        self.computed += 1;
        if !sequence.started {
            sequence.started = true;
            let words = sequence.request.prompt.split_whitespace().count();
            let whole = words + sequence.request.emitted.len();
            let cached = self.cache.take(&sequence.request, whole);
            self.computed += (whole - cached) as u64;
            return (whole - cached) as u64 * self.speed.prefill_us;
        }
        let token = sequence.oracle.next_token();
        sequence.tokens.push(token);
        sequence.length.send_replace(sequence.tokens.len());
        0
    }

    fn drop_abandoned(&mut self) {
        let hold = self.speed.hold;
        let now = Instant::now();
        self.sequences.retain(|_, sequence| {
            if sequence.length.receiver_count() > 0 {
                sequence.without_reader = None;
                return true;
            }
            now - *sequence.without_reader.get_or_insert(now) < hold
        });
        self.order.retain(|id| self.sequences.contains_key(id));
    }
}

impl Sequence {
    /// The number of tokens of the whole answer.
    pub(crate) fn target(&self) -> usize {
        self.request.max_tokens as usize
    }

    fn is_done(&self) -> bool {
        self.tokens.len() >= self.target()
    }
}

/// Prefixes by blocks of tokens, the oldest dropped first.
struct PrefixCache {
    blocks: VecDeque<blake3::Hash>,
    limit: usize,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
}

impl PrefixCache {
    fn new(limit: usize) -> Self {
        PrefixCache {
            blocks: VecDeque::new(),
            limit,
            events: VecDeque::new(),
            next_event: 1,
        }
    }

    /// Returns the cached tokens of a request and caches the others.
    fn take(&mut self, request: &GenerateRequest, whole: usize) -> usize {
        let mut hasher = blake3::Hasher::new();
        let words = request.prompt.split_whitespace();
        let words: Vec<&str> = words
            .chain(request.emitted.iter().map(String::as_str))
            .collect();
        let mut cached = 0;
        for block in words.chunks_exact(CACHE_BLOCK_TOKENS) {
            block.iter().for_each(|word| {
                hasher.update(word.as_bytes());
            });
            let hash = hasher.finalize();
            if self.blocks.contains(&hash) {
                cached += CACHE_BLOCK_TOKENS;
            } else {
                self.blocks.push_back(hash);
                self.tell(&hash, true);
            }
        }
        while self.blocks.len() > self.limit {
            if let Some(hash) = self.blocks.pop_front() {
                self.tell(&hash, false);
            }
        }
        cached.min(whole)
    }

    fn tell(&mut self, hash: &blake3::Hash, cached: bool) {
        let sequence = self.next_event;
        self.next_event += 1;
        let block = hash.to_hex()[..16].to_owned();
        self.events.push_back((
            Instant::now(),
            CacheEvent {
                sequence,
                block,
                cached,
            },
        ));
        if self.events.len() > KEPT_CACHE_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Steps the batch for ever.
pub(crate) async fn run_steps(batch: Arc<std::sync::Mutex<EngineBatch>>) {
    let mut next = tokio::time::Instant::now();
    loop {
        let time = batch.lock().expect("not poisoned").step();
        next = (next + time).max(tokio::time::Instant::now() - Duration::from_millis(20));
        tokio::time::sleep_until(next).await;
    }
}
