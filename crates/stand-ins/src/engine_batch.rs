//! The fake engine's continuous batching: steps, prefill, prefix cache, priorities.

use crate::token_oracle::TokenOracle;
use serde::{Deserialize, Serialize};
use skylarkshed_core::{AttemptNumber, GenerationId};
use skylarkshed_upstream::wire::{CacheEvent, GenerateRequest, LoadReport};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

const CACHE_BLOCK_TOKENS: usize = 16;
const MAX_CACHE_EVENTS: usize = 4_096;
/// The age from which a cache event is reported.
const CACHE_EVENT_LAG: Duration = Duration::from_millis(500);
/// One event in this many is never reported.
const CACHE_EVENTS_PER_GAP: u64 = 10;

/// The speed and capacity of the fake engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The base duration of a step, in microseconds.
    pub step_us: u64,
    /// The time that each generation in the batch adds to a step, in microseconds.
    pub per_generation_us: u64,
    /// The prefill time of each token that is not cached, in microseconds.
    pub prefill_us: u64,
    /// The maximum number of generations in the batch.
    pub max_batch: usize,
    /// The capacity of the prefix cache, in blocks of 16 tokens.
    pub cache_blocks: usize,
    /// How long a generation is retained after its last client disconnected.
    pub retention: Duration,
}

/// The faults injected into the fake engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Exits the process.
    pub die: bool,
    /// Executes no steps.
    pub freeze: bool,
    /// Multiplies the duration of a step; 0 counts as 1.
    pub slow: u64,
    /// Multiplies the duration of a step with at least four generations; 0 counts as 1.
    pub slow_under_load: u64,
    /// Fails this percentage of new generations.
    pub fail_percent: u64,
    /// Sends the token at this index twice.
    pub repeat_at: Option<u32>,
    /// Skips the token at this index.
    pub skip_at: Option<u32>,
    /// Changes the text of the repeated token.
    pub differ: bool,
    /// Echoes another generation's identifier from this index on.
    pub crossed_at: Option<u32>,
    /// Sends the token at this index after the following one.
    pub late_at: Option<u32>,
    /// Reports that the engine is about to shut down.
    pub leaving: bool,
}

/// One generation in the engine.
pub(crate) struct Sequence {
    request: GenerateRequest,
    oracle: TokenOracle,
    /// All tokens from the start of the answer.
    pub(crate) tokens: Vec<String>,
    /// The current number of tokens, watched by the streams.
    pub(crate) length: watch::Sender<usize>,
    is_prefilled: bool,
    /// When it was first seen without a client.
    abandoned_since: Option<Instant>,
}

/// All generations of one engine.
pub(crate) struct EngineBatch {
    pub(crate) version: String,
    pub(crate) faults: EngineFaults,
    /// Tokens computed so far, including those of prefills.
    pub(crate) computed: u64,
    config: EngineConfig,
    sequences: HashMap<(GenerationId, AttemptNumber), Sequence>,
    /// All generations, by descending priority and then by arrival.
    order: Vec<(GenerationId, AttemptNumber)>,
    cache: PrefixCache,
}

impl EngineBatch {
    pub(crate) fn new(version: String, config: EngineConfig) -> Self {
        EngineBatch {
            version,
            faults: EngineFaults::default(),
            computed: 0,
            cache: PrefixCache::new(config.cache_blocks),
            config,
            sequences: HashMap::new(),
            order: Vec::new(),
        }
    }

    /// Adds a generation, behind those of the same or a higher priority. Returns a
    /// receiver of its number of tokens.
    pub(crate) fn admit(&mut self, request: GenerateRequest) -> watch::Receiver<usize> {
        let mut oracle = TokenOracle::new(&request.version, &request.adapter, &request.prompt);
        request.emitted.iter().for_each(|token| oracle.push(token));
        let tokens = request.emitted.clone();
        let (length, receiver) = watch::channel(tokens.len());
        let id = (request.generation, request.attempt);
        let position = self.order.partition_point(|other| {
            self.sequences
                .get(other)
                .is_some_and(|s| s.request.priority >= request.priority)
        });
        self.order.insert(position, id);
        let sequence = Sequence {
            request,
            oracle,
            tokens,
            length,
            is_prefilled: false,
            abandoned_since: None,
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

    /// Returns the cache events after a sequence number, with a delay and with gaps.
    pub(crate) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let events = self.cache.events.iter().filter(|(created, event)| {
            let is_visible = created.elapsed() >= CACHE_EVENT_LAG;
            let is_missing = event.sequence % CACHE_EVENTS_PER_GAP == 0;
            event.sequence > after && is_visible && !is_missing
        });
        events.map(|(_, event)| event.clone()).collect()
    }

    pub(crate) fn load(&self) -> LoadReport {
        let active = self.sequences.values().filter(|s| !s.is_done()).count();
        let running = active.min(self.config.max_batch);
        LoadReport {
            running: running as u32,
            waiting: (active - running) as u32,
            leaving: self.faults.leaving,
            version: self.version.clone(),
        }
    }

    /// Executes one step and returns its duration.
    pub(crate) fn step(&mut self) -> Duration {
        self.remove_abandoned();
        if self.faults.freeze {
            return Duration::from_micros(self.config.step_us);
        }
        let active: Vec<_> = self
            .order
            .iter()
            .filter(|id| !self.sequences[id].is_done())
            .collect();
        let batch: Vec<_> = active
            .into_iter()
            .take(self.config.max_batch)
            .copied()
            .collect();
        let mut micros = self.config.step_us + self.config.per_generation_us * batch.len() as u64;
        for id in &batch {
            micros += self.advance(id);
        }
        let mut factor = self.faults.slow.max(1);
        if batch.len() >= 4 {
            factor *= self.faults.slow_under_load.max(1);
        }
        Duration::from_micros(micros * factor)
    }

    /// Prefills a generation or computes its next token. Returns the prefill time, in
    /// microseconds.
    fn advance(&mut self, id: &(GenerationId, AttemptNumber)) -> u64 {
        let Some(sequence) = self.sequences.get_mut(id) else {
            return 0;
        };
        self.computed += 1;
        if !sequence.is_prefilled {
            sequence.is_prefilled = true;
            let words = sequence.request.prompt.split_whitespace().count();
            let prefix_tokens = words + sequence.request.emitted.len();
            let cached = self.cache.insert_prefix(&sequence.request, prefix_tokens);
            self.computed += (prefix_tokens - cached) as u64;
            return (prefix_tokens - cached) as u64 * self.config.prefill_us;
        }
        let token = sequence.oracle.next_token();
        sequence.tokens.push(token);
        sequence.length.send_replace(sequence.tokens.len());
        0
    }

    fn remove_abandoned(&mut self) {
        let retention = self.config.retention;
        let now = Instant::now();
        self.sequences.retain(|_, sequence| {
            if sequence.length.receiver_count() > 0 {
                sequence.abandoned_since = None;
                return true;
            }
            now - *sequence.abandoned_since.get_or_insert(now) < retention
        });
        self.order.retain(|id| self.sequences.contains_key(id));
    }
}

impl Sequence {
    /// Returns the number of tokens of the complete answer.
    pub(crate) fn answer_length(&self) -> usize {
        self.request.max_tokens as usize
    }

    fn is_done(&self) -> bool {
        self.tokens.len() >= self.answer_length()
    }
}

/// A prefix cache in blocks of tokens, evicted in the order of insertion.
struct PrefixCache {
    blocks: VecDeque<blake3::Hash>,
    max_blocks: usize,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
}

impl PrefixCache {
    fn new(max_blocks: usize) -> Self {
        PrefixCache {
            blocks: VecDeque::new(),
            max_blocks,
            events: VecDeque::new(),
            next_event: 1,
        }
    }

    /// Returns the number of cached tokens of a request and caches the other blocks.
    fn insert_prefix(&mut self, request: &GenerateRequest, prefix_tokens: usize) -> usize {
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
                self.push_event(&hash, true);
            }
        }
        while self.blocks.len() > self.max_blocks {
            if let Some(hash) = self.blocks.pop_front() {
                self.push_event(&hash, false);
            }
        }
        cached.min(prefix_tokens)
    }

    fn push_event(&mut self, hash: &blake3::Hash, cached: bool) {
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
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Executes steps of the batch until the process exits.
pub(crate) async fn run_steps(batch: Arc<std::sync::Mutex<EngineBatch>>) {
    let mut next = tokio::time::Instant::now();
    loop {
        let step_time = batch.lock().expect("not poisoned").step();
        // Steps that fall behind schedule make up for at most 20 ms.
        next = (next + step_time).max(tokio::time::Instant::now() - Duration::from_millis(20));
        tokio::time::sleep_until(next).await;
    }
}
