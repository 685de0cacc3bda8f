//! The load of a soak beyond the capacity of its engines, drawn from the seed.
//!
//! Load pattern: bursts of streams on engines of unequal speed and little memory, while
//! engines of a zone are lost and VMs that share the retry bound are disturbed.

use crate::bounds::RetryBound;
use crate::schedule::{FaultKind, PlannedFault, FIRST_FAULT, LAST_FAULT};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use skylarkshed_core::ClockTime;

/// Odd seeds from this one on have the load; others replay as they did before it existed.
const FIRST_LOAD_SEED: u64 = 1_001;
const LOAD_SEED: u64 = 0x6c6f_6164;
/// The length of a burst and the pause before the next one, in milliseconds.
const BURST_MS: std::ops::Range<u64> = 3_000..6_000;
const BURST_PAUSE_MS: std::ops::Range<u64> = 3_000..7_000;
/// How often streams come in a burst, in percent of their usual rate.
const BURST_PERCENT: std::ops::RangeInclusive<u64> = 200..=300;
/// The tokens in the memory of an engine: room for three to six streams.
const MEMORY_TOKENS: std::ops::Range<u64> = 2_600..5_200;
/// The time between losses of a zone's engines and their downtime, in milliseconds.
const ZONE_LOSS_INTERVAL_MS: std::ops::Range<u64> = 5_000..8_000;
const ZONE_DOWNTIME_MS: std::ops::Range<u64> = 600..2_000;

/// A time in which streams come more often.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamBurst {
    pub(crate) from: ClockTime,
    pub(crate) until: ClockTime,
    /// The rate of streams in percent of the usual one.
    pub(crate) percent: u64,
}

/// The load of a soak beyond the capacity of its engines.
#[derive(Clone, Debug)]
pub(crate) struct LoadPlan {
    pub(crate) bursts: Vec<StreamBurst>,
    pub(crate) zone_losses: Vec<PlannedFault>,
    /// The memory of each engine.
    pub(crate) memory_tokens: u64,
    /// The priorities of streams that can be resumed, and of those that can't.
    pub(crate) priorities: [u8; 2],
    pub(crate) retry_bound: RetryBound,
}

impl LoadPlan {
    /// Draws the load of a seed; `None` for a seed without it.
    pub(crate) fn draw(seed: u64, length: ClockTime) -> Option<Self> {
        if seed < FIRST_LOAD_SEED || seed.is_multiple_of(2) {
            return None;
        }
        let mut rng = SmallRng::seed_from_u64(seed ^ LOAD_SEED);
        let latest = length.since(LAST_FAULT);
        // VMs lend retries only where each one's part of the slack is small: 8 VMs do with the
        // small slack, 27 or more with that of a large deployment.
        let retry_bound = match seed % 4 {
            1 => RetryBound::LARGE_DEPLOYMENT,
            _ => RetryBound {
                slack: RetryBound::default().slack,
                ..RetryBound::LARGE_DEPLOYMENT
            },
        };
        Some(LoadPlan {
            bursts: draw_bursts(&mut rng, latest),
            zone_losses: draw_zone_losses(&mut rng, latest),
            memory_tokens: rng.random_range(MEMORY_TOKENS),
            priorities: *[[0, 2], [2, 0]].choose(&mut rng).expect("there are some"),
            retry_bound,
        })
    }
}

fn draw_bursts(rng: &mut SmallRng, latest: ClockTime) -> Vec<StreamBurst> {
    let mut bursts = Vec::new();
    let mut from = FIRST_FAULT;
    while from < latest {
        let until = from + ClockTime::from_millis(rng.random_range(BURST_MS));
        bursts.push(StreamBurst {
            from,
            until,
            percent: rng.random_range(BURST_PERCENT),
        });
        from = until + ClockTime::from_millis(rng.random_range(BURST_PAUSE_MS));
    }
    bursts
}

fn draw_zone_losses(rng: &mut SmallRng, latest: ClockTime) -> Vec<PlannedFault> {
    let mut losses = Vec::new();
    let mut at = FIRST_FAULT + ClockTime::from_millis(rng.random_range(0..3_000));
    while at < latest {
        losses.push(PlannedFault {
            at,
            kind: FaultKind::ZoneLoss,
            duration: ClockTime::from_millis(rng.random_range(ZONE_DOWNTIME_MS)),
            choice: rng.random_range(0..1 << 32),
        });
        at = at + ClockTime::from_millis(rng.random_range(ZONE_LOSS_INTERVAL_MS));
    }
    losses
}
