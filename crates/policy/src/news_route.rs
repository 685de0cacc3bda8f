//! Where a VM asks for news of the platform's store.
//!
//! Each call to the store is counted and priced, and a fleet whose VMs all
//! watch it makes hundreds a second. So one VM of each availability zone, its
//! carrier, watches the store, and the others ask the carrier. A VM whose
//! carrier fails or knows nothing fresh asks the store itself, and others if
//! the store fails it as well.
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

/// A peer that failed is not asked again for this time: longer than a restart.
const AVOID_TIME: ClockTime = ClockTime::from_millis(3_000);
/// A peer that knows nothing yet has just started, and knows all in a moment.
const START_TIME: ClockTime = ClockTime::from_millis(500);
/// A VM that is no carrier leaves a store that failed it alone for this time,
/// and longer the further it is from being the carrier, so that a zone's VMs do
/// not meet: below the 3 s after which all has to be in force again.
const STORE_PAUSE: ClockTime = ClockTime::from_millis(1_600);
const STORE_PAUSE_STEP: ClockTime = ClockTime::from_millis(100);
const MOST_PAUSE_STEPS: usize = 10;
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
    pub announced: ClockTime,
}

/// Where news are asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NewsPlace {
    /// At the store.
    Store,
    /// At another VM.
    Peer(SocketAddr),
}

/// The places that one VM asks, best first.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{NewsPlace, NewsRoute};
///
/// let mut route = NewsRoute::new("vm-1".into(), "chag".into());
/// assert_eq!(route.places(ClockTime::ZERO), vec![NewsPlace::Store]);
/// ```
#[derive(Clone, Debug)]
pub struct NewsRoute {
    own: VmName,
    zone: ZoneName,
    /// The other VMs of the zone, the carrier first, and this VM's own place.
    others: Vec<SocketAddr>,
    own_place: usize,
    avoided: HashMap<SocketAddr, ClockTime>,
    /// When the store is asked again.
    store_from: ClockTime,
}

impl NewsRoute {
    /// Makes the route of a VM that knows no other.
    pub fn new(own: VmName, zone: ZoneName) -> Self {
        NewsRoute {
            own,
            zone,
            others: Vec::new(),
            own_place: 0,
            avoided: HashMap::new(),
            store_from: ClockTime::ZERO,
        }
    }

    /// Takes the VMs that are there.
    pub fn set_vms(&mut self, vms: &[VmEntry]) {
        let in_zone = vms.iter().filter(|vm| vm.zone == self.zone);
        let mut others: Vec<&VmEntry> = in_zone.filter(|vm| vm.name != self.own).collect();
        let rank = |name: &VmName| Reverse(hash_rank((&self.zone, name)));
        others.sort_by_key(|vm| rank(&vm.name));
        let own_rank = rank(&self.own);
        self.own_place = others.partition_point(|vm| rank(&vm.name) < own_rank);
        self.others = others.iter().map(|vm| vm.address).collect();
    }

    /// Notes that a peer failed or knew nothing fresh.
    pub fn avoid(&mut self, peer: SocketAddr, now: ClockTime) {
        self.avoided.insert(peer, now + AVOID_TIME);
    }

    /// Notes that a peer has only just started.
    pub fn avoid_starting(&mut self, peer: SocketAddr, now: ClockTime) {
        self.avoided.insert(peer, now + START_TIME);
    }

    /// Notes that the store failed, and that no VM that was asked knew more.
    pub fn note_all_failed(&mut self, now: ClockTime) {
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

    /// Returns the places to ask, best first.
    pub fn places(&mut self, now: ClockTime) -> Vec<NewsPlace> {
        self.avoided.retain(|_, until| now < *until);
        let is_usable = |address: &&SocketAddr| !self.avoided.contains_key(*address);
        let (better, worse) = self.others.split_at(self.own_place);
        let carrier = better.iter().find(is_usable);
        let mut places: Vec<NewsPlace> = carrier
            .map(|peer| NewsPlace::Peer(*peer))
            .into_iter()
            .collect();
        if now >= self.store_from {
            places.push(NewsPlace::Store);
        }
        let rest = better.iter().chain(worse).filter(is_usable);
        let rest = rest.filter(|peer| Some(*peer) != carrier);
        places.extend(rest.take(MOST_OTHERS).map(|peer| NewsPlace::Peer(*peer)));
        places
    }
}
