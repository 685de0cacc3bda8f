//! Upstreams in trouble, whose responses are none: their status is no HTTP status, or they
//! reset a connection while a long request is still being sent.

use rstest::rstest;
use serde_json::json;
use skylarkshed_stand_ins::{ScriptedResponse, StreamEnd};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder};
use std::time::Duration;

/// More than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 12_000_000;

/// Starts a harness whose first upstreams, which are chosen first, give this response.
async fn start(response: &ScriptedResponse) -> GatewayHarness {
    let harness = HarnessBuilder::default().start().await;
    harness.applications[0].enqueue_response(response.clone());
    harness.engines[0].enqueue_response(response.clone());
    let events = ScriptedResponse::stream(3, StreamEnd::Complete);
    harness.engines[1].set_default_response(events);
    harness
}

/// Checks that a booking fails, and that a lookup and a stream are served by others.
async fn check_responses(harness: &GatewayHarness, response: &ScriptedResponse, body: &str) {
    let booking = harness.send_request("POST", "/book/7", body).await;
    assert_eq!(booking.status, 502, "{}", booking.body);
    assert!(booking.header("x-server-signature").is_none());
    harness.applications[0].enqueue_response(response.clone());
    let lookup = harness.send_request("GET", "/find/7", body).await;
    assert_eq!((lookup.status, lookup.body.as_str()), (200, "answer"));
    let stream = harness.send_request("POST", "/write/7", body).await;
    assert_eq!((stream.status, stream.is_complete), (200, true));
    assert_eq!(stream.event_ids(), [1, 2, 3]);
    assert!(!stream.body.contains("half"), "{}", stream.body);
}

/// Guards against a status that no client understands and that is passed on as an answer.
#[rstest]
#[tokio::test]
async fn response_with_an_invalid_status_is_no_answer(
    #[values("000", "0", "099", "20", "2000", "abc", "600", "999")] status: &'static str,
) {
    let response = ScriptedResponse::StatusText(status);
    let harness = start(&response).await;
    check_responses(&harness, &response, "x").await;
}

/// Guards against a part of a body that is taken for the whole, because the reset of its
/// connection is noticed by the request that is still being written.
#[rstest]
#[tokio::test]
async fn part_of_a_response_before_a_reset_is_no_answer(#[values(0, 1, 5, 40)] delay_ms: u64) {
    let delay = Duration::from_millis(delay_ms);
    let response = ScriptedResponse::ResetBeforeBody { delay };
    let harness = start(&response).await;
    let mut config = harness.next_config();
    config["limits"]["max_body_bytes"] = json!(2 * UPLOAD_BYTES);
    for route in 0..4 {
        config["routes"][route]["timeout_ms"] = json!(15_000);
    }
    harness.put_config(&config);
    let version = config["version"].as_u64().expect("it has a version");
    harness.wait_for_config_version(version).await;
    check_responses(&harness, &response, &"u".repeat(UPLOAD_BYTES)).await;
}
