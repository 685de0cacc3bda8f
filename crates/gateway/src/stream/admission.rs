//! Refuses new streams that no engine can serve in time, before anything is placed or sent.
//!
//! Load pattern: more streams than the engines can serve, for some seconds.

use super::StreamForwarder;
use crate::platform_api::WireProtocol;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{
    decide_admission, AdmissionDecision, AdmissionInput, EngineChoice, PromptSize,
};

impl<P: WireProtocol> StreamForwarder<P> {
    /// Reports whether nothing of the stream was sent to an engine, neither for this request
    /// nor for an earlier one that its caller resumes.
    pub(super) fn is_unsent(&self) -> bool {
        self.sends == 0 && self.request.head.resume_after.is_none()
    }

    /// Returns when the caller should return if the stream can't be served in time at the best
    /// of its candidates; none if it is sent there.
    pub(super) fn refused_for(
        &self,
        choice: &EngineChoice,
        size: &PromptSize,
    ) -> Option<ClockTime> {
        let request = &self.request;
        let table = self.state.config.table();
        let is_least_urgent = table.is_none_or(|table| {
            let ranks = table.urgency();
            ranks.is_least_urgent(&request.service, &request.route)
        });
        let input = AdmissionInput {
            expected_first_event: choice.expected,
            own_prefill: self.traffic.prefill.duration(size.prompt_tokens),
            has_room: choice.has_room,
            time_left: request.deadline.remaining(),
            usual_duration: self.traffic.pace.remaining(0),
            is_least_urgent,
            random: rand::random(),
        };
        let AdmissionDecision::Refuse { retry_after } = decide_admission(&input) else {
            return None;
        };
        log::info!(
            request = request.id(),
            service:% = request.service,
            urgency = request.urgency,
            expected_first_event_ms = input.expected_first_event.as_millis(),
            usual_duration_ms = input.usual_duration.as_millis(),
            remaining_ms = input.time_left.as_millis(),
            retry_after_ms = retry_after.as_millis();
            "no engine can serve the stream in time"
        );
        Some(retry_after)
    }
}
