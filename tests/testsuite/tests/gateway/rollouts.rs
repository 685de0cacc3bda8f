//! Services move to other versions by an operator's order, or back.

use serde_json::json;
use skylarkshed_stand_ins::ScriptedResponse;
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder};
use std::time::Duration;

/// Starts a rig whose second application is of a new version, and orders a rollout.
async fn start_rollout(duration_s: f64, new: ScriptedResponse) -> GatewayHarness {
    let rig = HarnessBuilder::default().applications(2).start().await;
    rig.list_version(&rig.applications[1], "stores", 0, "ready", "v2");
    rig.applications[1].set_default_response(new);
    let order = json!({"service": "stores", "target": "v2", "duration_s": duration_s});
    rig.store.put("op", "rollout/stores", &order);
    rig
}

/// Sends requests until the rollout's state is no more `running`.
async fn ask_until_ended(rig: &GatewayHarness) -> (String, usize) {
    let mut sent = 0;
    loop {
        let status = rig.store.row("status", "rollout/stores");
        let state = status.map(|status| status["state"].as_str().unwrap().to_owned());
        match state.as_deref() {
            None | Some("running") => {}
            Some(state) => return (state.to_owned(), sent),
        }
        rig.ask("POST", "/book/7", "x").await;
        sent += 1;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn a_good_version_gets_all_traffic_before_its_time() {
    let rig = start_rollout(4.0, ScriptedResponse::success()).await;
    let started = std::time::Instant::now();
    let (state, sent) = ask_until_ended(&rig).await;
    assert_eq!(state, "done");
    assert!(started.elapsed() < Duration::from_secs(4));
    let new = rig.applications[1].received_requests().len();
    assert!(
        new > 0 && new * 10 <= sent + 500,
        "{new} of {sent} to the new version"
    );
    let before = rig.applications[0].received_requests().len();
    for _ in 0..10 {
        assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 200);
    }
    assert_eq!(rig.applications[0].received_requests().len(), before);
}

#[tokio::test]
async fn a_bad_version_is_left_and_gets_nothing_more() {
    let rig = start_rollout(60.0, ScriptedResponse::failure()).await;
    let (state, sent) = ask_until_ended(&rig).await;
    assert_eq!(state, "rolled_back");
    let bad = rig.applications[1].received_requests().len();
    assert!(
        bad <= 50 && bad * 10 <= sent + 500,
        "{bad} of {sent} to the bad version"
    );
    for _ in 0..50 {
        assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 200);
    }
    assert_eq!(rig.applications[1].received_requests().len(), bad);
}

#[tokio::test]
async fn a_bad_version_is_left_while_the_store_is_away() {
    let rig = start_rollout(60.0, ScriptedResponse::failure()).await;
    rig.wait_metric("gateway_config_version").await;
    while rig.store.row("status", "rollout/stores").is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    rig.store
        .set_mode(skylarkshed_stand_ins::StoreMode::Unavailable);
    let mut failed = 0;
    for _ in 0..700 {
        let answer = rig.ask("POST", "/book/7", "x").await;
        failed += u32::from(answer.status == 500);
    }
    let last = rig.applications[1].received_requests().len();
    for _ in 0..100 {
        rig.ask("POST", "/book/7", "x").await;
    }
    assert_eq!(
        rig.applications[1].received_requests().len(),
        last,
        "{failed} failed before"
    );
}
