//! Attempt timeouts for single slow calls and for services that are slow as a whole.

use skylarkshed_core::ClockTime;
use skylarkshed_policy::LatencyEstimator;

const TARGET_LATENCY: ClockTime = ClockTime::from_millis(150);

fn estimator_with(latencies_ms: impl IntoIterator<Item = u64>) -> LatencyEstimator {
    let estimator = LatencyEstimator::default();
    for latency in latencies_ms {
        estimator.record(ClockTime::from_millis(latency));
    }
    estimator
}

#[test]
fn timeout_for_a_slow_upstream_among_fast_ones_is_within_the_target_latency() {
    let estimator = estimator_with([20, 45, 30, 22, 28, 31]);
    assert!(estimator.attempt_timeout(TARGET_LATENCY) < TARGET_LATENCY);
}

/// Guards against cutting off calls that no other upstream would serve faster: two
/// of three upstreams have left, the queue of the last one holds 24 calls, that is,
/// 120 ms of work, and every call takes 125 to 160 ms.
#[test]
fn timeout_grows_for_a_service_that_is_slow_as_a_whole() {
    let estimator = estimator_with([30, 31, 28, 140, 150, 125, 160, 155, 140, 150, 148, 152]);
    assert!(estimator.attempt_timeout(TARGET_LATENCY) > ClockTime::from_millis(300));
}

#[test]
fn timeout_shrinks_after_the_service_has_recovered() {
    let slow = [150; 40];
    let fast = [30; 40];
    let estimator = estimator_with(slow.into_iter().chain(fast));
    assert!(estimator.attempt_timeout(TARGET_LATENCY) < TARGET_LATENCY);
}
