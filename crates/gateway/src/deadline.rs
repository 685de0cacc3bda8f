//! How long a request may take.

use skylarkshed_core::{ClockTime, MonotonicClock, RouteConfig};
use std::future::Future;

/// The time at which a request gets its final answer at the latest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestDeadline {
    clock: MonotonicClock,
    received: ClockTime,
    until: ClockTime,
}

impl RequestDeadline {
    /// The caller's time or the route's, whichever is shorter.
    pub(crate) fn new(
        clock: MonotonicClock,
        received: ClockTime,
        route: &RouteConfig,
        time_left: Option<ClockTime>,
    ) -> Self {
        let span = time_left.map_or(route.timeout, |left| left.min(route.timeout));
        RequestDeadline {
            clock,
            received,
            until: received + span,
        }
    }

    pub(crate) fn left(&self) -> ClockTime {
        self.until.since(self.clock.now())
    }

    /// Returns the time since the request was received.
    pub(crate) fn passed(&self) -> ClockTime {
        self.clock.now().since(self.received)
    }

    pub(crate) fn is_over(&self) -> bool {
        self.left() == ClockTime::ZERO
    }

    /// Waits for `work`, at most for `limit` and until the deadline.
    pub(crate) async fn bound<F: Future>(&self, limit: ClockTime, work: F) -> Option<F::Output> {
        let limit = limit.min(self.left());
        tokio::time::timeout(limit.to_duration(), work).await.ok()
    }
}
