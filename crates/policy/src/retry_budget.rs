//! Bounds the sends beyond the first of each request, over all VMs together.
//!
//! The bound is a share of the requests and a reserve for all VMs. Each VM
//! holds its part of the reserve without asking, so the sum keeps below the
//! bound also when VMs are cut off from each other. In a large fleet a part is
//! less than what one VM loses when a zone's engines die; so answers that have
//! begun, of which only so many run at a time, may draw on a little more.

use crate::budget::WorkBudget;

/// The part of requests' sends for answers that have begun, in hundredths.
const RECOVERY_PERCENT: u32 = 10;
/// Answers of one VM that go on beyond its part: a VM of a large fleet runs two
/// long answers, and each may lose its engine twice in a short time.
const RECOVERY_RESERVE: u32 = 4;

/// The sends beyond the first that one VM may make to one service.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::RetryBudget;
///
/// let budget = RetryBudget::new(50, 1);
/// assert!(budget.try_retry());
/// assert!(!budget.try_retry());
/// assert!(budget.try_recover());
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    retries: WorkBudget,
    recoveries: WorkBudget,
}

impl RetryBudget {
    /// Makes a budget of `percent` sends per hundred requests and a part of the
    /// reserve.
    pub fn new(percent: u32, reserve: u32) -> Self {
        RetryBudget {
            retries: WorkBudget::new(percent, reserve),
            recoveries: WorkBudget::new(RECOVERY_PERCENT, RECOVERY_RESERVE),
        }
    }

    /// Changes this VM's part of the reserve.
    pub fn set_reserve(&self, reserve: u32) {
        self.retries.set_reserve(reserve);
    }

    /// Notes a request.
    pub fn note_request(&self) {
        self.retries.earn(1);
        self.recoveries.earn(1);
    }

    /// Takes a send for a request of which the caller has nothing.
    pub fn try_retry(&self) -> bool {
        self.retries.try_spend(1)
    }

    /// Takes a send for an answer that has begun.
    pub fn try_recover(&self) -> bool {
        self.try_retry() || self.recoveries.try_spend(1)
    }

    /// Gives back a send that was not made.
    pub fn refund(&self) {
        self.retries.refund(1);
    }
}
