//! Bounds extra work by a share of the useful work.

use std::sync::atomic::{AtomicI64, Ordering};

const PARTS: i64 = 100;

/// A budget that useful work fills and extra work draws on.
///
/// The unit is the caller's: tokens for races, calls for retries.
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
    /// The credit, in hundredths of a unit.
    credit: AtomicI64,
    limit: i64,
}

impl WorkBudget {
    /// Makes a budget of `percent` units per hundred units of useful work,
    /// filled with `reserve` units, which is also the most it holds.
    pub fn new(percent: u32, reserve: u32) -> Self {
        let limit = i64::from(reserve) * PARTS;
        WorkBudget {
            percent: i64::from(percent),
            credit: AtomicI64::new(limit),
            limit,
        }
    }

    /// Adds the share of useful work.
    pub fn earn(&self, units: u64) {
        let earned = i64::try_from(units).unwrap_or(i64::MAX / PARTS) * self.percent;
        let _ = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
                Some((credit + earned).min(self.limit))
            });
    }

    /// Gives back units that were taken for work that was not done.
    pub fn refund(&self, units: u64) {
        let returned = i64::try_from(units)
            .unwrap_or(i64::MAX / PARTS)
            .saturating_mul(PARTS);
        let _ = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
                Some(credit.saturating_add(returned).min(self.limit))
            });
    }

    /// Takes units for extra work, or nothing if there are too few.
    pub fn try_spend(&self, units: u64) -> bool {
        let cost = i64::try_from(units)
            .unwrap_or(i64::MAX / PARTS)
            .saturating_mul(PARTS);
        let spent = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
                (credit >= cost).then(|| credit - cost)
            });
        spent.is_ok()
    }
}
