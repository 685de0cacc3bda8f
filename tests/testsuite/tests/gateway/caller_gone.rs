//! An upstream's work stops when its caller leaves.

use skylarkshed_stand_ins::{ScriptedResponse, StreamEnd, StreamScript};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, KEY};
use std::time::Duration;

/// The bound in which an upstream's work has to stop.
const STOP_BOUND: Duration = Duration::from_millis(500);

#[tokio::test]
async fn work_stops_when_the_caller_leaves_before_the_answer() {
    let rig = HarnessBuilder::default().applications(1).start().await;
    rig.applications[0].enqueue_response(ScriptedResponse::NoResponse);
    let mut caller = rig.connect().await;
    let request = GatewayHarness::request("GET", "/find/7", KEY, "");
    caller.send(request.as_bytes()).await;
    rig.applications[0].wait_for_requests(1).await;
    drop(caller);
    let closing = rig.applications[0].wait_for_client_closes(1);
    tokio::time::timeout(STOP_BOUND, closing).await.unwrap();
}

#[tokio::test]
async fn work_stops_when_the_caller_leaves_amid_a_stream() {
    let rig = HarnessBuilder::default().engines(1).start().await;
    rig.engines[0].enqueue_response(ScriptedResponse::Stream(StreamScript {
        last_id: 1_000,
        interval: Duration::from_millis(20),
        end: StreamEnd::Complete,
    }));
    let mut caller = rig.connect().await;
    let request = GatewayHarness::request("POST", "/write/7", KEY, "prompt");
    caller.send(request.as_bytes()).await;
    caller.wait_for_text("piece 3").await;
    drop(caller);
    let closing = rig.engines[0].wait_for_client_closes(1);
    tokio::time::timeout(STOP_BOUND, closing).await.unwrap();
}

#[tokio::test]
async fn nothing_more_is_sent_for_a_caller_that_left() {
    let rig = HarnessBuilder::default().engines(2).start().await;
    rig.engines[0].enqueue_response(ScriptedResponse::NoResponse);
    rig.engines[1].enqueue_response(ScriptedResponse::NoResponse);
    let mut caller = rig.connect().await;
    let request = GatewayHarness::request("POST", "/write/7", KEY, "prompt");
    caller.send(request.as_bytes()).await;
    let (first, second) = (&rig.engines[0], &rig.engines[1]);
    tokio::select! {
        () = first.wait_for_requests(1) => {}
        () = second.wait_for_requests(1) => {}
    }
    drop(caller);
    tokio::select! {
        () = first.wait_for_client_closes(1) => {}
        () = second.wait_for_client_closes(1) => {}
    }
    // A prompt of 800 tokens counts as lost after 1.4 s.
    tokio::time::sleep(Duration::from_millis(1_700)).await;
    assert_eq!(
        first.received_requests().len() + second.received_requests().len(),
        1
    );
}
