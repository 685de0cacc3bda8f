//! Placement of requests and KV cache copies.

use skylarkshed_core::{ClockTime, UpstreamName, ZoneName};
use skylarkshed_policy::{
    choose_candidate, is_worth_attempt, PlacementQuery, UpstreamCandidate, UpstreamHealth,
};
use std::collections::BTreeSet;

struct Upstream {
    name: UpstreamName,
    zone: ZoneName,
    load: u64,
    refusal_permille: u64,
    health: UpstreamHealth,
}

fn upstreams(zones: usize, per_zone: usize) -> Vec<Upstream> {
    let all = (0..zones * per_zone).map(|number| Upstream {
        name: UpstreamName::new(format!("up-{number}")),
        zone: ZoneName::new(format!("zone-{}", number % zones)),
        load: 0,
        refusal_permille: 0,
        health: UpstreamHealth::Healthy,
    });
    all.collect()
}

fn choose(upstreams: &[Upstream], random: u64) -> Option<usize> {
    let zone = ZoneName::from("zone-0");
    choose_with(upstreams, &zone, &[], random)
}

fn choose_with(
    upstreams: &[Upstream],
    zone: &ZoneName,
    avoid_zones: &[ZoneName],
    random: u64,
) -> Option<usize> {
    let candidates = upstreams.iter().map(|upstream| UpstreamCandidate {
        name: &upstream.name,
        zone: &upstream.zone,
        load: upstream.load,
        refusal_permille: upstream.refusal_permille,
        health: upstream.health,
    });
    let candidates: Vec<UpstreamCandidate<'_>> = candidates.collect();
    let query = PlacementQuery {
        zone,
        avoid: &[],
        avoid_zones,
        tie_hash: random,
        load_step: 1,
    };
    choose_candidate(&query, &candidates)
}

#[test]
fn the_own_zone_is_preferred_until_its_upstream_is_half_loaded() {
    let mut all = upstreams(3, 1);
    assert_eq!(choose(&all, 1), Some(0));
    all[0].load = 499;
    assert_eq!(choose(&all, 1), Some(0));
    all[0].load = 501;
    assert_ne!(choose(&all, 1), Some(0));
}

#[test]
fn ties_are_broken_at_random() {
    let all = upstreams(1, 8);
    let chosen: BTreeSet<Option<usize>> = (0..200).map(|random| choose(&all, random)).collect();
    assert_eq!(chosen.len(), 8);
}

#[test]
fn leaving_upstreams_are_never_chosen_and_suspect_ones_last() {
    let mut all = upstreams(1, 3);
    all[0].health = UpstreamHealth::Leaving;
    all[1].health = UpstreamHealth::Suspect;
    assert!((0..50).all(|random| choose(&all, random) == Some(2)));
    all[2].health = UpstreamHealth::Leaving;
    assert_eq!(choose(&all, 1), Some(1));
    all[1].health = UpstreamHealth::Leaving;
    assert_eq!(choose(&all, 1), None);
}

/// Guards against requests to a failed zone: its engines fail together, including
/// those that no request has reached since.
#[test]
fn a_zone_with_many_failed_upstreams_is_avoided() {
    let mut all = upstreams(3, 8);
    for upstream in all
        .iter_mut()
        .filter(|up| up.zone.as_str() == "zone-0")
        .take(4)
    {
        upstream.health = UpstreamHealth::Suspect;
    }
    for random in 0..50 {
        let chosen = choose(&all, random).unwrap();
        assert_ne!(all[chosen].zone.as_str(), "zone-0");
    }
}

#[test]
fn a_copy_is_placed_in_another_zone_if_there_is_one() {
    let zone = ZoneName::from("zone-0");
    let avoid = [zone.clone()];
    let all = upstreams(3, 2);
    for random in 0..50 {
        let chosen = choose_with(&all, &zone, &avoid, random).unwrap();
        assert_ne!(all[chosen].zone, zone);
    }
    let single = upstreams(1, 2);
    assert!(choose_with(&single, &zone, &avoid, 1).is_some());
}

/// Replays calls in a zone that is cut off: each connection times out after 100 ms, and
/// four upstreams of other zones failed recently.
#[test]
fn a_call_in_a_cut_off_zone_is_refused_within_its_target_latency() {
    let target_latency = ClockTime::from_millis(300);
    let mut elapsed_ms = 0;
    for failed_connections in 0..4 {
        let elapsed = ClockTime::from_millis(elapsed_ms);
        let suspect = UpstreamHealth::Suspect;
        if !is_worth_attempt(suspect, failed_connections, elapsed, target_latency) {
            break;
        }
        elapsed_ms += 100;
    }
    assert!(elapsed_ms < target_latency.as_millis(), "{elapsed_ms} ms");
    let late = ClockTime::from_millis(900);
    assert!(is_worth_attempt(
        UpstreamHealth::Healthy,
        3,
        late,
        target_latency
    ));
}

/// Guards against calls that are refused by one shedding upstream while others have room.
#[test]
fn an_upstream_that_refuses_much_is_avoided_until_all_do() {
    let mut all = upstreams(3, 1);
    all[0].refusal_permille = 240;
    assert_eq!(choose(&all, 1), Some(0));
    all[0].refusal_permille = 260;
    assert_ne!(choose(&all, 1), Some(0));
    for upstream in &mut all {
        upstream.refusal_permille = 260;
    }
    assert_eq!(choose(&all, 1), Some(0));
}
