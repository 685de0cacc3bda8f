//! Decides whether a new stream is sent to an engine or refused at once.
//!
//! Load pattern: more streams than the engines can serve, for some seconds. A stream that
//! can't be served in time takes room and prefill from those that can, and its caller learns
//! it only at the deadline. A caller that is refused at once can return after the burst.

use crate::deferral::return_delay;
use skylarkshed_core::ClockTime;

/// A stream that is more urgent than others overtakes them in the queues of engines. It waits
/// for this many times its own prefill at most: for the prompt that is being prefilled, and
/// for room.
const MAX_URGENT_PREFILLS: u64 = 4;

/// A new stream of which nothing was sent, and what the candidates' ledgers tell.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInput {
    /// The expected time until the first event at the best candidate.
    pub expected_first_event: ClockTime,
    /// The part of it that the prefill of the stream's own prompt takes.
    pub own_prefill: ClockTime,
    /// Whether a candidate has room; ledgers don't tell the free slots.
    pub has_room: bool,
    /// The time until the caller's deadline.
    pub time_left: ClockTime,
    /// The usual time from the first event of an answer to its last.
    pub usual_duration: ClockTime,
    /// Whether no stream of the service is less urgent; engines begin with the more urgent.
    pub is_least_urgent: bool,
    /// A random number that spreads the returns of callers.
    pub random: u64,
}

/// Whether a new stream is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It is sent to an engine.
    Send,
    /// It is refused; its caller should return after this time.
    Refuse {
        /// The time until the best candidate has nothing else due, with a random part.
        retry_after: ClockTime,
    },
}

/// Decides whether a new stream is sent.
///
/// It is refused if its answer would end after the deadline at all candidates, but never while
/// a candidate has room.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{decide_admission, AdmissionDecision, AdmissionInput};
///
/// let in_time = AdmissionInput {
///     expected_first_event: ClockTime::from_millis(6_000),
///     own_prefill: ClockTime::from_millis(1_000),
///     has_room: false,
///     time_left: ClockTime::from_millis(20_000),
///     usual_duration: ClockTime::from_millis(5_000),
///     is_least_urgent: true,
///     random: 7_919,
/// };
/// assert_eq!(decide_admission(&in_time), AdmissionDecision::Send);
/// let too_late = AdmissionInput { time_left: ClockTime::from_millis(10_000), ..in_time };
/// let AdmissionDecision::Refuse { retry_after } = decide_admission(&too_late) else {
///     panic!("it can't be served in time");
/// };
/// assert!((5_000..=6_250).contains(&retry_after.as_millis()));
/// ```
pub fn decide_admission(input: &AdmissionInput) -> AdmissionDecision {
    let longest = ClockTime::from_millis(
        input
            .own_prefill
            .as_millis()
            .saturating_mul(MAX_URGENT_PREFILLS),
    );
    let first_event = match input.is_least_urgent {
        true => input.expected_first_event,
        false => input.expected_first_event.min(longest),
    };
    let is_too_late = first_event + input.usual_duration > input.time_left;
    match !input.has_room && is_too_late {
        true => {
            let earliest = input.expected_first_event.since(input.own_prefill);
            let retry_after = return_delay(earliest, input.time_left, input.random);
            AdmissionDecision::Refuse { retry_after }
        }
        false => AdmissionDecision::Send,
    }
}
