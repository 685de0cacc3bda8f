//! What goes into and comes out of [`crate::GenerationMachine`].

use faststr::FastStr;
use skylarkshed_core::{AttemptNumber, ClockTime, GenerationId, UpstreamName, VersionName};

/// What one answer is to be.
#[derive(Clone, Debug)]
pub struct GenerationPlan {
    /// The generation.
    pub generation: GenerationId,
    /// The number of the first attempt.
    pub first_attempt: AttemptNumber,
    /// The tokens of the prompt, for the cost of starting over.
    pub prompt_tokens: u32,
    /// Tokens that the caller holds and has sent back.
    pub received: Vec<FastStr>,
    /// The first token that the caller does not hold.
    pub deliver_from: u32,
    /// The attempt that an engine may still hold.
    pub held: Option<HeldAttempt>,
    /// The version that the answer has to come from, if it has begun.
    pub version: Option<VersionName>,
}

/// An attempt that an engine may still hold for a caller that comes back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldAttempt {
    /// The engine.
    pub upstream: UpstreamName,
    /// The attempt.
    pub attempt: AttemptNumber,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptPhase {
    /// No token has come.
    Prefill,
    /// Tokens come.
    Decoding,
}

/// Why an attempt ended without the whole answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptFailure {
    /// The engine can't be reached.
    Unreachable,
    /// The engine refused.
    Refused,
    /// The connection broke.
    Broken,
    /// A message can't be read.
    Malformed,
    /// The engine holds the generation no more.
    HeldGone,
}

/// Why no upstream could take an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoUpstreamReason {
    /// None can take work now; one may soon.
    NoneFree,
    /// The version was taken back and the answer has begun.
    VersionWithdrawn,
    /// The service or the version is gone.
    VersionGone,
}

/// What happened.
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
    /// No upstream can take the attempt.
    NoUpstream {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        reason: NoUpstreamReason,
    },
    /// A token came.
    Token {
        /// The attempt whose stream brought it.
        attempt: AttemptNumber,
        /// The generation that the message names.
        generation: GenerationId,
        /// The attempt that the message names.
        message_attempt: AttemptNumber,
        /// The token's place.
        index: u32,
        /// The token.
        token: FastStr,
    },
    /// An engine said that the answer is whole.
    End {
        /// The attempt whose stream brought it.
        attempt: AttemptNumber,
        /// The generation that the message names.
        generation: GenerationId,
        /// The attempt that the message names.
        message_attempt: AttemptNumber,
        /// The number of tokens.
        total: u32,
    },
    /// An attempt ended without the whole answer.
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
    /// The caller came back and an engine may hold the generation.
    Held,
    /// The attempt before it failed.
    Failed(AttemptFailure),
    /// The attempt before it was silent for too long.
    Silent,
    /// The attempt before it sent a wrong or missing token.
    WrongToken,
    /// The attempt before it ended too early.
    ShortAnswer,
    /// It races a silent attempt.
    Race,
    /// No upstream could take the attempt before.
    NoneFree,
}

/// Why an answer could not be finished.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailReason {
    /// No engine of the version could go on in time.
    NoEngine,
    /// Too many attempts failed.
    TooManyAttempts,
    /// The version was taken back.
    VersionWithdrawn,
    /// The service or the version is gone.
    VersionGone,
    /// The engine holds the generation no more, and the caller sent nothing back.
    HeldGone,
}

/// Something to count.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum NoticeReason {
    /// A message named another generation or attempt.
    CrossedMessage,
    /// A message came from an attempt that has ended or lost its race.
    StaleMessage,
    /// A token came twice.
    RepeatedToken,
    /// A token differed from the one that stands.
    ConflictingToken,
    /// Tokens were missing.
    MissingToken,
    /// A race was not started, for want of budget.
    RaceDenied,
    /// An attempt was silent for too long.
    SilentAttempt,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GenerationAction {
    /// Start an attempt after the tokens that stand.
    Start {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        reason: StartReason,
        /// The attempt to take over, if an engine may hold it.
        held: Option<HeldAttempt>,
        /// Upstreams that are not to be used.
        avoid: Vec<UpstreamName>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Hand a token to the caller.
    Deliver {
        /// The attempt that brought it.
        attempt: AttemptNumber,
        /// The token's place.
        index: u32,
        /// The token.
        token: FastStr,
    },
    /// The answer is whole.
    Finish {
        /// The number of tokens.
        total: u32,
    },
    /// The answer can't be finished.
    Fail {
        /// Why.
        reason: FailReason,
    },
    /// Count something.
    Notice {
        /// What.
        reason: NoticeReason,
        /// The upstream it is about.
        upstream: UpstreamName,
    },
}

/// What a generation asks of the VM it runs on.
pub trait GenerationEnvironment {
    /// Returns the silence after which the upstream is to be suspected.
    ///
    /// `prefill_tokens` is the number of tokens that the upstream may have to
    /// compute before its first one.
    fn silence_limit(
        &self,
        upstream: &UpstreamName,
        phase: AttemptPhase,
        prefill_tokens: u32,
    ) -> ClockTime;

    /// Takes the cost of a race, in tokens, from the budget.
    fn try_race(&self, cost: u32) -> bool;
}
