//! Bounds the requests that a version under test receives, over all VMs together.
//!
//! The bound is a share of the service's requests plus a reserve. Each VM owns the
//! share of its own requests and a fixed part of the reserve, and needs no count of
//! another VM: the bound holds also while VMs are cut off from each other, or restart.
//! The VMs of a large fleet earn less than a whole request each, so they start to earn
//! with offsets that are spread evenly; the unused part of the reserve is larger than
//! what the sum of the rounded values differs by.

use crate::canary_spread::RoutePriority;
use crate::rollout_plan::finish_time;
use crate::rollout_samples::RolloutSamples;
use skylarkshed_core::{ClockTime, VmName};

const WHOLE_PERCENT: u64 = 100;
/// The part of the share that is used, as a percentage. The rest covers requests that
/// were counted here but did not reach the service.
const USED_SHARE_PERCENT: u64 = 85;
/// The part of the reserve that is used, as a percentage. The rest covers VMs that
/// disagree on the number of VMs, and requests that are sent while no other version
/// has an upstream.
const USED_RESERVE_PERCENT: u64 = 70;
/// The part of a VM's reserve that may be used at once, as a percentage. The rest is
/// spread over the rollout, so that a fault that appears late is seen as well.
const EARLY_PERCENT: u64 = 50;
/// The largest part of a VM's reserve that is kept for the end, as a percentage.
const MAX_LAST_PERCENT: u64 = 50;
/// The time before the end in which that part is used. A version whose fault appears then
/// is kept unless enough of its requests fail at once.
const LAST_TIME: ClockTime = ClockTime::from_millis(1_500);
/// The time before the end from which a response comes too late to be judged.
const RESPONSE_TIME: ClockTime = ClockTime::from_millis(200);
/// The largest part of a VM's requests of that time, as a percentage, so that the kept part
/// is used also at a low rate of requests.
const LAST_REQUESTS_PERCENT: u64 = 50;

/// How many requests a bad version may receive, over all VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExposureLimits {
    /// Requests per hundred requests of the service.
    pub percent: u64,
    /// Requests regardless of the service's number.
    pub reserve: u64,
}

impl ExposureLimits {
    /// Returns how many of a service's requests are used to test a version.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_policy::ExposureLimits;
    ///
    /// let limits = ExposureLimits { percent: 10, reserve: 50 };
    /// assert_eq!(limits.usable(20), 20);
    /// assert_eq!(limits.usable(1_000), 120);
    /// ```
    pub fn usable(&self, requests: u64) -> u64 {
        let share = requests * self.percent * USED_SHARE_PERCENT / (WHOLE_PERCENT * WHOLE_PERCENT);
        let reserve = self.reserve * USED_RESERVE_PERCENT / WHOLE_PERCENT;
        requests.min(share + reserve)
    }
}

/// Reports whether a VM has a part of the reserve of a rollout; `vms` is the list of VMs
/// that it has when it learns of the order, and `is_first_read` whether it found the order
/// in the first table that it read.
///
/// The VMs on the list divide the reserve. One that is missing there starts during the
/// rollout, or just before it, and was not counted by the others; only if the list is
/// empty have all of them just started, and divide the reserve by the list to come. A
/// process that was restarted may have used its part before.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::has_reserve;
///
/// let list = ["vm-1".into(), "vm-2".into()];
/// assert!(has_reserve(&"vm-1".into(), &list, false));
/// assert!(!has_reserve(&"vm-3".into(), &list, false));
/// assert!(has_reserve(&"vm-3".into(), &[], false));
/// assert!(!has_reserve(&"vm-1".into(), &list, true));
/// ```
pub fn has_reserve(own: &VmName, vms: &[VmName], is_first_read: bool) -> bool {
    !is_first_read && (vms.is_empty() || vms.contains(own))
}

/// Returns the most requests that a process may have sent to a version under test before it
/// ended: those that it reported, and as many as it sent to any version in the time for which
/// a report counts. `samples` are its last report, `elapsed` is the time of the rollout.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{bound_earlier_use, RolloutSamples};
///
/// let mut samples = RolloutSamples::default();
/// samples.slice(0).old.route("ask").sent += 8;
/// samples.slice(0).new.route("ask").sent += 2;
/// let (elapsed, ttl) = (ClockTime::from_millis(10_000), ClockTime::from_millis(2_000));
/// assert_eq!(bound_earlier_use(&samples, elapsed, ttl), 4);
/// ```
pub fn bound_earlier_use(
    samples: &RolloutSamples,
    elapsed: ClockTime,
    report_ttl: ClockTime,
) -> u64 {
    let reported: u64 = samples.sent_to_new().values().sum();
    let requests: u64 = samples.requests().values().sum();
    let unreported = requests * report_ttl.as_millis();
    reported + unreported.div_ceil(elapsed.as_millis().max(1))
}

/// The requests that one VM may send to a version under test.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{CanaryAllowance, ExposureLimits, RoutePriority};
///
/// let limits = ExposureLimits { percent: 10, reserve: 40 };
/// let mut allowance = CanaryAllowance::new(limits, 2, 0);
/// let duration = ClockTime::from_millis(10_000);
/// let mut take = || allowance.try_take(RoutePriority::Due, ClockTime::ZERO, duration);
/// let taken = (0..100).filter(|_| take()).count();
/// assert_eq!(taken, 7);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CanaryAllowance {
    percent: u64,
    /// This VM's part of the reserve.
    reserve: u64,
    /// What is earned already, in hundredths of a request.
    offset: u64,
    requests: u64,
    arrivals: u64,
    /// Those of the arrivals that were not taken.
    untaken: u64,
    /// Whether a route that has its quota has let others go first since the last request.
    has_passed: bool,
}

impl CanaryAllowance {
    /// Creates the allowance of one of `vms` VMs, whose index among them is `index`.
    pub fn new(limits: ExposureLimits, vms: usize, index: usize) -> Self {
        let mut allowance = CanaryAllowance::without_reserve(limits);
        allowance.add_reserve(limits, vms, index);
        allowance
    }

    /// Creates the allowance of a VM that does not know yet how many VMs share the
    /// reserve, or may have used its part before it was restarted.
    pub fn without_reserve(limits: ExposureLimits) -> Self {
        CanaryAllowance {
            percent: limits.percent,
            ..CanaryAllowance::default()
        }
    }

    /// Adds the part of the reserve of one of `vms` VMs, whose index among them is
    /// `index`. It must be added only once.
    pub fn add_reserve(&mut self, limits: ExposureLimits, vms: usize, index: usize) {
        let used = limits.reserve * USED_RESERVE_PERCENT / WHOLE_PERCENT;
        let (vms, index) = (vms.max(1) as u64, index as u64);
        self.reserve = used / vms + u64::from(index < used % vms);
        // The VMs without a part of the reserve are the first to earn.
        self.offset = index * WHOLE_PERCENT / vms;
    }

    /// Records that an earlier process of this VM may have sent `used` requests to the
    /// version, which this process can't send any more.
    pub fn record_earlier_use(&mut self, used: u64) {
        self.arrivals += used;
    }

    /// Records a request of this VM that reached the service, at any version.
    pub fn record_request(&mut self) {
        self.requests += 1;
    }

    /// Records a request that arrives at the version without having been taken.
    pub fn record_arrival(&mut self) {
        self.arrivals += 1;
        self.untaken += 1;
    }

    /// Takes a request for the version and reports whether it is allowed; `elapsed` is
    /// the time since the rollout began, of its whole `duration`.
    pub fn try_take(
        &mut self,
        priority: RoutePriority,
        elapsed: ClockTime,
        duration: ClockTime,
    ) -> bool {
        let reserve = self.usable_reserve(priority, elapsed, duration);
        if self.arrivals >= self.earned() + reserve {
            return false;
        }
        // Other routes can go first, but their requests need not come.
        if priority == RoutePriority::Sufficient && !self.has_passed {
            self.has_passed = true;
            return false;
        }
        self.has_passed = false;
        self.arrivals += 1;
        true
    }

    /// Returns the part of the reserve that may be used by now.
    fn usable_reserve(
        &self,
        priority: RoutePriority,
        elapsed: ClockTime,
        duration: ClockTime,
    ) -> u64 {
        let steady_percent = match priority {
            RoutePriority::Sufficient | RoutePriority::Due => early_percent(elapsed, duration),
            RoutePriority::Least => WHOLE_PERCENT,
        };
        let last = self.last_reserve(elapsed);
        let usable =
            (self.reserve - last) * steady_percent + last * last_percent(elapsed, duration);
        // A VM of a large fleet owns a single request: it is rounded up.
        usable.div_ceil(WHOLE_PERCENT)
    }

    /// Returns the part of the reserve that is kept for the end.
    fn last_reserve(&self, elapsed: ClockTime) -> u64 {
        let expected = self.requests * LAST_TIME.as_millis() / elapsed.as_millis().max(1);
        let most = self.reserve * MAX_LAST_PERCENT / WHOLE_PERCENT;
        most.min(expected * LAST_REQUESTS_PERCENT / WHOLE_PERCENT)
    }

    /// Refunds a request that was taken but did not arrive.
    pub fn refund(&mut self) {
        self.arrivals = self.arrivals.saturating_sub(1);
    }

    /// Takes back an arrival that was recorded without having been taken.
    pub fn remove_arrival(&mut self) {
        self.refund();
        self.untaken = self.untaken.saturating_sub(1);
    }

    /// Returns the number of requests that arrived at the version, or are on the way.
    pub fn arrivals(&self) -> u64 {
        self.arrivals
    }

    /// Returns the number of those that were not taken.
    pub fn untaken(&self) -> u64 {
        self.untaken
    }

    /// Returns the number of requests that the share allows so far, without the reserve.
    pub fn earned(&self) -> u64 {
        let percent = self.percent * USED_SHARE_PERCENT / WHOLE_PERCENT;
        (self.requests * percent + self.offset) / WHOLE_PERCENT
    }
}

/// Returns which part of the reserve for the end may be used by now, as a percentage.
fn last_percent(elapsed: ClockTime, duration: ClockTime) -> u64 {
    let end = finish_time(duration);
    let used_ms = elapsed.since(end.since(LAST_TIME)).as_millis();
    let whole_ms = LAST_TIME.since(RESPONSE_TIME).as_millis();
    (WHOLE_PERCENT * used_ms / whole_ms).min(WHOLE_PERCENT)
}

/// Returns which part of the reserve for any time may be used by now, as a percentage.
fn early_percent(elapsed: ClockTime, duration: ClockTime) -> u64 {
    let duration_ms = duration.as_millis().max(1);
    let elapsed_ms = elapsed.as_millis().min(duration_ms);
    EARLY_PERCENT + (WHOLE_PERCENT - EARLY_PERCENT) * elapsed_ms / duration_ms
}
