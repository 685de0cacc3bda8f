//! Orders that follow an earlier order of the same service.

use serde_json::json;
use skylarkshed_stand_ins::{FakeUpstream, ScriptedResponse, APP_SERVICE};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder};
use std::time::Duration;

const ORDER_KEY: &str = "rollout/stores";
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
/// The requests of a check; the version under test gets a tenth of them.
const REQUESTS: usize = 100;

/// Starts a harness with an application of each version.
async fn start_versions() -> GatewayHarness {
    let harness = HarnessBuilder::default()
        .applications(VERSIONS.len())
        .engines(0)
        .start()
        .await;
    // All are in the VM's zone, so that none takes precedence over the others.
    for (application, version) in harness.applications.iter().zip(VERSIONS) {
        harness.register_version(application, APP_SERVICE, 0, "ready", version);
    }
    // No entry is left from the start, with which all had the same version.
    harness
        .wait_for_metric("gateway_upstreams{state=\"present\"} 3")
        .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    harness
}

fn order(harness: &GatewayHarness, target: &str) {
    let spec = json!({"service": APP_SERVICE, "target": target, "duration_s": 60.0});
    harness.store.put("op", ORDER_KEY, &spec);
}

async fn wait_for_status(harness: &GatewayHarness, target: &str, state: &str) {
    let wanted = (json!(target), json!(state));
    loop {
        let status = harness.store.row("status", ORDER_KEY);
        let found = status.map(|status| (status["target"].clone(), status["state"].clone()));
        if found.as_ref() == Some(&wanted) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Sends requests and returns the statuses other than 200 of their responses.
async fn send_requests(harness: &GatewayHarness, count: usize) -> Vec<u16> {
    let mut failed = Vec::new();
    for _ in 0..count {
        let status = harness.send_request("POST", "/book/7", "x").await.status;
        if status != 200 {
            failed.push(status);
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    failed
}

fn received(application: &FakeUpstream) -> usize {
    application.received_requests().len()
}

/// Orders the second version, which fails, and sends requests until it is rolled back.
async fn roll_back_second_version(harness: &GatewayHarness) {
    harness.applications[1].set_default_response(ScriptedResponse::failure());
    order(harness, "v2");
    let rolled_back = wait_for_status(harness, "v2", "rolled_back");
    let sending = async {
        loop {
            send_requests(harness, 1).await;
        }
    };
    tokio::select! {
        () = rolled_back => {}
        () = sending => {}
    }
}

/// Guards against a bad version that gets requests again because the next order replaces
/// the record of its rollback.
#[tokio::test]
async fn rolled_back_version_gets_no_requests_after_the_next_order() {
    let harness = start_versions().await;
    roll_back_second_version(&harness).await;
    let bad = received(&harness.applications[1]);
    order(&harness, "v3");
    wait_for_status(&harness, "v3", "running").await;
    let failed = send_requests(&harness, REQUESTS).await;
    assert_eq!(failed, Vec::<u16>::new());
    assert_eq!(received(&harness.applications[1]), bad);
    assert!(received(&harness.applications[2]) > 0, "v3 is not tested");
}

/// Guards against the same when the rollback is known from the store only.
#[tokio::test]
async fn restarted_vm_does_not_use_a_version_that_was_rolled_back_before_the_order() {
    let mut harness = start_versions().await;
    roll_back_second_version(&harness).await;
    order(&harness, "v3");
    wait_for_status(&harness, "v3", "running").await;
    harness.process.kill().await.expect("the process runs");
    let other = harness.start_other("vm-1").await;
    harness.caller_address = other.caller_address;
    skylarkshed_testsuite::wait_for_metric(
        other.metrics_address,
        "gateway_upstreams{state=\"present\"} 3",
    )
    .await;
    // A VM that has just started reads the state of the rollout within a second.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let bad = received(&harness.applications[1]);
    let failed = send_requests(&harness, REQUESTS).await;
    assert_eq!(failed, Vec::<u16>::new());
    assert_eq!(received(&harness.applications[1]), bad);
}

/// Guards against a version that gets half of the requests because another one is ordered
/// while it is tested.
#[tokio::test]
async fn version_under_test_gets_no_requests_after_the_next_order() {
    let harness = start_versions().await;
    order(&harness, "v2");
    wait_for_status(&harness, "v2", "running").await;
    send_requests(&harness, 20).await;
    order(&harness, "v3");
    wait_for_status(&harness, "v3", "running").await;
    let tested = received(&harness.applications[1]);
    let failed = send_requests(&harness, REQUESTS).await;
    assert_eq!(failed, Vec::<u16>::new());
    assert_eq!(received(&harness.applications[1]), tested);
}

/// Guards against a version under test that gets most requests because the operators order
/// the version before it again.
#[tokio::test]
async fn order_of_the_version_in_service_ends_the_test_of_another() {
    let harness = start_versions().await;
    roll_back_second_version(&harness).await;
    order(&harness, "v3");
    wait_for_status(&harness, "v3", "running").await;
    order(&harness, "v1");
    wait_for_status(&harness, "v1", "running").await;
    let before: Vec<usize> = harness.applications.iter().map(received).collect();
    let failed = send_requests(&harness, REQUESTS).await;
    assert_eq!(failed, Vec::<u16>::new());
    let after: Vec<usize> = harness.applications.iter().map(received).collect();
    assert_eq!(after, [before[0] + REQUESTS, before[1], before[2]]);
}

/// Guards against a rolled-back version that gets requests again because the operators
/// remove its order.
#[tokio::test]
async fn rolled_back_version_gets_no_requests_after_its_order_is_removed() {
    let harness = start_versions().await;
    harness
        .store
        .remove("servers", &harness.applications[2].name());
    roll_back_second_version(&harness).await;
    let bad = received(&harness.applications[1]);
    harness.store.remove("op", ORDER_KEY);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let failed = send_requests(&harness, REQUESTS).await;
    assert_eq!(failed, Vec::<u16>::new());
    assert_eq!(received(&harness.applications[1]), bad);
}

/// The other half: a version that was rolled back is tested again if it is ordered again.
#[tokio::test]
async fn version_that_is_ordered_again_is_tested_again() {
    let harness = start_versions().await;
    roll_back_second_version(&harness).await;
    let bad = received(&harness.applications[1]);
    harness.applications[1].set_default_response(ScriptedResponse::success());
    order(&harness, "v3");
    wait_for_status(&harness, "v3", "running").await;
    order(&harness, "v2");
    wait_for_status(&harness, "v2", "running").await;
    send_requests(&harness, REQUESTS).await;
    assert!(received(&harness.applications[1]) > bad);
}
