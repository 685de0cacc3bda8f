//! Bounds the calls in progress at one upstream, by its own latency.
//!
//! Additive increase and multiplicative decrease (Chiu and Jain, 1989).

use skylarkshed_core::ClockTime;

const START_LIMIT: f64 = 32.0;
const LEAST_LIMIT: f64 = 4.0;
const MOST_LIMIT: f64 = 4_096.0;
const DECREASE: f64 = 0.8;
const SLOW_FACTOR: u64 = 4;
const SLOW_FLOOR: ClockTime = ClockTime::from_millis(50);

/// How many calls an upstream gets at one time.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::ConcurrencyLimiter;
///
/// let mut limit = ConcurrencyLimiter::default();
/// assert!(limit.try_start());
/// limit.finish(Some(ClockTime::from_millis(3)), ClockTime::from_millis(10));
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    limit: f64,
    in_progress: u32,
    best_ms: Option<u64>,
    decreased: ClockTime,
}

impl Default for ConcurrencyLimiter {
    fn default() -> Self {
        ConcurrencyLimiter {
            limit: START_LIMIT,
            in_progress: 0,
            best_ms: None,
            decreased: ClockTime::ZERO,
        }
    }
}

impl ConcurrencyLimiter {
    /// Starts a call, or refuses it.
    pub fn try_start(&mut self) -> bool {
        let is_free = f64::from(self.in_progress) < self.limit.floor();
        self.in_progress += u32::from(is_free);
        is_free
    }

    /// Ends a call; `latency` is none if it was lost.
    pub fn finish(&mut self, latency: Option<ClockTime>, now: ClockTime) {
        let is_full = f64::from(self.in_progress) + 1.0 >= self.limit.floor();
        self.in_progress = self.in_progress.saturating_sub(1);
        let Some(latency) = latency else {
            return self.decrease(now, SLOW_FLOOR);
        };
        let millis = latency.as_millis();
        let best_ms = self.best_ms.map_or(millis, |best| best.min(millis));
        self.best_ms = Some(best_ms);
        let slow = ClockTime::from_millis(best_ms * SLOW_FACTOR).max(SLOW_FLOOR);
        if latency > slow {
            self.decrease(now, latency);
        } else if is_full {
            self.limit = (self.limit + 1.0 / self.limit).min(MOST_LIMIT);
        }
    }

    /// Returns the calls in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Returns the limit.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Decreases the limit, at most once in the time of a call.
    fn decrease(&mut self, now: ClockTime, pause: ClockTime) {
        if now.since(self.decreased) < pause {
            return;
        }
        self.decreased = now;
        self.limit = (self.limit * DECREASE).max(LEAST_LIMIT);
    }
}
