//! Decides when a running stream leaves its upstream, and continues it at another one.

use super::attempt::StreamAttempt;
use super::opening::OpenedStream;
use super::StreamForwarder;
use crate::caller_response::BodyPart;
use crate::counters;
use crate::platform_api::WireProtocol;
use crate::upstreams::UpstreamState;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{
    decide_silence, LossCause, SilenceDecision, SilentUpstream, StreamState, UpstreamHealth,
};
use tokio::sync::mpsc;

/// The pause before a begun stream looks for an upstream again, if none could take it.
const SUBSTITUTE_CHECK_INTERVAL: ClockTime = ClockTime::from_millis(200);

impl<P: WireProtocol> StreamForwarder<P> {
    /// Continues the stream at another upstream.
    pub(super) async fn replace(
        &mut self,
        attempt: StreamAttempt,
        cause: LossCause,
        parts: &mpsc::Sender<BodyPart>,
    ) -> Option<StreamAttempt> {
        let copy = attempt.copy.clone();
        let upstream = attempt.upstream.clone();
        // Closing the connection stops the old upstream before the next one starts.
        drop(attempt);
        self.run_tracker.mark_may_have_run();
        self.record_upstream_failure(&upstream, cause);
        let opened = tokio::select! {
            opened = self.open(copy) => opened,
            () = parts.closed() => {
                self.log_end("caller_left");
                return None;
            }
        };
        match opened {
            OpenedStream::Running(next) => Some(*next),
            OpenedStream::Plain(_) | OpenedStream::Stopped => {
                self.log_end("broken_off");
                None
            }
        }
    }

    /// Reports whether the stream stays with a silent upstream, because no other one can
    /// continue it. Otherwise the next attempt is taken from the retry budget.
    pub(super) fn waits_for(&self, attempt: &StreamAttempt) -> bool {
        let holder = attempt
            .copy
            .clone()
            .and_then(|copy| self.usable_holder(copy));
        let state = StreamState {
            may_have_run: true,
            has_copy: holder.is_some(),
            ..self.recovery_state()
        };
        let silent = SilentUpstream {
            is_gone: attempt.upstream.is_retired(),
            has_substitute: holder.is_some() || self.has_substitute(attempt.was_waited_for()),
        };
        self.waits_for_upstream(&attempt.upstream, &state, silent)
    }

    /// Like [`Self::waits_for`], for an upstream whose response has not begun.
    pub(super) fn waits_for_response(
        &self,
        upstream: &UpstreamState,
        was_waited_for: bool,
    ) -> bool {
        let state = StreamState {
            // The attempt that is waited for is counted when it has ended.
            sends: self.sends + 1,
            may_have_run: true,
            ..self.recovery_state()
        };
        let silent = SilentUpstream {
            is_gone: upstream.is_retired(),
            has_substitute: self.has_substitute(was_waited_for),
        };
        !self.request.deadline.is_expired() && self.waits_for_upstream(upstream, &state, silent)
    }

    fn waits_for_upstream(
        &self,
        upstream: &UpstreamState,
        state: &StreamState,
        silent: SilentUpstream,
    ) -> bool {
        let is_replaced = decide_silence(state, silent) == SilenceDecision::Replace;
        if is_replaced && (silent.is_gone || self.reserve_send()) {
            return false;
        }
        log::info!(
            request = self.request.id(),
            upstream:% = upstream.name(),
            has_substitute = silent.has_substitute,
            sends = state.sends,
            events = self.ledger.accepted(),
            after_ms = self.request.deadline.elapsed().as_millis();
            "silent upstream is waited for"
        );
        counters::count_extended_silence();
        true
    }

    /// Reports whether an upstream is left that was not tried yet. One that failed
    /// recently counts only if `accepts_suspect` is set.
    fn has_substitute(&self, accepts_suspect: bool) -> bool {
        let now = self.state.clock.now();
        let other = self.next_candidate(&self.tried, &self.failed_zones);
        other.is_some_and(|other| accepts_suspect || other.health(now) == UpstreamHealth::Healthy)
    }

    /// Waits before a begun stream looks for an upstream again; false if the stream has
    /// not begun, so that its caller is better told at once.
    pub(super) async fn pause_before_retry(&self) -> bool {
        if !self.is_begun || self.request.deadline.is_expired() {
            return false;
        }
        let pause = SUBSTITUTE_CHECK_INTERVAL.min(self.request.deadline.remaining());
        tokio::time::sleep(pause.to_duration()).await;
        true
    }
}
