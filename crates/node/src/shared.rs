//! What all tasks of a process share.

use crate::claim_writer::ClaimWriter;
use crate::configuration::ConfigurationStore;
use crate::places::PlaceKeeper;
use crate::registry::UpstreamRegistry;
use crate::seams::{Application, Engine, Platform};
use arc_swap::ArcSwap;
use skylarkshed_core::{IncarnationId, MonotonicClock, NodeSettings, ServiceName, VersionName};
use skylarkshed_peer::{PeerClient, PeerKey};
use skylarkshed_policy::{MembershipTable, MintedKeys, WorkBudget};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::Mutex;
use tokio::sync::Notify;

/// A version that gets no new work from this VM.
pub(crate) type StoppedVersion = (ServiceName, VersionName);

/// What all tasks of a process share.
pub(crate) struct NodeShared {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: MonotonicClock,
    pub(crate) incarnation: IncarnationId,
    pub(crate) peer_key: PeerKey,
    pub(crate) platform: Platform,
    pub(crate) engine: Engine,
    pub(crate) application: Application,
    pub(crate) peers: PeerClient,
    pub(crate) configuration: ConfigurationStore,
    pub(crate) registry: UpstreamRegistry,
    pub(crate) membership: Mutex<MembershipTable>,
    pub(crate) places: PlaceKeeper,
    pub(crate) race_budget: WorkBudget,
    pub(crate) retry_budget: WorkBudget,
    pub(crate) claims: ClaimWriter,
    pub(crate) claim_serial: AtomicU64,
    pub(crate) minted: Mutex<MintedKeys>,
    pub(crate) stopped: ArcSwap<HashSet<StoppedVersion>>,
    pub(crate) ready: AtomicBool,
    pub(crate) draining: AtomicBool,
    pub(crate) refusing: AtomicBool,
    /// Woken when this VM lags behind another.
    pub(crate) behind: Notify,
}

impl NodeShared {
    /// Returns the address that other VMs send to.
    pub(crate) fn advertised(settings: &NodeSettings, listening: SocketAddr) -> SocketAddr {
        settings.listen.advertise_peers.unwrap_or(listening)
    }

    /// Returns the addresses of all other VMs that are there.
    pub(crate) fn peer_addresses(&self) -> Vec<SocketAddr> {
        let membership = self.membership.lock().expect("not poisoned");
        membership
            .present()
            .map(|(record, _)| record.address)
            .collect()
    }
}
