//! The speed of a fake engine, drawn from a seed.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use skylarkshed_core::ClockTime;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The time that an engine takes, in percent of the usual one.
const TIME_PERCENTS: [u64; 3] = [70, 100, 170];
/// An engine is slow for whole spans of this length.
const SLOW_SPAN_MS: u64 = 600;
const SLOW_SPANS_PERCENT: u32 = 15;
const SLOW_TIME_PERCENT: u64 = 250;

/// How much longer or shorter than usual an engine's work takes.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_stand_ins::EngineSpeed;
///
/// let speed = EngineSpeed::draw(1, "ledger-1");
/// let usual = speed.usual_time(100);
/// assert!([70, 100, 170].contains(&usual));
/// assert!([usual, usual * 5 / 2].contains(&speed.time_at(100, ClockTime::ZERO)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    seed: u64,
    time_percent: u64,
}

impl EngineSpeed {
    /// Draws the speed of an engine.
    pub fn draw(seed: u64, engine: &str) -> Self {
        let seed = hash(&(seed, engine));
        let mut rng = SmallRng::seed_from_u64(seed);
        let time_percent = *TIME_PERCENTS.choose(&mut rng).expect("there are some");
        EngineSpeed { seed, time_percent }
    }

    /// Returns the time at this engine of work that usually takes `millis`, without spans in
    /// which it is slow.
    pub fn usual_time(&self, millis: u64) -> u64 {
        millis * self.time_percent / 100
    }

    /// Returns the time of work that begins at `now`.
    pub fn time_at(&self, millis: u64, now: ClockTime) -> u64 {
        let span = hash(&(self.seed, now.as_millis() / SLOW_SPAN_MS));
        let mut rng = SmallRng::seed_from_u64(span);
        match rng.random_ratio(SLOW_SPANS_PERCENT, 100) {
            true => self.usual_time(millis) * SLOW_TIME_PERCENT / 100,
            false => self.usual_time(millis),
        }
    }
}

fn hash(key: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}
