//! The messages between VMs.
//!
//! A field number is never reused for another field.

mod engine_ledger;
mod feed;
mod quarantine;
mod retries;

pub use engine_ledger::{
    LedgerAnswer, LedgerEngine, LedgerKnowledge, LedgerQuery, LedgerViews, PlacementReply,
    PromptPlacement, PromptProgress,
};
pub use feed::{FeedOutcome, FeedReply, FeedRequest, FeedRowWire, FeedRows};
pub use quarantine::{CrashNotice, PartBlockWire, PartBlocks};
pub use retries::{RetryLoan, RetryRequest};

use prost::{Message, Oneof};

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
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24"
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
    /// Asks a gateway to lend retries, or returns lent ones. Older builds reply
    /// `Done(false)`.
    #[prost(message, tag = "18")]
    RequestRetries(RetryRequest),
    /// Replies with lent retries.
    #[prost(message, tag = "19")]
    LendRetries(RetryLoan),
    /// Requests the loads of engines from the VM that keeps their ledgers. Older builds
    /// reply `Done(false)`.
    #[prost(message, tag = "20")]
    AskLedgers(LedgerQuery),
    /// Replies with the loads of engines.
    #[prost(message, tag = "21")]
    LedgerViews(LedgerViews),
    /// Tells the VM that keeps an engine's ledger of work that is sent to the engine.
    #[prost(message, tag = "22")]
    PlacePrompt(PromptPlacement),
    /// Replies with what was placed at the engine meanwhile.
    #[prost(message, tag = "23")]
    PlacementReply(PlacementReply),
    /// Tells the VM that keeps an engine's ledger how placed work goes on.
    #[prost(message, tag = "24")]
    PromptProgress(PromptProgress),
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
