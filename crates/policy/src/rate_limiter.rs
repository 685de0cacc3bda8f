//! Limits the request rate.

use skylarkshed_core::ClockTime;

const MS_PER_S: f64 = 1_000.0;

/// A token bucket that holds one second's worth of requests, and at least one.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::RateLimiter;
///
/// let mut limiter = RateLimiter::new(2.0);
/// let now = ClockTime::from_millis(5);
/// assert_eq!(limiter.take(now), Ok(()));
/// assert_eq!(limiter.take(now), Ok(()));
/// assert_eq!(limiter.take(now), Err(ClockTime::from_millis(500)));
/// ```
#[derive(Clone, Debug)]
pub struct RateLimiter {
    per_s: f64,
    tokens: f64,
    updated_at: ClockTime,
}

impl RateLimiter {
    /// Creates a full bucket for `per_s` requests per second.
    pub fn new(per_s: f64) -> Self {
        RateLimiter {
            per_s,
            tokens: per_s.max(1.0),
            updated_at: ClockTime::ZERO,
        }
    }

    /// Changes the rate. The bucket keeps its content, up to the new size.
    pub fn set_rate(&mut self, per_s: f64) {
        self.per_s = per_s;
        self.tokens = self.tokens.min(per_s.max(1.0));
    }

    /// Takes a token for one request.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token is available.
    pub fn take(&mut self, now: ClockTime) -> Result<(), ClockTime> {
        let elapsed_s = now.since(self.updated_at).as_millis() as f64 / MS_PER_S;
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.per_s.max(1.0));
        self.updated_at = now.max(self.updated_at);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing_ms = (1.0 - self.tokens) / self.per_s.max(f64::MIN_POSITIVE) * MS_PER_S;
        Err(ClockTime::from_millis(missing_ms.ceil() as u64))
    }
}
