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

use crate::rendezvous::{hash_rank, weighted_rank};
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
/// The time for which a VM without a whole table is not asked for it again. A VM that
/// starts serves no caller until it has the tables.
const TABLE_RETRY_DELAY: ClockTime = ClockTime::from_millis(100);
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
/// The fleet relay and one deputy.
const MAX_FLEET_RELAYS: usize = 2;
/// The number of VMs of its zone that a VM asks for a whole table.
const MAX_TABLE_PEERS: usize = 2;
/// How often a VM asks other VMs for a whole table before it asks the store. When all
/// VMs start together, the seeds need a moment to read the tables.
const TABLE_ROUNDS_WITHOUT_STORE: u32 = 3;
/// A VM asks the store for a whole table next after this number of VMs in succession did not
/// answer for this time: they may be gone, and each costs a timeout.
const MAX_UNANSWERED_TABLE_REQUESTS: u32 = 2;
const MAX_UNANSWERED_TIME: ClockTime = ClockTime::from_millis(900);

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
    /// Its capacity to relay, in any unit that all VMs share; 0 if unknown.
    pub capacity: u64,
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
    /// The fleet relay and its deputies, if this VM is the relay of another zone.
    fleet_relays: Vec<SocketAddr>,
    peer_backoffs: HashMap<SocketAddr, PeerBackoff>,
    /// When the store may be asked again.
    store_retry_at: ClockTime,
    /// VMs at well-known addresses, which may be outdated or down.
    seeds: Vec<SocketAddr>,
    is_seed: bool,
    is_listed: bool,
    /// How often in succession no VM had a whole table.
    failed_table_reads: u32,
    /// How many requests for a whole table in succession no VM answered, and when the
    /// first of them was sent.
    unanswered_table_requests: Option<(u32, ClockTime)>,
}

impl FeedRoute {
    /// Creates the route of a VM that knows no other VM.
    pub fn new(own: VmName, zone: ZoneName) -> Self {
        FeedRoute {
            own,
            zone,
            zone_peers: Vec::new(),
            own_index: 0,
            fleet_relays: Vec::new(),
            peer_backoffs: HashMap::new(),
            store_retry_at: ClockTime::ZERO,
            seeds: Vec::new(),
            is_seed: false,
            is_listed: false,
            failed_table_reads: 0,
            unanswered_table_requests: None,
        }
    }

    /// Sets the well-known VMs without this one; `is_seed` tells whether this VM is
    /// one of them.
    pub fn with_seeds(self, seeds: Vec<SocketAddr>, is_seed: bool) -> Self {
        FeedRoute {
            seeds,
            is_seed,
            ..self
        }
    }

    /// Reports whether this VM is at a well-known address.
    pub fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Replaces the list of existing VMs.
    pub fn set_vms(&mut self, vms: &[VmEntry]) {
        let in_zone = vms.iter().filter(|vm| vm.zone == self.zone);
        let mut zone_peers: Vec<&VmEntry> = in_zone.filter(|vm| vm.name != self.own).collect();
        let rank = |vm: &VmEntry| Reverse(relay_rank(vm));
        zone_peers.sort_by_cached_key(|vm| rank(vm));
        // A VM that is not listed yet is not a relay for others.
        let own = vms.iter().find(|vm| vm.name == self.own);
        self.is_listed = own.is_some();
        self.own_index = own.map_or(zone_peers.len(), |own| {
            let own_rank = rank(own);
            zone_peers.partition_point(|vm| rank(vm) < own_rank)
        });
        self.zone_peers = zone_peers.iter().map(|vm| vm.address).collect();
        self.fleet_relays = match self.own_index {
            0 => self.find_fleet_relays(vms),
            _ => Vec::new(),
        };
    }

    /// Returns the relay of the highest-ranked zone and its deputies, unless that is
    /// this VM's zone.
    ///
    /// A deputy reads the store itself when the relay has lost access to it.
    fn find_fleet_relays(&self, vms: &[VmEntry]) -> Vec<SocketAddr> {
        let zone_rank = |zone: &ZoneName| hash_rank((FLEET_HASH_DOMAIN, zone));
        let zone = vms
            .iter()
            .map(|vm| &vm.zone)
            .max_by_key(|zone| zone_rank(zone));
        let Some(zone) = zone.filter(|zone| **zone != self.zone) else {
            return Vec::new();
        };
        let mut in_zone: Vec<&VmEntry> = vms.iter().filter(|vm| vm.zone == *zone).collect();
        in_zone.sort_by_cached_key(|vm| Reverse(relay_rank(vm)));
        in_zone.truncate(MAX_FLEET_RELAYS);
        in_zone.iter().map(|vm| vm.address).collect()
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

    /// Marks a peer that has no whole table yet: it may have been started together with
    /// this VM.
    pub fn mark_without_table(&mut self, peer: SocketAddr, now: ClockTime) {
        self.peer_backoffs.entry(peer).or_default().retry_at = now + TABLE_RETRY_DELAY;
        self.unanswered_table_requests = None;
    }

    /// Marks a peer that did not answer a request for a whole table: it may be starting, or
    /// it is gone.
    pub fn mark_unreachable(&mut self, peer: SocketAddr, asked_at: ClockTime, now: ClockTime) {
        self.peer_backoffs.entry(peer).or_default().retry_at = now + TABLE_RETRY_DELAY;
        let (_, first_asked_at) = self.unanswered_table_requests.unwrap_or((0, asked_at));
        let count = self.unanswered_table_requests.map_or(0, |(count, _)| count);
        self.unanswered_table_requests = Some((count + 1, first_asked_at));
    }

    /// Reports whether the store is asked for a whole table before any other VM.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::ClockTime;
    /// use skylarkshed_policy::FeedRoute;
    ///
    /// let mut route = FeedRoute::new("vm-1".into(), "chag".into());
    /// let at = ClockTime::from_millis;
    /// for (number, seed) in [1, 2].into_iter().zip([[10, 1, 0, 19], [10, 1, 0, 20]]) {
    ///     assert!(!route.asks_store_first(at(500 * number)));
    ///     let asked_at = at(500 * (number - 1));
    ///     route.mark_unreachable((seed, 8_748).into(), asked_at, at(500 * number));
    /// }
    /// assert!(route.asks_store_first(at(1_000)));
    /// ```
    pub fn asks_store_first(&self, now: ClockTime) -> bool {
        let requests = self.unanswered_table_requests;
        let is_unanswered = requests.is_some_and(|(count, first_asked_at)| {
            count >= MAX_UNANSWERED_TABLE_REQUESTS
                && now.since(first_asked_at) >= MAX_UNANSWERED_TIME
        });
        is_unanswered && now >= self.store_retry_at
    }

    /// Marks a peer that returned fresh data.
    pub fn mark_healthy(&mut self, peer: SocketAddr) {
        self.peer_backoffs.remove(&peer);
        self.unanswered_table_requests = None;
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

    /// Records that no VM had a whole table.
    pub fn mark_table_failed(&mut self) {
        self.failed_table_reads += 1;
    }

    /// Records that a whole table was read.
    pub fn mark_table_read(&mut self) {
        self.failed_table_reads = 0;
        self.unanswered_table_requests = None;
    }

    /// Returns the endpoints to read a whole table from, best first; `random` spreads
    /// the load over the VMs.
    ///
    /// Any VM that serves has the tables, so a VM that starts asks some VMs of its
    /// zone, or the seeds if it knows no other VM yet. When the whole fleet starts at
    /// once, only the seeds read the store; the others get the tables from them and
    /// from each other.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::ClockTime;
    /// use skylarkshed_policy::{FeedEndpoint, FeedRoute};
    ///
    /// let seed = ([10, 1, 0, 19], 8_748).into();
    /// let route = FeedRoute::new("vm-1".into(), "chag".into()).with_seeds(vec![seed], false);
    /// assert_eq!(route.table_endpoints(ClockTime::ZERO, 7), vec![FeedEndpoint::Peer(seed)]);
    /// ```
    pub fn table_endpoints(&self, now: ClockTime, random: u64) -> Vec<FeedEndpoint> {
        let in_random_order = |peers: &[SocketAddr]| {
            let mut peers: Vec<SocketAddr> = peers.to_vec();
            peers.retain(|peer| self.is_usable(peer, now));
            peers.sort_by_cached_key(|peer| hash_rank((random, peer)));
            peers
        };
        let mut peers = in_random_order(&self.zone_peers);
        peers.truncate(MAX_TABLE_PEERS);
        peers.extend(in_random_order(&self.seeds));
        let knows_no_vm = self.zone_peers.is_empty() && self.seeds.is_empty();
        let may_read_store =
            self.is_seed || knows_no_vm || self.failed_table_reads >= TABLE_ROUNDS_WITHOUT_STORE;
        let endpoints = peers.into_iter().map(FeedEndpoint::Peer);
        let store = (may_read_store && now >= self.store_retry_at).then_some(FeedEndpoint::Store);
        endpoints.chain(store).collect()
    }

    fn is_usable(&self, peer: &SocketAddr, now: ClockTime) -> bool {
        let backoff = self.peer_backoffs.get(peer);
        backoff.is_none_or(|backoff| now >= backoff.retry_at)
    }

    /// Returns the endpoints to read changes from, best first.
    pub fn endpoints(&self, now: ClockTime) -> Vec<FeedEndpoint> {
        let is_usable = |address: &&SocketAddr| self.is_usable(address, now);
        let (higher_ranked, lower_ranked) = self.zone_peers.split_at(self.own_index);
        // Before the VMs of a new fleet have listed themselves, the seeds are the relays.
        let seeds: &[SocketAddr] = match self.is_listed || self.is_seed {
            true => &[],
            false => &self.seeds,
        };
        let preferred = higher_ranked.iter().chain(&self.fleet_relays).chain(seeds);
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
///
/// A relay sends every change to all VMs of its zone, so VMs with fast links and
/// processors are preferred.
fn relay_rank(vm: &VmEntry) -> u64 {
    weighted_rank((&vm.zone, &vm.name), vm.capacity)
}
