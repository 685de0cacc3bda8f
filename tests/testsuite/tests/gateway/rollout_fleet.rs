//! Rollouts that several VMs take part in.

use rstest::rstest;
use skylarkshed_stand_ins::{FaultEffect, StoreMode, VersionFault};
use skylarkshed_testsuite::{CallerLoad, RolloutTrial, EXPOSURE_SHARE, ROLLBACK_TIME};
use std::time::Duration;

const DURATION: Duration = Duration::from_secs(8);
/// The time after which all VMs have what the operators wrote.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);
const SLOW: VersionFault = VersionFault::new(FaultEffect::Slow(5));
const FAILING: VersionFault = VersionFault::new(FaultEffect::Failing(30));

fn start_load(trial: &RolloutTrial, vms: usize, per_second: f64) -> Vec<CallerLoad> {
    let vms = 0..vms;
    vms.map(|vm| trial.start_load(vm, per_second)).collect()
}

#[rstest]
#[case::slow(SLOW)]
#[case::failing(FAILING)]
#[tokio::test]
async fn sum_over_all_vms_stays_within_what_a_bad_version_may_get(#[case] fault: VersionFault) {
    let mut trial = RolloutTrial::start(5).await;
    trial.set_fault(Some(&fault));
    trial.order(DURATION);
    let _load = start_load(&trial, 5, 8.0);
    trial.assert_rolled_back().await;
    // Streams that the rollback moves elsewhere count as well.
    tokio::time::sleep(Duration::from_secs(1)).await;
    trial.assert_exposure();
}

/// Either VM may be the one that evaluates the rollout.
#[rstest]
#[case::first(0)]
#[case::second(1)]
#[tokio::test]
async fn slow_version_is_rolled_back_after_a_vm_is_killed(#[case] killed: usize) {
    let mut trial = RolloutTrial::start(2).await;
    trial.set_fault(Some(&SLOW));
    trial.order(DURATION);
    let mut load = start_load(&trial, 2, 12.0);
    trial.wait_for_state("running").await;
    while trial.new_request_count() < 2 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // A closed connection of the killed VM must not look like a fault of the version.
    drop(load.remove(killed));
    trial.kill(killed).await;
    trial.assert_rolled_back().await;
}

#[tokio::test]
async fn failing_version_is_rolled_back_although_the_store_was_away() {
    let mut trial = RolloutTrial::start(2).await;
    trial.set_fault(Some(&FAILING));
    trial.order(DURATION);
    let _load = start_load(&trial, 2, 6.0);
    trial.wait_for_state("running").await;
    trial.harness.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(DURATION / 2).await;
    trial.harness.store.set_mode(StoreMode::Available);
    trial.assert_rolled_back().await;
}

#[tokio::test]
async fn good_version_is_completed_although_the_store_was_away() {
    let mut trial = RolloutTrial::start(2).await;
    trial.order(DURATION);
    let _load = start_load(&trial, 2, 6.0);
    trial.wait_for_state("running").await;
    trial.harness.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(DURATION / 2).await;
    trial.harness.store.set_mode(StoreMode::Available);
    trial.assert_completed().await;
}

/// The time limit counts from the order, which the VMs read when the store is back.
#[tokio::test]
async fn rollout_that_is_ordered_while_the_store_is_away_ends_in_time() {
    let mut trial = RolloutTrial::start(2).await;
    let _load = start_load(&trial, 2, 6.0);
    trial.harness.store.set_mode(StoreMode::Unavailable);
    // All VMs have seen that it is away.
    tokio::time::sleep(CONFIGURATION_TIME).await;
    trial.order(DURATION);
    tokio::time::sleep(DURATION / 4).await;
    trial.harness.store.set_mode(StoreMode::Available);
    trial.assert_completed().await;
}

#[tokio::test]
async fn vms_that_start_during_a_rollout_add_no_exposure() {
    let mut trial = RolloutTrial::start(1).await;
    trial.set_fault(Some(&SLOW));
    trial.order(DURATION);
    let mut load = start_load(&trial, 1, 12.0);
    trial.wait_for_state("running").await;
    for vm in 1..4 {
        trial.add_vm().await;
        load.push(trial.start_load(vm, 12.0));
    }
    trial.assert_rolled_back().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    trial.assert_exposure();
}

/// The VMs tell each other: the second one has seen no response of the bad version.
#[tokio::test]
async fn vm_learns_of_a_bad_version_from_another_one_while_the_store_is_away() {
    let mut trial = RolloutTrial::start(2).await;
    trial.set_fault(Some(&VersionFault::new(FaultEffect::Failing(100))));
    trial.order(Duration::from_secs(30));
    trial.wait_for_state("running").await;
    tokio::time::sleep(CONFIGURATION_TIME).await;
    trial.harness.store.set_mode(StoreMode::Unavailable);
    let load = trial.start_load(0, 60.0);
    wait_until_avoided(&trial, &load).await;
    drop(load);
    tokio::time::sleep(ROLLBACK_TIME).await;
    let before = trial.new_request_count();
    let load = trial.start_load(1, 60.0);
    while load.sent_count() < 120 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let sent = trial.new_request_count() - before;
    assert_eq!(sent, 0, "requests of the second VM to the bad version");
}

/// They did not know how much of their parts of the reserve was used before.
#[tokio::test]
async fn vms_that_are_restarted_during_a_rollout_go_on_testing_the_version() {
    let mut trial = RolloutTrial::start(3).await;
    trial.order(Duration::from_secs(14));
    let load: Vec<CallerLoad> = (1..3).map(|vm| trial.start_load(vm, 2.0)).collect();
    trial.wait_for_state("running").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    drop(load);
    for vm in 1..3 {
        trial.restart(vm).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let (new, all) = trial.exposure();
    let _load: Vec<CallerLoad> = (1..3).map(|vm| trial.start_load(vm, 2.0)).collect();
    trial.wait_for_end().await;
    let (new, all) = (trial.exposure().0 - new, trial.exposure().1 - all);
    let share = (all as f64 * EXPOSURE_SHARE).ceil() as usize;
    assert!(new > share, "only {new} of {all} requests to the version");
    trial.assert_exposure();
}

/// By the knowledge of the other VMs the rollout was running, and the version under test was
/// the only one left.
#[tokio::test]
async fn completion_of_a_rollout_refuses_no_requests() {
    let mut trial = RolloutTrial::start(3).await;
    trial.order(DURATION);
    let load = start_load(&trial, 3, 30.0);
    trial.wait_for_state("done").await;
    trial.remove_old_version();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let refused = load.iter().map(CallerLoad::refused_count);
    assert_eq!(refused.collect::<Vec<usize>>(), [0, 0, 0]);
}

/// The other two VMs have seen no bad response; one of them is not a hub.
#[tokio::test]
async fn vms_without_the_store_learn_of_a_version_that_turns_bad_after_its_completion() {
    let mut trial = RolloutTrial::start(3).await;
    trial.order(DURATION);
    let load = start_load(&trial, 3, 8.0);
    trial.assert_completed().await;
    drop(load);
    // The other VMs learn of the end from the hubs.
    tokio::time::sleep(CONFIGURATION_TIME).await;
    trial.harness.store.set_mode(StoreMode::Unavailable);
    trial.set_fault(Some(&FAILING));
    let load = trial.start_load(0, 60.0);
    wait_until_avoided(&trial, &load).await;
    drop(load);
    tokio::time::sleep(ROLLBACK_TIME).await;
    let before = trial.new_request_count();
    let load = [trial.start_load(1, 60.0), trial.start_load(2, 60.0)];
    while load.iter().any(|load| load.sent_count() < 120) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let sent = trial.new_request_count() - before;
    assert_eq!(sent, 0, "requests of the other VMs to the bad version");
}

/// It can't learn that the version is bad. A setting of three seconds, as for the other
/// tests, would let it send for longer.
#[tokio::test]
async fn vm_that_hears_no_other_stops_testing_within_a_short_rollback_time() {
    let rollback_time = Duration::from_secs(1);
    let mut trial = RolloutTrial::start_with_rollback_time(3, rollback_time).await;
    trial.order(Duration::from_secs(30));
    let _load = trial.start_load(0, 60.0);
    trial.wait_for_state("running").await;
    while trial.new_request_count() < 5 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    trial.kill(1).await;
    trial.kill(2).await;
    tokio::time::sleep(rollback_time).await;
    let before = trial.new_request_count();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let sent = trial.new_request_count() - before;
    assert_eq!(sent, 0, "requests to a version that may be bad");
}

/// A bad version is better than none.
#[tokio::test]
async fn withdrawn_version_serves_once_the_old_one_has_no_upstreams() {
    let mut trial = RolloutTrial::start(1).await;
    trial.order(DURATION);
    let load = trial.start_load(0, 20.0);
    trial.assert_completed().await;
    drop(load);
    trial.set_fault(Some(&FAILING));
    let load = trial.start_load(0, 60.0);
    wait_until_avoided(&trial, &load).await;
    let before = trial.new_request_count();
    trial.remove_old_version();
    tokio::time::sleep(CONFIGURATION_TIME).await;
    let sent = load.sent_count();
    while load.sent_count() < sent + 60 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let received = trial.new_request_count() - before;
    assert!(received >= 60, "{received} requests");
}

/// A VM without the store keeps the entries of the old version.
#[tokio::test]
async fn withdrawn_version_serves_once_the_old_one_does_not_answer() {
    let mut trial = RolloutTrial::start(1).await;
    trial.order(DURATION);
    let load = trial.start_load(0, 20.0);
    trial.assert_completed().await;
    drop(load);
    trial.set_fault(Some(&FAILING));
    let load = trial.start_load(0, 60.0);
    wait_until_avoided(&trial, &load).await;
    trial.harness.store.set_mode(StoreMode::Unavailable);
    trial.stop_old_version();
    tokio::time::sleep(CONFIGURATION_TIME).await;
    let before = trial.new_request_count();
    let sent = load.sent_count();
    while load.sent_count() < sent + 60 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let received = trial.new_request_count() - before;
    assert!(received >= 60, "{received} requests");
}

/// Waits until the new version has got some requests, but none of the last 120.
async fn wait_until_avoided(trial: &RolloutTrial, load: &CallerLoad) {
    let mut last = (0, 0);
    loop {
        let new = trial.new_request_count();
        if new != last.0 {
            last = (new, load.sent_count());
        }
        if new > 0 && load.sent_count() >= last.1 + 120 {
            return;
        }
        assert!(load.sent_count() < 3_000, "the VM still sends to it");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
