//! Bounds requests a second.

use skylarkshed_core::ClockTime;

const MS_PER_S: f64 = 1_000.0;

/// A token bucket that holds one second's worth of requests.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::RateLimiter;
///
/// let mut limit = RateLimiter::new(2.0);
/// let now = ClockTime::from_millis(5);
/// assert_eq!(limit.take(now), Ok(()));
/// assert_eq!(limit.take(now), Ok(()));
/// assert_eq!(limit.take(now), Err(ClockTime::from_millis(500)));
/// ```
#[derive(Clone, Debug)]
pub struct RateLimiter {
    per_s: f64,
    held: f64,
    updated: ClockTime,
}

impl RateLimiter {
    /// Makes a full bucket for `per_s` requests a second.
    pub fn new(per_s: f64) -> Self {
        RateLimiter {
            per_s,
            held: per_s.max(1.0),
            updated: ClockTime::ZERO,
        }
    }

    /// Changes the rate; what the bucket holds stays, up to the new size.
    pub fn set_rate(&mut self, per_s: f64) {
        self.per_s = per_s;
        self.held = self.held.min(per_s.max(1.0));
    }

    /// Takes one request.
    ///
    /// # Errors
    ///
    /// Returns the time until the next request would be taken.
    pub fn take(&mut self, now: ClockTime) -> Result<(), ClockTime> {
        let elapsed_s = now.since(self.updated).as_millis() as f64 / MS_PER_S;
        self.held = (self.held + elapsed_s * self.per_s).min(self.per_s.max(1.0));
        self.updated = now.max(self.updated);
        if self.held >= 1.0 {
            self.held -= 1.0;
            return Ok(());
        }
        let missing_ms = (1.0 - self.held) / self.per_s.max(f64::MIN_POSITIVE) * MS_PER_S;
        Err(ClockTime::from_millis(missing_ms.ceil() as u64))
    }
}
