//! Chooses the endpoints from which a VM reads the change feed of the platform's
//! store.
//!
//! Calls to the store are metered and billed, and a fleet in which every VM
//! watches it makes hundreds of calls per second. Therefore the VMs of an
//! availability zone read from one of them, the zone relay; the zone relays read
//! from one of themselves, the fleet relay; and only that one watches the store.
//! A VM whose relay fails or has no fresh data asks the store itself, and other
//! VMs if the store fails as well. A zone that is cut off can still use the store
//! or its own VMs.
//!
//! While the store is down for all VMs, the relays retry it often and the other
//! VMs rarely; the latter learn of its recovery from their relay. If every VM
//! retried until it got a reply, the whole fleet would call the store at the
//! moment it recovers.

use crate::rendezvous::hash_rank;
use skylarkshed_core::{ClockTime, VmName, ZoneName};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The time for which a failed peer is not asked again; it is longer than a
/// restart. It doubles with each consecutive failure, because each request to an
/// unresponsive peer costs a second.
const PEER_RETRY_DELAY: ClockTime = ClockTime::from_millis(3_000);
const MAX_DOUBLINGS: u32 = 3;
/// The time for which a peer without data is not asked again: it has just started
/// and will have the data within moments.
const STARTING_PEER_DELAY: ClockTime = ClockTime::from_millis(500);
/// The time for which a VM that is not a relay does not retry a failed store. It
/// grows by [`STORE_RETRY_DELAY_STEP`] with the VM's position in its zone, so that the
/// VMs of a zone do not retry together. The sum stays below the 3 s within which
/// everything has to be active again after an outage of the store.
const STORE_RETRY_DELAY: ClockTime = ClockTime::from_millis(1_600);
const STORE_RETRY_DELAY_STEP: ClockTime = ClockTime::from_millis(100);
const MAX_DELAY_STEPS: usize = 10;
/// Distinguishes the hash that ranks the zones from the one that ranks the VMs of
/// a zone.
const FLEET_HASH_DOMAIN: &str = "fleet";
/// The number of other VMs that are asked when the store fails; more would only
/// return the same data.
const MAX_FALLBACK_PEERS: usize = 2;

/// A VM of the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmEntry {
    /// Its name.
    pub name: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address on which it serves other VMs.
    pub address: SocketAddr,
    /// When it last announced itself, by its own wall clock.
    pub announced_at: ClockTime,
}

/// Where the change feed is read from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedEndpoint {
    /// The platform's store.
    Store,
    /// Another VM.
    Peer(SocketAddr),
}

/// Until when a peer is not asked, after failures or because it has just started.
#[derive(Clone, Copy, Debug, Default)]
struct PeerBackoff {
    retry_at: ClockTime,
    consecutive_failures: u32,
}

/// The endpoints that one VM reads from, best first.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{FeedEndpoint, FeedRoute};
///
/// let route = FeedRoute::new("vm-1".into(), "chag".into());
/// assert_eq!(route.endpoints(ClockTime::ZERO), vec![FeedEndpoint::Store]);
/// ```
#[derive(Clone, Debug)]
pub struct FeedRoute {
    own: VmName,
    zone: ZoneName,
    /// The other VMs of the zone by rank, highest first.
    zone_peers: Vec<SocketAddr>,
    /// This VM's index in the ranking of its zone; 0 is the zone relay.
    own_index: usize,
    /// The fleet relay, if this VM is the relay of another zone.
    fleet_relay: Option<SocketAddr>,
    peer_backoffs: HashMap<SocketAddr, PeerBackoff>,
    /// When the store may be asked again.
    store_retry_at: ClockTime,
}

impl FeedRoute {
    /// Creates the route of a VM that knows no other VM.
    pub fn new(own: VmName, zone: ZoneName) -> Self {
        FeedRoute {
            own,
            zone,
            zone_peers: Vec::new(),
            own_index: 0,
            fleet_relay: None,
            peer_backoffs: HashMap::new(),
            store_retry_at: ClockTime::ZERO,
        }
    }

    /// Replaces the list of existing VMs.
    pub fn set_vms(&mut self, vms: &[VmEntry]) {
        let in_zone = vms.iter().filter(|vm| vm.zone == self.zone);
        let mut zone_peers: Vec<&VmEntry> = in_zone.filter(|vm| vm.name != self.own).collect();
        let rank = |name: &VmName| Reverse(relay_rank(&self.zone, name));
        zone_peers.sort_by_key(|vm| rank(&vm.name));
        let own_rank = rank(&self.own);
        self.own_index = zone_peers.partition_point(|vm| rank(&vm.name) < own_rank);
        self.zone_peers = zone_peers.iter().map(|vm| vm.address).collect();
        self.fleet_relay = match self.own_index {
            0 => self.find_fleet_relay(vms),
            _ => None,
        };
    }

    /// Returns the relay of the highest-ranked zone, unless that is this VM's zone.
    fn find_fleet_relay(&self, vms: &[VmEntry]) -> Option<SocketAddr> {
        let zone_rank = |zone: &ZoneName| hash_rank((FLEET_HASH_DOMAIN, zone));
        let zone = vms
            .iter()
            .map(|vm| &vm.zone)
            .max_by_key(|zone| zone_rank(zone));
        let zone = zone.filter(|zone| **zone != self.zone)?;
        let in_zone = vms.iter().filter(|vm| vm.zone == *zone);
        let relay = in_zone.max_by_key(|vm| relay_rank(zone, &vm.name));
        relay.map(|vm| vm.address)
    }

    /// Marks a peer that failed or had no fresh data.
    pub fn mark_failed(&mut self, peer: SocketAddr, now: ClockTime) {
        let backoff = self.peer_backoffs.entry(peer).or_default();
        let delay_ms =
            PEER_RETRY_DELAY.as_millis() << backoff.consecutive_failures.min(MAX_DOUBLINGS);
        backoff.retry_at = now + ClockTime::from_millis(delay_ms);
        backoff.consecutive_failures += 1;
    }

    /// Marks a peer that has just started and has no data yet.
    pub fn mark_starting(&mut self, peer: SocketAddr, now: ClockTime) {
        self.peer_backoffs.entry(peer).or_default().retry_at = now + STARTING_PEER_DELAY;
    }

    /// Marks a peer that returned fresh data.
    pub fn mark_healthy(&mut self, peer: SocketAddr) {
        self.peer_backoffs.remove(&peer);
    }

    /// Records that the store failed and no VM that was asked had fresh data.
    ///
    /// A VM that is not the zone relay then waits before it retries the store. It may
    /// ask the relay again at once, as it learns of the store's recovery from there.
    pub fn mark_all_failed(&mut self, now: ClockTime) {
        let Some(relay) = self.zone_peers.first().filter(|_| self.own_index > 0) else {
            return;
        };
        self.peer_backoffs.remove(relay);
        if now < self.store_retry_at {
            return;
        }
        let steps = self.own_index.min(MAX_DELAY_STEPS) as u64;
        let delay_ms = STORE_RETRY_DELAY.as_millis() + steps * STORE_RETRY_DELAY_STEP.as_millis();
        self.store_retry_at = now + ClockTime::from_millis(delay_ms);
    }

    /// Returns the endpoints to read a whole table from, best first.
    ///
    /// The store goes first here. When a hundred VMs of a zone start at once, a table
    /// of thousands of rows for each of them would saturate the relay's link for a
    /// minute; the store has hundreds of times the bandwidth.
    pub fn snapshot_endpoints(&self, now: ClockTime) -> Vec<FeedEndpoint> {
        let mut endpoints = self.endpoints(now);
        endpoints.sort_by_key(|endpoint| *endpoint != FeedEndpoint::Store);
        endpoints
    }

    /// Returns the endpoints to read changes from, best first.
    pub fn endpoints(&self, now: ClockTime) -> Vec<FeedEndpoint> {
        let is_usable = |address: &&SocketAddr| {
            let backoff = self.peer_backoffs.get(*address);
            backoff.is_none_or(|backoff| now >= backoff.retry_at)
        };
        let (higher_ranked, lower_ranked) = self.zone_peers.split_at(self.own_index);
        let preferred = higher_ranked.iter().chain(&self.fleet_relay);
        let relay = preferred.clone().find(is_usable);
        let mut endpoints: Vec<FeedEndpoint> = relay
            .map(|peer| FeedEndpoint::Peer(*peer))
            .into_iter()
            .collect();
        if now >= self.store_retry_at {
            endpoints.push(FeedEndpoint::Store);
        }
        let fallback_peers = preferred.chain(lower_ranked).filter(is_usable);
        let fallback_peers = fallback_peers.filter(|peer| Some(*peer) != relay);
        endpoints.extend(
            fallback_peers
                .take(MAX_FALLBACK_PEERS)
                .map(|peer| FeedEndpoint::Peer(*peer)),
        );
        endpoints
    }
}

/// Returns the rank of a VM in its zone; the VM with the highest is the zone relay.
fn relay_rank(zone: &ZoneName, vm: &VmName) -> u64 {
    hash_rank((zone, vm))
}
