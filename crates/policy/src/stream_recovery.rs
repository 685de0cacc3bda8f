//! Decides how a stream continues after its upstream has failed.
//!
//! Prefilling a long prompt again takes longer than a caller waits between two
//! events, so a stream that has begun resumes from a copy of its KV cache if
//! there is one.

use crate::rollout_samples::FailureKind;
use skylarkshed_core::ClockTime;

/// The time to the first event in addition to the prefill: queueing and one step.
const FIRST_EVENT_OVERHEAD: ClockTime = ClockTime::from_millis(1_200);
/// The maximum time to the first event is this multiple of the bare prefill, as
/// other prompts may be queued at the engine, plus [`FIRST_EVENT_OVERHEAD`].
const MAX_PREFILL_FACTOR: u64 = 2;
/// The minimum time allowed for a prefill, as a percentage of its usual time.
const MIN_PREFILL_PERCENT: u64 = 130;
/// The time that another upstream needs in addition to the prefill.
const RESTART_OVERHEAD: ClockTime = ClockTime::from_millis(300);

/// The silence limit between events if a copy is available. While an engine
/// prefills another prompt, events of eight tokens are 230 to 330 ms apart;
/// resuming from a copy takes 100 ms, and callers allow 700 ms.
const SILENCE_LIMIT_WITH_COPY: ClockTime = ClockTime::from_millis(450);
/// The silence limit between events without a copy: continuing means prefilling
/// the prompt again, which takes more than a second.
const SILENCE_LIMIT_WITHOUT_COPY: ClockTime = ClockTime::from_millis(1_500);
/// A sound upstream is silent for no longer between events.
const MAX_SOUND_SILENCE: ClockTime = ClockTime::from_millis(3_000);
/// The time allowed for the first event after resuming from a copy. An engine
/// that prefills another prompt sends an event in a third of a second; giving up
/// the copy means prefilling the prompt again, which takes more than a second.
const RESUME_TIMEOUT: ClockTime = ClockTime::from_millis(1_200);

/// A request under which this many engines ended as they began to respond is not sent to
/// another one: it is likely to end that as well, with all streams there.
const MAX_ENDED_ENGINES: u32 = 2;

/// How a stream's upstream failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// No connection was made; nothing was sent.
    Unsent,
    /// The upstream reported that it did not run the request.
    NotRun,
    /// Another upstream now has the address: the previous one has ended, and probably
    /// others of its zone as well.
    InstanceReplaced,
    /// The upstream responded with an error.
    ErrorResponse,
    /// The response broke off.
    Broken,
    /// The upstream sent nothing for too long.
    Silence,
    /// The upstream sent nothing, and its host accepts no connection.
    Unreachable,
    /// An event was missing or malformed.
    WrongEvent,
    /// The upstream's version is under test, and its first event is overdue.
    Overdue,
    /// The prompt has a part that ends engines; the attempt was given up.
    PromptBlocked,
}

impl LossCause {
    /// Returns the label of the cause in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            LossCause::Unsent => "unsent",
            LossCause::NotRun => "not_run",
            LossCause::InstanceReplaced => "replaced",
            LossCause::ErrorResponse => "error_response",
            LossCause::Broken => "broken",
            LossCause::Silence => "silence",
            LossCause::Unreachable => "unreachable",
            LossCause::WrongEvent => "wrong_event",
            LossCause::Overdue => "overdue",
            LossCause::PromptBlocked => "prompt_blocked",
        }
    }

    /// Reports whether the upstream may still go on.
    pub const fn may_go_on(self) -> bool {
        matches!(
            self,
            LossCause::Silence | LossCause::Unreachable | LossCause::Overdue
        )
    }

    /// Returns how the upstream's version failed, if it did. An overdue attempt counts as
    /// slow.
    pub const fn failure_kind(self) -> Option<FailureKind> {
        match self {
            LossCause::Unsent
            | LossCause::NotRun
            | LossCause::InstanceReplaced
            | LossCause::Overdue
            | LossCause::PromptBlocked => None,
            LossCause::ErrorResponse | LossCause::WrongEvent => Some(FailureKind::ErrorResponse),
            LossCause::Broken | LossCause::Silence | LossCause::Unreachable => {
                Some(FailureKind::NoResponse)
            }
        }
    }

    /// Reports whether the loss tells something of the upstream: one that refused may be
    /// full, and one whose attempt was given up is not to blame.
    pub const fn is_upstream_fault(self) -> bool {
        !matches!(self, LossCause::NotRun | LossCause::PromptBlocked)
    }

    /// Reports whether the upstream cannot have run the request.
    pub const fn is_not_run(self) -> bool {
        matches!(
            self,
            LossCause::Unsent | LossCause::NotRun | LossCause::InstanceReplaced
        )
    }
}

/// How a stream continues.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecoveryDecision {
    /// Resume at the engine that holds a KV cache copy.
    ResumeFromCopy,
    /// Continue at another upstream, which prefills the prompt again.
    RestartPrefill,
    /// Do not continue.
    Stop,
}

/// The state of a stream after a failure.
#[derive(Clone, Copy, Debug)]
pub struct StreamState {
    /// The number of upstreams that the request was sent to.
    pub sends: u32,
    /// The maximum number of upstreams that it may be sent to.
    pub max_sends: u32,
    /// The number of engines that ended as they began to respond.
    pub ended_engines: u32,
    /// Whether another upstream can continue the stream.
    pub is_resumable: bool,
    /// Whether an upstream may have run the request.
    pub may_have_run: bool,
    /// Whether a working upstream holds a copy of its KV cache.
    pub has_copy: bool,
}

/// Decides how a stream continues after a failure.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{decide_recovery, RecoveryDecision, StreamState};
///
/// let state = StreamState {
///     sends: 1,
///     max_sends: 5,
///     ended_engines: 0,
///     is_resumable: true,
///     may_have_run: true,
///     has_copy: true,
/// };
/// assert_eq!(decide_recovery(&state), RecoveryDecision::ResumeFromCopy);
/// let state = StreamState { is_resumable: false, ..state };
/// assert_eq!(decide_recovery(&state), RecoveryDecision::Stop);
/// ```
pub fn decide_recovery(state: &StreamState) -> RecoveryDecision {
    let is_harmful = state.ended_engines >= MAX_ENDED_ENGINES;
    let is_spent = state.sends >= state.max_sends;
    if is_harmful || is_spent || (state.may_have_run && !state.is_resumable) {
        return RecoveryDecision::Stop;
    }
    match state.has_copy {
        true => RecoveryDecision::ResumeFromCopy,
        false => RecoveryDecision::RestartPrefill,
    }
}

/// What is known about replacing a silent upstream.
#[derive(Clone, Copy, Debug)]
pub struct SilentUpstream {
    /// Whether it has certainly stopped.
    pub is_gone: bool,
    /// Whether its host accepts no connection.
    pub is_unreachable: bool,
    /// Whether an upstream could take over that has not refused.
    pub has_substitute: bool,
    /// The time since its last event, or since the request was sent.
    pub silent_for: ClockTime,
}

/// What to do about a silent upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceDecision {
    /// Keep the connection: the upstream may go on.
    WaitOn,
    /// Close the connection and continue elsewhere.
    Replace,
}

/// Decides whether a stream leaves an upstream that has been silent for too long.
///
/// Load pattern: a sound upstream falls silent for a second or two while no other one
/// can take over, because the route allows no further attempt, the stream can't be
/// resumed, or all others are unreachable or busy. Leaving the upstream would then end
/// the stream. The last attempt may be refused, so it is kept for an upstream that is
/// down or has been silent for long.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{decide_silence, SilenceDecision, SilentUpstream, StreamState};
///
/// let state = StreamState {
///     sends: 1,
///     max_sends: 5,
///     ended_engines: 0,
///     is_resumable: true,
///     may_have_run: true,
///     has_copy: false,
/// };
/// let silent = SilentUpstream {
///     is_gone: false,
///     is_unreachable: false,
///     has_substitute: true,
///     silent_for: ClockTime::from_millis(1_500),
/// };
/// assert_eq!(decide_silence(&state, silent), SilenceDecision::Replace);
/// let state = StreamState { max_sends: 2, ..state };
/// assert_eq!(decide_silence(&state, silent), SilenceDecision::WaitOn);
/// ```
pub fn decide_silence(state: &StreamState, silent: SilentUpstream) -> SilenceDecision {
    if silent.is_gone {
        return SilenceDecision::Replace;
    }
    let is_allowed = decide_recovery(state) != RecoveryDecision::Stop;
    let has_spare_send = state.sends + 1 < state.max_sends;
    let is_down = silent.is_unreachable || silent.silent_for >= MAX_SOUND_SILENCE;
    match is_allowed && silent.has_substitute && (has_spare_send || is_down) {
        true => SilenceDecision::Replace,
        false => SilenceDecision::WaitOn,
    }
}

/// The progress of a stream's attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamPhase {
    /// The prompt is being prefilled.
    Prefill {
        /// How long the prompt usually takes.
        usual_time: ClockTime,
        /// The time left in which the first event still meets its target latency.
        target_time_left: ClockTime,
    },
    /// The tokens that a copy lacks are being prefilled.
    Resuming,
    /// Events arrive.
    Decoding,
}

/// Returns the silence after which a stream's upstream is considered failed.
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
            usual_time,
            target_time_left,
        } => prefill_limit(usual_time, target_time_left),
        StreamPhase::Resuming => RESUME_TIMEOUT,
        StreamPhase::Decoding if has_copy => SILENCE_LIMIT_WITH_COPY,
        StreamPhase::Decoding => SILENCE_LIMIT_WITHOUT_COPY,
    }
}

/// Returns how long to wait for a first event before the engine is asked for its
/// progress: as long as another upstream can still send the event in time, but no less
/// than a slow prefill takes.
fn prefill_limit(prefill: ClockTime, target_time_left: ClockTime) -> ClockTime {
    let prefill_ms = prefill.as_millis();
    let max = ClockTime::from_millis(prefill_ms * MAX_PREFILL_FACTOR) + FIRST_EVENT_OVERHEAD;
    let min = ClockTime::from_millis(prefill_ms * MIN_PREFILL_PERCENT / 100);
    let restart = prefill + RESTART_OVERHEAD;
    match target_time_left > restart + min {
        true => max.min(target_time_left.since(restart)),
        // No other upstream can meet the target; starting over would only cost more.
        false => max,
    }
}
