//! The configuration in force, revoked keys and upstreams that leave.

use serde_json::json;
use skylarkshed_stand_ins::{ScriptedResponse, StoreMode};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, KEY, OTHER_KEY};

#[tokio::test]
async fn a_vm_without_configuration_refuses_and_never_rejects() {
    let rig = HarnessBuilder::default().start_empty().await;
    rig.wait_readiness(503).await;
    let answer = rig.ask("POST", "/book/7", "x").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn a_newer_version_takes_force_and_an_older_one_never() {
    let rig = HarnessBuilder::default().start().await;
    let old = rig.config();
    let mut new = rig.config();
    new["routes"].as_array_mut().unwrap().remove(0);
    let version = new["version"].as_u64().unwrap();
    rig.put_config(&new);
    rig.wait_version(version).await;
    assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 404);
    rig.put_config(&old);
    // The order of rows tells that the older one was seen.
    rig.store
        .put("op", "rollout/none", &json!({"service": "none"}));
    rig.wait_metric("gateway_unreadable_rows_total 1").await;
    assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 404);
}

#[tokio::test]
async fn an_unreadable_configuration_leaves_the_old_one_in_force() {
    let rig = HarnessBuilder::default().start().await;
    rig.store
        .put_raw("op", "config", b"{\"version\": 9".to_vec());
    rig.wait_metric("gateway_unreadable_rows_total 1").await;
    assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 200);
}

#[tokio::test]
async fn changes_in_a_lost_history_are_read_again() {
    let rig = HarnessBuilder::default().start().await;
    rig.store.set_mode(StoreMode::Unavailable);
    rig.wait_metric("outcome=\"refused\"").await;
    let config = rig.config();
    let version = config["version"].as_u64().unwrap();
    rig.put_config(&config);
    rig.store.compact_history();
    rig.store.set_mode(StoreMode::Available);
    rig.wait_version(version).await;
}

#[tokio::test]
async fn a_revoked_key_is_rejected() {
    let rig = HarnessBuilder::default().start().await;
    let mut config = rig.config();
    config["tenants"][0]["api_keys"] = json!([]);
    let version = config["version"].as_u64().unwrap();
    rig.put_config(&config);
    rig.wait_version(version).await;
    assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 401);
    let other = GatewayHarness::request("POST", "/book/7", OTHER_KEY, "x");
    assert_eq!(rig.ask_raw(&other).await.unwrap().status, 200);
}

#[tokio::test]
async fn keys_stop_working_while_the_store_is_silent() {
    let rig = HarnessBuilder::default().revoke_ms(2_500).start().await;
    rig.store.set_mode(StoreMode::Unresponsive);
    // The VM asks to be skipped before it has to refuse.
    rig.wait_readiness(503).await;
    tokio::time::sleep(std::time::Duration::from_millis(2_500)).await;
    let answer = rig.ask("POST", "/book/7", "x").await;
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("stale_config"));
    let unknown = GatewayHarness::request("POST", "/none/7", KEY, "x");
    assert_eq!(rig.ask_raw(&unknown).await.unwrap().status, 503);
    rig.store.set_mode(StoreMode::Available);
    rig.wait_ready().await;
    assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 200);
}

#[tokio::test]
async fn a_leaving_upstream_gets_nothing_new() {
    let rig = HarnessBuilder::default().applications(2).start().await;
    rig.list_leaving(0);
    rig.wait_metric("gateway_upstreams{state=\"leaving\"} 1")
        .await;
    // An entry from before does not take the news back.
    rig.list(&rig.applications[0], "stores", 0, "ready");
    for _ in 0..4 {
        assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 200);
    }
    assert_eq!(rig.applications[0].received_requests().len(), 0);
}

#[tokio::test]
async fn an_upstream_that_is_gone_gets_nothing_new() {
    let rig = HarnessBuilder::default()
        .applications(2)
        .engines(0)
        .start()
        .await;
    rig.store.remove("servers", "app-0");
    rig.wait_metric("gateway_upstreams{state=\"present\"} 1")
        .await;
    for _ in 0..4 {
        assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 200);
    }
    assert_eq!(rig.applications[0].received_requests().len(), 0);
}

#[tokio::test]
async fn an_unreadable_entry_names_no_upstream() {
    let rig = HarnessBuilder::default()
        .applications(2)
        .engines(0)
        .start()
        .await;
    rig.store.put_raw("servers", "app-0", b"\xff\xfe".to_vec());
    rig.store
        .put("servers", "odd", &json!({"service": 7, "state": "asleep"}));
    rig.wait_metric("gateway_upstreams{state=\"present\"} 1")
        .await;
    assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 200);
    assert_eq!(rig.applications[0].received_requests().len(), 0);
}

#[tokio::test]
async fn no_upstream_is_told_as_not_run_at_once() {
    let rig = HarnessBuilder::default().applications(1).start().await;
    rig.applications[0].set_default_response(ScriptedResponse::success());
    rig.applications[0].stop();
    let answer = rig.ask("POST", "/book/7", "x").await;
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("\"outcome\":\"not_run\""));
}
