//! Rollouts of engine versions with each kind of fault, at a low rate of requests.

use rstest::rstest;
use skylarkshed_stand_ins::{FaultEffect, VersionFault};
use skylarkshed_testsuite::{
    CallerLoad, RolloutTrial, DRAFT_PATH, EXPOSURE_SHARE, EXPOSURE_SLACK, WRITE_PATH,
};
use std::time::Duration;

const DURATION: Duration = Duration::from_secs(8);
/// Some 96 streams in the time of a rollout.
const STREAMS_PER_S: f64 = 12.0;
const SLOW: VersionFault = VersionFault::new(FaultEffect::Slow(5));
const FAILING: VersionFault = VersionFault::new(FaultEffect::Failing(30));

/// Starts callers on two routes: most on the first, a quarter on the second.
fn start_two_routes(trial: &RolloutTrial, seed: u64) -> [CallerLoad; 2] {
    let vm = trial.vm_address(0);
    [
        CallerLoad::start(vm, WRITE_PATH, STREAMS_PER_S * 0.75, seed),
        CallerLoad::start(vm, DRAFT_PATH, STREAMS_PER_S * 0.25, seed + 1),
    ]
}

#[rstest]
#[case::slow(SLOW)]
#[case::failing(FAILING)]
#[case::failing_on_one_route(VersionFault::new(FaultEffect::Failing(100)).on_route(DRAFT_PATH))]
#[case::slow_later(SLOW.after(1))]
#[case::failing_later(FAILING.after(1))]
#[tokio::test]
async fn bad_version_is_rolled_back_in_time(#[case] fault: VersionFault) {
    let mut trial = RolloutTrial::start(1).await;
    trial.set_fault(Some(&fault));
    trial.order(DURATION);
    let _load = start_two_routes(&trial, 27);
    trial.assert_rolled_back().await;
}

#[rstest]
#[case::from_the_start(None)]
#[case::with_cold_engines(Some(VersionFault::new(FaultEffect::Slow(3)).until(1)))]
#[tokio::test]
async fn good_version_is_completed_in_time_at_a_low_rate(#[case] cold: Option<VersionFault>) {
    let mut trial = RolloutTrial::start(1).await;
    trial.set_fault(cold.as_ref());
    trial.order(DURATION);
    let _load = start_two_routes(&trial, 28);
    trial.assert_completed().await;
}

/// The old engines are still there, so callers need not suffer.
#[rstest]
#[case::slow(SLOW)]
#[case::failing(FAILING)]
#[tokio::test]
async fn version_that_turns_bad_after_its_completion_gets_no_more_requests(
    #[case] fault: VersionFault,
) {
    let mut trial = RolloutTrial::start(1).await;
    trial.order(DURATION);
    let load = start_two_routes(&trial, 29);
    trial.assert_completed().await;
    drop(load);
    trial.set_fault(Some(&fault));
    let load = trial.start_load(0, 60.0);
    // Some ten seconds: 50 bad responses, the time to roll back, and more.
    while load.sent_count() < 600 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let late = trial.late_requests();
    assert_eq!(late, 0, "requests too long after the 50th bad response");
}

/// More load makes a good version a little slower, which is no fault.
#[tokio::test]
async fn good_version_keeps_all_requests_after_its_completion() {
    let mut trial = RolloutTrial::start(1).await;
    trial.order(DURATION);
    let load = start_two_routes(&trial, 32);
    trial.assert_completed().await;
    drop(load);
    let before = trial.old_request_count();
    let load = trial.start_load(0, 60.0);
    while load.sent_count() < 600 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let old = trial.old_request_count() - before;
    assert_eq!(old, 0, "requests to the old version");
}

/// The share alone is too little to judge a version by at a low rate of requests.
#[tokio::test]
async fn vm_that_is_not_listed_yet_uses_its_part_of_the_reserve_later() {
    let mut trial = RolloutTrial::start(1).await;
    trial.order(DURATION);
    let load = start_two_routes(&trial, 31);
    trial.assert_completed().await;
    let sent: usize = load.iter().map(CallerLoad::sent_count).sum();
    let share = (sent as f64 * EXPOSURE_SHARE).ceil() as usize;
    let new = trial.exposure().0;
    assert!(
        new >= share + EXPOSURE_SLACK / 4,
        "only {new} of {sent} requests to the new version"
    );
}

#[tokio::test]
async fn order_that_is_written_again_begins_anew() {
    let mut trial = RolloutTrial::start(1).await;
    trial.set_fault(Some(&VersionFault::new(FaultEffect::Failing(100))));
    trial.order(DURATION);
    let _load = start_two_routes(&trial, 30);
    trial.assert_rolled_back().await;
    trial.set_fault(None);
    trial.order(DURATION);
    trial.wait_for_state("running").await;
    trial.assert_completed().await;
}

/// More engines are considered for a stream than there are of the old version.
#[tokio::test]
async fn new_version_gets_its_share_only_while_there_are_few_old_engines() {
    let mut trial = RolloutTrial::start_with_engines(1, 2).await;
    trial.order(DURATION);
    let _load = trial.start_load(0, 60.0);
    trial.wait_for_end().await;
    // It was not known to be good until now.
    trial.assert_exposure();
}
