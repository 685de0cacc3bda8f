//! Estimates an engine's silence limit from its own recent token intervals.
//!
//! Silence is the time without a token. The mean and deviation follow the
//! retransmission timer of RFC 6298. A decaying peak keeps rare long steps, such
//! as the prefill of another request, from being mistaken for a failure.

use skylarkshed_core::ClockTime;

const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
const DEVIATION_FACTOR: f64 = 4.0;
const PEAK_FACTOR: f64 = 2.0;
const PEAK_HALF_LIFE_MS: f64 = 60_000.0;

/// The bounds of a silence limit.
#[derive(Clone, Copy, Debug)]
pub struct SilenceBounds {
    /// A shorter silence is always tolerated.
    pub min: ClockTime,
    /// A longer silence is never tolerated.
    pub max: ClockTime,
}

/// Estimates how long a working engine may go without sending a token.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{IntervalEstimator, SilenceBounds};
///
/// let bounds = SilenceBounds {
///     min: ClockTime::from_millis(100),
///     max: ClockTime::from_millis(2_000),
/// };
/// let mut estimator = IntervalEstimator::default();
/// assert_eq!(estimator.limit(bounds), bounds.max);
/// for step in 0..20 {
///     let now = ClockTime::from_millis(30 * step);
///     estimator.record(ClockTime::from_millis(30), now);
/// }
/// assert_eq!(estimator.limit(bounds), bounds.min);
/// ```
#[derive(Clone, Debug, Default)]
pub struct IntervalEstimator {
    samples: u64,
    mean_ms: f64,
    deviation_ms: f64,
    peak_ms: f64,
    updated_at: ClockTime,
}

impl IntervalEstimator {
    /// Records an interval between two tokens, or the time to a first token.
    pub fn record(&mut self, interval: ClockTime, now: ClockTime) {
        let interval_ms = interval.as_millis() as f64;
        if self.samples == 0 {
            self.mean_ms = interval_ms;
            self.deviation_ms = interval_ms / 2.0;
        } else {
            let error_ms = (interval_ms - self.mean_ms).abs();
            self.deviation_ms += DEVIATION_WEIGHT * (error_ms - self.deviation_ms);
            self.mean_ms += MEAN_WEIGHT * (interval_ms - self.mean_ms);
        }
        let age_ms = now.since(self.updated_at).as_millis() as f64;
        let decayed_ms = self.peak_ms * (-age_ms / PEAK_HALF_LIFE_MS).exp2();
        self.peak_ms = decayed_ms.max(interval_ms);
        self.updated_at = now.max(self.updated_at);
        self.samples += 1;
    }

    /// Returns the silence after which the engine is suspected to have failed.
    ///
    /// Without any observation this is the upper bound.
    pub fn limit(&self, bounds: SilenceBounds) -> ClockTime {
        if self.samples == 0 {
            return bounds.max;
        }
        let deviation_limit_ms = self.mean_ms + DEVIATION_FACTOR * self.deviation_ms;
        let limit_ms = deviation_limit_ms.max(PEAK_FACTOR * self.peak_ms).ceil();
        ClockTime::from_millis(limit_ms as u64).clamp(bounds.min, bounds.max)
    }
}
