//! Opens a stream at an upstream, and at others until one answers.

use super::attempt::{watch_silence, FailedSend, StreamAttempt};
use super::StreamRelay;
use crate::answer::{AnswerBody, CallerAnswer};
use crate::counters;
use crate::exchange::{send, LiveAnswer};
use crate::platform_api::{KvCacheCopy, SendOptions, WireProtocol};
use crate::upstreams::UpstreamState;
use http::Response;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{
    decide_recovery, silence_limit, LossCause, RecoveryDecision, StreamPhase, StreamState,
};
use std::sync::Arc;

/// Upstreams that may refuse a connection before the caller is told so.
const MOST_UNSENT: u32 = 6;

/// What became of an attempt to open a stream.
pub(super) enum OpenedStream {
    Running(Box<StreamAttempt>),
    /// An answer of the upstream that is no stream of events.
    Plain(CallerAnswer),
    Stopped,
}

impl<D: WireProtocol> StreamRelay<D> {
    /// Finds an upstream that answers; `copy` is where the answer's memory stands.
    pub(super) async fn open(&mut self, mut copy: Option<KvCacheCopy>) -> OpenedStream {
        loop {
            let holder = copy.take().and_then(|copy| self.usable_holder(copy));
            let step = decide_recovery(&StreamState {
                sends: self.sends,
                max_sends: self.request.route.max_attempts,
                is_resumable: self.is_resumable,
                may_have_run: self.evidence.may_have_run(),
                has_copy: holder.is_some(),
            });
            let has_tries = self.unsent < MOST_UNSENT && !self.request.deadline.is_over();
            if step == RecoveryDecision::Stop || !has_tries || !self.may_send() {
                return OpenedStream::Stopped;
            }
            let (upstream, from) = match holder {
                Some((upstream, copy)) => (upstream, Some(copy)),
                None => match self.choose_upstream().await {
                    Some(upstream) => (upstream, None),
                    None => return OpenedStream::Stopped,
                },
            };
            let ordered = self.order_copy(&upstream);
            match self.start(upstream.clone(), from.as_ref(), ordered).await {
                Ok(opened) => return opened,
                Err(FailedSend(cause)) => self.note_loss(&upstream, cause),
            }
        }
    }

    /// Takes a send beyond the first from the budget.
    fn may_send(&self) -> bool {
        let now = self.state.clock.now();
        match (self.sends, self.is_resumable) {
            (0, _) => true,
            (_, true) => self.traffic.budget.try_resume(now),
            (_, false) => self.traffic.budget.try_retry(now),
        }
    }

    /// Gives back what [`Self::may_send`] took.
    fn refund_send(&self) {
        if self.sends > 0 {
            self.traffic.budget.refund(self.state.clock.now());
        }
    }

    /// Sends the request to an upstream and waits for the head of its answer.
    async fn start(
        &mut self,
        upstream: Arc<UpstreamState>,
        from: Option<&KvCacheCopy>,
        copy: Option<KvCacheCopy>,
    ) -> Result<OpenedStream, FailedSend> {
        self.tried.push(upstream.name().clone());
        let phase = match from {
            Some(_) => StreamPhase::Resuming,
            None => StreamPhase::Prefill {
                tokens: self.request.head.prompt_tokens,
                target_time_left: self.objective_left(),
            },
        };
        let order = SendOptions {
            resume_after: self.ledger.last(),
            copy_from: from,
            copy_to: copy.as_ref().map(|copy| copy.address),
            ..self.request.order(&upstream)
        };
        log::info!(
            request = self.request.id(),
            upstream:% = upstream.name(),
            zone:% = upstream.record.zone,
            sends = self.sends,
            resume_after = self.ledger.last(),
            is_from_copy = from.is_some(),
            holder = copy.as_ref().map(|copy| copy.holder.to_string()),
            after_ms = self.request.deadline.passed().as_millis();
            "stream sent"
        );
        let sending = send::<D>(&self.state, &self.request, &upstream, &order);
        let limit = silence_limit(phase, true).min(self.request.deadline.left());
        let clock = self.state.clock;
        let address = upstream.record.address;
        let answer = watch_silence(sending, clock.now(), limit, address, clock).await;
        let answer = answer.ok_or(FailedSend(LossCause::Silence))??;
        if answer.head.is_misdirected {
            return Err(FailedSend(LossCause::InstanceReplaced));
        }
        if answer.head.is_not_run {
            return Err(FailedSend(LossCause::NotRun));
        }
        if !answer.is_success() {
            return self.judge_failure(answer).await;
        }
        self.sends += 1;
        if from.is_none() {
            self.note_version(&upstream, Some(self.request.deadline.passed()));
        }
        let now = clock.now();
        let attempt = StreamAttempt::new(upstream, copy, answer, phase, now);
        Ok(OpenedStream::Running(Box::new(attempt)))
    }

    /// Notes how a send ended as evidence of its upstream's version.
    fn note_version(&self, upstream: &UpstreamState, time: Option<ClockTime>) {
        self.state.rollouts.record(
            &self.request.service,
            &upstream.record.version,
            &self.request.route.name,
            self.request.customer.as_ref(),
            time,
        );
    }

    /// Returns the time in which a first event is in time.
    fn objective_left(&self) -> ClockTime {
        match self.ledger.accepted() {
            0 => {
                let target_latency = self.request.route.target_latency;
                target_latency.since(self.request.deadline.passed())
            }
            _ => ClockTime::ZERO,
        }
    }

    /// Passes on a failure that the upstream means, and retries any other.
    async fn judge_failure(&mut self, mut answer: LiveAnswer) -> Result<OpenedStream, FailedSend> {
        let status = answer.parts.status;
        let is_meant = answer.head.is_signed && status.is_client_error();
        if !is_meant || self.ledger.accepted() > 0 {
            return Err(FailedSend(LossCause::Broken));
        }
        let body = answer.collect().await?;
        let answer = Response::from_parts(answer.parts, AnswerBody::whole(body));
        Ok(OpenedStream::Plain(answer))
    }

    fn note_loss(&mut self, upstream: &UpstreamState, cause: LossCause) {
        match cause {
            LossCause::Unsent => {
                self.unsent += 1;
                self.refund_send();
            }
            LossCause::NotRun | LossCause::InstanceReplaced => self.sends += 1,
            _ => {
                self.sends += 1;
                self.evidence.note_may_have_run();
            }
        }
        self.note_lost_upstream(upstream, cause);
    }

    pub(super) fn note_lost_upstream(&mut self, upstream: &UpstreamState, cause: LossCause) {
        if cause != LossCause::NotRun {
            upstream.suspect(self.state.clock.now());
            if !self.lost_zones.contains(&upstream.record.zone) {
                self.lost_zones.push(upstream.record.zone.clone());
            }
        }
        if !cause.is_not_run() {
            self.note_version(upstream, None);
        }
        counters::count_retry(cause.label());
        log::info!(
            request = self.request.id(),
            upstream:% = upstream.name(),
            zone:% = upstream.record.zone,
            cause = cause.label(),
            events = self.ledger.accepted(),
            after_ms = self.request.deadline.passed().as_millis();
            "stream lost its upstream"
        );
    }
}
