//! Rollouts of a service's new version, and their rollback.

use serde_json::json;
use skylarkshed_stand_ins::ScriptedResponse;
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder};
use std::time::Duration;

/// Starts a harness whose second application runs a new version, and requests a rollout.
async fn start_rollout(duration_s: f64, new: ScriptedResponse) -> GatewayHarness {
    let harness = HarnessBuilder::default().applications(2).start().await;
    harness.register_version(&harness.applications[1], "stores", 0, "ready", "v2");
    harness.applications[1].set_default_response(new);
    let spec = json!({"service": "stores", "target": "v2", "duration_s": duration_s});
    harness.store.put("op", "rollout/stores", &spec);
    harness
}

/// Sends requests until the rollout's state is no longer `running`; returns the state
/// and the number of requests.
async fn send_until_ended(harness: &GatewayHarness) -> (String, usize) {
    let mut sent = 0;
    loop {
        let status = harness.store.row("status", "rollout/stores");
        let state = status.map(|status| status["state"].as_str().unwrap().to_owned());
        match state.as_deref() {
            None | Some("running") => {}
            Some(state) => return (state.to_owned(), sent),
        }
        harness.send_request("POST", "/book/7", "x").await;
        sent += 1;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn good_version_gets_all_traffic_before_the_deadline() {
    let harness = start_rollout(4.0, ScriptedResponse::success()).await;
    let started = std::time::Instant::now();
    let (state, sent) = send_until_ended(&harness).await;
    assert_eq!(state, "done");
    assert!(started.elapsed() < Duration::from_secs(4));
    let new = harness.applications[1].received_requests().len();
    // While a rollout is running, the new version may get a tenth of the requests; 50 more
    // are tolerated.
    assert!(
        new > 0 && new * 10 <= sent + 500,
        "{new} of {sent} to the new version"
    );
    let before = harness.applications[0].received_requests().len();
    for _ in 0..10 {
        assert_eq!(
            harness.send_request("POST", "/book/7", "x").await.status,
            200
        );
    }
    assert_eq!(harness.applications[0].received_requests().len(), before);
}

#[tokio::test]
async fn bad_version_is_rolled_back_and_gets_no_more_requests() {
    let harness = start_rollout(60.0, ScriptedResponse::failure()).await;
    let (state, sent) = send_until_ended(&harness).await;
    assert_eq!(state, "rolled_back");
    let bad = harness.applications[1].received_requests().len();
    assert!(
        bad <= 50 && bad * 10 <= sent + 500,
        "{bad} of {sent} to the bad version"
    );
    for _ in 0..50 {
        assert_eq!(
            harness.send_request("POST", "/book/7", "x").await.status,
            200
        );
    }
    assert_eq!(harness.applications[1].received_requests().len(), bad);
}

#[tokio::test]
async fn bad_version_gets_no_more_requests_while_the_store_is_unavailable() {
    let harness = start_rollout(60.0, ScriptedResponse::failure()).await;
    harness.wait_for_metric("gateway_config_version").await;
    while harness.store.row("status", "rollout/stores").is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    harness
        .store
        .set_mode(skylarkshed_stand_ins::StoreMode::Unavailable);
    let mut failed = 0;
    for _ in 0..700 {
        let response = harness.send_request("POST", "/book/7", "x").await;
        failed += u32::from(response.status == 500);
    }
    let last = harness.applications[1].received_requests().len();
    for _ in 0..100 {
        harness.send_request("POST", "/book/7", "x").await;
    }
    assert_eq!(
        harness.applications[1].received_requests().len(),
        last,
        "{failed} failed before"
    );
}
