//! Parts of prompts that end engines.

use prost::Message;

/// The end of an engine, as seen by a stream that it had not served for long.
#[derive(Clone, PartialEq, Message)]
pub struct CrashNotice {
    /// The engine's service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// The parts of the stream's prompt that are not known to be sound.
    #[prost(string, repeated, tag = "3")]
    pub parts: Vec<String>,
    /// Whether the response had begun.
    #[prost(bool, tag = "4")]
    pub has_begun: bool,
}

/// The blocked parts of prompts that a gateway knows.
#[derive(Clone, PartialEq, Message)]
pub struct PartBlocks {
    /// The blocks, lifted ones included.
    #[prost(message, repeated, tag = "1")]
    pub blocks: Vec<PartBlockWire>,
}

/// Parts of prompts that end engines together.
#[derive(Clone, PartialEq, Message)]
pub struct PartBlockWire {
    /// The service of the engines.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The parts.
    #[prost(string, repeated, tag = "2")]
    pub parts: Vec<String>,
    /// How often the parts have been blocked and lifted.
    #[prost(uint64, tag = "3")]
    pub round: u64,
    /// Whether they have turned out to be sound.
    #[prost(bool, tag = "4")]
    pub is_lifted: bool,
    /// How many probes have ended an engine.
    #[prost(uint32, tag = "5")]
    pub failed_probes: u32,
    /// Milliseconds since the last end under the parts.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
    /// Whether the store has the block in this state.
    #[prost(bool, tag = "7")]
    pub is_stored: bool,
}
