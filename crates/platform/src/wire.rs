//! The messages of the platform's HTTP service.

use serde::{Deserialize, Serialize};
use skylarkshed_core::{VmName, ZoneName};
use std::net::SocketAddr;

/// Reads one row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The row's key.
    pub key: String,
}

/// A row and its version, which grows with every write.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The row's key.
    pub key: String,
    /// The row's version, from 1.
    pub version: u64,
    /// The row's value.
    pub value: String,
}

/// The answer to a [`ReadRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadReply {
    /// The row, if there is one.
    pub row: Option<TableRow>,
}

/// Reads rows in the order of their keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// What the keys start with.
    pub prefix: String,
    /// Only keys after this one.
    pub after: String,
    /// The most rows to return.
    pub limit: usize,
}

/// The answer to a [`ScanRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanReply {
    /// The rows.
    pub rows: Vec<TableRow>,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RowCondition {
    /// The row's key.
    pub key: String,
    /// The row's version; 0 means that there is no such row.
    pub version: u64,
}

/// A value to write.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The row's key.
    pub key: String,
    /// The new value; none removes the row.
    pub value: Option<String>,
}

/// Writes that take effect together, or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<RowCondition>,
    /// What is written.
    pub writes: Vec<RowWrite>,
}

/// The answer to a [`Transaction`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TransactionReply {
    /// Whether it took effect.
    pub committed: bool,
    /// The positions of the conditions that did not hold.
    pub failed: Vec<usize>,
}

/// Writes one object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectPut {
    /// The object's key.
    pub key: String,
    /// The object's content.
    pub content: String,
}

/// Reads one object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectGet {
    /// The object's key.
    pub key: String,
}

/// The answer to an [`ObjectGet`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectReply {
    /// The content, if there is such an object.
    pub content: Option<String>,
}

/// What a listed VM is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// A VM of the system.
    Entry,
    /// A VM with an upstream.
    Upstream,
}

/// Whether a listed VM is to get new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It lives.
    Live,
    /// It is about to go.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM's name; an upstream VM has its upstream's name.
    pub name: VmName,
    /// What it is.
    pub kind: VmKind,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens: for entry VMs the address for peers.
    pub address: SocketAddr,
    /// Whether it is to get new work.
    pub state: VmState,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct VmListing {
    /// The VMs.
    pub vms: Vec<ListedVm>,
}
