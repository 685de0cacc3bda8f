//! New streams that no engine can serve in time are refused at once.

use crate::engine_ledgers::{closed_address, LargeFleet};
use skylarkshed_stand_ins::{ScriptedResponse, StreamEnd, StreamScript};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, DEPOT_KEY};
use std::time::{Duration, Instant};

/// A queue that takes longer than callers wait (20 s), without room for another prompt.
const FULL: &str = r#"{"waiting": 60, "running": 16, "runs": [],
    "cache_used": 88000, "cache_total": 88000}"#;
const IDLE: &str = r#"{"waiting": 0, "running": 0, "runs": [],
    "cache_used": 0, "cache_total": 88000}"#;

async fn set_reports(harness: &GatewayHarness, reports: [&str; 2]) {
    for (engine, report) in harness.engines.iter().zip(reports) {
        engine.set_report(report);
        engine.set_default_response(ScriptedResponse::stream(9, StreamEnd::Complete));
    }
    // Earlier reports are too old by then.
    tokio::time::sleep(Duration::from_millis(300)).await;
}

/// Returns a prompt of the usual length with additional header lines.
fn prompt(headers: &str) -> String {
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    let request = request.replace("800,80", "8000,800");
    request.replacen("X-Token", &format!("{headers}X-Token"), 1)
}

/// Guards against prompts that wait at full engines until their deadline, and against refusals
/// while one engine has room.
#[tokio::test]
async fn new_stream_is_refused_only_if_no_engine_has_room() {
    let fleet = LargeFleet::start("zone-9", closed_address()).await;
    let harness = &fleet.harness;
    set_reports(harness, [FULL, FULL]).await;
    let before = fleet.received();
    let started_at = Instant::now();
    let response = harness.send_raw(&prompt("")).await.unwrap();
    let elapsed = started_at.elapsed();
    assert_eq!(response.status, 503);
    assert!(response.body.contains("engines_full"), "{}", response.body);
    assert!(response.body.contains("not_run"), "{}", response.body);
    let retry_after = response.header("retry-after").unwrap();
    assert!(retry_after.parse::<f64>().unwrap() > 10.0, "{retry_after}");
    assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
    assert_eq!(fleet.received(), before);
    let refusals = "gateway_refusals_total{reason=\"engines_full\"} 1";
    harness.wait_for_metric(refusals).await;
    let ended = "gateway_requests_total{kind=\"event_stream\",outcome=\"engines_full\"} 1";
    harness.wait_for_metric(ended).await;

    set_reports(harness, [FULL, IDLE]).await;
    let response = harness.send_raw(&prompt("")).await.unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(fleet.received(), [before[0], before[1] + 1]);
}

/// Guards against a promise that nothing has run for a stream whose events the caller has.
#[tokio::test]
async fn resumed_stream_is_not_refused() {
    let fleet = LargeFleet::start("zone-9", closed_address()).await;
    set_reports(&fleet.harness, [FULL, FULL]).await;
    let request = prompt("Last-Event-Id: 4\r\n");
    let response = fleet.harness.send_raw(&request).await.unwrap();
    assert_eq!(response.event_ids(), (5..=9).collect::<Vec<u64>>());
}

/// Guards against begun streams that break off because the engines are full meanwhile.
#[tokio::test]
async fn begun_stream_is_not_refused() {
    let fleet = LargeFleet::start("zone-9", closed_address()).await;
    let engines = &fleet.harness.engines;
    // Without room at the other engine there is no copy to go on from.
    set_reports(&fleet.harness, [IDLE, FULL]).await;
    engines[0].enqueue_response(ScriptedResponse::Stream(StreamScript {
        last_id: 5,
        interval: Duration::from_millis(200),
        end: StreamEnd::Reset,
    }));
    let before = fleet.received();
    let request = prompt("");
    let (response, ()) = tokio::join!(fleet.harness.send_raw(&request), async {
        engines[0].wait_for_requests(before[0] + 1).await;
        engines[0].set_report(FULL);
    });
    let response = response.unwrap();
    assert_eq!(response.event_ids(), (1..=9).collect::<Vec<u64>>());
    assert_eq!(fleet.received(), [before[0] + 1, before[1] + 1]);
    let resumed = engines[1].received_requests().pop().unwrap();
    assert_eq!(resumed.header("kv-from"), None);
}

/// Guards against a rule for large fleets that changes small ones.
#[tokio::test]
async fn small_fleet_refuses_no_stream() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    set_reports(&harness, [FULL, FULL]).await;
    let response = harness.send_raw(&prompt("")).await.unwrap();
    assert_eq!(response.status, 200);
}
