//! The times of the exchange on rollouts between VMs.

use skylarkshed_core::ClockTime;

const WHOLE_PERCENT: u64 = 100;
/// All times as percentages of the rollback time. After the decisive response a report, the
/// hub's next review and the next report take an interval each; or the lease ends.
const INTERVAL_PERCENT: u64 = 20;
const LEASE_PERCENT: u64 = 40;
const REPORT_TTL_PERCENT: u64 = 40;
const HUB_TIMEOUT_PERCENT: u64 = 50;
const REPLY_TIMEOUT_PERCENT: u64 = 12;
/// How often the VMs of a small fleet report.
const SMALL_FLEET_INTERVAL: ClockTime = ClockTime::from_millis(400);
/// The number of VMs that report once per [`SMALL_FLEET_INTERVAL`]. A larger fleet reports
/// less often, so that a hub is not overloaded.
const VMS_PER_INTERVAL: u64 = 100;

/// The times of the exchange on rollouts. They follow from the rollback time: no VM sends
/// to a version longer than that after the version was seen to be bad.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::RolloutTimes;
///
/// let times = RolloutTimes::new(ClockTime::from_millis(5_000));
/// assert_eq!(times.lease, ClockTime::from_millis(2_000));
/// assert_eq!(times.report_interval(9), ClockTime::from_millis(400));
/// assert_eq!(times.report_interval(300), ClockTime::from_millis(1_000));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RolloutTimes {
    /// How long requests may be sent to the new version after a hub reported that it hears
    /// from most VMs.
    pub lease: ClockTime,
    /// A VM that has not reported for this time is not heard.
    pub report_ttl: ClockTime,
    /// A VM without a word from a hub for this time uses the store itself.
    pub hub_timeout: ClockTime,
    /// The time for a hub to reply.
    pub reply_timeout: ClockTime,
    max_interval: ClockTime,
}

impl RolloutTimes {
    /// Derives the times from the rollback time.
    pub fn new(rollback: ClockTime) -> Self {
        let part = |percent| ClockTime::from_millis(rollback.as_millis() * percent / WHOLE_PERCENT);
        RolloutTimes {
            lease: part(LEASE_PERCENT),
            report_ttl: part(REPORT_TTL_PERCENT),
            hub_timeout: part(HUB_TIMEOUT_PERCENT),
            reply_timeout: part(REPLY_TIMEOUT_PERCENT),
            max_interval: part(INTERVAL_PERCENT),
        }
    }

    /// Returns how often each of `vms` VMs reports to the hubs.
    pub fn report_interval(&self, vms: usize) -> ClockTime {
        let factor = 1 + vms as u64 / VMS_PER_INTERVAL;
        let interval = ClockTime::from_millis(SMALL_FLEET_INTERVAL.as_millis() * factor);
        interval.min(self.max_interval)
    }
}
