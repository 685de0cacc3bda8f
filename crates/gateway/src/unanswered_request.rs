//! Logs requests whose connection ends before they have a response.

use crate::counters;
use faststr::FastStr;
use skylarkshed_core::{ClockTime, MonotonicClock};

/// A request that has no response yet. Dropping it logs that its connection ended
/// first: the caller left, or the connection timed out or was cut.
pub(crate) struct UnansweredRequest {
    clock: MonotonicClock,
    pub(crate) received: ClockTime,
    /// Empty until the head has been parsed.
    pub(crate) id: FastStr,
    is_answered: bool,
}

impl UnansweredRequest {
    pub(crate) fn new(clock: MonotonicClock, received: ClockTime) -> Self {
        UnansweredRequest {
            clock,
            received,
            id: FastStr::empty(),
            is_answered: false,
        }
    }

    /// Records that there is a response.
    pub(crate) fn finish(mut self) {
        self.is_answered = true;
    }
}

impl Drop for UnansweredRequest {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        log::info!(
            request = self.id.as_str(),
            ms = self.clock.now().since(self.received).as_millis();
            "request dropped without a response"
        );
        counters::count_unanswered_request();
    }
}
