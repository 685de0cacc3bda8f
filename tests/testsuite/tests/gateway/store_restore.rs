//! The store returns from a copy some seconds old: what was written since is gone, and
//! revisions are given out again.

use serde_json::{json, Value};
use skylarkshed_testsuite::{
    config_metric, wait_for_metric, GatewayHarness, HarnessBuilder, DEPOT_KEY,
};
use std::time::{Duration, Instant};

/// Writes the next configuration and waits until it is active; returns it.
async fn activate(harness: &GatewayHarness, change: impl FnOnce(&mut Value)) -> Value {
    let mut config = harness.next_config();
    change(&mut config);
    harness.put_config(&config);
    let version = config["version"].as_u64().unwrap();
    harness.wait_for_config_version(version).await;
    config
}

async fn book(harness: &GatewayHarness) -> u16 {
    harness.send_request("POST", "/book/7", "x").await.status
}

/// Waits until the VM has noticed the new era in a table.
async fn wait_for_log(harness: &GatewayHarness, text: &str) {
    loop {
        let log = std::fs::read_to_string(&harness.log_path).unwrap_or_default();
        if log.contains(text) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

const RESTORED: &str = "the store has returned from an older copy";

#[tokio::test]
async fn configuration_does_not_fall_back_and_later_changes_arrive() {
    let harness = HarnessBuilder::default().revoke_ms(2_500).start().await;
    let other = harness.start_other("vm-2").await;
    let copy = harness.store.copy();
    let removed_route = activate(&harness, |config| {
        config["routes"].as_array_mut().unwrap().remove(0);
    })
    .await;
    let version = removed_route["version"].as_u64().unwrap();
    wait_for_metric(other.metrics_address, &config_metric(version)).await;
    harness.store.restore(&copy);
    wait_for_log(&harness, RESTORED).await;
    assert_eq!(book(&harness).await, 404);
    // The store's answers of the new era confirm the configuration as before.
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    assert_eq!(harness.send_request("GET", "/find/7", "").await.status, 200);
    let config = activate(&harness, |_| {}).await;
    let version = config["version"].as_u64().unwrap();
    wait_for_metric(other.metrics_address, &config_metric(version)).await;
    assert_eq!(book(&harness).await, 200);
}

#[tokio::test]
async fn revoked_key_stays_revoked_also_at_a_vm_that_starts_later() {
    let harness = HarnessBuilder::default().start().await;
    let copy = harness.store.copy();
    let revoked = activate(&harness, |config| {
        config["tenants"][0]["api_keys"] = json!([]);
    })
    .await;
    harness.store.restore(&copy);
    wait_for_log(&harness, RESTORED).await;
    assert_eq!(book(&harness).await, 401);
    let seeds = [harness.seed_address];
    let other = harness.start_other_with_seeds("vm-2", &seeds).await;
    let version = revoked["version"].as_u64().unwrap();
    wait_for_metric(other.metrics_address, &config_metric(version)).await;
    let mut client = skylarkshed_testsuite::RawClient::connect(other.caller_address).await;
    let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
    client.send(request.as_bytes()).await;
    assert_eq!(client.read_response().await.unwrap().status, 401);
}

#[tokio::test]
async fn revisions_that_are_given_out_again_hide_no_change() {
    let harness = HarnessBuilder::default().start().await;
    let copy = harness.store.copy();
    activate(&harness, |_| {}).await;
    for _ in 0..2 {
        harness.store.restore(&copy);
        // The revisions that the VM knows are used for other rows before it asks again.
        harness
            .store
            .put("servers", "odd", &json!({"state": "asleep"}));
        harness.register_upstreams();
        activate(&harness, |_| {}).await;
        assert_eq!(book(&harness).await, 200);
    }
}

#[tokio::test]
async fn upstream_that_the_copy_lacks_stays_in_use_until_it_registers_again() {
    let harness = HarnessBuilder::default()
        .applications(1)
        .engines(0)
        .start()
        .await;
    let entry = harness.store.row("servers", "app-0").unwrap();
    harness.store.remove("servers", "app-0");
    let copy = harness.store.copy();
    harness.store.put("servers", "app-0", &entry);
    harness
        .wait_for_metric("gateway_upstreams{state=\"present\"} 1")
        .await;
    harness.store.restore(&copy);
    wait_for_log(&harness, "upstream entry missing").await;
    assert_eq!(book(&harness).await, 200);
    harness.store.put("servers", "app-0", &entry);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(book(&harness).await, 200);
}

#[tokio::test]
async fn upstream_that_has_left_is_not_used_because_the_copy_lists_it() {
    let harness = HarnessBuilder::default()
        .applications(2)
        .engines(0)
        .start()
        .await;
    let copy = harness.store.copy();
    harness.register_leaving(0);
    harness.store.remove("servers", "app-0");
    harness
        .wait_for_metric("gateway_upstreams{state=\"present\"} 1")
        .await;
    harness.store.restore(&copy);
    wait_for_log(&harness, RESTORED).await;
    for _ in 0..8 {
        assert_eq!(book(&harness).await, 200);
    }
    assert_eq!(harness.applications[0].received_requests().len(), 0);
}

#[tokio::test]
async fn entry_of_the_vm_is_written_again() {
    let harness = HarnessBuilder::default().start().await;
    let copy = harness.store.copy();
    while harness.store.row("vms", "vm-1").is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    harness.store.restore(&copy);
    assert!(harness.store.row("vms", "vm-1").is_none());
    while harness.store.row("vms", "vm-1").is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a rollout that begins again: at its end the old upstreams were
/// stopped, so there is nothing to go back to.
#[tokio::test]
async fn ended_rollout_is_not_begun_again() {
    let harness = HarnessBuilder::default().applications(2).start().await;
    harness.register_version(&harness.applications[1], "stores", 0, "ready", "v2");
    let order = json!({"service": "stores", "target": "v2", "duration_s": 1.0});
    harness.store.put("op", "rollout/stores", &order);
    let state = || {
        let status = harness.store.row("status", "rollout/stores");
        status.map(|status| status["state"].as_str().unwrap().to_owned())
    };
    while state().as_deref() != Some("running") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let copy = harness.store.copy();
    while state().as_deref() != Some("done") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    harness.store.restore(&copy);
    // The operators write their order again, under another revision.
    harness.store.put("op", "rollout/stores", &order);
    let restored = harness.store.row("op", "rollout/stores");
    assert!(restored.is_some());
    while state().as_deref() != Some("done") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let before = harness.applications[0].received_requests().len();
    for _ in 0..20 {
        assert_eq!(book(&harness).await, 200);
    }
    assert_eq!(harness.applications[0].received_requests().len(), before);
    assert_eq!(state().as_deref(), Some("done"));
}

/// Guards against a VM that reads whole tables without a pause while the store drops its
/// history again and again.
#[tokio::test]
async fn lost_history_is_read_again_only_now_and_then() {
    let harness = HarnessBuilder::default().start().await;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2) {
        let config = harness.next_config();
        harness.put_config(&config);
        harness.store.compact_history();
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let log = std::fs::read_to_string(&harness.log_path).unwrap();
    let of_control = |line: &&str| line.contains("history lost") && line.contains("\"control\"");
    let losses = log.lines().filter(of_control).count();
    // One at once, then one every half second.
    assert!((1..=5).contains(&losses), "{losses} losses");
}
