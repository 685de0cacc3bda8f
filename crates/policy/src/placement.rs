//! Selects the upstream of a request and the engine that holds its KV cache copy.
//!
//! Each VM knows only the load that it caused itself, so ties are broken at
//! random: if all VMs took the first of a list, they would overload it. Engines
//! of one availability zone fail together, so a copy is placed in another zone.

use crate::routing::UpstreamHealth;
use skylarkshed_core::{ClockTime, UpstreamName, ZoneName};
use std::collections::HashMap;

/// The load, in thousandths of an upstream's slots, above which a request goes to
/// another availability zone. If this VM alone uses half of the slots, the other
/// VMs of the zone probably use the rest.
const CROSS_ZONE_LOAD: u64 = 500;
/// How much a refusal rate adds to the load, per thousandth. A call goes to another
/// availability zone if more than a quarter of its requests would be refused.
const REFUSAL_LOAD: u64 = 2;
/// A zone is suspect if at least this percentage of its upstreams is: an ordinary
/// crash affects single upstreams, the failure of a rack or zone most of them.
const SUSPECT_ZONE_PERCENT: usize = 40;
/// A zone with fewer upstreams is never suspect.
const MIN_ZONE_UPSTREAMS: usize = 3;

/// An upstream that may receive a request.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCandidate<'a> {
    /// The upstream's name.
    pub name: &'a UpstreamName,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// The load that this VM knows of, in thousandths of the upstream's slots.
    pub load: u64,
    /// The share of requests that it refused recently, in thousandths.
    pub refusal_permille: u64,
    /// Whether it can receive new work.
    pub health: UpstreamHealth,
}

/// The requirements of a placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The availability zone of the VM.
    pub zone: &'a ZoneName,
    /// Upstreams that must not be used.
    pub avoid: &'a [UpstreamName],
    /// Zones that are used only if no other zone has an upstream.
    pub avoid_zones: &'a [ZoneName],
    /// A random number, or the hash of a prompt, that breaks ties.
    pub tie_hash: u64,
    /// Loads that differ by less than this, in thousandths of the slots, count as
    /// equal.
    pub load_step: u64,
}

/// Returns the index of the upstream to use, or `None` if none can take work.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::{UpstreamName, ZoneName};
/// use skylarkshed_policy::{choose_candidate, UpstreamCandidate, PlacementQuery, UpstreamHealth};
///
/// let (name, zone) = (UpstreamName::from("app-1"), ZoneName::from("chag"));
/// let health = UpstreamHealth::Healthy;
/// let candidate = UpstreamCandidate {
///     name: &name,
///     zone: &zone,
///     load: 0,
///     refusal_permille: 0,
///     health,
/// };
/// let query = PlacementQuery {
///     zone: &zone,
///     avoid: &[],
///     avoid_zones: &[],
///     tie_hash: 7,
///     load_step: 1,
/// };
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
    let usable = (0..candidates.len()).filter(|&index| {
        let candidate = &candidates[index];
        candidate.health < UpstreamHealth::Deferred && !query.avoid.contains(candidate.name)
    });
    let cost = |&index: &usize| {
        let candidate = &candidates[index];
        let is_suspect = candidate.health == UpstreamHealth::Suspect;
        let is_avoided = query.avoid_zones.contains(candidate.zone);
        let in_suspect_zone = suspect_zones.contains(&candidate.zone);
        let zone_penalty = match candidate.zone == query.zone {
            true => 0,
            false => CROSS_ZONE_LOAD,
        };
        let load = candidate.load + candidate.refusal_permille * REFUSAL_LOAD;
        let tie = crate::rendezvous::hash_rank((query.tie_hash, candidate.name));
        (
            is_suspect,
            is_avoided,
            in_suspect_zone,
            (load + zone_penalty) / query.load_step.max(1),
            tie,
        )
    };
    usable.min_by_key(cost)
}

/// Reports whether an upstream is worth another attempt of a call.
///
/// Load pattern: a zone is cut off, and its VMs reach no upstream of the others for
/// seconds. Each attempt there waits for a connection, so after a failed one, upstreams
/// that failed recently are tried only within half of the target latency; the caller is
/// told to return instead.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{is_worth_attempt, UpstreamHealth};
///
/// let (elapsed, target) = (ClockTime::from_millis(200), ClockTime::from_millis(300));
/// assert!(is_worth_attempt(UpstreamHealth::Healthy, 1, elapsed, target));
/// assert!(!is_worth_attempt(UpstreamHealth::Suspect, 1, elapsed, target));
/// ```
pub fn is_worth_attempt(
    health: UpstreamHealth,
    failed_connections: usize,
    elapsed: ClockTime,
    target_latency: ClockTime,
) -> bool {
    let half_target = ClockTime::from_millis(target_latency.as_millis() / 2);
    health == UpstreamHealth::Healthy || failed_connections == 0 || elapsed < half_target
}

/// Returns the zones many of whose upstreams failed recently.
fn suspect_zones<'a>(candidates: &[UpstreamCandidate<'a>]) -> Vec<&'a ZoneName> {
    let mut zones: HashMap<&ZoneName, (usize, usize)> = HashMap::new();
    for candidate in candidates {
        let (suspect, total) = zones.entry(candidate.zone).or_default();
        *suspect += usize::from(candidate.health == UpstreamHealth::Suspect);
        *total += 1;
    }
    let is_suspect = |(suspect, total): (usize, usize)| {
        total >= MIN_ZONE_UPSTREAMS && suspect * 100 >= total * SUSPECT_ZONE_PERCENT
    };
    let zones = zones.into_iter().filter(|(_, counts)| is_suspect(*counts));
    zones.map(|(zone, _)| zone).collect()
}
