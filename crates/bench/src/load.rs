//! Open-loop load: arrivals follow a seeded Poisson process, independent of response
//! times.

use crate::client::{CallClient, CallResponse, GenerationClient, GenerationResult, GenerationSpec};
use crate::fleet::Fleet;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshed_stand_ins::check_answer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Generation requests that arrive at random times.
#[derive(Clone, Debug)]
pub(crate) struct GenerationLoad {
    /// Mean arrival rate, in generations per second.
    pub(crate) rate_per_s: f64,
    /// The time over which generations arrive.
    pub(crate) duration: Duration,
    /// The minimum and maximum length of an answer, in tokens.
    pub(crate) tokens: (u32, u32),
    /// The minimum and maximum length of a prompt, in words.
    pub(crate) words: (u32, u32),
}

/// The request and the result of one generation of a load.
pub(crate) struct AnswerRecord {
    pub(crate) spec: GenerationSpec,
    pub(crate) result: GenerationResult,
}

impl AnswerRecord {
    /// Reports whether the answer is complete and correct.
    pub(crate) fn is_complete(&self) -> bool {
        let expected = self.spec.max_tokens as usize;
        let checked = check_answer("v1", &self.spec.prompt, &self.result.tokens, expected);
        checked.is_ok() && self.result.is_in_order && self.result.is_finished()
    }

    /// Reports whether any token is wrong, repeated or from another answer.
    pub(crate) fn is_corrupt(&self) -> bool {
        let length = self.result.tokens.len();
        let checked = check_answer("v1", &self.spec.prompt, &self.result.tokens, length);
        checked.is_err() || !self.result.is_in_order
    }
}

impl GenerationLoad {
    /// Spreads the load over all VMs and waits for all answers.
    pub(crate) async fn run(&self, fleet: &Fleet, seed: u64) -> Vec<AnswerRecord> {
        let vms: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.caller_address).collect();
        self.run_at(&vms, seed).await
    }

    /// Spreads the load over the given VMs and waits for all answers.
    pub(crate) async fn run_at(&self, vms: &[SocketAddr], seed: u64) -> Vec<AnswerRecord> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let client = GenerationClient::default();
        let start = Instant::now();
        let mut next_arrival = Duration::ZERO;
        let mut answers: Vec<JoinHandle<AnswerRecord>> = Vec::new();
        loop {
            next_arrival += next_interval(&mut rng, self.rate_per_s);
            if next_arrival > self.duration {
                break;
            }
            tokio::time::sleep_until((start + next_arrival).into()).await;
            let number = answers.len();
            let spec = self.make_spec(&mut rng, seed, number);
            let (vm, client) = (vms[number % vms.len()], client.clone());
            answers.push(tokio::spawn(async move {
                let result = client.generate(vm, &spec).await;
                AnswerRecord { spec, result }
            }));
        }
        let mut results = Vec::with_capacity(answers.len());
        for answer in answers {
            results.extend(answer.await);
        }
        results
    }

    fn make_spec(&self, rng: &mut SmallRng, seed: u64, number: usize) -> GenerationSpec {
        let word_count = rng.random_range(self.words.0..=self.words.1);
        let words: Vec<String> = (0..word_count)
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

/// Application calls that arrive at random times.
#[derive(Clone, Debug)]
pub(crate) struct CallLoad {
    /// The customer's bearer key.
    pub(crate) key: String,
    /// The path of the service and route.
    pub(crate) path: String,
    /// Mean arrival rate, in calls per second.
    pub(crate) rate_per_s: f64,
    /// The time over which calls arrive.
    pub(crate) duration: Duration,
}

impl CallLoad {
    /// Spreads the load over the given VMs and waits for all responses.
    ///
    /// `make_key` returns the idempotency key for the number of a call, from 0; `None`
    /// sends the call without one.
    pub(crate) async fn run(
        &self,
        vms: &[SocketAddr],
        seed: u64,
        mut make_key: impl FnMut(usize) -> Option<String>,
    ) -> Vec<CallResponse> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let client = CallClient::default();
        let start = Instant::now();
        let mut next_arrival = Duration::ZERO;
        let mut calls = Vec::new();
        loop {
            next_arrival += next_interval(&mut rng, self.rate_per_s);
            if next_arrival > self.duration {
                break;
            }
            tokio::time::sleep_until((start + next_arrival).into()).await;
            let number = calls.len();
            let (vm, load) = (vms[number % vms.len()], self.clone());
            let idempotency_key = make_key(number);
            let client = client.clone();
            calls.push(tokio::spawn(async move {
                let body = format!("call {seed} {number}");
                client
                    .call(vm, &load.key, &load.path, idempotency_key.as_deref(), body)
                    .await
            }));
        }
        let mut responses = Vec::with_capacity(calls.len());
        for call in calls {
            responses.extend(call.await);
        }
        responses
    }
}

/// Returns a random time to the next arrival of a Poisson process.
fn next_interval(rng: &mut SmallRng, rate_per_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate_per_s)
}

/// A histogram of durations.
pub(crate) struct DurationHistogram {
    histogram: Histogram<u64>,
}

impl DurationHistogram {
    pub(crate) fn from_durations(durations: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram = Histogram::new(3).expect("three digits are allowed");
        for duration in durations {
            let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
            // A run is too short for durations beyond the histogram's range.
            let _ = histogram.record(micros);
        }
        DurationHistogram { histogram }
    }

    pub(crate) fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns a quantile in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
