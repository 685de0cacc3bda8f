//! The deadline of a request.

use skylarkshed_core::{ClockTime, MonotonicClock, RouteConfig};
use std::future::Future;

/// The latest time for the final response to a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestDeadline {
    clock: MonotonicClock,
    received: ClockTime,
    expires_at: ClockTime,
}

impl RequestDeadline {
    /// Uses the caller's remaining time or the route's timeout, whichever is shorter.
    pub(crate) fn new(
        clock: MonotonicClock,
        received: ClockTime,
        route: &RouteConfig,
        time_left: Option<ClockTime>,
    ) -> Self {
        let timeout = time_left.map_or(route.timeout, |remaining| remaining.min(route.timeout));
        RequestDeadline {
            clock,
            received,
            expires_at: received + timeout,
        }
    }

    /// Returns the deadline, or the one after this time if that is earlier.
    pub(crate) fn limit_to(self, remaining: ClockTime) -> Self {
        let expires_at = self.expires_at.min(self.clock.now() + remaining);
        RequestDeadline { expires_at, ..self }
    }

    pub(crate) fn remaining(&self) -> ClockTime {
        self.expires_at.since(self.clock.now())
    }

    /// Returns the time since the request was received.
    pub(crate) fn elapsed(&self) -> ClockTime {
        self.clock.now().since(self.received)
    }

    pub(crate) fn is_expired(&self) -> bool {
        self.remaining() == ClockTime::ZERO
    }

    /// Runs a future, at most for `limit` and until the deadline.
    pub(crate) async fn run_within<F: Future>(
        &self,
        limit: ClockTime,
        future: F,
    ) -> Option<F::Output> {
        let limit = limit.min(self.remaining());
        tokio::time::timeout(limit.to_duration(), future).await.ok()
    }
}
