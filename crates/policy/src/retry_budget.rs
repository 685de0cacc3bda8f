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
//!
//! Load pattern: the engines of a zone fail in a fleet of so many VMs that a share of
//! the reserve is a retry or two. Where [`uses_loans`] says so, VMs lend each other
//! retries. A lender counts a loan as spent from the moment it lends until the window
//! and the loan's lifetime have passed, so that every window that contains the
//! borrower's send contains the lender's count. Three more rules keep the bound there:
//!
//! - the additional retries of streams are earned within the window as well, because
//!   four for each VM would be several times the reserve;
//! - a process has no share of the reserve until it is as old as a loan counts, because
//!   an earlier process of the VM may have spent or lent the share;
//! - streams have no retry beyond the allowance; one of a VM without any borrows it.

use crate::loan_book::LoanBook;
use crate::reserve_share::{reserve_share, resume_reserve, HUNDREDTHS_PER_RETRY, RESUME_RESERVE};
use crate::retry_loans::{lendable_retries, uses_loans, LenderState, LoanDemand, LOAN_LIFETIME};
use crate::window_counter::WindowCounter;
use crate::work_budget::WorkBudget;
use skylarkshed_core::ClockTime;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The additional retries for streams that can resume, per hundred requests.
const RESUME_PERCENT: u32 = 10;
/// Among at least so many VMs the reserve is divided while the list of VMs is not settled: more
/// of them lend, and a process that lends has no share at first.
const UNSETTLED_VMS: usize = 32;
/// The part of its allowance that a VM keeps from the least urgent new streams.
const KEPT_PART: u64 = 4;

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

/// What a stream may spend on its next attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryClaim {
    /// Whether the stream can resume at another upstream.
    pub is_resumable: bool,
    /// Whether it leaves the last quarter of the VM's own allowance to others.
    pub leaves_quarter: bool,
}

/// A retry that was taken from a budget; it is refunded if it was not made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub enum RetryGrant {
    /// A retry of the VM's own allowance, taken at this time.
    Own(ClockTime),
    /// One of the additional retries for streams that can resume.
    Resume,
    /// A borrowed retry, which may be made until this time.
    Loan(ClockTime),
}

impl RetryGrant {
    /// Returns the label of the grant's origin in logs.
    pub const fn label(self) -> &'static str {
        match self {
            RetryGrant::Own(_) | RetryGrant::Resume => "own",
            RetryGrant::Loan(_) => "loan",
        }
    }

    /// Reports whether the retry may still be made.
    pub fn is_usable(self, now: ClockTime) -> bool {
        match self {
            RetryGrant::Own(_) | RetryGrant::Resume => true,
            RetryGrant::Loan(expires_at) => now < expires_at,
        }
    }
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
    /// Whether this VM can reach others to borrow retries.
    can_borrow: bool,
    uses_loans: AtomicBool,
    requests: WindowCounter,
    retries: WindowCounter,
    resumes: WorkBudget,
    /// Held while a retry is spent or lent, so that the last one is not taken twice.
    loans: Mutex<LoanBook>,
}

impl RetryBudget {
    /// Creates the budget of one of `vms` VMs that lend each other no retries.
    pub fn new(limits: RetryLimits, vms: usize) -> Self {
        RetryBudget {
            limits,
            reserve_share: AtomicU64::new(reserve_share(limits, vms)),
            can_borrow: false,
            uses_loans: AtomicBool::new(false),
            requests: WindowCounter::new(limits.window),
            retries: WindowCounter::new(limits.window),
            resumes: WorkBudget::new(RESUME_PERCENT, RESUME_RESERVE),
            loans: Mutex::default(),
        }
    }

    /// Creates the budget of one of `vms` VMs that lend each other retries where
    /// [`uses_loans`] says so. Times are those since the VM's process started.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::ClockTime;
    /// use skylarkshed_policy::{RetryBudget, RetryLimits};
    ///
    /// let window = ClockTime::from_millis(10_000);
    /// let limits = RetryLimits { percent: 64, reserve: 105, window };
    /// assert!(RetryBudget::with_loans(limits, 86).uses_loans());
    /// assert!(!RetryBudget::with_loans(limits, 12).uses_loans());
    /// ```
    pub fn with_loans(limits: RetryLimits, vms: usize) -> Self {
        RetryBudget {
            can_borrow: true,
            uses_loans: AtomicBool::new(uses_loans(limits, vms)),
            resumes: WorkBudget::new(RESUME_PERCENT, resume_reserve(limits, vms)),
            ..RetryBudget::new(limits, vms)
        }
    }

    /// Withholds the reserve until the number of VMs is known. What the VM's own requests earn
    /// stays available.
    pub fn withhold_reserve(&self) {
        self.divide(0, 0, 1);
    }

    /// Limits the share of the reserve while the list of VMs is not settled. VMs lend if the
    /// `listed` ones are enough.
    pub fn limit_reserve(&self, listed: usize) {
        let share = reserve_share(self.limits, listed.max(UNSETTLED_VMS));
        self.divide(share, 0, listed);
    }

    /// Sets the number of VMs that share the reserve.
    pub fn set_vm_count(&self, vms: usize) {
        let resumes = match self.can_borrow {
            true => resume_reserve(self.limits, vms),
            false => RESUME_RESERVE,
        };
        self.divide(reserve_share(self.limits, vms), resumes, vms);
    }

    fn divide(&self, share: u64, resumes: u32, vms: usize) {
        self.reserve_share.store(share, Ordering::Relaxed);
        self.resumes.set_reserve(resumes);
        let uses_loans = self.can_borrow && uses_loans(self.limits, vms);
        self.uses_loans.store(uses_loans, Ordering::Relaxed);
    }

    /// Reports whether VMs lend each other retries.
    pub fn uses_loans(&self) -> bool {
        self.uses_loans.load(Ordering::Relaxed)
    }

    /// Records a request.
    pub fn record_request(&self, now: ClockTime) {
        self.requests.add(now);
        self.resumes.earn(1);
    }

    /// Spends a retry of the VM's own allowance and reports whether there is one. Loans
    /// are left to streams.
    pub fn try_retry(&self, now: ClockTime) -> bool {
        let book = self.lock_book(now);
        let allowance = match self.uses_loans() {
            true => self.lending_allowance(0, now),
            false => self.allowance(0, now),
        };
        self.try_own(&book, allowance.max(1), now)
    }

    /// Spends a retry of a stream that can resume at another upstream.
    pub fn try_resume(&self, now: ClockTime) -> bool {
        let claim = RetryClaim {
            is_resumable: true,
            leaves_quarter: false,
        };
        self.try_spend(claim, now).is_some()
    }

    /// Spends a retry of a stream, a borrowed one last.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::ClockTime;
    /// use skylarkshed_policy::{RetryBudget, RetryClaim, RetryGrant, RetryLimits};
    ///
    /// let window = ClockTime::from_millis(10_000);
    /// let limits = RetryLimits { percent: 50, reserve: 0, window };
    /// let budget = RetryBudget::with_loans(limits, 2);
    /// let claim = RetryClaim { is_resumable: true, leaves_quarter: false };
    /// let now = ClockTime::from_millis(1);
    /// assert_eq!(budget.try_spend(claim, now), None);
    /// let expires_at = ClockTime::from_millis(1_500);
    /// budget.add_loan(1, expires_at);
    /// assert_eq!(budget.try_spend(claim, now), Some(RetryGrant::Loan(expires_at)));
    /// ```
    pub fn try_spend(&self, claim: RetryClaim, now: ClockTime) -> Option<RetryGrant> {
        let mut book = self.lock_book(now);
        if !self.uses_loans() {
            if claim.is_resumable && self.resumes.try_spend(1) {
                return Some(RetryGrant::Resume);
            }
            let allowance = self.allowance(0, now).max(1);
            let is_own = self.try_own(&book, allowance, now);
            return is_own.then_some(RetryGrant::Own(now));
        }
        let mut allowance = match claim.is_resumable {
            true => self.lending_allowance(RESUME_PERCENT, now),
            false => self.lending_allowance(0, now),
        };
        if claim.leaves_quarter {
            allowance -= allowance.div_ceil(KEPT_PART);
        }
        if self.try_own(&book, allowance, now) {
            return Some(RetryGrant::Own(now));
        }
        book.take_borrowed().map(RetryGrant::Loan)
    }

    /// Returns the retries that a stream could still make now, without loans.
    pub fn spare(&self, now: ClockTime) -> u32 {
        let book = self.lock_book(now);
        self.spare_with(&book, now)
    }

    /// Lends retries and returns their number. They count as spent at once.
    pub fn lend(&self, demand: LoanDemand, lender: LenderState, now: ClockTime) -> u32 {
        if !self.uses_loans() {
            return 0;
        }
        let mut book = self.lock_book(now);
        let spare = self.spare_with(&book, now);
        let lent = lendable_retries(spare, demand, lender);
        if lent > 0 {
            book.lend(lent, now);
        }
        lent
    }

    /// Takes back at most `count` of the retries that were lent at a time: the borrower
    /// has not made them and will not.
    pub fn take_back(&self, count: u32, lent_at: ClockTime, now: ClockTime) -> u32 {
        self.lock_book(now).take_back(count, lent_at)
    }

    /// Returns the time until retries that were made or lent no longer count.
    pub fn until_next_change(&self, now: ClockTime) -> ClockTime {
        let book = self.lock_book(now);
        let until_bucket = self.retries.until_next_bucket(now);
        let first_end = book.first_end(self.limits.window + LOAN_LIFETIME);
        first_end.map_or(until_bucket, |end| until_bucket.min(end.since(now)))
    }

    /// Adds borrowed retries, which may be made until a time.
    pub fn add_loan(&self, count: u32, expires_at: ClockTime) {
        self.lock().borrow(count, expires_at);
    }

    /// Returns the borrowed retries that may still be made.
    pub fn borrowed(&self, now: ClockTime) -> u32 {
        self.lock_book(now).borrowed()
    }

    /// Returns the borrowed retries that have expired since the last call.
    pub fn drain_expired(&self, now: ClockTime) -> u32 {
        self.lock_book(now).drain_expired()
    }

    /// Refunds a retry of [`Self::try_retry`] that was taken at a time and not made.
    pub fn refund(&self, taken_at: ClockTime, now: ClockTime) {
        self.refund_grant(RetryGrant::Own(taken_at), now);
    }

    /// Refunds a retry of [`Self::try_spend`] that was not made. A borrowed one can be
    /// spent again until it expires.
    pub fn refund_grant(&self, grant: RetryGrant, now: ClockTime) {
        match grant {
            RetryGrant::Resume => self.resumes.refund(1),
            RetryGrant::Loan(expires_at) => self.add_loan(1, expires_at),
            RetryGrant::Own(taken_at) => {
                let _book = self.lock_book(now);
                // Later, the retry no longer counts.
                if now.since(taken_at) < self.limits.window {
                    self.retries.remove(taken_at);
                }
            }
        }
    }

    /// Returns the retries that a VM may make in this window, besides loans.
    fn allowance(&self, additional_percent: u32, now: ClockTime) -> u64 {
        self.earned_and(
            additional_percent,
            self.reserve_share.load(Ordering::Relaxed),
            now,
        )
    }

    /// Like [`Self::allowance`], where VMs lend retries: a young process has no share.
    fn lending_allowance(&self, additional_percent: u32, now: ClockTime) -> u64 {
        let share = match now < self.limits.window + LOAN_LIFETIME {
            true => 0,
            false => self.reserve_share.load(Ordering::Relaxed),
        };
        self.earned_and(additional_percent, share, now)
    }

    fn earned_and(&self, additional_percent: u32, share: u64, now: ClockTime) -> u64 {
        let percent = u64::from(self.limits.percent + additional_percent);
        let earned = self.requests.count_lower_bound(now) * percent;
        (earned + share) / HUNDREDTHS_PER_RETRY
    }

    fn try_own(&self, book: &LoanBook, allowance: u64, now: ClockTime) -> bool {
        let is_allowed = self.spent(book, now) < allowance;
        if is_allowed {
            self.retries.add(now);
        }
        is_allowed
    }

    fn spare_with(&self, book: &LoanBook, now: ClockTime) -> u32 {
        let allowance = self.lending_allowance(RESUME_PERCENT, now);
        let spare = allowance.saturating_sub(self.spent(book, now));
        u32::try_from(spare).unwrap_or(u32::MAX)
    }

    /// Returns the retries that were made or lent.
    fn spent(&self, book: &LoanBook, now: ClockTime) -> u64 {
        self.retries.count_upper_bound(now) + u64::from(book.lent())
    }

    /// Locks the loans and drops those that no longer count.
    fn lock_book(&self, now: ClockTime) -> MutexGuard<'_, LoanBook> {
        let mut book = self.lock();
        book.drop_expired(self.limits.window + LOAN_LIFETIME, now);
        book
    }

    fn lock(&self) -> MutexGuard<'_, LoanBook> {
        // The book is consistent between calls, so a poisoned lock is usable.
        self.loans.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
