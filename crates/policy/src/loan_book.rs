//! The retries that a VM has lent and borrowed.

use skylarkshed_core::ClockTime;
use std::collections::VecDeque;

/// Lent retries by the time of the loan, and borrowed ones by their expiry.
#[derive(Debug, Default)]
pub(crate) struct LoanBook {
    lent: VecDeque<(ClockTime, u32)>,
    borrowed: Vec<(ClockTime, u32)>,
    /// The borrowed retries that expired since they were counted last.
    expired: u32,
}

impl LoanBook {
    /// Drops the lent retries that have counted for a time, and expired borrowed ones.
    pub(crate) fn drop_expired(&mut self, counted_for: ClockTime, now: ClockTime) {
        while matches!(self.lent.front(), Some((at, _)) if now.since(*at) > counted_for) {
            self.lent.pop_front();
        }
        let expired = &mut self.expired;
        self.borrowed.retain(|(expires_at, count)| {
            let is_usable = now < *expires_at;
            *expired += if is_usable { 0 } else { *count };
            is_usable
        });
    }

    pub(crate) fn lend(&mut self, count: u32, now: ClockTime) {
        self.lent.push_back((now, count));
    }

    /// Returns the lent retries that count as spent.
    pub(crate) fn lent(&self) -> u32 {
        self.lent.iter().map(|(_, count)| count).sum()
    }

    /// Takes back at most `count` of the retries that were lent at a time.
    pub(crate) fn take_back(&mut self, count: u32, lent_at: ClockTime) -> u32 {
        let mut left = count;
        for (_, lent) in self.lent.iter_mut().filter(|(at, _)| *at == lent_at) {
            let returned = left.min(*lent);
            *lent -= returned;
            left -= returned;
        }
        count - left
    }

    /// Returns when the oldest loan no longer counts.
    pub(crate) fn first_end(&self, counted_for: ClockTime) -> Option<ClockTime> {
        let (lent_at, _) = self.lent.front()?;
        Some(*lent_at + counted_for + ClockTime::from_millis(1))
    }

    pub(crate) fn borrow(&mut self, count: u32, expires_at: ClockTime) {
        if count > 0 {
            self.borrowed.push((expires_at, count));
        }
    }

    pub(crate) fn borrowed(&self) -> u32 {
        self.borrowed.iter().map(|(_, count)| count).sum()
    }

    /// Takes a borrowed retry, the one that expires first, and returns when it expires.
    pub(crate) fn take_borrowed(&mut self) -> Option<ClockTime> {
        let loans = self.borrowed.iter_mut();
        let (expires_at, count) = loans.min_by_key(|(expires_at, _)| *expires_at)?;
        let expires_at = *expires_at;
        *count -= 1;
        self.borrowed.retain(|(_, count)| *count > 0);
        Some(expires_at)
    }

    pub(crate) fn drain_expired(&mut self) -> u32 {
        std::mem::take(&mut self.expired)
    }
}
