//! Moves: many seeded trials of good and bad versions.

mod trial;

use rstest::rstest;
use trial::{run_trials, Baseline, Sequential, TrialVersion};

const TRIALS: u64 = 400;
/// 99 in 100 good versions are moved in time.
const GOOD_SHARE: f64 = 0.99;
/// 99 in 100 bad versions are taken back.
const BAD_SHARE: f64 = 0.99;
/// At most this share of requests sees a bad version.
const HARM_SHARE: f64 = 0.05;

#[rstest]
#[case::identical(TrialVersion::Identical)]
#[case::noisy(TrialVersion::Noisy)]
#[case::cold_caches(TrialVersion::ColdCaches)]
fn good_versions_are_moved_in_time(#[case] version: TrialVersion) {
    let sequential = run_trials::<Sequential>(version, TRIALS);
    let baseline = run_trials::<Baseline>(version, TRIALS);
    println!("{version:?}: sequential {sequential:?}, baseline {baseline:?}");
    assert!(sequential.finished_share >= GOOD_SHARE, "{sequential:?}");
}

#[rstest]
#[case::fails_at_once(TrialVersion::FailsAtOnce)]
#[case::fails_later(TrialVersion::FailsLater)]
#[case::slow_at_once(TrialVersion::SlowAtOnce)]
#[case::slow_under_load(TrialVersion::SlowUnderLoad)]
#[case::one_route(TrialVersion::FailsOnOneRoute)]
#[case::one_customer(TrialVersion::FailsForOneCustomer)]
fn bad_versions_are_taken_back(#[case] version: TrialVersion) {
    let sequential = run_trials::<Sequential>(version, TRIALS);
    let baseline = run_trials::<Baseline>(version, TRIALS);
    println!("{version:?}: sequential {sequential:?}, baseline {baseline:?}");
    assert!(sequential.reversed_share >= BAD_SHARE, "{sequential:?}");
    assert!(sequential.harmed_share <= HARM_SHARE, "{sequential:?}");
}
