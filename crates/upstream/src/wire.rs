//! The messages of the engines' HTTP service and the headers of application calls.

use serde::{Deserialize, Serialize};
use skylarkshed_core::{AttemptNumber, GenerationId};

/// The header with a call's identifier; an application echoes it in its response.
pub const CALL_ID_HEADER: &str = "x-call-id";
/// The header that carries a call's idempotency key.
pub const CALL_KEY_HEADER: &str = "x-call-key";

/// A request to start an attempt of a generation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The generation.
    pub generation: GenerationId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The version that the engine must run.
    pub version: String,
    /// The adapter; empty for none.
    pub adapter: String,
    /// The prompt.
    pub prompt: String,
    /// The tokens generated so far; the engine continues after them.
    pub emitted: Vec<String>,
    /// The maximum number of tokens of the complete answer.
    pub max_tokens: u32,
    /// The priority; a higher value is scheduled first.
    pub priority: u32,
}

/// A request to resume a generation that the engine still retains.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// The generation.
    pub generation: GenerationId,
    /// The attempt that the engine retains.
    pub held_attempt: AttemptNumber,
    /// The attempt that resumes it.
    pub attempt: AttemptNumber,
    /// The version that the engine must run.
    pub version: String,
    /// The index of the first token to send.
    pub from_index: u32,
}

/// A request to cancel an attempt.
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
    /// The token's index in the answer, from 0; in the last message the number of
    /// tokens.
    pub index: u32,
    /// The token; `None` in the last message.
    pub token: Option<String>,
    /// Whether the engine is about to shut down.
    #[serde(default)]
    pub leaving: bool,
}

/// An engine's report of its load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Generations in the batch.
    pub running: u32,
    /// Generations that wait for a slot in the batch.
    pub waiting: u32,
    /// Whether the engine is about to shut down.
    pub leaving: bool,
    /// The version that the engine runs.
    pub version: String,
}

/// A request for changes of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsRequest {
    /// Returns only events after this sequence number.
    pub after: u64,
}

/// A change of an engine's prefix cache. Events arrive late, and some are never
/// reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's sequence number; a gap means that events are missing.
    pub sequence: u64,
    /// The hash of this block and all blocks before it.
    pub block: String,
    /// True if the block was added to the cache, false if it was evicted.
    pub cached: bool,
}

/// A command that tells an engine what to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommand {
    /// The fencing number of the sender.
    pub fencing: u64,
    /// The version to load.
    pub version: String,
    /// The adapter to load; empty for none.
    pub adapter: String,
    /// The role to assume.
    pub role: String,
}

/// The last command to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandState {
    /// The highest fencing number received.
    pub fencing: u64,
    /// The version.
    pub version: String,
    /// The adapter.
    pub adapter: String,
    /// The role.
    pub role: String,
}
