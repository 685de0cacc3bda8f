//! An upstream's work stops when the caller disconnects.

use skylarkshed_stand_ins::{ScriptedResponse, StreamEnd, StreamScript};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, DEPOT_KEY};
use std::time::Duration;

/// An upstream's work stops within this time after the caller disconnected.
const STOP_BOUND: Duration = Duration::from_millis(500);

#[tokio::test]
async fn work_stops_when_the_caller_disconnects_before_the_response() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    harness.applications[0].enqueue_response(ScriptedResponse::NoResponse);
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request("GET", "/find/7", DEPOT_KEY, "");
    client.send(request.as_bytes()).await;
    harness.applications[0].wait_for_requests(1).await;
    drop(client);
    let closing = harness.applications[0].wait_for_client_closes(1);
    tokio::time::timeout(STOP_BOUND, closing).await.unwrap();
}

#[tokio::test]
async fn work_stops_when_the_caller_disconnects_during_a_stream() {
    let harness = HarnessBuilder::default().engines(1).start().await;
    harness.engines[0].enqueue_response(ScriptedResponse::Stream(StreamScript {
        last_id: 1_000,
        interval: Duration::from_millis(20),
        end: StreamEnd::Complete,
    }));
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    client.send(request.as_bytes()).await;
    client.wait_for_text("piece 3").await;
    drop(client);
    let closing = harness.engines[0].wait_for_client_closes(1);
    tokio::time::timeout(STOP_BOUND, closing).await.unwrap();
}

#[tokio::test]
async fn no_retry_is_sent_for_a_disconnected_caller() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    harness.engines[0].enqueue_response(ScriptedResponse::NoResponse);
    harness.engines[1].enqueue_response(ScriptedResponse::NoResponse);
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    client.send(request.as_bytes()).await;
    let (first, second) = (&harness.engines[0], &harness.engines[1]);
    tokio::select! {
        () = first.wait_for_requests(1) => {}
        () = second.wait_for_requests(1) => {}
    }
    drop(client);
    tokio::select! {
        () = first.wait_for_client_closes(1) => {}
        () = second.wait_for_client_closes(1) => {}
    }
    // An attempt with a prompt of 800 tokens counts as failed after 1.4 s without a response.
    tokio::time::sleep(Duration::from_millis(1_700)).await;
    assert_eq!(
        first.received_requests().len() + second.received_requests().len(),
        1
    );
}
