//! The messages of the platform's HTTP service.

use serde::{Deserialize, Serialize};
use skylarkshed_core::{VmName, ZoneName};
use std::net::SocketAddr;

/// A request for one row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The row's key.
    pub key: String,
}

/// A row and its version, which increases with every write.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The row's key.
    pub key: String,
    /// The row's version, from 1.
    pub version: u64,
    /// The row's value.
    pub value: String,
}

/// The reply to a [`ReadRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadReply {
    /// The row, if there is one.
    pub row: Option<TableRow>,
}

/// A request for rows in key order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// The prefix of the keys.
    pub prefix: String,
    /// Returns only keys after this one.
    pub after: String,
    /// The maximum number of rows to return.
    pub limit: usize,
}

/// The reply to a [`ScanRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanReply {
    /// The rows, in key order.
    pub rows: Vec<TableRow>,
}

/// A row version that a transaction requires.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RowCondition {
    /// The row's key.
    pub key: String,
    /// The row's version; 0 means that there is no such row.
    pub version: u64,
}

/// A write of one row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The row's key.
    pub key: String,
    /// The new value; `None` removes the row.
    pub value: Option<String>,
}

/// Writes that take effect atomically if all conditions hold.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<RowCondition>,
    /// The writes.
    pub writes: Vec<RowWrite>,
}

/// The reply to a [`Transaction`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TransactionReply {
    /// Whether the transaction took effect.
    pub committed: bool,
    /// The indexes of the conditions that did not hold.
    pub failed: Vec<usize>,
}

/// A request to write one object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectPut {
    /// The object's key.
    pub key: String,
    /// The object's content.
    pub content: String,
}

/// A request for one object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectGet {
    /// The object's key.
    pub key: String,
}

/// The reply to an [`ObjectGet`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectReply {
    /// The content, if there is such an object.
    pub content: Option<String>,
}

/// The kind of a listed VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// An entry VM of this system.
    Entry,
    /// A VM that runs an upstream.
    Upstream,
}

/// Whether a listed VM accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It is running.
    Live,
    /// It is about to shut down.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM's name; an upstream VM has its upstream's name.
    pub name: VmName,
    /// The VM's kind.
    pub kind: VmKind,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// The address it listens at; for entry VMs the address for peers.
    pub address: SocketAddr,
    /// Whether the VM accepts new work.
    pub state: VmState,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct VmListing {
    /// The VMs.
    pub vms: Vec<ListedVm>,
}
