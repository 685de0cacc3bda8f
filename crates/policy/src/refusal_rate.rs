//! Tracks how often an upstream refuses requests.
//!
//! Load pattern: one of a few upstreams refuses a large part of its requests although
//! its health check passes. A call may be sent to one upstream only, so each refusal is
//! passed on to its caller.

use crate::window_counter::WindowCounter;
use skylarkshed_core::ClockTime;

/// The time over which refusals are counted; afterwards the upstream is tried again.
const WINDOW: ClockTime = ClockTime::from_millis(4_000);
/// Accepted requests that are assumed, so that a single refusal weighs little.
const ASSUMED_ACCEPTED: u64 = 4;

/// The recent share of refused requests of one upstream.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::RefusalRate;
///
/// let (rate, now) = (RefusalRate::default(), ClockTime::from_millis(1_000));
/// assert_eq!(rate.permille(now), 0);
/// for _ in 0..16 {
///     rate.record(true, now);
/// }
/// assert_eq!(rate.permille(now), 800);
/// assert_eq!(rate.permille(ClockTime::from_millis(9_000)), 0);
/// ```
#[derive(Debug)]
pub struct RefusalRate {
    requests: WindowCounter,
    refusals: WindowCounter,
}

impl Default for RefusalRate {
    fn default() -> Self {
        RefusalRate {
            requests: WindowCounter::new(WINDOW),
            refusals: WindowCounter::new(WINDOW),
        }
    }
}

impl RefusalRate {
    /// Records a response of the upstream.
    pub fn record(&self, is_refused: bool, now: ClockTime) {
        self.requests.add(now);
        if is_refused {
            self.refusals.add(now);
        }
    }

    /// Returns the share of refused requests, in thousandths.
    pub fn permille(&self, now: ClockTime) -> u64 {
        let requests = self.requests.count_upper_bound(now) + ASSUMED_ACCEPTED;
        self.refusals.count_upper_bound(now) * 1_000 / requests
    }
}
