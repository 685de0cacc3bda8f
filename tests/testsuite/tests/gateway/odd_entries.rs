//! Entries of another writer among those of upstreams, operators and VMs.

use rstest::rstest;
use serde_json::{json, Value};
use skylarkshed_stand_ins::{ScriptedResponse, StreamEnd};
use skylarkshed_testsuite::{
    config_metric, wait_for_metric, GatewayHarness, HarnessBuilder, DEPOT_KEY,
};

/// The tables that VMs read.
const TABLES: [&str; 4] = ["servers", "op", "vms", "blocks"];
/// Deeper than any parser that calls itself can read.
const NESTING: usize = 100_000;

/// Returns an entry with all fields of the entries of upstreams and of VMs.
fn entry(field: &str, value: &Value) -> Vec<u8> {
    let mut entry = json!({
        "service": "stores", "address": "127.0.0.1:1", "zone": "zone-0", "version": "v1",
        "slots": 8, "state": "ready", "cold_remaining_ms": 0, "born": 1, "sequence": 1,
        "announced_ms": 1, "capacity": 1, "parts": ["a"], "round": 1, "is_lifted": false, "failed_probes": 1,
    });
    entry[field] = value.clone();
    entry.to_string().into_bytes()
}

/// Replaces the text of a number that JSON values can't hold.
fn entry_with_text(field: &str, text: &str) -> Vec<u8> {
    let entry = String::from_utf8(entry(field, &json!("number"))).expect("JSON is text");
    entry.replace("\"number\"", text).into_bytes()
}

/// Guards against a VM that ends, or stops following a table, after it has read an entry.
#[rstest]
#[case::deeply_nested("[".repeat(NESTING).into_bytes())]
#[case::nested_field(entry_with_text("zone", &format!("{}{}", "[".repeat(NESTING), "]".repeat(NESTING))))]
#[case::unknown_nested_field(entry_with_text("more", &format!("{}{}", "[".repeat(NESTING), "]".repeat(NESTING))))]
#[case::huge_number(entry_with_text("born", "1e400"))]
#[case::long_number(entry_with_text("slots", &"9".repeat(400)))]
#[case::largest_start(entry("born", &json!(u64::MAX)))]
#[case::largest_slots(entry("slots", &json!(u32::MAX)))]
#[case::no_slots(entry("slots", &json!(0)))]
#[case::negative_slots(entry("slots", &json!(-1)))]
#[case::largest_capacity(entry("capacity", &json!(u64::MAX)))]
#[case::largest_time(entry("announced_ms", &json!(u64::MAX)))]
#[case::largest_round(entry("round", &json!(u64::MAX)))]
#[case::largest_probes(entry("failed_probes", &json!(u32::MAX)))]
#[case::port_out_of_range(entry("address", &json!("127.0.0.1:99999")))]
#[case::port_zero(entry("address", &json!("127.0.0.1:0")))]
#[case::name_as_address(entry("address", &json!("upstream.example:80")))]
#[case::other_type(entry("service", &json!({"name": 1})))]
#[case::unknown_state(entry("state", &json!("melting")))]
#[case::unknown_service(entry("service", &json!("nobody")))]
#[case::empty_names(entry("zone", &json!("")))]
#[case::not_text(vec![0xff, 0xfe, 0, 1])]
#[case::empty(Vec::new())]
#[tokio::test]
async fn vms_keep_serving_and_following_beside_an_odd_entry(#[case] value: Vec<u8>) {
    let harness = HarnessBuilder::default().start().await;
    for table in TABLES {
        for key in ["a-first", "zz-last", "rollout/stores", "vm-1"] {
            harness.store.put_raw(table, key, value.clone());
        }
    }
    let other = harness.start_other("vm-2").await;
    let mut config = harness.next_config();
    config["routes"][0]["timeout_ms"] = 2_000.into();
    let version = config["version"].as_u64().unwrap();
    harness.put_config(&config);
    for metrics in [harness.metrics_address, other.metrics_address] {
        wait_for_metric(metrics, &config_metric(version)).await;
    }
    for application in &harness.applications {
        application.set_default_response(ScriptedResponse::success());
    }
    for number in 0..8 {
        let path = format!("/find/{number}");
        let response = harness.send_request("GET", &path, "").await;
        assert_eq!(response.status, 200, "{}", response.body);
    }
    // A later change of the same table is followed.
    harness.register_leaving(0);
    for metrics in [harness.metrics_address, other.metrics_address] {
        wait_for_metric(metrics, "gateway_upstreams{state=\"leaving\"} 1").await;
    }
}

/// Guards against numbers in load reports whose sums are out of range.
#[rstest]
#[case::largest_counts(json!({"waiting": u64::MAX, "running": u64::MAX, "runs": []}).to_string())]
#[case::largest_tokens(json!({
    "waiting": 1, "running": 3, "cache_used": u64::MAX, "held": u64::MAX, "pinned": u64::MAX,
    "runs": [["a", u64::MAX, 1, 1], ["b", u64::MAX, u64::MAX, 1]],
}).to_string())]
#[case::too_large("{\"waiting\": 1e400}".to_owned())]
#[case::deeply_nested("[".repeat(NESTING))]
#[tokio::test]
async fn streams_are_served_beside_an_odd_load_report(#[case] report: String) {
    let harness = HarnessBuilder::default().engines(3).start().await;
    for engine in &harness.engines {
        engine.set_default_response(ScriptedResponse::stream(3, StreamEnd::Complete));
    }
    harness.engines[0].set_report(&report);
    for _ in 0..6 {
        let response = harness.send_request("POST", "/write/7", "prompt").await;
        assert!(response.is_complete, "{}", response.status);
    }
}

/// Guards against a caller whose statement on its prompt is out of range, and against
/// estimates for other callers that follow from it.
#[tokio::test]
async fn streams_are_served_after_a_prompt_of_impossible_length() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    for engine in &harness.engines {
        engine.set_default_response(ScriptedResponse::stream(3, StreamEnd::Complete));
        engine.set_report("{\"waiting\": 2, \"running\": 2, \"cache_used\": 9000}");
    }
    for tokens in ["18446744073709551615", "1e400", "-1", "800"] {
        let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
        let request = request.replacen("800,80", &format!("{tokens},80"), 1);
        for _ in 0..3 {
            let response = harness.send_raw(&request).await;
            assert!(
                response.is_some_and(|response| response.is_complete),
                "{tokens}"
            );
        }
    }
}

/// Guards against times that callers or upstreams state and whose sums are out of range.
#[tokio::test]
async fn requests_are_served_beside_impossible_times() {
    let harness = HarnessBuilder::default().applications(2).start().await;
    let refusal = ScriptedResponse::WithHeader {
        status: 503,
        header: "Retry-After: 1e300",
    };
    harness.applications[0].enqueue_response(refusal);
    for time_left in [u64::MAX.to_string(), "20000".to_owned()] {
        let request = GatewayHarness::build_request("GET", "/find/7", DEPOT_KEY, "");
        let request = request.replacen("20000", &time_left, 1);
        for _ in 0..3 {
            let response = harness.send_raw(&request).await;
            assert!(
                response.is_some_and(|response| response.status == 200),
                "{time_left}"
            );
        }
    }
}
