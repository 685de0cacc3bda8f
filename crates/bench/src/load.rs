//! Open-loop load: arrivals by a seed, whatever the answers take.

use crate::client::{CallClient, CallResponse, GenerationClient, GenerationResult, GenerationSpec};
use crate::fleet::Fleet;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshed_stand_ins::check_answer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Generations that arrive at random times.
#[derive(Clone, Debug)]
pub(crate) struct GenerationLoad {
    /// Generations a second.
    pub(crate) per_s: f64,
    /// How long generations arrive.
    pub(crate) time: Duration,
    /// The shortest and longest answer, in tokens.
    pub(crate) tokens: (u32, u32),
    /// The shortest and longest prompt, in words.
    pub(crate) words: (u32, u32),
}

/// What came of one generation of a load.
pub(crate) struct LoadedAnswer {
    pub(crate) query: GenerationSpec,
    pub(crate) trace: GenerationResult,
}

impl LoadedAnswer {
    /// Tells whether the answer is whole.
    pub(crate) fn is_whole(&self) -> bool {
        let wanted = self.query.max_tokens as usize;
        let checked = check_answer("v1", &self.query.prompt, &self.trace.tokens, wanted);
        checked.is_ok() && self.trace.is_in_order && self.trace.is_finished()
    }

    /// Tells whether any token is wrong, repeated or of another answer.
    pub(crate) fn is_corrupt(&self) -> bool {
        let length = self.trace.tokens.len();
        let checked = check_answer("v1", &self.query.prompt, &self.trace.tokens, length);
        checked.is_err() || !self.trace.is_in_order
    }
}

impl GenerationLoad {
    /// Sends the load over all VMs and waits for all answers.
    pub(crate) async fn run(&self, fleet: &Fleet, seed: u64) -> Vec<LoadedAnswer> {
        let vms: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.caller_address).collect();
        self.run_at(&vms, seed).await
    }

    /// Sends the load to some VMs and waits for all answers.
    pub(crate) async fn run_at(&self, vms: &[SocketAddr], seed: u64) -> Vec<LoadedAnswer> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let caller = GenerationClient::default();
        let start = Instant::now();
        let mut due = Duration::ZERO;
        let mut answers: Vec<JoinHandle<LoadedAnswer>> = Vec::new();
        loop {
            due += next_gap(&mut rng, self.per_s);
            if due > self.time {
                break;
            }
            tokio::time::sleep_until((start + due).into()).await;
            let number = answers.len();
            let query = self.query(&mut rng, seed, number);
            let (vm, caller) = (vms[number % vms.len()], caller.clone());
            answers.push(tokio::spawn(async move {
                let trace = caller.generate(vm, &query).await;
                LoadedAnswer { query, trace }
            }));
        }
        let mut loaded = Vec::with_capacity(answers.len());
        for answer in answers {
            loaded.extend(answer.await);
        }
        loaded
    }

    fn query(&self, rng: &mut SmallRng, seed: u64, number: usize) -> GenerationSpec {
        let words = rng.random_range(self.words.0..=self.words.1);
        let words: Vec<String> = (0..words)
            .map(|word| format!("{seed}-{number}-{word}"))
            .collect();
        GenerationSpec {
            service: Fleet::MODEL_SERVICE.to_owned(),
            key: Fleet::CUSTOMER_KEY.to_owned(),
            prompt: words.join(" "),
            max_tokens: rng.random_range(self.tokens.0..=self.tokens.1),
        }
    }
}

/// Quick calls that arrive at random times.
#[derive(Clone, Debug)]
pub(crate) struct CallLoad {
    /// The customer's bearer key.
    pub(crate) key: String,
    /// The service and route.
    pub(crate) path: String,
    /// Calls a second.
    pub(crate) per_s: f64,
    /// How long calls arrive.
    pub(crate) time: Duration,
}

impl CallLoad {
    /// Sends the load to some VMs and waits for all answers.
    ///
    /// `keys` gives each call its idempotency key.
    pub(crate) async fn run(
        &self,
        vms: &[SocketAddr],
        seed: u64,
        mut keys: impl FnMut(usize) -> Option<String>,
    ) -> Vec<CallResponse> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let caller = CallClient::default();
        let start = Instant::now();
        let mut due = Duration::ZERO;
        let mut calls = Vec::new();
        loop {
            due += next_gap(&mut rng, self.per_s);
            if due > self.time {
                break;
            }
            tokio::time::sleep_until((start + due).into()).await;
            let number = calls.len();
            let (vm, key, load) = (vms[number % vms.len()], keys(number), self.clone());
            let caller = caller.clone();
            calls.push(tokio::spawn(async move {
                let body = format!("call {seed} {number}");
                caller
                    .call(vm, &load.key, &load.path, key.as_deref(), body)
                    .await
            }));
        }
        let mut traces = Vec::with_capacity(calls.len());
        for call in calls {
            traces.extend(call.await);
        }
        traces
    }
}

/// Draws the time to the next arrival of a Poisson process.
fn next_gap(rng: &mut SmallRng, per_s: f64) -> Duration {
    let draw: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-draw.ln() / per_s)
}

/// Times, for their quantiles in milliseconds.
pub(crate) struct TimeHistogram {
    histogram: Histogram<u64>,
}

impl TimeHistogram {
    pub(crate) fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram = Histogram::new(3).expect("three digits are allowed");
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            // Times beyond the histogram's range can't be reached in a bounded run.
            let _ = histogram.record(micros);
        }
        TimeHistogram { histogram }
    }

    pub(crate) fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns a quantile in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
