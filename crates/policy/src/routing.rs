//! Picks the upstream of an attempt.
//!
//! Requests with the same prefix go to the same few engines, whose caches
//! hold it, unless these carry more than their share: rendezvous hashing
//! (Thaler and Ravishankar, 1998) with bounded loads (Mirrokni, Thorup and
//! Zadimoghaddam, 2016).

use crate::rendezvous::hash_rank;
use skylarkshed_core::{UpstreamName, ZoneName};
use std::cmp::Reverse;

/// The most load of an upstream, over the mean, in hundredths.
const LOAD_FACTOR: u64 = 125;

/// Whether an upstream is to get new work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum UpstreamHealth {
    /// It works.
    Healthy,
    /// It failed or fell silent a short time ago.
    Suspect,
    /// It is about to leave and gets no new work.
    Leaving,
}

/// What a VM knows of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamView<'a> {
    /// The upstream's name.
    pub name: &'a UpstreamName,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Its requests in progress, as far as known.
    pub load: u64,
    /// This VM's requests in progress whose first token is still to come.
    pub prefills: u64,
    /// Whether it is to get new work.
    pub health: UpstreamHealth,
}

/// What is asked of the upstream.
#[derive(Clone, Debug)]
pub struct PrefixQuery<'a> {
    /// A hash of the request's prefix.
    pub prefix: u64,
    /// The availability zone of the VM.
    pub zone: &'a ZoneName,
    /// Upstreams that are not to be used.
    pub avoid: &'a [UpstreamName],
}

/// Returns the place of the upstream to use, or none if none can take work.
///
/// A leaving upstream is never returned. A suspect one is returned only if no
/// healthy one is left.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::{UpstreamName, ZoneName};
/// use skylarkshed_policy::{choose_upstream, PrefixQuery, UpstreamHealth, UpstreamView};
///
/// let (name, zone) = (UpstreamName::from("engine-1"), ZoneName::from("chag"));
/// let view = UpstreamView { name: &name, zone: &zone, load: 0, prefills: 0, health: UpstreamHealth::Healthy };
/// let query = PrefixQuery { prefix: 7, zone: &zone, avoid: &[] };
/// assert_eq!(choose_upstream(&query, &[view.clone()]), Some(0));
/// let leaving = UpstreamView { health: UpstreamHealth::Leaving, ..view };
/// assert_eq!(choose_upstream(&query, &[leaving]), None);
/// ```
pub fn choose_upstream(query: &PrefixQuery<'_>, views: &[UpstreamView<'_>]) -> Option<usize> {
    let usable = |health: UpstreamHealth| {
        let places = (0..views.len()).filter(move |&place| {
            views[place].health == health && !query.avoid.contains(views[place].name)
        });
        places.collect::<Vec<usize>>()
    };
    let healthy = usable(UpstreamHealth::Healthy);
    let places = match healthy.is_empty() {
        true => usable(UpstreamHealth::Suspect),
        false => healthy,
    };
    if !query.avoid.is_empty() {
        return least_loaded(&places, query, views);
    }
    let limit = load_limit(&places, views);
    let is_local = |&&place: &&usize| views[place].zone == query.zone;
    let local: Vec<usize> = places.iter().filter(is_local).copied().collect();
    best_below(&local, limit, query, views).or_else(|| best_below(&places, limit, query, views))
}

/// Picks the upstream that takes over after a loss.
///
/// No cache holds the answer elsewhere, so the least load goes first. A loss in
/// one availability zone speaks against the others of that zone: zones and
/// racks fail as a whole. An engine that dies sends all its answers on at once,
/// and two prefills at one engine wait for each other, so an engine without a
/// prefill goes before one with fewer requests.
fn least_loaded(
    places: &[usize],
    query: &PrefixQuery<'_>,
    views: &[UpstreamView<'_>],
) -> Option<usize> {
    let lost = views.iter().filter(|view| query.avoid.contains(view.name));
    let lost_zones: Vec<&ZoneName> = lost.map(|view| view.zone).collect();
    let key = |&place: &usize| {
        let view = &views[place];
        let rank = rank(query.prefix, view.name);
        (
            lost_zones.contains(&view.zone),
            view.prefills,
            view.load,
            Reverse(rank),
        )
    };
    places.iter().copied().min_by_key(key)
}

/// Returns the most load an upstream may have to take one request more.
fn load_limit(places: &[usize], views: &[UpstreamView<'_>]) -> u64 {
    let total: u64 = places.iter().map(|&place| views[place].load).sum();
    let count = places.len().max(1) as u64;
    ((total + 1) * LOAD_FACTOR).div_ceil(count * 100)
}

fn best_below(
    places: &[usize],
    limit: u64,
    query: &PrefixQuery<'_>,
    views: &[UpstreamView<'_>],
) -> Option<usize> {
    let below = places.iter().filter(|&&place| views[place].load < limit);
    below
        .max_by_key(|&&place| rank(query.prefix, views[place].name))
        .copied()
}

/// The rendezvous rank of an upstream for a prefix.
fn rank(prefix: u64, name: &UpstreamName) -> u64 {
    hash_rank((prefix, name))
}
