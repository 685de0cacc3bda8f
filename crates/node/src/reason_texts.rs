//! The reasons of attempts and notices, as they are counted.

use skylarkshed_policy::{AttemptFailure, NoticeReason, StartReason};

/// Returns the reason under which a further attempt is counted.
pub(crate) fn start_reason(reason: StartReason) -> Option<&'static str> {
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

/// Returns the reason under which something seen in messages is counted.
pub(crate) fn notice_text(reason: NoticeReason) -> &'static str {
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
