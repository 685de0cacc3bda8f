//! The messages of the engines' HTTP service.

use serde::{Deserialize, Serialize};
use skylarkshed_core::{AttemptNumber, GenerationId};

/// The header that names a call; an application echoes it in its answer.
pub const CALL_ID_HEADER: &str = "x-call-id";
/// The header that carries a call's idempotency key.
pub const CALL_KEY_HEADER: &str = "x-call-key";

/// Starts an attempt of a generation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The generation.
    pub generation: GenerationId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The version the engine has to run.
    pub version: String,
    /// The adapter, or an empty text.
    pub adapter: String,
    /// The prompt.
    pub prompt: String,
    /// The tokens that stand already; the engine goes on after them.
    pub emitted: Vec<String>,
    /// The most tokens of the whole answer.
    pub max_tokens: u32,
    /// The priority; a higher one goes first.
    pub priority: u32,
}

/// Asks an engine for a generation that it still holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// The generation.
    pub generation: GenerationId,
    /// The attempt that ran there.
    pub held_attempt: AttemptNumber,
    /// The attempt that is to go on.
    pub attempt: AttemptNumber,
    /// The version the engine has to run.
    pub version: String,
    /// The first token wanted.
    pub from_index: u32,
}

/// Cancels an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The generation.
    pub generation: GenerationId,
    /// The attempt.
    pub attempt: AttemptNumber,
}

/// One message of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamMessage {
    /// The generation.
    pub generation: GenerationId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The token's place in the answer, from 0; at the end, the number of tokens.
    pub index: u32,
    /// The token; none at the end.
    pub token: Option<String>,
    /// Whether the engine is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// An engine's report of its load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Generations in the batch.
    pub running: u32,
    /// Generations that wait.
    pub waiting: u32,
    /// Whether the engine is about to leave.
    pub leaving: bool,
    /// The version it runs.
    pub version: String,
}

/// Asks for changes of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsRequest {
    /// Only events after this number.
    pub after: u64,
}

/// A change of an engine's prefix cache; events come late, and some never.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number; a gap means that events are missing.
    pub sequence: u64,
    /// The block's hash, over it and all blocks before it.
    pub block: String,
    /// Whether the block is cached now, or no more.
    pub cached: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number of the order's sender.
    pub fencing: u64,
    /// The version to load.
    pub version: String,
    /// The adapter to load, or an empty text.
    pub adapter: String,
    /// The role to take.
    pub role: String,
}

/// What an engine has been ordered to run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// The highest fencing number seen.
    pub fencing: u64,
    /// The version.
    pub version: String,
    /// The adapter.
    pub adapter: String,
    /// The role.
    pub role: String,
}
