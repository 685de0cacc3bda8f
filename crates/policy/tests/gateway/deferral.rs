//! Overloaded upstreams that state when they want to be asked again.

use skylarkshed_core::{ClockTime, UpstreamName, ZoneName};
use skylarkshed_policy::{
    choose_candidate, deferred_until, outage_delay, return_delay, PlacementQuery,
    UpstreamCandidate, UpstreamHealth,
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
        refusal_permille: 0,
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

/// Replays an outage of the store for 3 s in which generations are refused that come in
/// its last two seconds. Their callers return once: those that return at once are lost.
#[test]
fn callers_that_return_after_an_outage_are_served_in_time() {
    const OUTAGE_END_MS: u64 = 3_000;
    const FIRST_EVENT_MS: u64 = 1_600;
    let target_latency = millis(4_500);
    let served_in_time = |delay: &dyn Fn(u64) -> u64| {
        let callers = (0..100).filter(|caller| {
            let came_ms = OUTAGE_END_MS - 1_800 + caller * 18;
            let returns_ms = came_ms + delay(*caller);
            returns_ms >= OUTAGE_END_MS
                && returns_ms + FIRST_EVENT_MS <= came_ms + target_latency.as_millis()
        });
        callers.count()
    };
    let spread = |caller| outage_delay(target_latency, millis(25_000), caller * 7_919).as_millis();
    assert_eq!(served_in_time(&spread), 100);
    assert!(served_in_time(&|_| 100) < 10);
}

#[test]
fn a_caller_of_a_quick_call_is_told_a_time_that_it_waits() {
    for random in 0..200 {
        let delay = outage_delay(millis(100), millis(900), random);
        assert!((240..=300).contains(&delay.as_millis()));
        assert!(outage_delay(millis(100), millis(300), random) <= millis(100));
    }
}

#[test]
fn absurd_times_are_bounded() {
    let now = millis(5_000);
    assert_eq!(deferred_until(now, ClockTime::NEVER), millis(605_000));
    assert_eq!(deferred_until(now, ClockTime::ZERO), now);
}
