//! Reads of the platform's store between gateways.

use super::PartBlockWire;
use bytes::Bytes;
use prost::{Enumeration, Message};

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
    /// Whether these include the ones of an earlier time; otherwise the requester has just
    /// started.
    #[prost(bool, tag = "9")]
    pub knows_earlier_blocks: bool,
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
    /// For how long the replying VM has known of no outage of the store, in milliseconds; 0
    /// if it can't tell.
    #[prost(uint64, tag = "12")]
    pub steady_ms: u64,
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
