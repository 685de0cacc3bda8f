//! Selects the version and the upstream of an attempt.
//!
//! Requests with the same prefix go to the same few engines, whose KV caches hold
//! it, unless their load is too far above the mean: rendezvous hashing (Thaler and
//! Ravishankar, 1998) with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
//! 2016).

use crate::rendezvous::hash_rank;
use skylarkshed_core::{UpstreamName, ZoneName};
use std::cmp::Reverse;

/// The maximum load of an upstream, as a percentage of the mean load.
const MAX_LOAD_PERCENT: u64 = 125;

/// Whether an upstream can receive new work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum UpstreamHealth {
    /// It works normally.
    Healthy,
    /// It recently failed or became unresponsive.
    Suspect,
    /// It asked for no requests for a while.
    Deferred,
    /// It is draining and gets no new work.
    Leaving,
}

/// A VM's view of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamView<'a> {
    /// The upstream's name.
    pub name: &'a UpstreamName,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// The known number of requests in progress at the upstream.
    pub load: u64,
    /// The number of this VM's requests in progress without a first token.
    pub prefills: u64,
    /// Whether it can receive new work.
    pub health: UpstreamHealth,
}

/// The requirements of a selection.
#[derive(Clone, Debug)]
pub struct PrefixQuery<'a> {
    /// A hash of the request's prefix.
    pub prefix: u64,
    /// The availability zone of the VM.
    pub zone: &'a ZoneName,
    /// Upstreams that must not be used.
    pub avoid: &'a [UpstreamName],
}

/// Returns the index of the upstream to use, or `None` if none can take work.
///
/// A leaving upstream is never selected. A suspect one is selected only if there
/// is no healthy one.
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
        let indices = (0..views.len()).filter(move |&index| {
            views[index].health == health && !query.avoid.contains(views[index].name)
        });
        indices.collect::<Vec<usize>>()
    };
    let healthy = usable(UpstreamHealth::Healthy);
    let indices = match healthy.is_empty() {
        true => usable(UpstreamHealth::Suspect),
        false => healthy,
    };
    if !query.avoid.is_empty() {
        return least_loaded(&indices, query, views);
    }
    let limit = load_limit(&indices, views);
    let is_local = |&&index: &&usize| views[index].zone == query.zone;
    let local: Vec<usize> = indices.iter().filter(is_local).copied().collect();
    highest_ranked_below(&local, limit, query, views)
        .or_else(|| highest_ranked_below(&indices, limit, query, views))
}

/// Selects the upstream that takes over after a failure.
///
/// No other engine has the generation in its KV cache, so the one with the least
/// load is preferred. After a failure in one availability zone the other zones
/// are preferred, because zones and racks fail as a whole. A failed engine's
/// generations all restart elsewhere at once, and two prefills at one engine delay
/// each other, so an engine without a prefill is preferred to one with fewer
/// requests.
fn least_loaded(
    indices: &[usize],
    query: &PrefixQuery<'_>,
    views: &[UpstreamView<'_>],
) -> Option<usize> {
    let failed = views.iter().filter(|view| query.avoid.contains(view.name));
    let failed_zones: Vec<&ZoneName> = failed.map(|view| view.zone).collect();
    let key = |&index: &usize| {
        let view = &views[index];
        let rank = rank(query.prefix, view.name);
        (
            failed_zones.contains(&view.zone),
            view.prefills,
            view.load,
            Reverse(rank),
        )
    };
    indices.iter().copied().min_by_key(key)
}

/// Returns the load below which an upstream may take one more request.
fn load_limit(indices: &[usize], views: &[UpstreamView<'_>]) -> u64 {
    let total: u64 = indices.iter().map(|&index| views[index].load).sum();
    let count = indices.len().max(1) as u64;
    ((total + 1) * MAX_LOAD_PERCENT).div_ceil(count * 100)
}

fn highest_ranked_below(
    indices: &[usize],
    limit: u64,
    query: &PrefixQuery<'_>,
    views: &[UpstreamView<'_>],
) -> Option<usize> {
    let below = indices.iter().filter(|&&index| views[index].load < limit);
    below
        .max_by_key(|&&index| rank(query.prefix, views[index].name))
        .copied()
}

/// Returns the rendezvous rank of an upstream for a prefix.
fn rank(prefix: u64, name: &UpstreamName) -> u64 {
    hash_rank((prefix, name))
}

/// Chooses an item from a random value, in proportion to the shares; `None` if all are 0.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::choose_by_share;
///
/// let shares = [(&"v1", 95), (&"v2", 5)];
/// assert_eq!(choose_by_share(&shares, 94), Some(&"v1"));
/// assert_eq!(choose_by_share(&shares, 95), Some(&"v2"));
/// assert_eq!(choose_by_share(&shares, 100), Some(&"v1"));
/// ```
pub fn choose_by_share<'a, T>(shares: &[(&'a T, u32)], random: u32) -> Option<&'a T> {
    let total: u64 = shares.iter().map(|(_, share)| u64::from(*share)).sum();
    let mut remainder = u64::from(random) % total.max(1);
    for (item, share) in shares {
        if remainder < u64::from(*share) {
            return Some(item);
        }
        remainder -= u64::from(*share);
    }
    None
}
