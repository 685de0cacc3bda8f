//! Bounds extra work, such as races and retries, by a share of the useful work.

use std::sync::atomic::{AtomicI64, Ordering};

/// Credit is counted in hundredths of a unit.
const CREDIT_PER_UNIT: i64 = 100;

/// A budget that useful work refills and extra work draws on.
///
/// The caller defines the unit: tokens for races, calls for retries.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::WorkBudget;
///
/// let budget = WorkBudget::new(5, 10);
/// assert!(budget.try_spend(10));
/// assert!(!budget.try_spend(1));
/// budget.earn(100);
/// assert!(budget.try_spend(5));
/// ```
#[derive(Debug)]
pub struct WorkBudget {
    percent: i64,
    /// In hundredths of a unit.
    credit: AtomicI64,
    max_credit: AtomicI64,
}

impl WorkBudget {
    /// Creates a budget of `percent` units per hundred units of useful work.
    ///
    /// It starts with `reserve` units, which is also its maximum.
    pub fn new(percent: u32, reserve: u32) -> Self {
        let max_credit = i64::from(reserve) * CREDIT_PER_UNIT;
        WorkBudget {
            percent: i64::from(percent),
            credit: AtomicI64::new(max_credit),
            max_credit: AtomicI64::new(max_credit),
        }
    }

    /// Changes the reserve. The credit changes by the same amount, so that units which were
    /// spent from the former reserve are not available again.
    pub fn set_reserve(&self, reserve: u32) {
        let max_credit = i64::from(reserve) * CREDIT_PER_UNIT;
        let previous = self.max_credit.swap(max_credit, Ordering::Relaxed);
        self.credit
            .fetch_add(max_credit - previous, Ordering::Relaxed);
    }

    /// Adds the share earned by `units` of useful work.
    pub fn earn(&self, units: u64) {
        let earned = i64::try_from(units).unwrap_or(i64::MAX / CREDIT_PER_UNIT) * self.percent;
        let _ = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
                Some((credit + earned).min(self.max_credit.load(Ordering::Relaxed)))
            });
    }

    /// Refunds units that were spent on work that was not done.
    pub fn refund(&self, units: u64) {
        let max_credit = self.max_credit.load(Ordering::Relaxed);
        let returned = i64::try_from(units)
            .unwrap_or(i64::MAX / CREDIT_PER_UNIT)
            .saturating_mul(CREDIT_PER_UNIT);
        let _ = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
                Some(credit.saturating_add(returned).min(max_credit))
            });
    }

    /// Spends units on extra work and reports whether there were enough; otherwise
    /// spends nothing.
    pub fn try_spend(&self, units: u64) -> bool {
        let cost = i64::try_from(units)
            .unwrap_or(i64::MAX / CREDIT_PER_UNIT)
            .saturating_mul(CREDIT_PER_UNIT);
        let spent = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
                (credit >= cost).then(|| credit - cost)
            });
        spent.is_ok()
    }
}
