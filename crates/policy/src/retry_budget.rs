//! Bounds the retries of requests, over all VMs together.
//!
//! The bound is a percentage of the requests in a sliding window plus a reserve
//! for all VMs. Each VM owns an equal share of the reserve without coordination,
//! so the sum stays below the bound even when VMs are cut off from each other.
//!
//! When all engines of a zone fail together, each VM has to retry at once all
//! streams that it ran there. In a large fleet one VM's share of the reserve is
//! smaller than that, so the retries earned by the requests of the whole window
//! can be used at once, and streams that can resume elsewhere have a small
//! additional budget.

use crate::window_counter::WindowCounter;
use crate::work_budget::WorkBudget;
use skylarkshed_core::ClockTime;
use std::sync::atomic::{AtomicU64, Ordering};

/// Retries are counted in hundredths.
const HUNDREDTHS_PER_RETRY: u64 = 100;
/// The additional retries for streams that can resume, per hundred requests.
const RESUME_PERCENT: u32 = 10;
/// The additional retries that one VM starts with: a VM of a large fleet runs two
/// long streams, and each may lose its engine twice in a short time.
const RESUME_RESERVE: u32 = 4;

/// The bound for all VMs together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryLimits {
    /// Retries per hundred requests.
    pub percent: u32,
    /// Retries in any window, regardless of the number of requests.
    pub reserve: u32,
    /// The time window over which both are counted.
    pub window: ClockTime,
}

/// The retries that one VM may make to one service.
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
    /// This VM's share of the reserve, in hundredths of a retry.
    reserve_share: AtomicU64,
    requests: WindowCounter,
    retries: WindowCounter,
    resumes: WorkBudget,
}

impl RetryBudget {
    /// Creates the budget of one of `vms` VMs.
    pub fn new(limits: RetryLimits, vms: usize) -> Self {
        RetryBudget {
            limits,
            reserve_share: AtomicU64::new(reserve_share(limits, vms)),
            requests: WindowCounter::new(limits.window),
            retries: WindowCounter::new(limits.window),
            resumes: WorkBudget::new(RESUME_PERCENT, RESUME_RESERVE),
        }
    }

    /// Sets the number of VMs that share the reserve.
    pub fn set_vm_count(&self, vms: usize) {
        self.reserve_share
            .store(reserve_share(self.limits, vms), Ordering::Relaxed);
    }

    /// Records a request.
    pub fn record_request(&self, now: ClockTime) {
        self.requests.add(now);
        self.resumes.earn(1);
    }

    /// Spends a retry and reports whether the budget allows it.
    ///
    /// Two threads may both spend the last retry; the unused margin below the bound
    /// is far larger than that.
    pub fn try_retry(&self, now: ClockTime) -> bool {
        let earned = self.requests.count_lower_bound(now) * u64::from(self.limits.percent);
        let allowed = (earned + self.reserve_share.load(Ordering::Relaxed)) / HUNDREDTHS_PER_RETRY;
        let is_allowed = self.retries.count_upper_bound(now) < allowed.max(1);
        if is_allowed {
            self.retries.add(now);
        }
        is_allowed
    }

    /// Spends a retry of a stream that can resume at another upstream.
    pub fn try_resume(&self, now: ClockTime) -> bool {
        self.resumes.try_spend(1) || self.try_retry(now)
    }

    /// Refunds a retry that was not made.
    pub fn refund(&self, now: ClockTime) {
        if !self.retries.remove(now) {
            self.resumes.refund(1);
        }
    }
}

fn reserve_share(limits: RetryLimits, vms: usize) -> u64 {
    u64::from(limits.reserve) * HUNDREDTHS_PER_RETRY / vms.max(1) as u64
}
