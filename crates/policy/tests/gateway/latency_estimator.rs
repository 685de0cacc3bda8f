//! Slow calls among quick ones, and services that are slow as a whole.

use skylarkshed_core::ClockTime;
use skylarkshed_policy::LatencyEstimator;

const OBJECTIVE: ClockTime = ClockTime::from_millis(150);

fn pace_of(times_ms: impl IntoIterator<Item = u64>) -> LatencyEstimator {
    let pace = LatencyEstimator::default();
    for time in times_ms {
        pace.record(ClockTime::from_millis(time));
    }
    pace
}

#[test]
fn slow_upstream_among_quick_ones_is_left_within_the_objective() {
    let pace = pace_of([20, 45, 30, 22, 28, 31]);
    assert!(pace.attempt_timeout(OBJECTIVE) < OBJECTIVE);
}

/// Two of three upstreams have left: the queue of the last one holds 24 calls,
/// 120 ms of work. Calls of 125 to 160 ms are all that is to be had.
#[test]
fn service_that_is_slow_as_a_whole_is_waited_for() {
    let pace = pace_of([30, 31, 28, 140, 150, 125, 160, 155, 140, 150, 148, 152]);
    assert!(pace.attempt_timeout(OBJECTIVE) > ClockTime::from_millis(300));
}

#[test]
fn patience_is_short_again_after_the_service_has_recovered() {
    let slow = [150; 40];
    let quick = [30; 40];
    let pace = pace_of(slow.into_iter().chain(quick));
    assert!(pace.attempt_timeout(OBJECTIVE) < OBJECTIVE);
}
