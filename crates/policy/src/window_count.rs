//! Counts events within a sliding time.

use skylarkshed_core::ClockTime;
use std::sync::atomic::{AtomicU64, Ordering};

/// The parts of a window; events count by whole parts.
const PARTS: u64 = 10;
/// One part more is kept, as the first of a window is seldom whole.
const KEPT_PARTS: u64 = PARTS + 1;
const COUNT_BITS: u32 = 24;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// Events by the part of time in which they happened.
///
/// A part holds its number, so that it need not be cleared when its place is
/// used again.
#[derive(Debug)]
pub(crate) struct WindowCount {
    part: ClockTime,
    parts: [AtomicU64; KEPT_PARTS as usize],
}

impl WindowCount {
    pub(crate) fn new(window: ClockTime) -> Self {
        WindowCount {
            part: ClockTime::from_millis((window.as_millis() / PARTS).max(1)),
            parts: Default::default(),
        }
    }

    /// Counts an event.
    pub(crate) fn add(&self, now: ClockTime) {
        self.change(now, |count| (count + 1).min(COUNT_MASK));
    }

    /// Takes back an event that was counted a moment ago; tells whether one was.
    pub(crate) fn take_back(&self, now: ClockTime) -> bool {
        self.change(now, |count| count.saturating_sub(1)) > 0
    }

    /// Returns the events of at most a window.
    pub(crate) fn within(&self, now: ClockTime) -> u64 {
        self.sum(now, PARTS)
    }

    /// Returns the events of at least a window.
    pub(crate) fn at_least_within(&self, now: ClockTime) -> u64 {
        self.sum(now, KEPT_PARTS)
    }

    /// Changes the count of the current part; returns it as it was.
    fn change(&self, now: ClockTime, change: impl Fn(u64) -> u64) -> u64 {
        let number = self.number(now);
        let place = &self.parts[(number % KEPT_PARTS) as usize];
        let count_of = |held: u64| match held >> COUNT_BITS == number {
            true => held & COUNT_MASK,
            false => 0,
        };
        let renew = |held: u64| Some((number << COUNT_BITS) | change(count_of(held)));
        let held = place.fetch_update(Ordering::Relaxed, Ordering::Relaxed, renew);
        count_of(held.unwrap_or_else(|held| held))
    }

    fn sum(&self, now: ClockTime, parts: u64) -> u64 {
        let number = self.number(now);
        let held = self.parts.iter().map(|part| part.load(Ordering::Relaxed));
        let recent = held.filter(|held| {
            let part = held >> COUNT_BITS;
            part <= number && number - part < parts
        });
        recent.map(|held| held & COUNT_MASK).sum()
    }

    /// Parts are numbered from 1; 0 stands for a place not used yet.
    fn number(&self, now: ClockTime) -> u64 {
        now.as_millis() / self.part.as_millis() + 1
    }
}
