//! Metric labels for the reasons of attempts and notices.

use skylarkshed_policy::{AttemptFailure, NoticeReason, StartReason};

/// Returns the label under which an attempt beyond the first is counted.
pub(crate) fn start_reason_label(reason: StartReason) -> Option<&'static str> {
    match reason {
        StartReason::First => None,
        StartReason::Held => Some("held_by_engine"),
        StartReason::Failed(AttemptFailure::Unreachable) => Some("engine_unreachable"),
        StartReason::Failed(AttemptFailure::Refused) => Some("engine_refused"),
        StartReason::Failed(AttemptFailure::Broken) => Some("stream_broken"),
        StartReason::Failed(AttemptFailure::Malformed) => Some("message_malformed"),
        StartReason::Failed(AttemptFailure::HeldGone) => Some("held_gone"),
        StartReason::Silent => Some("engine_silent"),
        StartReason::WrongToken => Some("wrong_token"),
        StartReason::ShortAnswer => Some("short_answer"),
        StartReason::Race => Some("race"),
        StartReason::NoneFree => Some("none_free"),
    }
}

/// Returns the label under which a notice is counted.
pub(crate) fn notice_label(reason: NoticeReason) -> &'static str {
    match reason {
        NoticeReason::CrossedMessage => "crossed_message",
        NoticeReason::StaleMessage => "stale_message",
        NoticeReason::RepeatedToken => "repeated_token",
        NoticeReason::ConflictingToken => "conflicting_token",
        NoticeReason::MissingToken => "missing_token",
        NoticeReason::RaceDenied => "race_denied",
        NoticeReason::SilentAttempt => "silent_attempt",
    }
}
