//! Bounds the sends beyond the first of each request, over all VMs together.
//!
//! The bound is a share of the requests of a sliding window and a reserve for
//! all VMs. Each VM holds its part of the reserve without asking, so the sum
//! keeps below the bound also when VMs are cut off from each other.
//!
//! The load that it answers: a zone's engines die at once, and each VM has to
//! send all answers that it ran there again in the same moment. A part of the
//! reserve is less than one such loss in a large fleet, so the share that the
//! requests of the whole window earned can be used at once, and answers that
//! can go on elsewhere may draw on a little more.

use crate::budget::WorkBudget;
use crate::window_count::WindowCount;
use skylarkshed_core::ClockTime;
use std::sync::atomic::{AtomicU64, Ordering};

const PERCENT: u64 = 100;
/// The part of requests' sends for answers that can go on, in hundredths.
const RECOVERY_PERCENT: u32 = 10;
/// Answers of one VM that go on beyond its part: a VM of a large fleet runs two
/// long answers, and each may lose its engine twice in a short time.
const RECOVERY_RESERVE: u32 = 4;

/// The bound for all VMs together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryLimits {
    /// Sends beyond the first per hundred requests.
    pub percent: u32,
    /// Sends beyond the first in any window, whatever the requests.
    pub reserve: u32,
    /// The time over which both are counted.
    pub window: ClockTime,
}

/// The sends beyond the first that one VM may make to one service.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{RetryBudget, RetryLimits};
///
/// let window = ClockTime::from_millis(10_000);
/// let limits = RetryLimits { percent: 50, reserve: 8, window };
/// let budget = RetryBudget::new(limits, 8);
/// let now = ClockTime::from_millis(1);
/// assert!(budget.try_retry(now));
/// assert!(!budget.try_retry(now));
/// assert!(budget.try_resume(now));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// This VM's part of the reserve, in hundredths of a send.
    part: AtomicU64,
    requests: WindowCount,
    retries: WindowCount,
    recoveries: WorkBudget,
}

impl RetryBudget {
    /// Makes the budget of one of `vms` VMs.
    pub fn new(limits: RetryLimits, vms: usize) -> Self {
        RetryBudget {
            limits,
            part: AtomicU64::new(part_of(limits, vms)),
            requests: WindowCount::new(limits.window),
            retries: WindowCount::new(limits.window),
            recoveries: WorkBudget::new(RECOVERY_PERCENT, RECOVERY_RESERVE),
        }
    }

    /// Notes over how many VMs the reserve is divided.
    pub fn set_vm_count(&self, vms: usize) {
        self.part
            .store(part_of(self.limits, vms), Ordering::Relaxed);
    }

    /// Notes a request.
    pub fn record_request(&self, now: ClockTime) {
        self.requests.add(now);
        self.recoveries.earn(1);
    }

    /// Takes a send beyond the first.
    ///
    /// Two threads may take the last one both; the part of the bound that is
    /// left unused is far larger.
    pub fn try_retry(&self, now: ClockTime) -> bool {
        let earned = self.requests.within(now) * u64::from(self.limits.percent);
        let allowed = (earned + self.part.load(Ordering::Relaxed)) / PERCENT;
        let is_allowed = self.retries.at_least_within(now) < allowed.max(1);
        if is_allowed {
            self.retries.add(now);
        }
        is_allowed
    }

    /// Takes a send for an answer that can go on elsewhere.
    pub fn try_resume(&self, now: ClockTime) -> bool {
        self.recoveries.try_spend(1) || self.try_retry(now)
    }

    /// Gives back a send that was not made.
    pub fn refund(&self, now: ClockTime) {
        if !self.retries.take_back(now) {
            self.recoveries.refund(1);
        }
    }
}

fn part_of(limits: RetryLimits, vms: usize) -> u64 {
    u64::from(limits.reserve) * PERCENT / vms.max(1) as u64
}
