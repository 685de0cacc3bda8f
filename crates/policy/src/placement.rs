//! Picks the upstream of a request and the engine that holds a copy of its memory.
//!
//! Each VM knows only what it sent itself, so equal candidates are drawn at
//! random: VMs that all pick the first of a list would meet there. Engines of
//! one availability zone fail together, so a copy stands in another zone.

use crate::routing::UpstreamHealth;
use skylarkshed_core::{UpstreamName, ZoneName};
use std::collections::HashMap;

/// The load, in thousandths of an upstream's slots, for which a request leaves
/// its availability zone. Half of the slots taken by one VM alone means that
/// the zone's other VMs probably take the rest.
const ZONE_LOAD: u64 = 500;
/// A zone is suspect if so many of its upstreams are, in hundredths: an
/// ordinary crash takes single ones, a rack or zone takes most.
const SUSPECT_ZONE_PERCENT: usize = 40;
/// The fewest upstreams of a zone from which its state is judged.
const LEAST_IN_ZONE: usize = 3;

/// An upstream that may get a request.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCandidate<'a> {
    /// Its name.
    pub name: &'a UpstreamName,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// The load that this VM knows of, in thousandths of its slots.
    pub load: u64,
    /// Whether it is to get new work.
    pub health: UpstreamHealth,
}

/// What is asked of the upstream.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The availability zone of the VM.
    pub zone: &'a ZoneName,
    /// Upstreams that are not to be used.
    pub avoid: &'a [UpstreamName],
    /// Zones that are used only if no other has an upstream.
    pub avoid_zones: &'a [ZoneName],
    /// A random number that decides between equals.
    pub random: u64,
}

/// Returns the place of the upstream to use, or none if none can take work.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::{UpstreamName, ZoneName};
/// use skylarkshed_policy::{choose_candidate, UpstreamCandidate, PlacementQuery, UpstreamHealth};
///
/// let (name, zone) = (UpstreamName::from("app-1"), ZoneName::from("chag"));
/// let health = UpstreamHealth::Healthy;
/// let candidate = UpstreamCandidate { name: &name, zone: &zone, load: 0, health };
/// let query = PlacementQuery { zone: &zone, avoid: &[], avoid_zones: &[], random: 7 };
/// assert_eq!(choose_candidate(&query, &[candidate]), Some(0));
/// let avoid = [name.clone()];
/// let query = PlacementQuery { avoid: &avoid, ..query };
/// assert_eq!(choose_candidate(&query, &[candidate]), None);
/// ```
pub fn choose_candidate(
    query: &PlacementQuery<'_>,
    candidates: &[UpstreamCandidate<'_>],
) -> Option<usize> {
    let suspect_zones = suspect_zones(candidates);
    let usable = (0..candidates.len()).filter(|&place| {
        let candidate = &candidates[place];
        candidate.health != UpstreamHealth::Leaving && !query.avoid.contains(candidate.name)
    });
    let cost = |&place: &usize| {
        let candidate = &candidates[place];
        let is_suspect = candidate.health == UpstreamHealth::Suspect;
        let is_avoided = query.avoid_zones.contains(candidate.zone);
        let in_suspect_zone = suspect_zones.contains(&candidate.zone);
        let distance = match candidate.zone == query.zone {
            true => 0,
            false => ZONE_LOAD,
        };
        let tie = crate::rendezvous::hash_rank((query.random, candidate.name));
        (
            is_suspect,
            is_avoided,
            in_suspect_zone,
            candidate.load + distance,
            tie,
        )
    };
    usable.min_by_key(cost)
}

/// Returns the zones most of whose upstreams failed a short time ago.
fn suspect_zones<'a>(candidates: &[UpstreamCandidate<'a>]) -> Vec<&'a ZoneName> {
    let mut zones: HashMap<&ZoneName, (usize, usize)> = HashMap::new();
    for candidate in candidates {
        let (suspect, total) = zones.entry(candidate.zone).or_default();
        *suspect += usize::from(candidate.health == UpstreamHealth::Suspect);
        *total += 1;
    }
    let is_suspect = |(suspect, total): (usize, usize)| {
        total >= LEAST_IN_ZONE && suspect * 100 >= total * SUSPECT_ZONE_PERCENT
    };
    let zones = zones.into_iter().filter(|(_, counts)| is_suspect(*counts));
    zones.map(|(zone, _)| zone).collect()
}
