//! The figures of the soak's deployment, as its settings state them, and the
//! allowances of the platform's rules.

use skylarkshed_core::ClockTime;

/// How long a VM must have been undisturbed before rules with a time bound hold for it.
pub const SETTLE_WINDOW: ClockTime = ClockTime::from_millis(3_000);
/// How long a leaving upstream may still get requests.
pub const DRAIN: ClockTime = ClockTime::from_millis(2_000);
/// The time from a termination signal to the kill.
pub const GRACE: ClockTime = ClockTime::from_millis(8_000);
/// How long a request may be handled as an older configuration says.
pub const CONFIGURATION: ClockTime = ClockTime::from_millis(2_000);
/// How long requests may still be handled as an older configuration says after the
/// first request was handled as a newer one says, by one process.
pub const ROLLBACK_SLACK: ClockTime = ClockTime::from_millis(250);
/// How long a revoked API key may still be accepted, also by a VM that is cut off.
pub const REVOCATION: ClockTime = ClockTime::from_millis(5_000);
/// A connection that is closed this soon after a request was sent may have crossed it.
pub const LOSS_SLACK: ClockTime = ClockTime::from_millis(200);
/// How long after its route's timeout a request must be answered.
pub const TIMEOUT_SLACK: ClockTime = ClockTime::from_millis(500);
/// How long a VM may report that it is ready after a termination signal.
pub const READY_AFTER_SIGNAL: ClockTime = ClockTime::from_millis(4_000);
/// The window over which repeated sends are counted.
pub const RETRY_WINDOW: ClockTime = ClockTime::from_millis(10_000);
/// Requests that may reach more upstreams than their route's limit.
pub const EXCESS_ATTEMPTS: usize = 3;
/// The maximum time that a caller leaves a connection idle before it uses it again: four
/// fifths of the idle timeout.
pub const IDLE_REUSE: ClockTime = ClockTime::from_millis(1_200);
/// How long after its caller has left an upstream may still work on a request.
pub const ABANDON_SLACK: ClockTime = ClockTime::from_millis(500);
/// Requests that may reach an upstream later than this.
pub const LATE_ARRIVALS: usize = 3;
/// After a loss of power, requests are served again after this time.
pub const RECOVERY: ClockTime = ClockTime::from_millis(12_000);
/// The requests that a bad version may get: a share of its service's and some more.
pub const EXPOSURE_SHARE: f64 = 0.1;
pub const EXPOSURE_SLACK: usize = 50;
/// A version is known to be bad after this number of bad responses.
pub const BAD_RESPONSES: usize = 50;
/// How long a version that is known to be bad may still get requests.
pub const ROLLBACK: ClockTime = ClockTime::from_millis(5_000);
/// How much longer a bound may be while the store is disturbed.
pub const MAX_STRETCH: ClockTime = ClockTime::from_millis(5_000);

/// The bound on repeated sends to a service in any window, as the VMs' settings state it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Repeated sends as a share of the requests for the service.
    pub ratio: f64,
    /// Repeated sends beyond this share.
    pub slack: usize,
}

impl RetryBound {
    /// The bound of a deployment with many VMs and engines.
    pub const LARGE_DEPLOYMENT: RetryBound = RetryBound {
        ratio: 0.8,
        slack: 150,
    };

    /// Returns the repeated sends that are allowed beside this number of requests.
    pub fn allowed(&self, requests: usize) -> usize {
        (requests as f64 * self.ratio) as usize + self.slack
    }
}

/// The bound of a small deployment.
impl Default for RetryBound {
    fn default() -> Self {
        RetryBound {
            ratio: 0.2,
            slack: 40,
        }
    }
}
