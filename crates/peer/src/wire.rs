//! The messages between VMs.
//!
//! Field numbers are never used for something else.

use prost::{Enumeration, Message, Oneof};

/// A message with its authentication code.
#[derive(Clone, PartialEq, Message)]
pub struct AuthenticatedMessage {
    /// The code over `body`.
    #[prost(bytes = "vec", tag = "1")]
    pub code: Vec<u8>,
    /// The encoded message.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
}

/// A request or reply over TCP.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// Names the request; its reply repeats it.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// What the frame carries.
    #[prost(oneof = "PeerBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<PeerBody>,
}

/// What a frame carries.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// New changes of the configuration.
    #[prost(message, tag = "2")]
    Push(ChangeBatch),
    /// Asks for changes after a revision.
    #[prost(uint64, tag = "3")]
    Pull(u64),
    /// Changes of the configuration.
    #[prost(message, tag = "4")]
    Changes(ChangeBatch),
    /// A call for the VM that minted its key.
    #[prost(message, tag = "5")]
    Forward(ForwardedCall),
    /// What became of a forwarded call.
    #[prost(message, tag = "6")]
    Outcome(ForwardedOutcome),
    /// The request was done; there is nothing to say.
    #[prost(bool, tag = "7")]
    Done(bool),
    /// Asks for the evidence of a move.
    #[prost(message, tag = "8")]
    RequestEvidence(MoveId),
    /// The evidence of a move, as JSON.
    #[prost(string, tag = "9")]
    Evidence(String),
    /// Evidence speaks against a move's new version.
    #[prost(message, tag = "10")]
    StopMove(MoveId),
    /// Asks for what a VM has read of the platform's store.
    #[prost(message, tag = "11")]
    RequestFeed(FeedRequest),
    /// What a VM has read of the platform's store.
    #[prost(message, tag = "12")]
    Feed(FeedReply),
}

/// Asks for rows of a table of the platform's store.
#[derive(Clone, PartialEq, Message)]
pub struct FeedRequest {
    /// Names the table.
    #[prost(string, tag = "1")]
    pub source: String,
    /// The revision that the asker has; none asks for the whole table.
    #[prost(uint64, optional, tag = "2")]
    pub after: Option<u64>,
    /// The last proof of freshness that the asker got from this VM.
    #[prost(uint64, tag = "3")]
    pub proof: u64,
    /// How long to wait for news or a newer proof, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub wait_ms: u64,
}

/// Rows of a table of the platform's store.
#[derive(Clone, PartialEq, Message)]
pub struct FeedReply {
    /// Whether the answering VM has what was asked for.
    #[prost(enumeration = "FeedOutcome", tag = "1")]
    pub outcome: i32,
    /// The rows, whole or changed.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<FeedRowWire>,
    /// The store's revision as far as the answering VM knows.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The age of the knowledge that these rows are the newest, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// Counts the proofs of freshness that the answering VM got.
    #[prost(uint64, tag = "5")]
    pub proof: u64,
    /// How long the answering VM waited for news, in milliseconds. What is left
    /// of the asker's own time is an upper bound of the way back.
    #[prost(uint64, tag = "6")]
    pub held_ms: u64,
}

/// A row of a table; its value is passed on as it is.
#[derive(Clone, PartialEq, Message)]
pub struct FeedRowWire {
    /// The row's key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Its value; none if it was removed.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
}

/// Whether a VM has the news that another asked for.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Enumeration)]
#[repr(i32)]
pub enum FeedOutcome {
    /// It knows nothing of the table yet.
    Unknown = 0,
    /// The rows are there.
    Rows = 1,
    /// The asker's revision lies before what it keeps.
    HistoryLost = 2,
}

/// Names a move.
#[derive(Clone, PartialEq, Message)]
pub struct MoveId {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The revision that started it.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// Changes of the configuration, in order.
#[derive(Clone, PartialEq, Message)]
pub struct ChangeBatch {
    /// The changes as JSON.
    #[prost(string, repeated, tag = "1")]
    pub records: Vec<String>,
    /// The sender's revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The whole configuration as JSON, where the changes reach back too far.
    #[prost(string, tag = "3")]
    pub snapshot: String,
}

/// A call for the VM that minted its key.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedCall {
    /// The run of the process that minted the key.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// The key's serial number.
    #[prost(uint64, tag = "2")]
    pub serial: u64,
    /// The customer.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// The service.
    #[prost(string, tag = "4")]
    pub service: String,
    /// The route.
    #[prost(string, tag = "5")]
    pub route: String,
    /// The request's body.
    #[prost(bytes = "vec", tag = "6")]
    pub body: Vec<u8>,
    /// The key's text, as the upstream is told it.
    #[prost(string, tag = "7")]
    pub key: String,
}

/// What became of a forwarded call.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedOutcome {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The body.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
    /// The reason of a refusal; empty for an answer.
    #[prost(string, tag = "3")]
    pub refusal: String,
    /// Whether the call did not run.
    #[prost(bool, tag = "4")]
    pub not_run: bool,
    /// Milliseconds after which to come back.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
}

/// What is known of one VM.
#[derive(Clone, PartialEq, Message)]
pub struct MemberWire {
    /// The VM's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Its address for peers.
    #[prost(string, tag = "3")]
    pub address: String,
    /// The run of its process.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Its contradictions.
    #[prost(uint32, tag = "5")]
    pub counter: u32,
    /// Its state: 0 alive, 1 suspect, 2 dead, 3 left.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// Milliseconds that it had been suspect.
    #[prost(uint64, tag = "7")]
    pub suspected_ms: u64,
}

/// Word that an upstream is about to leave.
#[derive(Clone, PartialEq, Message)]
pub struct NoticeWire {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Its address.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// A datagram between two VMs.
#[derive(Clone, PartialEq, Message)]
pub struct GossipWire {
    /// What it is for: 0 ping, 1 acknowledgement, 2 request for a ping.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The VM that an acknowledgement or a request is about.
    #[prost(string, tag = "2")]
    pub subject: String,
    /// Names the probe.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The sender.
    #[prost(message, optional, tag = "4")]
    pub sender: Option<MemberWire>,
    /// Other VMs.
    #[prost(message, repeated, tag = "5")]
    pub updates: Vec<MemberWire>,
    /// The sender's revision.
    #[prost(uint64, tag = "6")]
    pub revision: u64,
    /// Upstreams that are about to leave.
    #[prost(message, repeated, tag = "7")]
    pub notices: Vec<NoticeWire>,
}
