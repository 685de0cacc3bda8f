//! The messages between VMs.
//!
//! A field number is never reused for another field.

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};

/// A message with its authentication code.
#[derive(Clone, PartialEq, Message)]
pub struct AuthenticatedMessage {
    /// The authentication code of `body`.
    #[prost(bytes = "vec", tag = "1")]
    pub code: Vec<u8>,
    /// The encoded message.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
}

/// A request or reply over TCP.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// Identifies the request; the reply has the same value.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// The message in the frame.
    #[prost(
        oneof = "PeerBody",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17"
    )]
    pub body: Option<PeerBody>,
}

/// The message in a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// Sends new changes of the configuration.
    #[prost(message, tag = "2")]
    Push(ChangeBatch),
    /// Requests the changes after a revision.
    #[prost(uint64, tag = "3")]
    Pull(u64),
    /// Replies to a pull with changes of the configuration.
    #[prost(message, tag = "4")]
    Changes(ChangeBatch),
    /// Forwards a call to the VM that minted its idempotency key.
    #[prost(message, tag = "5")]
    Forward(ForwardedCall),
    /// Replies with the result of a forwarded call.
    #[prost(message, tag = "6")]
    Outcome(ForwardedOutcome),
    /// Replies only whether the request took effect.
    #[prost(bool, tag = "7")]
    Done(bool),
    /// Requests the evidence of a move.
    #[prost(message, tag = "8")]
    RequestEvidence(MoveId),
    /// Replies with the evidence of a move, as JSON.
    #[prost(string, tag = "9")]
    Evidence(String),
    /// Stops a move, because the evidence shows a fault of its new version.
    #[prost(message, tag = "10")]
    StopMove(MoveId),
    /// Requests rows that a gateway has read from the platform's store. Only a
    /// gateway serves them; a `serve` process replies `Done(false)`.
    #[prost(message, tag = "11")]
    RequestFeed(FeedRequest),
    /// Replies with rows of the platform's store.
    #[prost(message, tag = "12")]
    Feed(FeedReply),
    /// Reports what a gateway sees of the versions of a rollout. Only a gateway that
    /// knows the order replies with its word; others reply `Done(false)`.
    #[prost(message, tag = "13")]
    ReportRollout(RolloutReport),
    /// Replies with what the fleet knows of a rollout, as JSON.
    #[prost(string, tag = "14")]
    RolloutWord(String),
    /// Tells a gateway how a rollout ended. Older builds ignore it, and learn of the end
    /// with their next report.
    #[prost(message, tag = "15")]
    EndRollout(RolloutEnd),
    /// Tells a gateway that an engine ended. Older builds ignore it.
    #[prost(message, tag = "16")]
    ReportCrash(CrashNotice),
    /// Tells a gateway which parts of prompts are blocked. Older builds ignore it.
    #[prost(message, tag = "17")]
    ShareBlocks(PartBlocks),
}

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

/// The end of a rollout.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutEnd {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The revision of the order.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether the new version was rolled back; otherwise it has all traffic.
    #[prost(bool, tag = "3")]
    pub is_rolled_back: bool,
    /// Whether the end is stored.
    #[prost(bool, tag = "4")]
    pub is_stored: bool,
}

/// What a gateway sees of the versions of a rollout.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutReport {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The revision of the order.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The reporting VM.
    #[prost(string, tag = "3")]
    pub vm: String,
    /// Whether the VM has rolled the version back.
    #[prost(bool, tag = "4")]
    pub is_rolled_back: bool,
    /// The samples of all requests that it has sent since the order, as JSON.
    #[prost(string, tag = "5")]
    pub samples: String,
    /// Whether the VM knows that the version was withdrawn after the rollout was done.
    /// Older builds don't send it.
    #[prost(bool, tag = "6")]
    pub is_withdrawn: bool,
    /// Identifies the VM's process. Older builds don't send it.
    #[prost(uint64, tag = "7")]
    pub process: u64,
    /// Whether an earlier process of the VM may have reported on the rollout; the reply has
    /// its last report, if the hub has one.
    #[prost(bool, tag = "8")]
    pub may_recover: bool,
    /// Whether the VM has a part of the reserve of requests to the new version.
    #[prost(bool, tag = "9")]
    pub has_reserve: bool,
}

/// Requests the change feed of a table of the platform's store.
#[derive(Clone, PartialEq, Message)]
pub struct FeedRequest {
    /// The table.
    #[prost(string, tag = "1")]
    pub source: String,
    /// The requester's revision; without one, the complete table is requested.
    #[prost(uint64, optional, tag = "2")]
    pub after: Option<u64>,
    /// The value of `proof` in the receiver's last reply to the requester, or 0. The
    /// receiver replies at once if its value differs by now.
    #[prost(uint64, tag = "3")]
    pub proof: u64,
    /// How long to wait for changes or a newer confirmation, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub wait_ms: u64,
    /// Whether the requester accepts compressed rows in the reply.
    #[prost(bool, tag = "5")]
    pub accepts_packed: bool,
    /// The address on which the requester serves other VMs; empty if it serves none.
    #[prost(string, tag = "6")]
    pub requester: String,
    /// The era of `after`; absent from VMs that don't know eras, which read by revision
    /// alone.
    #[prost(uint64, optional, tag = "7")]
    pub era: Option<u64>,
    /// The blocked parts of prompts that the requester knows.
    #[prost(message, repeated, tag = "8")]
    pub blocks: Vec<PartBlockWire>,
}

/// A part of the change feed of a table of the platform's store.
#[derive(Clone, PartialEq, Message)]
pub struct FeedReply {
    /// Whether the replying VM has the requested rows.
    #[prost(enumeration = "FeedOutcome", tag = "1")]
    pub outcome: i32,
    /// The rows: all of the table, or those that changed.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<FeedRowWire>,
    /// The latest revision of the store that the replying VM knows.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Milliseconds since these rows were confirmed to be the newest.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// The number of freshness confirmations that the replying VM got.
    #[prost(uint64, tag = "5")]
    pub proof: u64,
    /// How long the replying VM waited for changes, in milliseconds. The requester's
    /// round-trip time less this is an upper bound of the reply's time in transit.
    #[prost(uint64, tag = "6")]
    pub held_ms: u64,
    /// A compressed [`FeedRows`], in place of `rows`; empty if `rows` is used.
    #[prost(bytes = "bytes", tag = "7")]
    pub packed_rows: Bytes,
    /// Addresses of VMs that have the table, if the outcome is `Busy`.
    #[prost(string, repeated, tag = "8")]
    pub alternatives: Vec<String>,
    /// The era of `revision`; absent from VMs that don't know eras.
    #[prost(uint64, optional, tag = "9")]
    pub era: Option<u64>,
    /// The blocked parts of prompts that the replying VM knows.
    #[prost(message, repeated, tag = "10")]
    pub blocks: Vec<PartBlockWire>,
    /// Whether these include the ones of an earlier time; otherwise the replying VM has
    /// just started.
    #[prost(bool, tag = "11")]
    pub knows_earlier_blocks: bool,
}

/// The rows of a reply, to be compressed.
#[derive(Clone, PartialEq, Message)]
pub struct FeedRows {
    /// The rows.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<FeedRowWire>,
}

/// A row of a table; its value is passed on unchanged.
#[derive(Clone, PartialEq, Message)]
pub struct FeedRowWire {
    /// The row's key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Its value; absent in the tombstone of a removed row.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
}

/// Whether a VM has the rows that another requested.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Enumeration)]
#[repr(i32)]
pub enum FeedOutcome {
    /// It has not read the table yet.
    Unknown = 0,
    /// The reply holds the rows.
    Rows = 1,
    /// The replying VM no longer keeps the changes after the requester's revision.
    HistoryLost = 2,
    /// The replying VM's link is busy; other VMs have the table as well.
    Busy = 3,
}

/// Identifies a move of a service to another version.
#[derive(Clone, PartialEq, Message)]
pub struct MoveId {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The revision of the configuration that started the move.
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
    /// The complete configuration as JSON, in place of `records`, if the sender no longer
    /// keeps all requested changes; otherwise empty.
    #[prost(string, tag = "3")]
    pub snapshot: String,
}

/// A call that is forwarded to the VM that minted its idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedCall {
    /// The incarnation of the process that minted the key.
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
    /// The text of the key, which is passed on to the upstream.
    #[prost(string, tag = "7")]
    pub key: String,
}

/// The result of a forwarded call.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedOutcome {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The body.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
    /// The reason of a refusal; empty for a response.
    #[prost(string, tag = "3")]
    pub refusal: String,
    /// True if the call is known not to have run; false if it ran or may have run.
    #[prost(bool, tag = "4")]
    pub not_run: bool,
    /// Milliseconds to wait before a retry; 0 if the refusal states no wait.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
}

/// The membership record of one VM.
#[derive(Clone, PartialEq, Message)]
pub struct MemberWire {
    /// The VM's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Its address for other VMs.
    #[prost(string, tag = "3")]
    pub address: String,
    /// The incarnation of its process.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Its refutation counter, which it raises to refute a suspicion.
    #[prost(uint32, tag = "5")]
    pub counter: u32,
    /// Its state: 0 alive, 1 suspect, 2 dead, 3 left.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// For how many milliseconds it had been suspect when the record was sent.
    #[prost(uint64, tag = "7")]
    pub suspected_ms: u64,
}

/// Notice that an upstream is about to leave.
#[derive(Clone, PartialEq, Message)]
pub struct NoticeWire {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Its address, which distinguishes it from a successor of the same name.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// A datagram between two VMs.
#[derive(Clone, PartialEq, Message)]
pub struct GossipWire {
    /// Its purpose: 0 ping, 1 acknowledgement, 2 request for a ping.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The VM that an acknowledgement or a request for a ping is about.
    #[prost(string, tag = "2")]
    pub subject: String,
    /// Identifies the probe.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The sender.
    #[prost(message, optional, tag = "4")]
    pub sender: Option<MemberWire>,
    /// Records of other VMs.
    #[prost(message, repeated, tag = "5")]
    pub updates: Vec<MemberWire>,
    /// The sender's revision of the configuration.
    #[prost(uint64, tag = "6")]
    pub revision: u64,
    /// Upstreams that are about to leave.
    #[prost(message, repeated, tag = "7")]
    pub notices: Vec<NoticeWire>,
}
