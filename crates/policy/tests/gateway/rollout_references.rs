//! What the new version of a rollout is compared with after upstreams are lost.

use rstest::rstest;
use skylarkshed_core::{ClockTime, RolloutSpec};
use skylarkshed_policy::{
    compare_rollout, decide_rollout, finish_time, ExposureLimits, FailureKind, RolloutDecision,
    RolloutSamples, RouteSamples, VersionSamples, VersionVerdict,
};

const ROUTE: &str = "ask";
const DURATION: ClockTime = ClockTime::from_millis(15_000);
const LAST_SLICE: u64 = 7;
const LIMITS: ExposureLimits = ExposureLimits {
    percent: 10,
    reserve: 50,
};

fn record_good(samples: &mut RouteSamples, count: u64) {
    samples.sent += count;
    for _ in 0..count {
        samples.record_first(ClockTime::from_millis(900));
    }
}

fn record_failures(samples: &mut RouteSamples, kind: FailureKind, count: u64) {
    samples.sent += count;
    for _ in 0..count {
        samples.record_failure(kind);
    }
}

/// Returns the samples of a rollout that begins with the loss of nearly all upstreams of the
/// old version.
fn samples_after_a_loss() -> RolloutSamples {
    let mut before = VersionSamples::default();
    record_good(before.route(ROUTE), 25);
    let mut samples = RolloutSamples::new(before);
    let old = samples.slice(0).old.route(ROUTE);
    record_failures(old, FailureKind::NoResponse, 21);
    samples
}

fn decide(samples: &RolloutSamples) -> RolloutDecision {
    let spec = RolloutSpec {
        service: "writers".into(),
        to: "v2".into(),
        duration: DURATION,
        revision: 1,
    };
    let findings = compare_rollout(samples);
    decide_rollout(&spec, LIMITS, &findings, finish_time(DURATION))
}

#[test]
fn lost_upstreams_of_the_old_version_do_not_hide_a_late_fault() {
    let mut samples = samples_after_a_loss();
    record_good(samples.slice(3).new.route(ROUTE), 16);
    let new = samples.slice(LAST_SLICE).new.route(ROUTE);
    record_good(new, 10);
    record_failures(new, FailureKind::ErrorResponse, 10);
    let fault = VersionVerdict::Fails {
        route: ROUTE.to_owned(),
    };
    assert_eq!(decide(&samples), RolloutDecision::RollBack(fault));
}

#[test]
fn good_version_is_completed_after_the_old_one_lost_its_upstreams() {
    let mut samples = samples_after_a_loss();
    for slice in 2..=LAST_SLICE {
        record_good(samples.slice(slice).new.route(ROUTE), 6);
    }
    assert_eq!(decide(&samples), RolloutDecision::Finish);
}

/// As after a restart of all VMs: half of the requests could have failed unnoticed.
#[rstest]
#[case::hardly(36, 6, RolloutDecision::RollBack(VersionVerdict::Untested))]
#[case::enough(36, 12, RolloutDecision::Finish)]
#[case::few_requests(10, 1, RolloutDecision::Finish)]
fn version_that_was_hardly_tested_is_not_completed(
    #[case] others: u64,
    #[case] tests: u64,
    #[case] expected: RolloutDecision,
) {
    let mut samples = RolloutSamples::default();
    record_good(samples.slice(1).old.route(ROUTE), others);
    record_good(samples.slice(LAST_SLICE).new.route(ROUTE), tests);
    assert_eq!(decide(&samples), expected);
}

/// A version that ends its connections is as bad as one that responds with errors.
#[rstest]
#[case::error_responses(FailureKind::ErrorResponse)]
#[case::no_responses(FailureKind::NoResponse)]
fn version_that_fails_in_one_way_is_found(#[case] kind: FailureKind) {
    let mut samples = RolloutSamples::default();
    record_good(samples.slice(1).old.route(ROUTE), 200);
    let new = samples.slice(1).new.route(ROUTE);
    record_good(new, 10);
    record_failures(new, kind, 10);
    assert!(compare_rollout(&samples).is_proven());
}
