//! Learns how fast one engine prefills.
//!
//! Load pattern: engines of unequal speed, some of which are slow for a while.

use skylarkshed_core::ClockTime;

/// A speed without a new sample is forgotten, so that an engine that was slow gets prompts
/// again.
const SPEED_LIFETIME: ClockTime = ClockTime::from_millis(30_000);
/// A new sample has a weight of one in this many in the average of the speed.
const SPEED_SAMPLES: u64 = 4;
/// A sample counts at most this many times the average and at least its inverse: engines
/// are slow for some hundred milliseconds, and prompts may be in the cache.
const MAX_SAMPLE_FACTOR: u64 = 2;
/// Prompts below this length take about as long as the steps around them.
const MIN_SAMPLE_TOKENS: u64 = 1_000;

/// The average speed of an engine's prefills.
#[derive(Debug, Default)]
pub(crate) struct PrefillSpeed {
    average: Option<SpeedAverage>,
}

#[derive(Clone, Copy, Debug)]
struct SpeedAverage {
    tokens_per_s: u64,
    sampled_at: ClockTime,
}

impl PrefillSpeed {
    /// Returns the speed in tokens per second, if it is known.
    pub(crate) fn tokens_per_s(&self, now: ClockTime) -> Option<u64> {
        let average = self.average;
        let average = average.filter(|average| now.since(average.sampled_at) < SPEED_LIFETIME);
        average.map(|average| average.tokens_per_s)
    }

    /// Records the time from the send of a prompt, beside which no other was due, to its first
    /// event.
    pub(crate) fn record_prefill(&mut self, tokens: u64, elapsed: ClockTime, now: ClockTime) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = (tokens * 1_000 / elapsed.as_millis().max(1)).max(1);
        let tokens_per_s = match self.tokens_per_s(now) {
            Some(mean) => {
                let sample = sample.clamp(mean / MAX_SAMPLE_FACTOR, mean * MAX_SAMPLE_FACTOR);
                (mean * (SPEED_SAMPLES - 1) + sample) / SPEED_SAMPLES
            }
            None => sample,
        };
        self.average = Some(SpeedAverage {
            tokens_per_s: tokens_per_s.max(1),
            sampled_at: now,
        });
    }
}
