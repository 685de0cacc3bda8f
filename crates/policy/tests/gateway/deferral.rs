//! Overloaded upstreams that state when they want to be asked again.

use skylarkshed_core::{ClockTime, UpstreamName, ZoneName};
use skylarkshed_policy::{
    choose_candidate, deferred_until, return_delay, PlacementQuery, UpstreamCandidate,
    UpstreamHealth,
};

fn millis(value: u64) -> ClockTime {
    ClockTime::from_millis(value)
}

#[test]
fn a_deferred_upstream_is_not_chosen_even_if_it_is_the_only_one() {
    let (name, zone) = (UpstreamName::from("app-1"), ZoneName::from("chag"));
    let candidate = |health| UpstreamCandidate {
        name: &name,
        zone: &zone,
        load: 0,
        health,
    };
    let query = PlacementQuery {
        zone: &zone,
        avoid: &[],
        avoid_zones: &[],
        tie_hash: 1,
        load_step: 1,
    };
    let choose = |health| choose_candidate(&query, &[candidate(health)]);
    assert_eq!(choose(UpstreamHealth::Suspect), Some(0));
    assert_eq!(choose(UpstreamHealth::Deferred), None);
}

/// Replays a burst that all upstreams refuse with the same time: the callers must not
/// return together, nor before an upstream accepts requests.
#[test]
fn refused_callers_return_spread_after_the_earliest_release() {
    let earliest = millis(400);
    let delays = (0..1_000).map(|caller| return_delay(earliest, millis(3_000), caller * 7_919));
    let delays: Vec<u64> = delays.map(ClockTime::as_millis).collect();
    assert!(delays.iter().all(|delay| (400..=500).contains(delay)));
    let in_one_tenth = delays.iter().filter(|delay| **delay < 410).count();
    assert!(in_one_tenth < 200, "{in_one_tenth} of 1000 return together");
}

#[test]
fn a_caller_is_not_told_a_time_beyond_its_longest_wait_if_it_can_be_avoided() {
    for random in 0..500 {
        assert!(return_delay(millis(980), millis(3_000), random) <= millis(1_000));
    }
    // It has to be told the truth if no upstream accepts requests before.
    assert!(return_delay(millis(2_000), millis(3_000), 3) >= millis(2_000));
}

#[test]
fn absurd_times_are_bounded() {
    let now = millis(5_000);
    assert_eq!(deferred_until(now, ClockTime::NEVER), millis(605_000));
    assert_eq!(deferred_until(now, ClockTime::ZERO), now);
}
