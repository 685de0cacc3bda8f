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

/// The share of all traffic, in parts of a million.
const WHOLE_SHARE_PPM: u32 = 1_000_000;

/// What kind of upstream a service has.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that generate tokens.
    Model,
    /// Plain applications that answer quick calls.
    Plain,
}

/// A route of a plain service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// The route's name in the URL.
    pub name: String,
    /// Whether a call may be repeated.
    pub idempotent: bool,
}

/// A service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The service's name.
    pub name: ServiceName,
    /// What kind of upstream it has.
    pub kind: ServiceKind,
    /// Its routes; routes not listed are not idempotent.
    pub routes: Vec<RouteEntry>,
}

impl ServiceEntry {
    /// Tells whether a call on `route` may be repeated.
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
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone it stands in.
    pub zone: ZoneName,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// A version of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VersionEntry {
    /// The version's name.
    pub name: VersionName,
    /// The adapter its engines load, or an empty text.
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
    /// Its weight under overload.
    pub weight: u32,
    /// Requests a second over all VMs; 0 means no limit.
    pub requests_per_s: u32,
    /// Requests at one time over all VMs; 0 means no limit.
    pub concurrency: u32,
}

/// How far a move has come.
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

/// A move of a service's traffic between two versions.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MoveEntry {
    /// The version that had all traffic.
    pub from: VersionName,
    /// The version that is to take it.
    pub to: VersionName,
    /// How far the move has come.
    pub state: MoveState,
    /// The new version's share, in parts of a million.
    pub share_ppm: u32,
    /// When the move started, in wall-clock milliseconds.
    pub started: ClockTime,
    /// When it has to be done, in wall-clock milliseconds.
    pub deadline: ClockTime,
    /// The revision that started it.
    pub revision: RevisionNumber,
}

/// One change of the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ConfigurationChange {
    /// Creates or replaces a service.
    PutService(ServiceEntry),
    /// Creates a version; an existing version keeps its name and gets these upstreams.
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
        /// The version that is to take the traffic.
        to: VersionName,
        /// The first share, in parts of a million.
        share_ppm: u32,
        /// The start, in wall-clock milliseconds.
        started: ClockTime,
        /// The end, in wall-clock milliseconds.
        deadline: ClockTime,
    },
    /// Raises the new version's share.
    StepMove {
        /// The service.
        service: ServiceName,
        /// The revision that started the move.
        of: RevisionNumber,
        /// The new share, in parts of a million.
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
        /// The revision that started the move, or none for whichever runs.
        of: Option<RevisionNumber>,
        /// Why.
        reason: String,
    },
}

/// A change as it stands in the platform's table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The revision the change made.
    pub revision: RevisionNumber,
    /// The identifier its sender gave it.
    pub change_id: String,
    /// The change.
    pub change: ConfigurationChange,
}

/// What happened to a move.
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

/// News of a move; its position is the revision that made it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MoveEvent {
    /// The revision that made the news.
    pub position: RevisionNumber,
    /// The service.
    pub service: ServiceName,
    /// The version that was to take the traffic.
    pub to: VersionName,
    /// What happened.
    pub event: MoveEventKind,
    /// More about it.
    pub detail: String,
}

/// A service with its versions and its move.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceState {
    /// The service.
    pub entry: ServiceEntry,
    /// Its versions.
    pub versions: BTreeMap<VersionName, Arc<VersionEntry>>,
    /// The version with all traffic outside a move.
    pub serving: Option<VersionName>,
    /// The last move.
    pub latest_move: Option<MoveEntry>,
}

impl ServiceState {
    /// Tells whether a version was taken back and gets no work any more.
    pub fn is_withdrawn(&self, version: &VersionName) -> bool {
        let latest = self.latest_move.as_ref();
        latest.is_some_and(|entry| entry.state == MoveState::Reversed && entry.to == *version)
    }

    /// Returns the versions that take traffic, each with its share in parts of a million.
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
            shares.push((version, WHOLE_SHARE_PPM - moved_ppm));
        }
        if let Some(version) = running.and_then(|entry| self.versions.get(&entry.to)) {
            shares.push((version, moved_ppm));
        }
        shares
    }
}

/// Why a change can't be made.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CatalogError {
    /// No such service.
    #[error("there is no service `{0}`")]
    UnknownService(ServiceName),
    /// No such version.
    #[error("service `{0}` has no version `{1}`")]
    UnknownVersion(ServiceName, VersionName),
    /// A move runs already.
    #[error("service `{0}` is moving to version `{1}`; wait for its end or reverse it")]
    MoveRunning(ServiceName, VersionName),
    /// No such move runs.
    #[error("service `{0}` has no such move under way")]
    NoMoveRunning(ServiceName),
    /// The version has all traffic already.
    #[error("version `{1}` of service `{0}` has all traffic already")]
    AlreadyServing(ServiceName, VersionName),
    /// The share is above the whole or does not grow.
    #[error("the share must grow and stay below the whole")]
    InvalidShare,
    /// A revision is missing before this change.
    #[error("the change makes revision {found}, but the next one is {expected}")]
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
    /// News of moves, oldest first.
    pub news: Vec<MoveEvent>,
}

impl CatalogState {
    /// Returns the state after a change.
    ///
    /// # Errors
    ///
    /// Fails if the change is not the next one or contradicts the state; the
    /// state stays as it is.
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
        state.alter(&record.change)?;
        Ok(state)
    }
}
