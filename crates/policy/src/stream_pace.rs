//! Estimates how long a stream still lasts, by the events that it has sent.

use skylarkshed_core::ClockTime;
use std::sync::{Mutex, PoisonError};

/// The weight of a sample is one of this many.
const MEAN_SAMPLES: u64 = 16;

/// Moving averages of the number of events of whole streams, and of the time from their
/// first event to their last.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::StreamPace;
///
/// let pace = StreamPace::default();
/// assert_eq!(pace.remaining(10), ClockTime::ZERO);
/// pace.record(100, ClockTime::from_millis(4_000));
/// assert_eq!(pace.remaining(75), ClockTime::from_millis(1_000));
/// assert_eq!(pace.remaining(130), ClockTime::ZERO);
/// ```
#[derive(Debug, Default)]
pub struct StreamPace {
    /// The mean number of events and the mean duration, in milliseconds.
    means: Mutex<Option<(u64, u64)>>,
}

impl StreamPace {
    /// Records a stream that ended without an interruption.
    pub fn record(&self, events: u64, duration: ClockTime) {
        let sample_ms = duration.as_millis();
        let mut means = self.means.lock().unwrap_or_else(PoisonError::into_inner);
        let (mean_events, mean_ms) = means.unwrap_or((events, sample_ms));
        let mean = |mean: u64, sample: u64| (mean * (MEAN_SAMPLES - 1) + sample) / MEAN_SAMPLES;
        *means = Some((mean(mean_events, events), mean(mean_ms, sample_ms)));
    }

    /// Returns the usual time for the rest of a stream that has sent some events; zero if
    /// it is unknown or the stream is longer than usual.
    pub fn remaining(&self, events: u64) -> ClockTime {
        let means = *self.means.lock().unwrap_or_else(PoisonError::into_inner);
        let (mean_events, mean_ms) = means.unwrap_or_default();
        let left = mean_events.saturating_sub(events);
        ClockTime::from_millis(mean_ms * left / mean_events.max(1))
    }
}
