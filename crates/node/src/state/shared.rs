//! State shared by all tasks of the process.

use super::admission::AdmissionController;
use super::claim_writer::ClaimWriter;
use super::configuration_store::ConfigurationStore;
use super::evidence_registry::EvidenceRegistry;
use super::sent_keys::SentKeys;
use super::upstream_registry::UpstreamRegistry;
use crate::clients::{Application, Engine, Platform};
use crate::counters;
use arc_swap::ArcSwap;
use skylarkshed_core::{
    IncarnationId, MonotonicClock, MoveEntry, MoveState, NodeSettings, RevisionNumber, ServiceName,
    ServiceState, VersionEntry, VersionName,
};
use skylarkshed_peer::{PeerClient, PeerKey};
use skylarkshed_policy::{MembershipTable, MintedKeys, WorkBudget};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// A move whose new version gets no new requests from this VM.
pub(crate) type StoppedMove = (ServiceName, RevisionNumber);

/// State shared by all tasks of the process.
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
    pub(crate) admission: AdmissionController,
    pub(crate) race_budget: WorkBudget,
    pub(crate) retry_budget: WorkBudget,
    pub(crate) claim_writer: ClaimWriter,
    pub(crate) claim_serial: AtomicU64,
    pub(crate) sent_keys: SentKeys,
    pub(crate) minted_keys: Mutex<MintedKeys>,
    pub(crate) stopped_moves: ArcSwap<HashSet<StoppedMove>>,
    pub(crate) evidence: EvidenceRegistry,
    /// Set once the configuration was pulled for the first time.
    pub(crate) is_ready: AtomicBool,
    /// Set when draining starts; the readiness check fails from then on.
    pub(crate) is_draining: AtomicBool,
    /// Set after the drain's grace period; new requests are refused from then on.
    pub(crate) is_refusing: AtomicBool,
    /// Wakes the synchronisation when another VM has a newer revision.
    pub(crate) outdated: Notify,
}

impl NodeShared {
    /// Returns the address at which other VMs reach this one.
    pub(crate) fn advertised_address(
        settings: &NodeSettings,
        listen_address: SocketAddr,
    ) -> SocketAddr {
        settings.listen.advertise_peers.unwrap_or(listen_address)
    }

    /// Returns the versions that take new requests, each with its traffic share.
    pub(crate) fn usable_shares<'a>(
        &self,
        service: &'a ServiceState,
    ) -> Vec<(&'a Arc<VersionEntry>, u32)> {
        let mut shares = service.shares();
        shares.retain(|(version, share)| {
            *share > 0 && !self.is_version_stopped(service, &version.name)
        });
        shares
    }

    /// Reports whether a version gets no requests any more, not even to resume a stream.
    pub(crate) fn is_withdrawn(&self, service: &ServiceState, version: &VersionName) -> bool {
        service.is_withdrawn(version) || self.is_version_stopped(service, version)
    }

    /// Reports whether this VM has stopped a move.
    pub(crate) fn is_move_stopped(&self, service: &ServiceName, entry: &MoveEntry) -> bool {
        self.stopped_moves
            .load()
            .contains(&(service.clone(), entry.revision))
    }

    /// Stops a move on this VM; returns false if it was stopped already.
    pub(crate) fn stop_move(&self, service: &ServiceName, revision: RevisionNumber) -> bool {
        let stopped = (service.clone(), revision);
        if self.stopped_moves.load().contains(&stopped) {
            return false;
        }
        self.stopped_moves.rcu(|known| {
            let mut known = HashSet::clone(known);
            known.insert(stopped.clone());
            known
        });
        true
    }

    fn is_version_stopped(&self, service: &ServiceState, version: &VersionName) -> bool {
        let running = service
            .latest_move
            .as_ref()
            .filter(|entry| entry.state == MoveState::Running && entry.to == *version);
        running.is_some_and(|entry| self.is_move_stopped(&service.entry.name, entry))
    }

    /// Updates the gauge of present VMs and the number of VMs that share the customers'
    /// limits.
    pub(crate) fn update_vm_count(&self) {
        let membership = self.membership.lock().expect("not poisoned");
        counters::set_present_members(membership.present().count());
        self.admission.set_vm_count(membership.expected_vm_count());
    }

    /// Returns the addresses of all other VMs that are present.
    pub(crate) fn peer_addresses(&self) -> Vec<SocketAddr> {
        let membership = self.membership.lock().expect("not poisoned");
        membership
            .present()
            .map(|(record, _)| record.address)
            .collect()
    }
}
