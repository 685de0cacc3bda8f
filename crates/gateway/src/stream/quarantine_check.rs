//! Keeps a stream whose prompt has a part that ends engines away from them.

use super::attempt::StreamAttempt;
use super::StreamForwarder;
use crate::caller_response::CallerResponse;
use crate::platform_api::WireProtocol;
use crate::process_check::has_ended;
use crate::quarantine::Admission;
use crate::refusal::{fail, refuse, FailureReason, NotRunProof, NotRunReason};
use crate::upstreams::UpstreamState;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{AttemptProgress, CrashReport, LossCause};

impl<P: WireProtocol> StreamForwarder<P> {
    /// Reports whether the request may be sent; it may become the probe of a blocked part.
    pub(super) fn is_admitted(&mut self) -> bool {
        let parts = &self.request.head.shared_parts;
        if parts.is_empty() || self.probe_ticket.is_some() {
            return true;
        }
        let service = &self.request.service;
        match self.state.quarantine.admit(&self.state, service, parts) {
            Admission::Allowed => true,
            Admission::Probe(ticket) => {
                self.probe_ticket = Some(ticket);
                true
            }
            Admission::Blocked { retry_after } => {
                self.blocked_for = Some(retry_after);
                false
            }
        }
    }

    /// Waits until the request is blocked; a probe never is.
    pub(super) async fn wait_until_blocked(&self) {
        let parts = &self.request.head.shared_parts;
        if parts.is_empty() || self.probe_ticket.is_some() {
            return std::future::pending().await;
        }
        let quarantine = &self.state.quarantine;
        quarantine.blocked(&self.request.service, parts).await;
    }

    /// Records that the parts of the prompt are sound, once the response has gone on for a
    /// while.
    pub(super) fn record_sound_parts(&mut self, attempt: &mut StreamAttempt, has_ended: bool) {
        let progress = attempt.progress(self.state.clock.now());
        let is_sound = progress == AttemptProgress::Flowing || (has_ended && attempt.has_events());
        if !is_sound || std::mem::replace(&mut attempt.is_sound, true) {
            return;
        }
        let head = &self.request.head;
        let quarantine = &self.state.quarantine;
        quarantine.record_sound(&self.state, &self.request.service, &head.shared_parts);
        self.probe_ticket = None;
    }

    /// Finds out whether an upstream has ended under the request before its response went
    /// on for a while, and reports that to the quarantine, before the next one is tried.
    pub(super) async fn examine_end(
        &mut self,
        upstream: &UpstreamState,
        cause: LossCause,
        progress: AttemptProgress,
    ) {
        let service = &self.request.service;
        let parts = &self.request.head.shared_parts;
        let quarantine = &self.state.quarantine;
        let is_sound = quarantine.is_sound(service, parts);
        let is_of_interest = match progress {
            AttemptProgress::Waiting => !is_sound,
            AttemptProgress::Begun => true,
            AttemptProgress::Flowing => false,
        };
        if cause != LossCause::Broken || !is_of_interest {
            return;
        }
        let has_ended = has_ended(upstream.record.address).await;
        log::info!(
            request = self.request.id(),
            upstream:% = upstream.name(),
            progress = progress.label(),
            has_ended;
            "upstream of a broken response checked"
        );
        if !has_ended {
            return;
        }
        if progress == AttemptProgress::Begun {
            self.ended_engines += 1;
        }
        if is_sound {
            return;
        }
        let report = CrashReport {
            service: service.clone(),
            engine: upstream.name().clone(),
            parts: parts.clone(),
            progress,
        };
        quarantine.report_crash(&self.state, &report);
        if let Some(ticket) = self.probe_ticket.take() {
            ticket.fail();
        }
    }

    /// Returns the response for a request that is blocked.
    pub(super) fn refuse_blocked(
        &self,
        proof: Option<NotRunProof>,
        retry_after: ClockTime,
    ) -> CallerResponse {
        match proof {
            Some(proof) => refuse(proof, NotRunReason::PromptBlocked, retry_after),
            None => fail(FailureReason::PromptBlocked),
        }
    }
}
