//! What upstreams say of themselves in their responses and reports: that they leave, that
//! they want no requests for a while, or when they started.

use skylarkshed_stand_ins::{ScriptedResponse, StreamEnd};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder};
use std::time::{Duration, Instant};

const LEAVING: ScriptedResponse = ScriptedResponse::WithHeader {
    status: 200,
    header: "Server-Leaving: 1",
};
const DEFERRED: ScriptedResponse = ScriptedResponse::WithHeader {
    status: 503,
    header: "Retry-After: 1.5",
};

async fn send_calls(harness: &GatewayHarness, count: usize) {
    for _ in 0..count {
        let response = harness.send_request("GET", "/find/7", "").await;
        assert_eq!(response.status, 200);
    }
}

fn received(harness: &GatewayHarness, number: usize) -> usize {
    harness.applications[number].received_requests().len()
}

/// Starts two applications, the first of which announces that it leaves, and waits
/// until its announcement was passed on.
async fn start_with_leaving_application() -> (GatewayHarness, usize) {
    let harness = HarnessBuilder::default()
        .applications(2)
        .engines(0)
        .start()
        .await;
    harness.applications[0].set_default_response(LEAVING);
    while received(&harness, 0) == 0 {
        send_calls(&harness, 1).await;
    }
    let count = received(&harness, 0);
    (harness, count)
}

#[tokio::test]
async fn upstream_that_announces_its_leaving_gets_no_more_requests() {
    let (harness, count) = start_with_leaving_application().await;
    send_calls(&harness, 10).await;
    // Its entry still says that it is ready, also after it was written again.
    harness.register(&harness.applications[0], "stores", 0, "ready");
    send_calls(&harness, 10).await;
    assert_eq!(received(&harness, 0), count);
}

#[tokio::test]
async fn announced_leaving_outlives_the_entry_but_not_the_incarnation() {
    let (harness, count) = start_with_leaving_application().await;
    let present = |number: usize| format!("gateway_upstreams{{state=\"present\"}} {number}");
    harness.store.remove("servers", "app-0");
    harness.wait_for_metric(&present(1)).await;
    harness.register(&harness.applications[0], "stores", 0, "ready");
    harness.wait_for_metric(&present(2)).await;
    send_calls(&harness, 10).await;
    assert_eq!(received(&harness, 0), count);
    harness.applications[0].set_default_response(ScriptedResponse::success());
    harness.register_restarted(0);
    while received(&harness, 0) == count {
        send_calls(&harness, 1).await;
    }
}

#[tokio::test]
async fn upstream_that_wants_no_requests_gets_none_until_its_time_is_over() {
    let harness = HarnessBuilder::default()
        .applications(2)
        .engines(0)
        .start()
        .await;
    harness.applications[0].enqueue_response(DEFERRED);
    while received(&harness, 0) == 0 {
        send_calls(&harness, 1).await;
    }
    let refused = Instant::now();
    let count = received(&harness, 0);
    while refused.elapsed() < Duration::from_millis(1_400) {
        send_calls(&harness, 1).await;
        assert_eq!(received(&harness, 0), count);
    }
    while received(&harness, 0) == count {
        send_calls(&harness, 1).await;
    }
    assert!(refused.elapsed() >= Duration::from_millis(1_450));
}

/// Guards against callers that wait for a refusal, or return before an upstream accepts
/// requests again.
#[tokio::test]
async fn caller_is_told_at_once_when_all_upstreams_want_no_requests() {
    let harness = HarnessBuilder::default()
        .applications(2)
        .engines(0)
        .start()
        .await;
    let applications = &harness.applications;
    applications
        .iter()
        .for_each(|application| application.enqueue_response(DEFERRED));
    let response = harness.send_request("GET", "/find/7", "").await;
    let sent = Instant::now();
    let refused = harness.send_request("POST", "/book/7", "x").await;
    assert!(sent.elapsed() < Duration::from_millis(500));
    for response in [response, refused] {
        assert_eq!(response.status, 503);
        assert!(response.body.contains("upstreams_deferred"));
        let seconds: f64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!((0.9..=2.0).contains(&seconds), "{seconds} s");
    }
    assert_eq!(received(&harness, 0) + received(&harness, 1), 2);
}

/// Guards against prompts that are sent to the address of an engine that is gone: another
/// engine started there, can't list itself because the store is away, and reports that it
/// is idle. Each such prompt gets 421 and costs an attempt.
#[tokio::test]
async fn report_of_a_later_start_keeps_prompts_from_an_address() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    harness.engines[0].set_report("{\"born\": 2000, \"waiting\": 0, \"running\": 0}");
    // Both are asked, and the other one looks busy.
    harness.engines[1].set_report("{\"born\": 1000, \"waiting\": 3, \"running\": 4}");
    let stream = ScriptedResponse::stream(3, StreamEnd::Complete);
    harness.engines[1].set_default_response(stream);
    for _ in 0..6 {
        let response = harness.send_request("POST", "/write/7", "prompt").await;
        assert_eq!(response.status, 200);
    }
    assert!(harness.engines[0].received_requests().is_empty());
    assert_eq!(harness.engines[1].received_requests().len(), 6);
}
