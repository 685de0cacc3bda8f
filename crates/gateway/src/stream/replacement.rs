//! Decides when a running stream leaves its upstream, and continues it at another one.

use super::attempt::{accepts_connections, StreamAttempt};
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

/// The first pause before a begun stream looks for an upstream again, if none could take it.
pub(super) const MIN_RETRY_PAUSE: ClockTime = ClockTime::from_millis(200);
/// The longest pause. The few attempts of a route are spread over some seconds, in which
/// engines that are full have room again.
const MAX_RETRY_PAUSE: ClockTime = ClockTime::from_millis(1_600);

impl<P: WireProtocol> StreamForwarder<P> {
    /// Continues the stream at another upstream.
    pub(super) async fn replace(
        &mut self,
        mut attempt: StreamAttempt,
        cause: LossCause,
        parts: &mpsc::Sender<BodyPart>,
    ) -> Option<StreamAttempt> {
        let copy = attempt.copy.clone();
        // The copy takes room until the stream has continued.
        let _copy_work = attempt.work.copy.take();
        let upstream = attempt.upstream.clone();
        let progress = attempt.progress(self.state.clock.now());
        // Closing the connection stops the old upstream before the next one starts.
        drop(attempt);
        self.run_tracker.mark_may_have_run();
        self.record_upstream_failure(&upstream, cause, progress);
        self.examine_end(&upstream, cause, progress).await;
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
    pub(super) fn waits_for(&self, attempt: &StreamAttempt, cause: LossCause) -> bool {
        let copy = attempt.copy.clone();
        let holder = copy.and_then(|copy| self.usable_holder(copy));
        let state = StreamState {
            may_have_run: true,
            has_copy: holder.is_some(),
            ..self.recovery_state()
        };
        let upstream = &attempt.upstream;
        let has_substitute =
            holder.is_some() || self.has_substitute(upstream, attempt.was_waited_for());
        let silent = SilentUpstream {
            is_gone: upstream.is_retired(),
            is_unreachable: cause == LossCause::Unreachable,
            has_substitute,
            silent_for: self.state.clock.now().since(attempt.last_event_at),
        };
        self.waits_for_upstream(upstream, &state, silent)
    }

    /// Reports whether the holder of the copy that a silent upstream would be left for accepts
    /// no connection; the copy is dropped then, and another one is made.
    ///
    /// A silent upstream is often only slow. Leaving it for a copy that is gone costs another
    /// prefill.
    pub(super) async fn has_lost_copy(&self, attempt: &mut StreamAttempt) -> bool {
        let copy = attempt.copy.clone();
        let Some((holder, _)) = copy.and_then(|copy| self.usable_holder(copy)) else {
            return false;
        };
        if accepts_connections(holder.record.address).await {
            return false;
        }
        holder.mark_suspect(self.state.clock.now());
        attempt.copy = None;
        log::info!(
            request = self.request.id(),
            upstream:% = attempt.upstream.name(),
            holder:% = holder.name(),
            events = self.ledger.accepted();
            "holder of the KV cache copy is gone"
        );
        true
    }

    /// Like [`Self::waits_for`], for an upstream whose response has not begun.
    pub(super) fn waits_for_response(
        &self,
        upstream: &UpstreamState,
        cause: LossCause,
        silent_for: ClockTime,
    ) -> bool {
        let state = StreamState {
            // The attempt that is waited for is counted when it has ended.
            sends: self.sends + 1,
            may_have_run: true,
            ..self.recovery_state()
        };
        let silent = SilentUpstream {
            is_gone: upstream.is_retired(),
            is_unreachable: cause == LossCause::Unreachable,
            has_substitute: self.has_substitute(upstream, false),
            silent_for,
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
        if is_replaced && (silent.is_gone || self.reserve_send(state.sends)) {
            return false;
        }
        log::info!(
            request = self.request.id(),
            upstream:% = upstream.name(),
            has_substitute = silent.has_substitute,
            is_unreachable = silent.is_unreachable,
            silent_ms = silent.silent_for.as_millis(),
            sends = state.sends,
            events = self.ledger.accepted(),
            after_ms = self.request.deadline.elapsed().as_millis();
            "silent upstream is waited for"
        );
        counters::count_extended_silence();
        true
    }

    /// Reports whether another upstream could take over. One that was tried before or
    /// failed recently counts only if the silent one was waited for already.
    fn has_substitute(&self, silent: &UpstreamState, was_waited_for: bool) -> bool {
        let state = &self.state;
        let service = &self.request.service;
        let filter = state.rollouts.version_filter(service, &state.upstreams);
        if was_waited_for {
            let avoid = [silent.name().clone()];
            let other = self.next_candidate(&avoid, &self.failed_zones, &filter);
            return other.is_some();
        }
        let now = self.state.clock.now();
        let other = self.next_candidate(&self.tried, &self.failed_zones, &filter);
        other.is_some_and(|other| other.health(now) == UpstreamHealth::Healthy)
    }

    /// Waits before a begun stream looks for an upstream again, longer each time; false if
    /// the stream has not begun, so that its caller is better told at once.
    pub(super) async fn pause_before_retry(&mut self) -> bool {
        if !self.is_begun || self.request.deadline.is_expired() {
            return false;
        }
        let pause = self.retry_pause.min(self.request.deadline.remaining());
        tokio::time::sleep(pause.to_duration()).await;
        let doubled = ClockTime::from_millis(self.retry_pause.as_millis() * 2);
        self.retry_pause = doubled.min(MAX_RETRY_PAUSE);
        true
    }
}
