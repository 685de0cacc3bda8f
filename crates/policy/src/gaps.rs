//! Judges an engine's silence against its own recent gaps.
//!
//! The mean and deviation follow the retransmission timer of RFC 6298; a
//! decaying peak keeps rare long steps, such as another request's prefill,
//! from being taken for a loss.

use skylarkshed_core::ClockTime;

const MEAN_SHARE: f64 = 1.0 / 8.0;
const DEVIATION_SHARE: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 4.0;
const PEAK_FACTOR: f64 = 2.0;
const PEAK_HALF_LIFE_MS: f64 = 60_000.0;

/// The shortest and longest silence that a limit may have.
#[derive(Clone, Copy, Debug)]
pub struct SilenceBounds {
    /// No shorter silence is acted on.
    pub min: ClockTime,
    /// Every longer silence is acted on.
    pub max: ClockTime,
}

/// Estimates how long an engine's silence can be while it still works.
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
///     estimator.observe(ClockTime::from_millis(30), now);
/// }
/// assert_eq!(estimator.limit(bounds), bounds.min);
/// ```
#[derive(Clone, Debug, Default)]
pub struct IntervalEstimator {
    samples: u64,
    mean_ms: f64,
    deviation_ms: f64,
    peak_ms: f64,
    updated: ClockTime,
}

impl IntervalEstimator {
    /// Takes a gap between two tokens, or the time to a first token.
    pub fn observe(&mut self, gap: ClockTime, now: ClockTime) {
        let gap_ms = gap.as_millis() as f64;
        if self.samples == 0 {
            self.mean_ms = gap_ms;
            self.deviation_ms = gap_ms / 2.0;
        } else {
            let error_ms = (gap_ms - self.mean_ms).abs();
            self.deviation_ms += DEVIATION_SHARE * (error_ms - self.deviation_ms);
            self.mean_ms += MEAN_SHARE * (gap_ms - self.mean_ms);
        }
        let age_ms = now.since(self.updated).as_millis() as f64;
        let decayed_ms = self.peak_ms * (-age_ms / PEAK_HALF_LIFE_MS).exp2();
        self.peak_ms = decayed_ms.max(gap_ms);
        self.updated = now.max(self.updated);
        self.samples += 1;
    }

    /// Returns the silence after which the engine is to be suspected.
    ///
    /// Without any observation this is the longest silence.
    pub fn limit(&self, bounds: SilenceBounds) -> ClockTime {
        if self.samples == 0 {
            return bounds.max;
        }
        let spread_ms = self.mean_ms + DEVIATIONS * self.deviation_ms;
        let limit_ms = spread_ms.max(PEAK_FACTOR * self.peak_ms).ceil();
        ClockTime::from_millis(limit_ms as u64).clamp(bounds.min, bounds.max)
    }
}
