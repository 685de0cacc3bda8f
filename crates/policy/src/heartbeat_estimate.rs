//! Estimates when an upstream sent a heartbeat.
//!
//! Failure: a heartbeat that the network held up arrives after the upstream's entry was
//! removed, and looks like one of an upstream that has come back.

use skylarkshed_core::ClockTime;

/// The part of a time that the upstream's clock or its timers may be off, as a divisor.
const MAX_DRIFT_DIVISOR: u64 = 50;

/// The part of the time between two heartbeats that a heartbeat may take to arrive, as a
/// divisor.
const MAX_DELAY_DIVISOR: u64 = 4;

/// A heartbeat of one start of an upstream, by which the times of later ones are estimated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct HeartbeatEstimate {
    /// The number of heartbeats until then.
    count: u64,
    received_at: ClockTime,
}

impl HeartbeatEstimate {
    /// Creates an estimate from a heartbeat that arrives now.
    pub(crate) fn new(count: u64, now: ClockTime) -> Self {
        HeartbeatEstimate {
            count,
            received_at: now,
        }
    }

    /// Returns the estimate from the heartbeat of the two that took less time to arrive.
    pub(crate) fn earlier(self, other: HeartbeatEstimate, interval: ClockTime) -> Self {
        let (first, second) = match self.count <= other.count {
            true => (self, other),
            false => (other, self),
        };
        match second.received_at < first.sent_at(second.count, interval) {
            true => second,
            false => first,
        }
    }

    /// Returns whether the heartbeat with this number was sent after `time`, beyond doubt.
    pub(crate) fn is_sent_after(self, count: u64, time: ClockTime, interval: ClockTime) -> bool {
        if count <= self.count {
            return false;
        }
        let sent_at = self.sent_at(count, interval);
        let drift_ms = sent_at.since(self.received_at).as_millis() / MAX_DRIFT_DIVISOR;
        let delay_ms = interval.as_millis() / MAX_DELAY_DIVISOR;
        let margin = ClockTime::from_millis(delay_ms + drift_ms);
        sent_at >= time + margin
    }

    fn sent_at(self, count: u64, interval: ClockTime) -> ClockTime {
        let intervals = count.saturating_sub(self.count);
        self.received_at + ClockTime::from_millis(interval.as_millis().saturating_mul(intervals))
    }
}
