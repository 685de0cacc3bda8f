//! The traits that a platform implements for the gateway, with their types.

use crate::message_error::MessageError;
use bytes::Bytes;
use faststr::FastStr;
use http::{request, response};
use skylarkshed_core::{
    ClockTime, CustomerName, KeyHash, RolloutSpec, RoutingConfig, ServiceName, UpstreamName,
    UpstreamRecord, VersionName, VmName,
};
use skylarkshed_http_link::BufferedRequest;
use skylarkshed_policy::{
    CopyKind, EngineLoad, FeedBatch, FeedPosition, FeedRow, PartBlock, RolloutState, UpstreamEntry,
    VersionRejection, VmEntry,
};
use std::future::Future;
use std::net::SocketAddr;
use thiserror::Error;

/// The parsed head of a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// Identifies the request; each attempt of a caller has its own identifier.
    pub request: FastStr,
    /// How long the caller will wait for the response.
    pub time_left: Option<ClockTime>,
    /// The host, in lower case and without a port.
    pub host: FastStr,
    /// The hash of the caller's key.
    pub key: Option<KeyHash>,
    /// The last event that the caller received of an interrupted stream.
    pub resume_after: Option<u64>,
    /// The number of prompt tokens; zero if unknown.
    pub prompt_tokens: u64,
    /// The largest number of output tokens; zero if unknown.
    pub output_tokens: u64,
    /// Identifies the part of the prompt that belongs to the request or its session.
    pub prompt_id: Option<FastStr>,
    /// The parts of the prompt before that one, in order; other requests may share them.
    pub shared_parts: Vec<FastStr>,
}

/// An error in the head of a request.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeadError {
    /// It has no identifier, or an invalid one.
    #[error("the request identifier is missing or invalid")]
    NoIdentifier,
    /// It has no host or more than one.
    #[error("the request must have exactly one Host header")]
    BadHost,
    /// A header that may occur once is repeated or can't be parsed.
    #[error("a request header is repeated or malformed")]
    BadHeader,
}

/// A copy of a running request's KV cache at another upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvCacheCopy {
    /// The upstream that holds it.
    pub holder: UpstreamName,
    /// The address to fetch the copy from: the holder's for a continuous copy, the
    /// source engine's for a snapshot.
    pub address: SocketAddr,
    /// Identifies the copy at that address.
    pub handle: FastStr,
    /// Whether it is a snapshot or is continuously updated.
    pub kind: CopyKind,
}

/// The options of one attempt to send a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions<'a> {
    /// The request's identifier.
    pub request: &'a str,
    /// The upstream.
    pub upstream: &'a UpstreamRecord,
    /// The customer, if the route needs a key.
    pub customer: Option<&'a CustomerName>,
    /// How long the gateway waits for the response.
    pub time_left: ClockTime,
    /// The last event that the caller has, if a stream is resumed.
    pub resume_after: Option<u64>,
    /// The KV cache copy to resume from.
    pub copy_from: Option<&'a KvCacheCopy>,
    /// Where the upstream continuously copies the KV cache of the request.
    pub copy_to: Option<SocketAddr>,
    /// The request's rank by priority, 0 being the most urgent, if they differ.
    pub urgency: Option<u8>,
}

/// The parsed head of an upstream's response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// The identifier of the request that it responds to.
    pub request: Option<FastStr>,
    /// Whether the upstream signed it.
    pub is_signed: bool,
    /// Whether the upstream reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether the address belongs to another upstream than the expected one.
    pub is_misdirected: bool,
    /// Whether the upstream announces that it leaves.
    pub is_leaving: bool,
    /// How long the upstream wants no requests, if it refused this one.
    pub retry_after: Option<ClockTime>,
}

/// Parses and writes the messages of callers and upstreams.
pub trait WireProtocol: Send + Sync + 'static {
    /// The path of the readiness check.
    const READINESS_PATH: &'static str;

    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a required header is missing, repeated or malformed.
    fn read_request(parts: &request::Parts) -> Result<RequestHead, HeadError>;

    /// Checks that requests of a customer can be written.
    ///
    /// # Errors
    ///
    /// Fails if upstreams can't be told the customer's name.
    fn check_customer(customer: &CustomerName) -> Result<(), MessageError>;

    /// Writes a caller's request in the form that upstreams expect.
    ///
    /// # Errors
    ///
    /// Fails if a part of it would mean something else to the upstream.
    fn write_request(
        parts: &request::Parts,
        body: Bytes,
        options: &SendOptions<'_>,
    ) -> Result<BufferedRequest, MessageError>;

    /// Parses the head of an upstream's response.
    fn read_response(parts: &response::Parts) -> ResponseHead;

    /// Writes a request for an engine's load report.
    ///
    /// # Errors
    ///
    /// Fails if it can't be written, as do the other calls to engines.
    fn write_report_request(engine: &UpstreamRecord) -> Result<BufferedRequest, MessageError>;

    /// Parses an engine's load report.
    ///
    /// # Errors
    ///
    /// Returns a description of the first problem in it.
    fn read_report(body: &[u8]) -> Result<EngineLoad, String>;

    /// Writes a request for the list of the parts of prompts in an engine's KV cache.
    fn write_cache_request(engine: &UpstreamRecord) -> Result<BufferedRequest, MessageError>;

    /// Parses the identifiers of the parts in an engine's KV cache.
    ///
    /// # Errors
    ///
    /// Returns a description of the first problem in the reply.
    fn read_cache_reply(body: &[u8]) -> Result<Vec<FastStr>, String>;

    /// Writes the command to copy a running request's KV cache to another engine.
    fn write_copy_request(
        engine: &UpstreamRecord,
        request: &str,
        to: SocketAddr,
    ) -> Result<BufferedRequest, MessageError>;

    /// Writes the command to drop a copy, for the engine that made it.
    fn write_drop_request(
        engine: &UpstreamRecord,
        handle: &str,
    ) -> Result<BufferedRequest, MessageError>;

    /// Parses the handle of the copy that an engine made.
    ///
    /// # Errors
    ///
    /// Returns a description of the first problem in the reply.
    fn read_copy_reply(body: &[u8]) -> Result<FastStr, String>;
}

/// An error of a call to the store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store can't be reached, or the connection failed.
    #[error("the store can't be reached: {0}")]
    Unreachable(String),
    /// The store did not respond in time.
    #[error("the store did not respond within {} ms", .0.as_millis())]
    Timeout(ClockTime),
    /// The store refused the call and changed nothing.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The store no longer has the requested changes.
    #[error("the store's change history no longer covers the requested revision")]
    HistoryLost,
    /// The row has another revision than expected.
    #[error("the row was changed concurrently")]
    Conflict,
    /// The queried VM has not read the store yet.
    #[error("{0} has not read the store yet")]
    NotKnownYet(SocketAddr),
    /// The queried VM has not reached the store for too long.
    #[error("the rows of {0} are outdated")]
    Outdated(SocketAddr),
    /// The queried VM's link is busy; other VMs have the table as well.
    #[error("the VM is busy and names {} others", .0.len())]
    Busy(Vec<SocketAddr>),
    /// The response can't be parsed.
    #[error("the store's response can't be parsed: {0}")]
    Unreadable(String),
    /// The response is longer than any that the store returns for such a call.
    #[error("the store's response is longer than {0} bytes")]
    LongReply(usize),
    /// The call can't be written, so it was not made.
    #[error("the call was not made: {0}")]
    Unwritable(#[from] MessageError),
}

impl StoreError {
    /// Returns the label of the error in logs and metrics.
    pub const fn label(&self) -> &'static str {
        match self {
            StoreError::Unreachable(_) => "unreachable",
            StoreError::Timeout(_) => "timeout",
            StoreError::Refused(_) => "refused",
            StoreError::HistoryLost => "history_lost",
            StoreError::Conflict => "conflict",
            StoreError::NotKnownYet(_) => "not_known_yet",
            StoreError::Outdated(_) => "outdated",
            StoreError::Busy(_) => "busy",
            StoreError::Unreadable(_) => "unreadable",
            StoreError::LongReply(_) => "long_reply",
            StoreError::Unwritable(_) => "unwritable",
        }
    }
}

/// A change of the operators' table.
#[derive(Clone, Debug)]
pub enum ControlUpdate {
    /// The configuration.
    Config(Box<RoutingConfig>),
    /// A rollout of another version of a service.
    Rollout(RolloutSpec),
    /// The rollout of a service was removed.
    RolloutRemoved(ServiceName),
    /// A row that can't be parsed; its previous content stays in effect.
    Unreadable {
        /// The row's key.
        row: String,
        /// What is wrong with it.
        problem: String,
    },
    /// A row that the gateway does not use.
    Ignored,
}

/// A change of the upstreams' table.
#[derive(Clone, Debug)]
pub enum UpstreamUpdate {
    /// An upstream is listed.
    Updated(UpstreamEntry),
    /// An upstream's entry was removed.
    Removed(UpstreamName),
    /// An entry that can't be parsed.
    Unreadable {
        /// The upstream.
        name: UpstreamName,
        /// What is wrong with the entry.
        problem: String,
    },
}

/// A change of the VMs' table.
#[derive(Clone, Debug)]
pub enum VmUpdate {
    /// A VM is listed.
    Updated(VmEntry),
    /// A VM's entry was removed.
    Removed(VmName),
    /// An entry that can't be parsed.
    Unreadable {
        /// The VM.
        name: VmName,
        /// What is wrong with the entry.
        problem: String,
    },
}

/// A table of the store that can be read and watched.
pub trait FeedSource: Send + 'static {
    /// The decoded form of its rows.
    type Update: Send;

    /// The source's name in messages between VMs, in logs and in metrics.
    const NAME: &'static str;

    /// Returns the version that a row's writer gave it, if rows of this table have one.
    fn version(_row: &FeedRow) -> Option<u64> {
        None
    }

    /// Reads the whole table.
    fn read(&mut self) -> impl Future<Output = Result<FeedBatch, StoreError>> + Send;

    /// Returns the changes after a position; waits up to `wait` if there are none. After
    /// the store has returned from an older copy, the history is reported as lost.
    fn watch(
        &mut self,
        after: FeedPosition,
        wait: ClockTime,
    ) -> impl Future<Output = Result<FeedBatch, StoreError>> + Send;

    /// Decodes a row.
    fn decode(row: &FeedRow) -> Self::Update;
}

/// A rollout's state as stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceName,
    /// The version to roll out.
    pub to: VersionName,
    /// Whether it is running, done or rolled back.
    pub state: RolloutState,
    /// The revision of the rollout's row in the operators' table.
    pub spec_revision: u64,
    /// When the rollout was first seen, on the store's clock.
    pub started_at: ClockTime,
    /// The versions that earlier rollouts of the service have not completed.
    pub rejected: Vec<VersionRejection>,
}

/// A service's rollout state and when it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutSnapshot {
    /// The last written state, if any.
    pub status: Option<RolloutStatus>,
    /// The revision of its row; 0 if there is none.
    pub revision: u64,
    /// The time of the read on the store's clock.
    pub now: ClockTime,
}

/// The tables of the store that the gateway uses.
pub trait RoutingStore: Clone + Send + Sync + 'static {
    /// The source of the operators' table.
    type Control: FeedSource<Update = ControlUpdate>;
    /// The source of the upstreams' table.
    type Upstreams: FeedSource<Update = UpstreamUpdate>;
    /// The source of the VMs' table.
    type Vms: FeedSource<Update = VmUpdate>;

    /// Opens the operators' table.
    fn control(&self) -> Self::Control;

    /// Opens the upstreams' table.
    fn upstreams(&self) -> Self::Upstreams;

    /// Opens the VMs' table.
    fn vms(&self) -> Self::Vms;

    /// Writes a VM's entry.
    fn announce(&self, vm: &VmEntry) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Removes a VM's entry.
    fn withdraw(&self, name: &VmName) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads the blocked parts of prompts.
    fn read_blocks(&self) -> impl Future<Output = Result<Vec<PartBlock>, StoreError>> + Send;

    /// Writes a block, in place of an earlier one of the same parts.
    fn write_block(&self, block: &PartBlock)
        -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads the state of a service's rollout.
    fn read_rollout(
        &self,
        service: &ServiceName,
    ) -> impl Future<Output = Result<RolloutSnapshot, StoreError>> + Send;

    /// Writes a rollout's state if its row still has the expected revision.
    fn write_rollout(
        &self,
        status: &RolloutStatus,
        expected: u64,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}
