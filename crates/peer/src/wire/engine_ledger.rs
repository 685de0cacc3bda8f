//! The ledgers of engines' loads, which one VM keeps for all.

use prost::{Enumeration, Message};

/// Identifies one start of an engine.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerEngine {
    /// The engine's service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// When it started, in Unix milliseconds, as its entry states.
    #[prost(uint64, tag = "3")]
    pub started_ms: u64,
}

/// Requests the loads of engines from the VM that keeps their ledgers.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerQuery {
    /// The engines.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<LedgerEngine>,
    /// The usual length of the service's prompts, in tokens.
    #[prost(uint64, tag = "2")]
    pub usual_prompt: u64,
    /// Whether the VM answers from what it knows, without asking an engine.
    #[prost(bool, tag = "3")]
    pub is_from_memory: bool,
}

/// Replies with the loads of engines.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerViews {
    /// One answer for each engine of the request, in its order.
    #[prost(message, repeated, tag = "1")]
    pub answers: Vec<LedgerAnswer>,
}

/// What a VM knows of an engine.
#[derive(Clone, Copy, Debug, Enumeration, Eq, PartialEq)]
#[repr(i32)]
pub enum LedgerKnowledge {
    /// It does not list the engine, or another start of it.
    Unknown = 0,
    /// Its load is in the answer.
    Known = 1,
    /// The engine has not reported lately.
    NoReport = 2,
    /// The engine's address belongs to another upstream.
    Gone = 3,
}

/// The load of one engine.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LedgerAnswer {
    /// What the VM knows; the other fields are set if the load is known.
    #[prost(enumeration = "LedgerKnowledge", tag = "1")]
    pub knowledge: i32,
    /// The prompts that are due, in tokens.
    #[prost(uint64, tag = "2")]
    pub due_tokens: u64,
    /// The running generations.
    #[prost(uint64, tag = "3")]
    pub running: u64,
    /// The free tokens of the KV cache, if they are known.
    #[prost(uint64, optional, tag = "4")]
    pub free_tokens: Option<u64>,
    /// The speed of prefills in tokens per second, if it is known.
    #[prost(uint64, optional, tag = "5")]
    pub tokens_per_s: Option<u64>,
    /// Milliseconds since the last report was requested.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
    /// Whether a request has just failed at the engine.
    #[prost(bool, tag = "7")]
    pub is_suspect: bool,
    /// The prompts that were ever placed at the engine, in tokens.
    #[prost(uint64, tag = "8")]
    pub placed_total: u64,
}

/// Tells the VM that keeps an engine's ledger of work that is sent to the engine.
#[derive(Clone, PartialEq, Message)]
pub struct PromptPlacement {
    /// The engine.
    #[prost(message, optional, tag = "1")]
    pub engine: Option<LedgerEngine>,
    /// The request.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The length of the prompt or of the copy, in tokens.
    #[prost(uint64, tag = "3")]
    pub prompt_tokens: u64,
    /// The expected length of the answer in tokens; 0 if unknown.
    #[prost(uint64, tag = "4")]
    pub output_tokens: u64,
    /// Whether the work is a copy of a KV cache instead of a prompt.
    #[prost(bool, tag = "5")]
    pub is_copy: bool,
    /// `placed_total` of the answer by which the sender chose. Earlier builds sent a time
    /// with tag 6.
    #[prost(uint64, optional, tag = "7")]
    pub placed_total: Option<u64>,
    /// A random number that identifies the placement.
    #[prost(uint64, tag = "8")]
    pub placement: u64,
}

/// Replies to a placement.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PlacementReply {
    /// The prompts that were placed at the engine since the VM answered, in tokens.
    #[prost(uint64, tag = "1")]
    pub placed_tokens: u64,
}

/// Tells the VM that keeps an engine's ledger how placed work goes on.
#[derive(Clone, PartialEq, Message)]
pub struct PromptProgress {
    /// The engine.
    #[prost(message, optional, tag = "1")]
    pub engine: Option<LedgerEngine>,
    /// Milliseconds from sending the prompt to its first event. If it is absent, the
    /// request has ended at the engine or has left it.
    #[prost(uint64, optional, tag = "3")]
    pub first_event_ms: Option<u64>,
    /// The `placement` of the work.
    #[prost(uint64, tag = "4")]
    pub placement: u64,
}
