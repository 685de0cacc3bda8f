//! Estimates how long requests of a kind last, to decide which ones still end before a
//! draining process is killed.

use skylarkshed_core::ClockTime;
use std::sync::atomic::{AtomicU64, Ordering};

const MEAN_SAMPLES: u64 = 16;
const DEVIATION_SAMPLES: u64 = 8;
/// Nearly all requests end within the mean and this many mean deviations.
const DEVIATION_FACTOR: u64 = 2;

/// A moving average of durations and of their deviation, as in the retransmission timer
/// of RFC 6298.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::DurationEstimator;
///
/// let estimator = DurationEstimator::new(ClockTime::from_millis(6_500));
/// assert_eq!(estimator.upper_bound().as_millis(), 6_500);
/// estimator.record(ClockTime::from_millis(9_000));
/// assert!(estimator.upper_bound().as_millis() > 9_000);
/// ```
#[derive(Debug)]
pub struct DurationEstimator {
    minimum: ClockTime,
    /// 0 before the first sample.
    mean_ms: AtomicU64,
    deviation_ms: AtomicU64,
}

impl DurationEstimator {
    /// Creates an estimator that returns `minimum` until requests last longer.
    pub fn new(minimum: ClockTime) -> Self {
        DurationEstimator {
            minimum,
            mean_ms: AtomicU64::new(0),
            deviation_ms: AtomicU64::new(0),
        }
    }

    /// Records how long a request lasted. Concurrent updates may lose a sample.
    pub fn record(&self, duration: ClockTime) {
        let sample = duration.as_millis().max(1);
        let mean = self.mean_ms.load(Ordering::Relaxed);
        if mean == 0 {
            self.mean_ms.store(sample, Ordering::Relaxed);
            self.deviation_ms.store(sample / 4, Ordering::Relaxed);
            return;
        }
        let deviation = self.deviation_ms.load(Ordering::Relaxed);
        let deviation =
            (deviation * (DEVIATION_SAMPLES - 1) + mean.abs_diff(sample)) / DEVIATION_SAMPLES;
        let mean = (mean * (MEAN_SAMPLES - 1) + sample) / MEAN_SAMPLES;
        self.mean_ms.store(mean.max(1), Ordering::Relaxed);
        self.deviation_ms.store(deviation, Ordering::Relaxed);
    }

    /// Returns the time within which nearly all requests end.
    pub fn upper_bound(&self) -> ClockTime {
        let mean = self.mean_ms.load(Ordering::Relaxed);
        let deviation = self.deviation_ms.load(Ordering::Relaxed);
        ClockTime::from_millis(mean + DEVIATION_FACTOR * deviation).max(self.minimum)
    }
}
