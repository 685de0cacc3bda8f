//! What a stream does after it lost its upstream.
//!
//! Reading a long prompt again takes longer than a caller waits between two
//! events, so an answer that has begun goes on from a copy of its memory
//! wherever one stands.

use skylarkshed_core::ClockTime;

/// An engine reads so many prompt tokens in a millisecond; the slowest that
/// the deployments tell of.
const PREFILL_TOKENS_PER_MS: u64 = 8;
/// The time to a first event beyond the prefill: queueing and one step.
const FIRST_EVENT_SLACK: ClockTime = ClockTime::from_millis(1_200);
/// The time to a first event is this many times the bare prefill at most, for
/// the prompts that wait beside it.
const PREFILL_FACTOR: u64 = 2;
/// The least time for a prefill, in hundredths of the usual: the users' slower
/// engines take 1.3 times as long.
const LEAST_PREFILL_PERCENT: u64 = 130;
/// The time that another upstream needs beside the prefill.
const RESTART_SLACK: ClockTime = ClockTime::from_millis(300);

/// A silence between events that is acted on if a copy stands ready. While an
/// engine reads another prompt, the pause between events of eight tokens is 230
/// to 330 ms; going on from a copy takes 100 ms, and callers allow 700 ms.
const SILENCE_WITH_COPY: ClockTime = ClockTime::from_millis(450);
/// The same without a copy: going on means reading the prompt again, which
/// takes more than a second.
const SILENCE_WITHOUT_COPY: ClockTime = ClockTime::from_millis(1_500);
/// The time to the first event after a copy was taken over. An engine that reads
/// another prompt makes an event in a third of a second; giving the copy up
/// means reading the prompt again, which takes more than a second.
const RESUME_TIME: ClockTime = ClockTime::from_millis(1_200);

/// How a stream's upstream was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// No connection was made; nothing was sent.
    Unsent,
    /// The upstream says that it did not run the request.
    NotRun,
    /// Another upstream has the address: the one that had it has ended, as have
    /// probably others of its zone.
    InstanceReplaced,
    /// The answer broke off.
    Broken,
    /// Nothing came for too long.
    Silence,
    /// An event was missing or malformed.
    WrongEvent,
}

impl LossCause {
    /// Returns the cause as a label of logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            LossCause::Unsent => "unsent",
            LossCause::NotRun => "not_run",
            LossCause::InstanceReplaced => "replaced",
            LossCause::Broken => "broken",
            LossCause::Silence => "silence",
            LossCause::WrongEvent => "wrong_event",
        }
    }

    /// Tells whether the upstream can't have run the request.
    pub const fn is_not_run(self) -> bool {
        matches!(
            self,
            LossCause::Unsent | LossCause::NotRun | LossCause::InstanceReplaced
        )
    }
}

/// How a stream goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecoveryDecision {
    /// At the engine that holds a copy.
    ResumeFromCopy,
    /// At another upstream, which reads the prompt again.
    RestartPrefill,
    /// Not at all.
    Stop,
}

/// What a stream has spent and what it has.
#[derive(Clone, Copy, Debug)]
pub struct StreamState {
    /// Upstreams that the request was sent to.
    pub sends: u32,
    /// The most upstreams that it may be sent to.
    pub max_sends: u32,
    /// Whether another upstream may go on.
    pub is_resumable: bool,
    /// Whether an upstream may have run it.
    pub may_have_run: bool,
    /// Whether a copy of its memory stands at an upstream that works.
    pub has_copy: bool,
}

/// Decides how a stream goes on after a loss.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{decide_recovery, RecoveryDecision, StreamState};
///
/// let state = StreamState {
///     sends: 1,
///     max_sends: 5,
///     is_resumable: true,
///     may_have_run: true,
///     has_copy: true,
/// };
/// assert_eq!(decide_recovery(&state), RecoveryDecision::ResumeFromCopy);
/// let state = StreamState { is_resumable: false, ..state };
/// assert_eq!(decide_recovery(&state), RecoveryDecision::Stop);
/// ```
pub fn decide_recovery(state: &StreamState) -> RecoveryDecision {
    if state.sends >= state.max_sends || (state.may_have_run && !state.is_resumable) {
        return RecoveryDecision::Stop;
    }
    match state.has_copy {
        true => RecoveryDecision::ResumeFromCopy,
        false => RecoveryDecision::RestartPrefill,
    }
}

/// How far a stream's attempt has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamPhase {
    /// The prompt is read.
    Prefill {
        /// Tokens to read.
        tokens: u64,
        /// The time left in which the first event is in time.
        objective_left: ClockTime,
    },
    /// What a copy lacks is read.
    Resuming,
    /// Events come.
    Decoding,
}

/// Returns the silence after which a stream's upstream counts as lost.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{silence_limit, StreamPhase};
///
/// assert!(silence_limit(StreamPhase::Decoding, true) < silence_limit(StreamPhase::Decoding, false));
/// ```
pub fn silence_limit(phase: StreamPhase, has_copy: bool) -> ClockTime {
    match phase {
        StreamPhase::Prefill {
            tokens,
            objective_left,
        } => prefill_limit(tokens, objective_left),
        StreamPhase::Resuming => RESUME_TIME,
        StreamPhase::Decoding if has_copy => SILENCE_WITH_COPY,
        StreamPhase::Decoding => SILENCE_WITHOUT_COPY,
    }
}

/// Returns how long a first event is waited for: as long as another upstream
/// can still bring it in time, but not less than a slow prefill takes.
fn prefill_limit(tokens: u64, objective_left: ClockTime) -> ClockTime {
    let prefill_ms = tokens / PREFILL_TOKENS_PER_MS;
    let prefill = ClockTime::from_millis(prefill_ms);
    let longest = ClockTime::from_millis(prefill_ms * PREFILL_FACTOR) + FIRST_EVENT_SLACK;
    let least = ClockTime::from_millis(prefill_ms * LEAST_PREFILL_PERCENT / 100);
    let restart = prefill + RESTART_SLACK;
    match objective_left > restart + least {
        true => longest.min(objective_left.since(restart)),
        // Too late for another to be in time: starting over only costs more.
        false => longest,
    }
}
