//! The inputs and outputs of [`crate::GenerationMachine`].

use faststr::FastStr;
use skylarkshed_core::{AttemptNumber, ClockTime, GenerationId, UpstreamName, VersionName};

/// The answer that a generation has to produce.
#[derive(Clone, Debug)]
pub struct GenerationPlan {
    /// The generation's id.
    pub generation: GenerationId,
    /// The number of the first attempt.
    pub first_attempt: AttemptNumber,
    /// The number of prompt tokens, which determines the cost of starting over.
    pub prompt_tokens: u32,
    /// Tokens that the caller already has and has sent back.
    pub received: Vec<FastStr>,
    /// The index of the first token that the caller does not have.
    ///
    /// If `received` ends before it, only the held attempt can provide the tokens in
    /// between.
    pub deliver_from: u32,
    /// The attempt that an engine may still retain.
    pub held: Option<HeldAttempt>,
    /// The version that has to produce the tokens, if the generation has begun.
    pub version: Option<VersionName>,
}

/// An attempt that an engine may still retain for a caller that reconnects.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldAttempt {
    /// The engine.
    pub upstream: UpstreamName,
    /// The attempt.
    pub attempt: AttemptNumber,
}

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptPhase {
    /// No token has arrived yet.
    Prefill,
    /// Tokens are arriving.
    Decoding,
}

/// Why an attempt ended before the generation was complete.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptFailure {
    /// The engine cannot be reached.
    Unreachable,
    /// The engine refused the request.
    Refused,
    /// The connection broke.
    Broken,
    /// A message could not be parsed.
    Malformed,
    /// The engine no longer retains the generation.
    HeldGone,
}

/// Why no upstream could take an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoUpstreamReason {
    /// No upstream can take work now, but one may become available soon.
    NoneFree,
    /// The version was withdrawn after the generation had begun.
    VersionWithdrawn,
    /// The service or the version no longer exists.
    VersionGone,
}

/// An event that a generation has to handle.
#[derive(Clone, Debug)]
pub enum GenerationInput {
    /// An attempt was sent to an upstream.
    Sent {
        /// The attempt.
        attempt: AttemptNumber,
        /// The upstream.
        upstream: UpstreamName,
        /// The version that the upstream runs.
        version: VersionName,
    },
    /// No upstream could take the attempt.
    NoUpstream {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        reason: NoUpstreamReason,
    },
    /// A token arrived.
    Token {
        /// The attempt whose stream sent it.
        attempt: AttemptNumber,
        /// The generation that the message names.
        generation: GenerationId,
        /// The attempt that the message names.
        message_attempt: AttemptNumber,
        /// The token's index.
        index: u32,
        /// The token.
        token: FastStr,
    },
    /// An engine reported that the generation is complete.
    End {
        /// The attempt whose stream sent it.
        attempt: AttemptNumber,
        /// The generation that the message names.
        generation: GenerationId,
        /// The attempt that the message names.
        message_attempt: AttemptNumber,
        /// The number of tokens.
        total: u32,
    },
    /// An attempt ended before the generation was complete.
    Failed {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        failure: AttemptFailure,
    },
    /// Time has passed.
    Tick,
}

/// Why an attempt is started.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StartReason {
    /// It is the first.
    First,
    /// The caller reconnected and an engine may still retain the generation.
    Held,
    /// The previous attempt failed.
    Failed(AttemptFailure),
    /// The previous attempt was silent for too long.
    Silent,
    /// The previous attempt sent a wrong token or left tokens out.
    WrongToken,
    /// The previous attempt ended too early.
    ShortAnswer,
    /// It races a silent attempt: a hedged attempt.
    Race,
    /// No upstream could take the previous attempt.
    NoneFree,
}

/// Why a generation could not be completed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailReason {
    /// No engine of the version became available in time.
    NoEngine,
    /// Too many attempts failed.
    TooManyAttempts,
    /// The version was withdrawn.
    VersionWithdrawn,
    /// The service or the version no longer exists.
    VersionGone,
    /// The engine no longer retains the generation, and the caller sent no tokens back.
    HeldGone,
}

/// An irregularity that is counted in the metrics.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum NoticeReason {
    /// A message belongs to another generation or attempt.
    CrossedMessage,
    /// A message arrived from an attempt that has ended or lost its race.
    StaleMessage,
    /// A token arrived twice.
    RepeatedToken,
    /// A token differs from the accepted one.
    ConflictingToken,
    /// Tokens were left out.
    MissingToken,
    /// A race was not started because the budget did not allow it.
    RaceDenied,
    /// An attempt was silent for too long.
    SilentAttempt,
}

/// The next step of a generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GenerationAction {
    /// Start an attempt that continues after the accepted tokens.
    Start {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        reason: StartReason,
        /// The attempt to take over, if an engine may still retain it.
        held: Option<HeldAttempt>,
        /// Upstreams that must not be used.
        avoid: Vec<UpstreamName>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Send a token to the caller.
    Deliver {
        /// The attempt that sent it.
        attempt: AttemptNumber,
        /// The token's index.
        index: u32,
        /// The token.
        token: FastStr,
    },
    /// End the generation: it is complete.
    Finish {
        /// The number of tokens.
        total: u32,
    },
    /// End the generation: it cannot be completed.
    Fail {
        /// Why.
        reason: FailReason,
    },
    /// Count an irregularity.
    Notice {
        /// The irregularity.
        reason: NoticeReason,
        /// The upstream that caused it.
        upstream: UpstreamName,
    },
}

/// The queries of a generation to the VM that it runs on.
pub trait GenerationEnvironment {
    /// Returns the silence after which the upstream is suspected to have failed.
    ///
    /// `prefill_tokens` is the number of tokens that the upstream may have to prefill
    /// before it sends its first one.
    fn silence_limit(
        &self,
        upstream: &UpstreamName,
        phase: AttemptPhase,
        prefill_tokens: u32,
    ) -> ClockTime;

    /// Spends the cost of a race, in tokens, and reports whether the budget allows it.
    fn try_race(&self, cost: u32) -> bool;
}
