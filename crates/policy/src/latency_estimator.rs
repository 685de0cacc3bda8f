//! Judges when a quick call takes so long that another upstream will be faster.
//!
//! The load that it answers: upstreams drop out, and those that are left are
//! slow, all alike. A call that is cut off there has taken its upstream's time
//! for nothing, the next one comes no sooner, and the caller gets a failure
//! where waiting would have brought the answer. One slow upstream among quick
//! ones is another matter.

use skylarkshed_core::ClockTime;
use std::sync::atomic::{AtomicU64, Ordering};

/// A call is sent elsewhere after this part of its target latency at the soonest, in
/// hundredths, so that the second try still ends in time.
const OBJECTIVE_PERCENT: u64 = 55;
/// A call is late if it takes so many times as long as is usual: the work of
/// quick calls spreads by half, and one in a hundred takes five times as long.
const USUAL_TIMES: u64 = 3;
/// The part of a new time in the running mean, as in the smoothed round-trip
/// time of RFC 6298.
const MEAN_PARTS: u64 = 8;
const US_PER_MS: u64 = 1_000;

/// How long the calls to one service have taken lately.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::LatencyEstimator;
///
/// let pace = LatencyEstimator::default();
/// let target_latency = ClockTime::from_millis(200);
/// assert_eq!(pace.attempt_timeout(target_latency), ClockTime::from_millis(110));
/// pace.record(ClockTime::from_millis(300));
/// assert_eq!(pace.attempt_timeout(target_latency), ClockTime::from_millis(900));
/// ```
#[derive(Debug, Default)]
pub struct LatencyEstimator {
    /// The mean in microseconds; 0 before the first call.
    mean_us: AtomicU64,
}

impl LatencyEstimator {
    /// Notes how long a call took that was answered.
    pub fn record(&self, time: ClockTime) {
        let time_us = time.as_millis() * US_PER_MS;
        let mean_us = self.mean_us.load(Ordering::Relaxed);
        let mean_us = match mean_us {
            0 => time_us,
            _ => (mean_us * (MEAN_PARTS - 1) + time_us) / MEAN_PARTS,
        };
        // Of two calls that end at once, one may be left out of the mean.
        self.mean_us.store(mean_us.max(1), Ordering::Relaxed);
    }

    /// Returns after which time a call is to be tried elsewhere.
    pub fn attempt_timeout(&self, target_latency: ClockTime) -> ClockTime {
        let mean_us = self.mean_us.load(Ordering::Relaxed);
        let usual = ClockTime::from_millis(mean_us * USUAL_TIMES / US_PER_MS);
        let share = ClockTime::from_millis(target_latency.as_millis() * OBJECTIVE_PERCENT / 100);
        share.max(usual)
    }
}
