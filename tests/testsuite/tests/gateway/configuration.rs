//! The active configuration, revoked keys and upstreams that drain.

use rstest::rstest;
use serde_json::json;
use skylarkshed_stand_ins::{ScriptedResponse, StoreMode};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, DEPOT_KEY, VENDOR_KEY};

#[tokio::test]
async fn vm_without_configuration_responds_503_and_not_4xx() {
    let harness = HarnessBuilder::default().start_empty().await;
    harness.wait_for_readiness(503).await;
    let response = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
}

#[tokio::test]
async fn newer_version_becomes_active_and_older_one_does_not() {
    let harness = HarnessBuilder::default().start().await;
    let old = harness.next_config();
    let mut new = harness.next_config();
    new["routes"].as_array_mut().unwrap().remove(0);
    let version = new["version"].as_u64().unwrap();
    harness.put_config(&new);
    harness.wait_for_config_version(version).await;
    assert_eq!(
        harness.send_request("POST", "/book/7", "x").await.status,
        404
    );
    harness.put_config(&old);
    // Rows are read in order: once this unreadable one is counted, the older
    // configuration has been read too.
    harness
        .store
        .put("op", "rollout/none", &json!({"service": "none"}));
    harness
        .wait_for_metric("gateway_unreadable_rows_total 1")
        .await;
    assert_eq!(
        harness.send_request("POST", "/book/7", "x").await.status,
        404
    );
}

#[tokio::test]
async fn unreadable_configuration_leaves_the_old_one_active() {
    let harness = HarnessBuilder::default().start().await;
    harness
        .store
        .put_raw("op", "config", b"{\"version\": 9".to_vec());
    harness
        .wait_for_metric("gateway_unreadable_rows_total 1")
        .await;
    assert_eq!(
        harness.send_request("POST", "/book/7", "x").await.status,
        200
    );
}

#[tokio::test]
async fn changes_are_read_after_the_history_was_compacted() {
    let harness = HarnessBuilder::default().start().await;
    harness.store.set_mode(StoreMode::Unavailable);
    harness.wait_for_metric("outcome=\"refused\"").await;
    let config = harness.next_config();
    let version = config["version"].as_u64().unwrap();
    harness.put_config(&config);
    harness.store.compact_history();
    harness.store.set_mode(StoreMode::Available);
    harness.wait_for_config_version(version).await;
}

#[tokio::test]
async fn revoked_key_is_rejected() {
    let harness = HarnessBuilder::default().start().await;
    let mut config = harness.next_config();
    config["tenants"][0]["api_keys"] = json!([]);
    let version = config["version"].as_u64().unwrap();
    harness.put_config(&config);
    harness.wait_for_config_version(version).await;
    assert_eq!(
        harness.send_request("POST", "/book/7", "x").await.status,
        401
    );
    let other = GatewayHarness::build_request("POST", "/book/7", VENDOR_KEY, "x");
    assert_eq!(harness.send_raw(&other).await.unwrap().status, 200);
}

/// Guards against routes that are open to everybody once the last customer is removed.
#[rstest]
#[case::revoked(DEPOT_KEY)]
#[case::unknown("no-customer-has-this")]
#[tokio::test]
async fn no_key_works_without_customers(#[case] key: &str) {
    let harness = HarnessBuilder::default().start().await;
    let mut config = harness.next_config();
    config["tenants"] = json!([]);
    config["routes"][1]["public_access"] = json!(true);
    let version = config["version"].as_u64().unwrap();
    harness.put_config(&config);
    harness.wait_for_config_version(version).await;
    for path in ["/book/7", "/write/7"] {
        let request = GatewayHarness::build_request("POST", path, key, "x");
        assert_eq!(harness.send_raw(&request).await.unwrap().status, 401);
    }
    assert_eq!(harness.application_request_count(), 0);
    let public = GatewayHarness::build_request("GET", "/find/7", key, "");
    assert_eq!(harness.send_raw(&public).await.unwrap().status, 200);
}

/// Guards against keys that are asked for although the configuration knows no customers.
#[tokio::test]
async fn no_key_is_needed_if_the_configuration_does_not_list_customers() {
    let harness = HarnessBuilder::default().start().await;
    let mut config = harness.next_config();
    config.as_object_mut().unwrap().remove("tenants");
    let version = config["version"].as_u64().unwrap();
    harness.put_config(&config);
    harness.wait_for_config_version(version).await;
    let request = GatewayHarness::build_request("POST", "/book/7", "unknown", "x");
    assert_eq!(harness.send_raw(&request).await.unwrap().status, 200);
}

#[tokio::test]
async fn keys_stop_working_while_the_store_is_unresponsive() {
    let harness = HarnessBuilder::default().revoke_ms(2_500).start().await;
    harness.store.set_mode(StoreMode::Unresponsive);
    // The VM fails its readiness check before it has to refuse requests.
    harness.wait_for_readiness(503).await;
    tokio::time::sleep(std::time::Duration::from_millis(2_500)).await;
    let response = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!(response.status, 503);
    assert!(response.body.contains("stale_config"));
    let unknown = GatewayHarness::build_request("POST", "/none/7", DEPOT_KEY, "x");
    assert_eq!(harness.send_raw(&unknown).await.unwrap().status, 503);
    harness.store.set_mode(StoreMode::Available);
    harness.wait_for_ready().await;
    assert_eq!(
        harness.send_request("POST", "/book/7", "x").await.status,
        200
    );
}

#[tokio::test]
async fn leaving_upstream_gets_no_new_requests() {
    let harness = HarnessBuilder::default().applications(2).start().await;
    harness.register_leaving(0);
    harness
        .wait_for_metric("gateway_upstreams{state=\"leaving\"} 1")
        .await;
    // A `ready` entry of the same incarnation does not undo the draining.
    harness.register(&harness.applications[0], "stores", 0, "ready");
    for _ in 0..4 {
        assert_eq!(
            harness.send_request("POST", "/book/7", "x").await.status,
            200
        );
    }
    assert_eq!(harness.applications[0].received_requests().len(), 0);
}

#[tokio::test]
async fn removed_upstream_gets_no_new_requests() {
    let harness = HarnessBuilder::default()
        .applications(2)
        .engines(0)
        .start()
        .await;
    harness.store.remove("servers", "app-0");
    harness
        .wait_for_metric("gateway_upstreams{state=\"present\"} 1")
        .await;
    for _ in 0..4 {
        assert_eq!(
            harness.send_request("POST", "/book/7", "x").await.status,
            200
        );
    }
    assert_eq!(harness.applications[0].received_requests().len(), 0);
}

#[tokio::test]
async fn upstream_with_an_unreadable_entry_gets_no_requests() {
    let harness = HarnessBuilder::default()
        .applications(2)
        .engines(0)
        .start()
        .await;
    harness
        .store
        .put_raw("servers", "app-0", b"\xff\xfe".to_vec());
    harness
        .store
        .put("servers", "odd", &json!({"service": 7, "state": "asleep"}));
    harness
        .wait_for_metric("gateway_upstreams{state=\"present\"} 1")
        .await;
    assert_eq!(
        harness.send_request("POST", "/book/7", "x").await.status,
        200
    );
    assert_eq!(harness.applications[0].received_requests().len(), 0);
}

#[tokio::test]
async fn request_without_reachable_upstream_is_refused_as_not_run() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    harness.applications[0].set_default_response(ScriptedResponse::success());
    harness.applications[0].stop();
    let response = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!(response.status, 503);
    assert!(response.body.contains("\"outcome\":\"not_run\""));
}
