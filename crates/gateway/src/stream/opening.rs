//! Opens a stream at an upstream, and tries others until one responds.

use super::attempt::{AttemptFailure, StreamAttempt};
use super::ledger_selection::{AttemptWork, EngineSelection, SelectionOutcome};
use super::prefill_watch::{watch_prefill, PrefillTimeout};
use super::replacement::MIN_RETRY_PAUSE;
use super::StreamForwarder;
use crate::caller_response::{CallerResponse, ResponseBody};
use crate::counters;
use crate::exchange::{send, UpstreamResponse};
use crate::platform_api::{KvCacheCopy, SendOptions, WireProtocol};
use crate::rollouts::{AttemptInfo, AttemptProbe, AttemptRule, CanaryTicket};
use crate::upstreams::UpstreamState;
use http::Response;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{
    decide_recovery, silence_limit, AttemptProgress, FailureKind, LossCause, RecoveryDecision,
    StreamPhase, StreamState,
};
use std::pin::pin;
use std::sync::Arc;

/// How many upstreams may refuse a connection before the request is refused.
const MAX_UNSENT: u32 = 6;

/// The outcome of opening a stream.
pub(super) enum OpenedStream {
    /// An upstream responds with a stream.
    Running(Box<StreamAttempt>),
    /// A response of the upstream that is not an event stream.
    Plain(CallerResponse),
    /// No further attempt is allowed or possible.
    Stopped,
}

impl<P: WireProtocol> StreamForwarder<P> {
    /// Finds an upstream that responds; `copy` is the KV cache copy to resume from.
    pub(super) async fn open(&mut self, mut copy: Option<KvCacheCopy>) -> OpenedStream {
        loop {
            if !self.is_admitted() {
                return OpenedStream::Stopped;
            }
            let attempt_rule = self.next_rule();
            self.request.version_filter = attempt_rule.filter;
            let holder = copy.take().and_then(|copy| self.usable_holder(copy));
            let state = StreamState {
                has_copy: holder.is_some(),
                ..self.recovery_state()
            };
            let is_stopped = decide_recovery(&state) == RecoveryDecision::Stop;
            if is_stopped || self.request.deadline.is_expired() {
                return OpenedStream::Stopped;
            }
            if self.unsent >= MAX_UNSENT {
                copy = holder.map(|(_, copy)| copy);
                if !self.pause_before_retry().await {
                    return OpenedStream::Stopped;
                }
                self.unsent = 0;
                continue;
            }
            if !self.may_send() {
                copy = holder.map(|(_, copy)| copy);
                if !self.wait_for_retry(copy.is_some()).await {
                    return OpenedStream::Stopped;
                }
                continue;
            }
            // The version under test has few engines; those of others may have room.
            let may_refuse = attempt_rule.ticket.is_none() && self.is_unsent();
            let (selection, copy_from) = match holder {
                Some((upstream, copy)) => (EngineSelection::from(upstream), Some(copy)),
                None => match self.choose_upstream(may_refuse).await {
                    SelectionOutcome::Selected(selection) => (*selection, None),
                    SelectionOutcome::EnginesFull { retry_after } => {
                        self.refund_send();
                        self.full_for = Some(retry_after);
                        return OpenedStream::Stopped;
                    }
                    SelectionOutcome::NoUpstream => {
                        self.refund_send();
                        if !self.pause_before_retry().await {
                            return OpenedStream::Stopped;
                        }
                        // An upstream that refused may have room by now.
                        self.tried.clear();
                        continue;
                    }
                },
            };
            let EngineSelection { upstream, mut work } = selection;
            let new_copy = self.plan_continuous_copy(&upstream, &mut work).await;
            // The choice may have taken a while.
            if !self.is_admitted() {
                self.refund_send();
                return OpenedStream::Stopped;
            }
            if !self.is_retry_usable() {
                self.refund_send();
                copy = copy_from;
                continue;
            }
            self.is_first_send = self.sends == 0 && self.ledger.last().is_none();
            let probe = self.observe(&upstream, copy_from.is_none(), attempt_rule.ticket);
            let copies = (copy_from.as_ref(), new_copy);
            match self.start(upstream.clone(), copies, work, probe).await {
                Ok(opened) => {
                    self.retry_pause = MIN_RETRY_PAUSE;
                    return opened;
                }
                Err(AttemptFailure(cause)) => {
                    self.record_failed_opening(&upstream, cause);
                    let progress = AttemptProgress::Waiting;
                    self.examine_end(&upstream, cause, progress).await;
                    // An upstream that is full has room again later. One that was to hold a
                    // copy lacks the copy only.
                    if cause == LossCause::NotRun && copy_from.is_none() {
                        self.pause_before_retry().await;
                    }
                }
            }
        }
    }

    /// Returns the state for the decision how the stream continues, without a copy.
    pub(super) fn recovery_state(&self) -> StreamState {
        StreamState {
            sends: self.sends,
            max_sends: self.request.route.max_attempts,
            ended_engines: self.ended_engines,
            is_resumable: self.is_resumable,
            may_have_run: self.run_tracker.may_have_run(),
            has_copy: false,
        }
    }

    /// Sends the request to an upstream and waits for the head of its response.
    ///
    /// The copies are the one to resume from, and the one that the upstream continuously
    /// updates.
    async fn start(
        &mut self,
        upstream: Arc<UpstreamState>,
        (copy_from, new_copy): (Option<&KvCacheCopy>, Option<KvCacheCopy>),
        work: AttemptWork,
        mut probe: AttemptProbe,
    ) -> Result<OpenedStream, AttemptFailure> {
        self.tried.push(upstream.name().clone());
        let phase = match copy_from {
            Some(_) => StreamPhase::Resuming,
            None => StreamPhase::Prefill {
                usual_time: self
                    .traffic
                    .prefill
                    .duration(self.request.head.prompt_tokens),
                target_time_left: self.target_time_left(),
            },
        };
        let options = SendOptions {
            resume_after: self.ledger.last(),
            copy_from,
            copy_to: new_copy.as_ref().map(|copy| copy.address),
            ..self.request.send_options(&upstream)
        };
        log::info!(
            request = self.request.id(),
            upstream:% = upstream.name(),
            zone:% = upstream.record.zone,
            sends = self.sends,
            resume_after = self.ledger.last(),
            is_from_copy = copy_from.is_some(),
            urgency = self.request.urgency,
            holder = new_copy.as_ref().map(|copy| copy.holder.to_string()),
            expected_first_event_ms = work.expected_first_event.map(ClockTime::as_millis),
            after_ms = self.request.deadline.elapsed().as_millis();
            "stream request sent"
        );
        let has_attempts_left = self.sends + 1 < self.request.route.max_attempts;
        let response = tokio::select! {
            // A block that arrived while the engine was chosen goes first.
            biased;
            () = self.wait_until_blocked() => {
                return Err(AttemptFailure(LossCause::PromptBlocked));
            }
            response = self.send_and_wait(&upstream, phase, &options) => response,
            () = probe.overdue(), if self.is_resumable && has_attempts_left => {
                probe.record_overdue();
                return Err(AttemptFailure(LossCause::Overdue));
            }
        };
        let response = match response {
            Ok(response) => {
                probe.record_reached();
                response
            }
            Err(failure) => {
                if failure.0 == LossCause::Unsent {
                    probe.record_unsent();
                }
                return Err(failure);
            }
        };
        if response.head.is_misdirected {
            return Err(AttemptFailure(LossCause::InstanceReplaced));
        }
        if response.head.is_not_run {
            return Err(AttemptFailure(LossCause::NotRun));
        }
        if !response.is_success() {
            return self.classify_failure(response).await;
        }
        self.sends += 1;
        let now = self.state.clock.now();
        let attempt = StreamAttempt::new(upstream, new_copy, response, phase, probe, now);
        let attempt = attempt.with_work(work);
        Ok(OpenedStream::Running(Box::new(attempt)))
    }

    /// Sends the request; fails if no head arrives and another upstream may respond.
    async fn send_and_wait(
        &self,
        upstream: &UpstreamState,
        phase: StreamPhase,
        options: &SendOptions<'_>,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        let clock = self.state.clock;
        let mut sending = pin!(send::<P>(&self.state, &self.request, upstream, options));
        let sent_at = clock.now();
        loop {
            let limit = silence_limit(phase, true).min(self.request.deadline.remaining());
            let mut timeout = PrefillTimeout::start(clock.now(), limit);
            let watch = self.prefill_watch();
            let response = watch_prefill::<P, _>(&mut sending, watch, upstream, &mut timeout);
            let response = tokio::select! {
                response = response => response,
                () = self.wait_for_loan() => Err(LossCause::Silence),
            };
            let cause = match response {
                Ok(response) => return response.map_err(AttemptFailure::from),
                Err(cause) => cause,
            };
            if !self.waits_for_response(upstream, cause, clock.now().since(sent_at)) {
                return Err(AttemptFailure(cause));
            }
        }
    }

    /// Returns which versions the next attempt may be sent to.
    fn next_rule(&self) -> AttemptRule {
        let request = &self.request;
        let is_first = self.tried.is_empty() && self.ledger.last().is_none();
        let rollouts = &self.state.rollouts;
        let upstreams = &self.state.upstreams;
        rollouts.attempt_rule(&request.service, upstreams, &request.route.name, is_first)
    }

    /// Starts to observe an attempt for the comparison of versions.
    fn observe(
        &self,
        upstream: &UpstreamState,
        is_timed: bool,
        ticket: Option<CanaryTicket>,
    ) -> AttemptProbe {
        let request = &self.request;
        let info = AttemptInfo {
            version: &upstream.record.version,
            route: &request.route.name,
            customer: request.customer.as_ref(),
            is_first: self.is_first_send,
            is_timed,
        };
        let rollouts = &self.state.rollouts;
        rollouts.start_attempt(&request.service, &info, ticket)
    }

    /// Records that an attempt failed at its upstream's version.
    fn record_version_failure(&self, upstream: &UpstreamState, kind: FailureKind) {
        self.state.rollouts.record_failure(
            &self.request.service,
            &upstream.record.version,
            &self.request.route.name,
            self.request.customer.as_ref(),
            kind,
        );
    }

    /// Returns the time left to send the first event within the target latency.
    pub(super) fn target_time_left(&self) -> ClockTime {
        match self.ledger.accepted() {
            0 => {
                let target_latency = self.request.route.target_latency;
                target_latency.since(self.request.deadline.elapsed())
            }
            _ => ClockTime::ZERO,
        }
    }

    /// Forwards a signed client error of the upstream; any other failure is retried.
    async fn classify_failure(
        &mut self,
        mut response: UpstreamResponse,
    ) -> Result<OpenedStream, AttemptFailure> {
        let status = response.parts.status;
        let is_signed_client_error = response.head.is_signed && status.is_client_error();
        if !is_signed_client_error || self.ledger.accepted() > 0 {
            return Err(AttemptFailure(LossCause::ErrorResponse));
        }
        let body = response.collect().await?;
        let response = Response::from_parts(response.parts, ResponseBody::complete(body));
        Ok(OpenedStream::Plain(response))
    }

    /// Records an attempt that failed before its response began.
    fn record_failed_opening(&mut self, upstream: &UpstreamState, cause: LossCause) {
        match cause {
            LossCause::Unsent => {
                self.unsent += 1;
                self.refund_send();
            }
            LossCause::NotRun | LossCause::InstanceReplaced => self.sends += 1,
            _ => {
                self.sends += 1;
                self.run_tracker.mark_may_have_run();
            }
        }
        self.record_upstream_failure(upstream, cause, AttemptProgress::Waiting);
    }

    /// Records and logs that the stream lost its upstream, which had responded this far.
    pub(super) fn record_upstream_failure(
        &mut self,
        upstream: &UpstreamState,
        cause: LossCause,
        progress: AttemptProgress,
    ) {
        if cause.is_upstream_fault() {
            upstream.mark_suspect(self.state.clock.now());
            if !self.failed_zones.contains(&upstream.record.zone) {
                self.failed_zones.push(upstream.record.zone.clone());
            }
        }
        if let Some(kind) = cause.failure_kind().filter(|_| self.is_first_send) {
            self.record_version_failure(upstream, kind);
        }
        counters::count_retry(cause.label());
        log::info!(
            request = self.request.id(),
            upstream:% = upstream.name(),
            zone:% = upstream.record.zone,
            cause = cause.label(),
            progress = progress.label(),
            shared_parts = self.request.head.shared_parts.join(","),
            events = self.ledger.accepted(),
            after_ms = self.request.deadline.elapsed().as_millis();
            "stream lost its upstream"
        );
    }
}
