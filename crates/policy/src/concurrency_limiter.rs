//! Adaptive limit of the concurrent calls to one upstream, driven by its latency.
//!
//! Uses additive increase and multiplicative decrease (Chiu and Jain, 1989).

use skylarkshed_core::ClockTime;

const INITIAL_LIMIT: f64 = 32.0;
const MIN_LIMIT: f64 = 4.0;
const MAX_LIMIT: f64 = 4_096.0;
const DECREASE_FACTOR: f64 = 0.8;
/// A call is slow if it takes longer than this multiple of the best latency, but
/// never if it takes less than [`MIN_SLOW_LATENCY`].
const SLOW_FACTOR: u64 = 4;
const MIN_SLOW_LATENCY: ClockTime = ClockTime::from_millis(50);

/// Limits the number of concurrent calls to one upstream.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::ConcurrencyLimiter;
///
/// let mut limiter = ConcurrencyLimiter::default();
/// assert!(limiter.try_start());
/// limiter.finish(Some(ClockTime::from_millis(3)), ClockTime::from_millis(10));
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    limit: f64,
    in_progress: u32,
    best_ms: Option<u64>,
    last_decrease: ClockTime,
}

impl Default for ConcurrencyLimiter {
    fn default() -> Self {
        ConcurrencyLimiter {
            limit: INITIAL_LIMIT,
            in_progress: 0,
            best_ms: None,
            last_decrease: ClockTime::ZERO,
        }
    }
}

impl ConcurrencyLimiter {
    /// Starts a call unless the limit is reached; reports whether it was started.
    pub fn try_start(&mut self) -> bool {
        let is_free = f64::from(self.in_progress) < self.limit.floor();
        self.in_progress += u32::from(is_free);
        is_free
    }

    /// Finishes a call; `latency` is `None` if the call got no response.
    pub fn finish(&mut self, latency: Option<ClockTime>, now: ClockTime) {
        let is_full = f64::from(self.in_progress) + 1.0 >= self.limit.floor();
        self.in_progress = self.in_progress.saturating_sub(1);
        let Some(latency) = latency else {
            return self.decrease(now, MIN_SLOW_LATENCY);
        };
        let millis = latency.as_millis();
        let best_ms = self.best_ms.map_or(millis, |best| best.min(millis));
        self.best_ms = Some(best_ms);
        let slow_latency = ClockTime::from_millis(best_ms * SLOW_FACTOR).max(MIN_SLOW_LATENCY);
        if latency > slow_latency {
            self.decrease(now, latency);
        } else if is_full {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Returns the number of calls in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Returns the current limit.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Decreases the limit, at most once per duration of a call.
    fn decrease(&mut self, now: ClockTime, min_interval: ClockTime) {
        if now.since(self.last_decrease) < min_interval {
            return;
        }
        self.last_decrease = now;
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}
