//! Services, versions, customers and moves, and the changes that alter them.

mod changes;

use crate::clock::ClockTime;
use crate::ids::RevisionNumber;
use crate::key_hash::KeyHash;
use crate::names::{CustomerName, ServiceName, UpstreamName, VersionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// All traffic, in parts per million.
const FULL_SHARE_PPM: u32 = 1_000_000;

/// The kind of a service's upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that generate tokens.
    Model,
    /// Plain applications that serve application calls.
    Plain,
}

/// A route of a plain service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// The route's name in the URL.
    pub name: String,
    /// Whether a call is safe to run more than once.
    pub idempotent: bool,
}

/// A service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The service's name.
    pub name: ServiceName,
    /// The kind of its upstreams.
    pub kind: ServiceKind,
    /// Its routes; routes not listed are not idempotent.
    pub routes: Vec<RouteEntry>,
}

impl ServiceEntry {
    /// Reports whether a call on `route` is safe to run more than once.
    pub fn is_idempotent(&self, route: &str) -> bool {
        self.routes
            .iter()
            .any(|entry| entry.name == route && entry.idempotent)
    }
}

/// An upstream of a version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The upstream's name.
    pub name: UpstreamName,
    /// The address it listens on.
    pub address: SocketAddr,
    /// The availability zone it runs in.
    pub zone: ZoneName,
    /// Whether it rejects commands that carry an outdated fencing number.
    pub checks_fencing: bool,
}

/// A version of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VersionEntry {
    /// The version's name.
    pub name: VersionName,
    /// The adapter that its engines load, or an empty string.
    pub adapter: String,
    /// The upstreams that run it.
    pub upstreams: Vec<Arc<UpstreamEntry>>,
}

/// A customer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CustomerEntry {
    /// The customer's name.
    pub name: CustomerName,
    /// The hashes of its bearer keys.
    pub keys: Vec<KeyHash>,
    /// The services it may call.
    pub services: Vec<ServiceName>,
    /// Its weight relative to other customers under overload.
    pub weight: u32,
    /// The maximum requests per second across all VMs; 0 means no limit.
    pub requests_per_s: u32,
    /// The maximum concurrent requests across all VMs; 0 means no limit.
    pub concurrency: u32,
}

/// The state of a move.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveState {
    /// The new version takes a share of the traffic.
    Running,
    /// The new version takes all traffic.
    Finished,
    /// The old version takes all traffic again.
    Reversed,
}

/// A move: the gradual shift of a service's traffic from one version to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MoveEntry {
    /// The version that took all traffic before the move.
    pub from: VersionName,
    /// The version that the move shifts traffic to.
    pub to: VersionName,
    /// The state of the move.
    pub state: MoveState,
    /// The new version's share, in parts per million.
    pub share_ppm: u32,
    /// When the move started, in wall-clock milliseconds.
    pub started: ClockTime,
    /// When it has to be finished, in wall-clock milliseconds.
    pub deadline: ClockTime,
    /// The revision that started it.
    pub revision: RevisionNumber,
}

/// One change of the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ConfigurationChange {
    /// Creates a service, or replaces its entry; its versions and its move stay.
    PutService(ServiceEntry),
    /// Creates a version or replaces an existing one of the same name. The first
    /// version of a service takes all its traffic.
    PutVersion {
        /// The service.
        service: ServiceName,
        /// The version.
        version: VersionEntry,
    },
    /// Creates or replaces a customer.
    PutCustomer(CustomerEntry),
    /// Starts a move to another version.
    StartMove {
        /// The service.
        service: ServiceName,
        /// The version that the move shifts traffic to.
        to: VersionName,
        /// The new version's initial share, in parts per million.
        share_ppm: u32,
        /// When the move starts, in wall-clock milliseconds.
        started: ClockTime,
        /// When it has to be finished, in wall-clock milliseconds.
        deadline: ClockTime,
    },
    /// Raises the new version's share.
    StepMove {
        /// The service.
        service: ServiceName,
        /// The revision that started the move.
        of: RevisionNumber,
        /// The new share, in parts per million.
        share_ppm: u32,
    },
    /// Ends a move with all traffic on the new version.
    FinishMove {
        /// The service.
        service: ServiceName,
        /// The revision that started the move.
        of: RevisionNumber,
    },
    /// Ends a move with all traffic on the old version.
    ReverseMove {
        /// The service.
        service: ServiceName,
        /// The revision that started the move, or none for whichever move is running.
        of: Option<RevisionNumber>,
        /// Why the move is reversed; stored as the detail of its event.
        reason: String,
    },
}

/// A change as it is stored in the platform's table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The revision that the change creates.
    pub revision: RevisionNumber,
    /// The identifier its sender gave it.
    pub change_id: String,
    /// The change.
    pub change: ConfigurationChange,
}

/// The kind of an event of a move.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveEventKind {
    /// The move started.
    Started,
    /// The new version's share was raised.
    Stepped,
    /// The move finished.
    Finished,
    /// The move was reversed.
    Reversed,
}

/// An entry of a move's history, which operators can watch.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MoveEvent {
    /// The revision that caused the event; a watch resumes after it.
    pub position: RevisionNumber,
    /// The service.
    pub service: ServiceName,
    /// The version that the move shifts traffic to.
    pub to: VersionName,
    /// The kind of event.
    pub event: MoveEventKind,
    /// The new share or the reason of a reversal; empty for a finished move.
    pub detail: String,
}

/// A service with its versions and its move.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceState {
    /// The service.
    pub entry: ServiceEntry,
    /// Its versions.
    pub versions: BTreeMap<VersionName, Arc<VersionEntry>>,
    /// The version that takes all traffic while no move is running.
    pub serving: Option<VersionName>,
    /// The most recent move, running or ended.
    pub latest_move: Option<MoveEntry>,
}

impl ServiceState {
    /// Reports whether a version was withdrawn by a reversed move and gets no more work.
    pub fn is_withdrawn(&self, version: &VersionName) -> bool {
        let latest = self.latest_move.as_ref();
        latest.is_some_and(|entry| entry.state == MoveState::Reversed && entry.to == *version)
    }

    /// Returns the versions that take traffic, each with its share in parts per million.
    pub fn shares(&self) -> Vec<(&Arc<VersionEntry>, u32)> {
        let running = self
            .latest_move
            .as_ref()
            .filter(|entry| entry.state == MoveState::Running);
        let mut shares = Vec::new();
        let moved_ppm = running.map_or(0, |entry| entry.share_ppm);
        if let Some(version) = self
            .serving
            .as_ref()
            .and_then(|name| self.versions.get(name))
        {
            shares.push((version, FULL_SHARE_PPM - moved_ppm));
        }
        if let Some(version) = running.and_then(|entry| self.versions.get(&entry.to)) {
            shares.push((version, moved_ppm));
        }
        shares
    }
}

/// Why a change can't be applied.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CatalogError {
    /// The service does not exist.
    #[error("there is no service `{0}`")]
    UnknownService(ServiceName),
    /// The version does not exist.
    #[error("service `{0}` has no version `{1}`")]
    UnknownVersion(ServiceName, VersionName),
    /// Another move is still running.
    #[error(
        "service `{0}` is already moving to version `{1}`; wait until that move ends or reverse it"
    )]
    MoveRunning(ServiceName, VersionName),
    /// The move is not running.
    #[error("service `{0}` has no such move running")]
    NoMoveRunning(ServiceName),
    /// The version already takes all traffic.
    #[error("version `{1}` already takes all traffic of service `{0}`")]
    AlreadyServing(ServiceName, VersionName),
    /// The share does not increase or reaches all traffic.
    #[error("the share must increase and stay below 1000000 parts per million")]
    InvalidShare,
    /// The change's revision is not the next one.
    #[error("the change has revision {found}, but the next revision is {expected}")]
    RevisionGap {
        /// The revision that comes next.
        expected: RevisionNumber,
        /// The revision of the change.
        found: RevisionNumber,
    },
}

/// The configuration at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct CatalogState {
    /// The revision.
    pub revision: RevisionNumber,
    /// All services by name.
    pub services: BTreeMap<ServiceName, ServiceState>,
    /// All customers by name.
    pub customers: BTreeMap<CustomerName, Arc<CustomerEntry>>,
    /// Events of moves, oldest first.
    #[serde(rename = "news")]
    pub move_events: Vec<MoveEvent>,
}

impl CatalogState {
    /// Returns the state after a change, without modifying this one.
    ///
    /// # Errors
    ///
    /// Fails if the change's revision is not the next one or if the change is not
    /// valid in this state.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::{CatalogState, ChangeRecord, ConfigurationChange, RevisionNumber};
    /// use skylarkshed_core::{ServiceEntry, ServiceKind};
    ///
    /// let entry = ServiceEntry { name: "llm".into(), kind: ServiceKind::Model, routes: vec![] };
    /// let record = ChangeRecord {
    ///     revision: RevisionNumber(1),
    ///     change_id: "first".into(),
    ///     change: ConfigurationChange::PutService(entry),
    /// };
    /// let state = CatalogState::default().apply(&record).unwrap();
    /// assert_eq!(state.revision, RevisionNumber(1));
    /// assert!(state.apply(&record).is_err());
    /// ```
    pub fn apply(&self, record: &ChangeRecord) -> Result<CatalogState, CatalogError> {
        let expected = self.revision.next();
        if record.revision != expected {
            return Err(CatalogError::RevisionGap {
                expected,
                found: record.revision,
            });
        }
        let mut state = self.clone();
        state.revision = expected;
        state.apply_change(&record.change)?;
        Ok(state)
    }
}
