//! The seams between the gateway and the platform that it runs on.

use bytes::Bytes;
use faststr::FastStr;
use http::{request, response};
use skylarkshed_core::{
    ClockTime, CustomerName, KeyHash, RolloutSpec, RoutingConfig, ServiceName, UpstreamName,
    UpstreamRecord, VersionName, VmName,
};
use skylarkshed_http_link::BufferedRequest;
use skylarkshed_policy::{CopyKind, EngineLoad, FeedBatch, FeedRow, RolloutState, VmEntry};
use std::future::Future;
use std::net::SocketAddr;
use thiserror::Error;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// Names the request; each try of a caller has its own.
    pub request: FastStr,
    /// How long the caller will wait.
    pub time_left: Option<ClockTime>,
    /// The host, in lower case and without a port.
    pub host: FastStr,
    /// The hash of the caller's key.
    pub key: Option<KeyHash>,
    /// The last event that the caller holds of an answer that broke off.
    pub resume_after: Option<u64>,
    /// The tokens of the prompt; zero if unknown.
    pub prompt_tokens: u64,
}

/// Why a request's head can't be used.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeadError {
    /// It has no name.
    #[error("the request has no usable identifier")]
    NoIdentifier,
    /// It has no host or more than one.
    #[error("the request names no host or several")]
    BadHost,
    /// A header that may stand once stands twice or can't be read.
    #[error("a header of the request is repeated or malformed")]
    BadHeader,
}

/// Memory of a running answer that stands at an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvCacheCopy {
    /// The upstream that holds it.
    pub holder: UpstreamName,
    /// The address under which the copy is known: the holder's for a copy that
    /// grows with the answer, the engine's that made it for any other.
    pub address: SocketAddr,
    /// The name of the copy at that address.
    pub handle: FastStr,
    /// How it is kept up to date.
    pub kind: CopyKind,
}

/// How a request is sent to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions<'a> {
    /// The request's name.
    pub request: &'a str,
    /// The upstream.
    pub upstream: &'a UpstreamRecord,
    /// The customer, if the route needs a key.
    pub customer: Option<&'a CustomerName>,
    /// How long the answer is waited for.
    pub time_left: ClockTime,
    /// The last event that stands, if the answer goes on.
    pub resume_after: Option<u64>,
    /// The copy to go on from.
    pub copy_from: Option<&'a KvCacheCopy>,
    /// Where the answer's memory is to be copied while it runs.
    pub copy_to: Option<SocketAddr>,
}

/// What the head of an upstream's response says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// The request that it answers.
    pub request: Option<FastStr>,
    /// Whether the upstream signed it.
    pub is_signed: bool,
    /// Whether the upstream says that it did not run the request.
    pub is_not_run: bool,
    /// Whether another upstream than the expected one has the address.
    pub is_misdirected: bool,
}

/// Translates heads between callers, the gateway and upstreams.
pub trait WireProtocol: Send + Sync + 'static {
    /// The path of the readiness check.
    const READINESS_PATH: &'static str;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if the head lacks what every request has, or has it twice.
    fn read_request(parts: &request::Parts) -> Result<RequestHead, HeadError>;

    /// Writes a caller's request for an upstream.
    fn write_request(
        parts: &request::Parts,
        body: Bytes,
        order: &SendOptions<'_>,
    ) -> BufferedRequest;

    /// Reads the head of an upstream's response.
    fn read_answer(parts: &response::Parts) -> ResponseHead;

    /// Writes a question for an engine's report.
    fn write_report_request(engine: &UpstreamRecord) -> BufferedRequest;

    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// Fails with what is wrong with it.
    fn read_report(body: &[u8]) -> Result<EngineLoad, String>;

    /// Writes an order to copy a running answer's memory to another engine.
    fn write_copy_request(
        engine: &UpstreamRecord,
        request: &str,
        to: SocketAddr,
    ) -> BufferedRequest;

    /// Writes an order to drop a copy, for the engine that made it.
    fn write_drop_request(engine: &UpstreamRecord, handle: &str) -> BufferedRequest;

    /// Reads the name of the copy that an engine made.
    ///
    /// # Errors
    ///
    /// Fails with what is wrong with the reply.
    fn read_copy_reply(body: &[u8]) -> Result<FastStr, String>;
}

/// Why the store did not answer.
#[derive(Debug, Error)]
pub enum StoreError {
    /// It can't be reached, or the connection broke off.
    #[error("the store can't be reached: {0}")]
    Unreachable(String),
    /// It did not answer in time.
    #[error("the store did not answer within {} ms", .0.as_millis())]
    Timeout(ClockTime),
    /// It refused the call; nothing was done.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The changes asked for are not kept any more.
    #[error("the store's history does not reach back")]
    HistoryLost,
    /// The row changed meanwhile.
    #[error("the row has changed")]
    Conflict,
    /// The VM that was asked has not read the store yet.
    #[error("{0} knows nothing of the store yet")]
    NotKnownYet(SocketAddr),
    /// The answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Unreadable(String),
}

impl StoreError {
    /// Returns the error as a label of logs and metrics.
    pub const fn label(&self) -> &'static str {
        match self {
            StoreError::Unreachable(_) => "unreachable",
            StoreError::Timeout(_) => "timeout",
            StoreError::Refused(_) => "refused",
            StoreError::HistoryLost => "history_lost",
            StoreError::Conflict => "conflict",
            StoreError::NotKnownYet(_) => "not_known_yet",
            StoreError::Unreadable(_) => "unreadable",
        }
    }
}

/// News from the operators.
#[derive(Clone, Debug)]
pub enum ControlUpdate {
    /// The configuration.
    Config(Box<RoutingConfig>),
    /// An order to move a service to another version.
    Rollout(RolloutSpec),
    /// The order for a service is withdrawn.
    RolloutRemoved(ServiceName),
    /// A row that can't be read; what it said before holds on.
    Unreadable {
        /// The row.
        row: String,
        /// What is wrong with it.
        problem: String,
    },
    /// A row of no concern to the gateway.
    Ignored,
}

/// News of upstreams.
#[derive(Clone, Debug)]
pub enum UpstreamUpdate {
    /// An upstream is there.
    Present(UpstreamRecord),
    /// An upstream's entry was removed.
    Gone(UpstreamName),
    /// An entry that names no upstream to use.
    Unreadable {
        /// The upstream.
        name: UpstreamName,
        /// What is wrong with the entry.
        problem: String,
    },
}

/// A table of the store that can be read and watched.
pub trait FeedSource: Send + 'static {
    /// What its rows say.
    type News: Send;

    /// Names the source between VMs, in logs and in metrics.
    const NAME: &'static str;

    /// Reads the whole table.
    fn read(&mut self) -> impl Future<Output = Result<FeedBatch, StoreError>> + Send;

    /// Waits for changes after a revision, at most for `wait`.
    fn watch(
        &mut self,
        after: u64,
        wait: ClockTime,
    ) -> impl Future<Output = Result<FeedBatch, StoreError>> + Send;

    /// Decodes a row.
    fn decode(row: &FeedRow) -> Self::News;
}

/// A rollout's state as it stands in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceName,
    /// The version that is to take the traffic.
    pub to: VersionName,
    /// How far it has come.
    pub state: RolloutState,
    /// The revision of the order.
    pub order: u64,
    /// When the order was first seen, by the store's clock.
    pub started: ClockTime,
}

/// What the store says of a service's rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutSnapshot {
    /// The last state written, if any.
    pub status: Option<RolloutStatus>,
    /// The revision of that row; 0 if there is none.
    pub revision: u64,
    /// The time by the store's clock.
    pub now: ClockTime,
}

/// The tables of the store that the gateway uses.
pub trait RoutingStore: Clone + Send + Sync + 'static {
    /// The operators' orders.
    type Control: FeedSource<News = ControlUpdate>;
    /// The upstreams' entries.
    type Upstreams: FeedSource<News = UpstreamUpdate>;

    /// Returns the source of the operators' orders.
    fn control(&self) -> Self::Control;

    /// Returns the source of the upstreams' entries.
    fn upstreams(&self) -> Self::Upstreams;

    /// Says that a VM is there.
    fn announce(&self, vm: &VmEntry) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Says that a VM leaves.
    fn withdraw(&self, name: &VmName) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads a service's rollout.
    fn read_rollout(
        &self,
        service: &ServiceName,
    ) -> impl Future<Output = Result<RolloutSnapshot, StoreError>> + Send;

    /// Writes a rollout's state if the row still has a revision.
    fn write_rollout(
        &self,
        status: &RolloutStatus,
        expected: u64,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes what a VM saw of a rollout's versions.
    fn write_evidence(
        &self,
        order: &RolloutSpec,
        vm: &VmName,
        evidence: Vec<u8>,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads what all VMs saw of a rollout's versions.
    fn read_evidence(
        &self,
        order: &RolloutSpec,
    ) -> impl Future<Output = Result<Vec<Vec<u8>>, StoreError>> + Send;

    /// Returns the VMs that said they are there.
    fn read_vms(&self) -> impl Future<Output = Result<Vec<VmEntry>, StoreError>> + Send;
}
