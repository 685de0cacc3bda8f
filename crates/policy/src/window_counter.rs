//! Counts events within a sliding time window.

use skylarkshed_core::ClockTime;
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of buckets in a window; events are counted by whole buckets.
const BUCKETS: u64 = 10;
/// One more bucket is kept because a window rarely starts at a bucket boundary.
const KEPT_BUCKETS: u64 = BUCKETS + 1;
const COUNT_BITS: u32 = 24;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// Events by the bucket of time in which they happened.
///
/// Each cell holds the number of its bucket beside the count, so that it need
/// not be cleared before it is reused.
#[derive(Debug)]
pub(crate) struct WindowCounter {
    bucket_duration: ClockTime,
    cells: [AtomicU64; KEPT_BUCKETS as usize],
}

impl WindowCounter {
    pub(crate) fn new(window: ClockTime) -> Self {
        WindowCounter {
            bucket_duration: ClockTime::from_millis((window.as_millis() / BUCKETS).max(1)),
            cells: Default::default(),
        }
    }

    /// Counts an event.
    pub(crate) fn add(&self, now: ClockTime) {
        self.change(now, |count| (count + 1).min(COUNT_MASK));
    }

    /// Removes an event that was just counted and reports whether there was one.
    pub(crate) fn remove(&self, now: ClockTime) -> bool {
        self.change(now, |count| count.saturating_sub(1)) > 0
    }

    /// Returns a lower bound of the events in the last window: those in the last
    /// [`BUCKETS`] buckets, which span at most one window.
    pub(crate) fn count_lower_bound(&self, now: ClockTime) -> u64 {
        self.sum(now, BUCKETS)
    }

    /// Returns an upper bound of the events in the last window: those in all kept
    /// buckets, which span at least one window.
    pub(crate) fn count_upper_bound(&self, now: ClockTime) -> u64 {
        self.sum(now, KEPT_BUCKETS)
    }

    /// Returns the time until the next bucket begins, when an old one no longer counts.
    pub(crate) fn until_next_bucket(&self, now: ClockTime) -> ClockTime {
        let duration_ms = self.bucket_duration.as_millis();
        ClockTime::from_millis(duration_ms - now.as_millis() % duration_ms)
    }

    /// Changes the count of the current bucket and returns the previous count.
    fn change(&self, now: ClockTime, change: impl Fn(u64) -> u64) -> u64 {
        let bucket_number = self.bucket_number(now);
        let cell = &self.cells[(bucket_number % KEPT_BUCKETS) as usize];
        let count_of = |value: u64| match value >> COUNT_BITS == bucket_number {
            true => value & COUNT_MASK,
            false => 0,
        };
        let update = |value: u64| Some((bucket_number << COUNT_BITS) | change(count_of(value)));
        let value = cell.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
        count_of(value.unwrap_or_else(|value| value))
    }

    fn sum(&self, now: ClockTime, buckets: u64) -> u64 {
        let bucket_number = self.bucket_number(now);
        let values = self.cells.iter().map(|cell| cell.load(Ordering::Relaxed));
        let recent = values.filter(|value| {
            let bucket = value >> COUNT_BITS;
            bucket <= bucket_number && bucket_number - bucket < buckets
        });
        recent.map(|value| value & COUNT_MASK).sum()
    }

    /// Returns the number of the current bucket. Buckets are numbered from 1; 0 marks
    /// an unused cell.
    fn bucket_number(&self, now: ClockTime) -> u64 {
        now.as_millis() / self.bucket_duration.as_millis() + 1
    }
}
