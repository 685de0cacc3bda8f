//! Which requests a draining VM accepts, by how long requests last.

use skylarkshed_core::ClockTime;
use skylarkshed_policy::DurationEstimator;

const MINIMUM: ClockTime = ClockTime::from_millis(6_500);

/// Guards against streams that are accepted after the termination signal and cut at the
/// end of the grace period: there they last 7 to 8 s, longer than any fixed limit foresaw.
#[test]
fn streams_that_last_longer_than_expected_are_foreseen() {
    let estimator = DurationEstimator::new(MINIMUM);
    let durations = (0..200_u64).map(|number| 7_000 + number * 37 % 1_000);
    durations.for_each(|millis| estimator.record(ClockTime::from_millis(millis)));
    let bound = estimator.upper_bound();
    assert!(bound >= ClockTime::from_millis(7_900), "{bound:?}");
    assert!(bound <= ClockTime::from_millis(9_000), "{bound:?}");
}

#[test]
fn short_requests_do_not_lower_the_bound() {
    let estimator = DurationEstimator::new(MINIMUM);
    (0..100).for_each(|_| estimator.record(ClockTime::from_millis(30)));
    assert_eq!(estimator.upper_bound(), MINIMUM);
}
