//! Decides when an application call has taken so long that another upstream is
//! likely to respond sooner.
//!
//! The timeout grows with the service's own latency. If upstreams fail and the
//! remaining ones are all equally slow, cutting calls off wastes upstream time,
//! the next attempt is no faster, and the caller gets an error where waiting
//! would have brought the response. A single slow upstream among fast ones
//! hardly raises the mean, so its calls are sent to another one within the target
//! latency.

use skylarkshed_core::ClockTime;
use std::sync::atomic::{AtomicU64, Ordering};

/// The minimum attempt timeout, in percent of the target latency, so that the
/// second attempt can still finish in time.
const MIN_TIMEOUT_PERCENT: u64 = 55;
/// A call is slow at this multiple of the mean latency. The work of application
/// calls varies by half, and one in a hundred takes five times as long.
const SLOW_FACTOR: u64 = 3;
/// A new sample has a weight of one in this many in the moving average, as in
/// the smoothed round-trip time of RFC 6298.
const MEAN_SAMPLES: u64 = 8;
const US_PER_MS: u64 = 1_000;

/// A moving average of the latency of one service's calls.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::LatencyEstimator;
///
/// let estimator = LatencyEstimator::default();
/// let target_latency = ClockTime::from_millis(200);
/// assert_eq!(estimator.attempt_timeout(target_latency), ClockTime::from_millis(110));
/// estimator.record(ClockTime::from_millis(300));
/// assert_eq!(estimator.attempt_timeout(target_latency), ClockTime::from_millis(900));
/// ```
#[derive(Debug, Default)]
pub struct LatencyEstimator {
    /// 0 before the first call.
    mean_us: AtomicU64,
}

impl LatencyEstimator {
    /// Records the latency of a call that got a response.
    pub fn record(&self, latency: ClockTime) {
        let latency_us = latency.as_millis() * US_PER_MS;
        let mean_us = self.mean_us.load(Ordering::Relaxed);
        let mean_us = match mean_us {
            0 => latency_us,
            _ => (mean_us * (MEAN_SAMPLES - 1) + latency_us) / MEAN_SAMPLES,
        };
        // If two calls end at the same moment, one may be missing from the mean.
        self.mean_us.store(mean_us.max(1), Ordering::Relaxed);
    }

    /// Returns the time after which a call is attempted at another upstream.
    pub fn attempt_timeout(&self, target_latency: ClockTime) -> ClockTime {
        let mean_us = self.mean_us.load(Ordering::Relaxed);
        let slow = ClockTime::from_millis(mean_us * SLOW_FACTOR / US_PER_MS);
        let min_timeout =
            ClockTime::from_millis(target_latency.as_millis() * MIN_TIMEOUT_PERCENT / 100);
        min_timeout.max(slow)
    }
}
