//! Where a VM asks for news of the platform's store.
//!
//! Each call to the store is counted and priced, and a fleet whose VMs all
//! watch it makes hundreds a second. So the VMs of an availability zone ask one
//! of them, the zone's carrier; the carriers ask one of themselves, the fleet's
//! carrier; and that one watches the store. A VM whose carrier fails or knows
//! nothing fresh asks the store itself, and others if the store fails it as
//! well. So a zone that is cut off has the store, or its own VMs.
//!
//! The load that it answers: the store is down for all. Were every VM to try it
//! until it answers, its return would meet the calls of the whole fleet at once.
//! The carriers try it often, the others seldom, and these learn of its return
//! from their carrier.

use crate::rendezvous::hash_rank;
use skylarkshed_core::{ClockTime, VmName, ZoneName};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A peer that failed is not asked again for this time, longer than a restart;
/// it doubles with each failure in a row, as a silent peer costs a second.
const AVOID_TIME: ClockTime = ClockTime::from_millis(3_000);
const MOST_DOUBLINGS: u32 = 3;
/// A peer that knows nothing yet has just started, and knows all in a moment.
const START_TIME: ClockTime = ClockTime::from_millis(500);
/// A VM that is no carrier leaves a store that failed it alone for this time,
/// and longer the further it is from being the carrier, so that a zone's VMs do
/// not meet: below the 3 s after which all has to be in force again.
const STORE_PAUSE: ClockTime = ClockTime::from_millis(1_600);
const STORE_PAUSE_STEP: ClockTime = ClockTime::from_millis(100);
const MOST_PAUSE_STEPS: usize = 10;
/// Part of the hash that orders the zones, unlike that of the VMs in a zone.
const FLEET: &str = "fleet";
/// Other VMs that are asked when the store fails: more would only tell the same.
const MOST_OTHERS: usize = 2;

/// A VM of the system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmEntry {
    /// Its name.
    pub name: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it answers other VMs.
    pub address: SocketAddr,
    /// When it last said that it is there, by its wall clock.
    pub announced_at: ClockTime,
}

/// Where news are asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedEndpoint {
    /// At the store.
    Store,
    /// At another VM.
    Peer(SocketAddr),
}

/// How often a peer failed, and until when it is not asked.
#[derive(Clone, Copy, Debug, Default)]
struct PeerFailure {
    until: ClockTime,
    in_row: u32,
}

/// The places that one VM asks, best first.
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
    /// The other VMs of the zone, the carrier first, and this VM's own place.
    others: Vec<SocketAddr>,
    own_place: usize,
    /// The fleet's carrier, if this VM is the carrier of another zone.
    fleet_carrier: Option<SocketAddr>,
    avoided: HashMap<SocketAddr, PeerFailure>,
    /// When the store is asked again.
    store_from: ClockTime,
}

impl FeedRoute {
    /// Makes the route of a VM that knows no other.
    pub fn new(own: VmName, zone: ZoneName) -> Self {
        FeedRoute {
            own,
            zone,
            others: Vec::new(),
            own_place: 0,
            fleet_carrier: None,
            avoided: HashMap::new(),
            store_from: ClockTime::ZERO,
        }
    }

    /// Takes the VMs that are there.
    pub fn set_vms(&mut self, vms: &[VmEntry]) {
        let in_zone = vms.iter().filter(|vm| vm.zone == self.zone);
        let mut others: Vec<&VmEntry> = in_zone.filter(|vm| vm.name != self.own).collect();
        let rank = |name: &VmName| Reverse(carrier_rank(&self.zone, name));
        others.sort_by_key(|vm| rank(&vm.name));
        let own_rank = rank(&self.own);
        self.own_place = others.partition_point(|vm| rank(&vm.name) < own_rank);
        self.others = others.iter().map(|vm| vm.address).collect();
        self.fleet_carrier = match self.own_place {
            0 => self.find_fleet_carrier(vms),
            _ => None,
        };
    }

    /// Returns the first of the zones' carriers, unless it is this VM.
    fn find_fleet_carrier(&self, vms: &[VmEntry]) -> Option<SocketAddr> {
        let zone_rank = |zone: &ZoneName| hash_rank((FLEET, zone));
        let zone = vms
            .iter()
            .map(|vm| &vm.zone)
            .max_by_key(|zone| zone_rank(zone));
        let zone = zone.filter(|zone| **zone != self.zone)?;
        let in_zone = vms.iter().filter(|vm| vm.zone == *zone);
        let carrier = in_zone.max_by_key(|vm| carrier_rank(zone, &vm.name));
        carrier.map(|vm| vm.address)
    }

    /// Notes that a peer failed or knew nothing fresh.
    pub fn mark_failed(&mut self, peer: SocketAddr, now: ClockTime) {
        let failure = self.avoided.entry(peer).or_default();
        let time_ms = AVOID_TIME.as_millis() << failure.in_row.min(MOST_DOUBLINGS);
        failure.until = now + ClockTime::from_millis(time_ms);
        failure.in_row += 1;
    }

    /// Notes that a peer has only just started.
    pub fn mark_starting(&mut self, peer: SocketAddr, now: ClockTime) {
        self.avoided.entry(peer).or_default().until = now + START_TIME;
    }

    /// Notes that a peer told news.
    pub fn mark_healthy(&mut self, peer: SocketAddr) {
        self.avoided.remove(&peer);
    }

    /// Notes that the store failed, and that no VM that was asked knew more.
    pub fn mark_all_failed(&mut self, now: ClockTime) {
        let Some(carrier) = self.others.first().filter(|_| self.own_place > 0) else {
            return;
        };
        self.avoided.remove(carrier);
        if now < self.store_from {
            return;
        }
        let steps = self.own_place.min(MOST_PAUSE_STEPS) as u64;
        let pause_ms = STORE_PAUSE.as_millis() + steps * STORE_PAUSE_STEP.as_millis();
        self.store_from = now + ClockTime::from_millis(pause_ms);
    }

    /// Returns the places to ask for a whole table, best first.
    ///
    /// The load that it answers: a hundred VMs of a zone start at once. A table
    /// of thousands of rows sent to each of them fills a carrier's link for a
    /// minute; the store's is hundreds of times as wide.
    pub fn snapshot_endpoints(&self, now: ClockTime) -> Vec<FeedEndpoint> {
        let mut places = self.endpoints(now);
        places.sort_by_key(|place| *place != FeedEndpoint::Store);
        places
    }

    /// Returns the places to ask for changes, best first.
    pub fn endpoints(&self, now: ClockTime) -> Vec<FeedEndpoint> {
        let is_usable = |address: &&SocketAddr| {
            let failure = self.avoided.get(*address);
            failure.is_none_or(|failure| now >= failure.until)
        };
        let (better, worse) = self.others.split_at(self.own_place);
        let better_ones = better.iter().chain(&self.fleet_carrier);
        let carrier = better_ones.clone().find(is_usable);
        let mut places: Vec<FeedEndpoint> = carrier
            .map(|peer| FeedEndpoint::Peer(*peer))
            .into_iter()
            .collect();
        if now >= self.store_from {
            places.push(FeedEndpoint::Store);
        }
        let rest = better_ones.chain(worse).filter(is_usable);
        let rest = rest.filter(|peer| Some(*peer) != carrier);
        places.extend(rest.take(MOST_OTHERS).map(|peer| FeedEndpoint::Peer(*peer)));
        places
    }
}

/// Returns the rank of a VM in its zone; the highest is the zone's carrier.
fn carrier_rank(zone: &ZoneName, vm: &VmName) -> u64 {
    hash_rank((zone, vm))
}
