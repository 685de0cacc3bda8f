//! How the end of a stream reaches its caller after a failure, and streams without a length.

use rstest::rstest;
use skylarkshed_stand_ins::{ScriptedResponse, StreamEnd, UnframedEnd};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, DEPOT_KEY};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const UNSIGNED_ERROR: ScriptedResponse = ScriptedResponse::WithHeader {
    status: 500,
    header: "X-Note: failed",
};

/// Starts engines of which the one that is asked first breaks off after some events, and
/// all others answer with an error.
async fn start_with_errors(last_id: u64, error: &ScriptedResponse) -> GatewayHarness {
    let harness = HarnessBuilder::default().engines(3).start().await;
    for engine in &harness.engines {
        engine.enqueue_response(ScriptedResponse::stream(last_id, StreamEnd::Reset));
        engine.set_default_response(error.clone());
    }
    harness
}

/// Guards against a stream that has begun and goes on with the text of another engine's
/// error, or looks complete.
#[rstest]
#[case::client_error(ScriptedResponse::Status { status: 404, delay: Duration::ZERO })]
#[case::server_error(ScriptedResponse::failure())]
#[case::error_with_headers(UNSIGNED_ERROR)]
#[case::unsigned(ScriptedResponse::Unsigned)]
#[case::plain_success(ScriptedResponse::success())]
#[case::garbled(ScriptedResponse::Unparsable)]
#[tokio::test]
async fn error_after_a_begun_stream_does_not_reach_the_caller(
    #[values(0, 5)] last_id: u64,
    #[case] error: ScriptedResponse,
) {
    let harness = start_with_errors(last_id, &error).await;
    let response = harness.send_request("POST", "/write/7", "prompt").await;
    assert_eq!(response.status, 200);
    assert!(!response.is_complete, "{}", response.body);
    let ids = response.event_ids();
    assert_eq!(ids, (1..=last_id).collect::<Vec<u64>>());
    assert!(!response.body.contains("answer"), "{}", response.body);
    assert!(!response.body.contains("HTTP"), "{}", response.body);
}

/// Without chunks only the end of the connection tells whether a response is complete.
#[tokio::test]
async fn broken_stream_does_not_look_complete_to_a_caller_without_chunks() {
    let harness = start_with_errors(5, &ScriptedResponse::failure()).await;
    let mut stream = TcpStream::connect(harness.caller_address).await.unwrap();
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    let request = request.replacen("HTTP/1.1", "HTTP/1.0", 1);
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.contains(" 200 "), "{text}");
    assert!(
        read.is_err(),
        "the connection ends as after a complete response"
    );
}

#[tokio::test]
async fn complete_stream_reaches_a_caller_without_chunks() {
    let harness = HarnessBuilder::default().engines(1).start().await;
    harness.engines[0].set_default_response(ScriptedResponse::stream(9, StreamEnd::Complete));
    let mut stream = TcpStream::connect(harness.caller_address).await.unwrap();
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    let request = request.replacen("HTTP/1.1", "HTTP/1.0", 1);
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    assert!(String::from_utf8_lossy(&bytes).contains("piece 9\n\n"));
}

#[tokio::test]
async fn stream_without_a_length_is_complete_at_the_end_of_its_connection() {
    let harness = HarnessBuilder::default().engines(1).start().await;
    harness.engines[0].set_default_response(ScriptedResponse::UnframedStream {
        last_id: 9,
        end: UnframedEnd::Closed,
    });
    let response = harness.send_request("POST", "/write/7", "prompt").await;
    assert!(response.is_complete);
    assert_eq!(response.event_ids(), (1..=9).collect::<Vec<u64>>());
    assert_eq!(harness.engines[0].received_requests().len(), 1);
}

#[rstest]
#[case::within_an_event(UnframedEnd::ClosedMidEvent)]
#[case::by_a_reset(UnframedEnd::Reset)]
#[tokio::test]
async fn stream_without_a_length_that_breaks_off_is_continued(#[case] end: UnframedEnd) {
    let harness = HarnessBuilder::default().engines(2).start().await;
    for engine in &harness.engines {
        engine.set_default_response(ScriptedResponse::stream(9, StreamEnd::Complete));
    }
    harness.engines[0].enqueue_response(ScriptedResponse::UnframedStream { last_id: 5, end });
    let response = harness.send_request("POST", "/write/7", "prompt").await;
    assert!(response.is_complete);
    assert_eq!(response.event_ids(), (1..=9).collect::<Vec<u64>>());
    assert!(!response.body.contains("da\n"), "{}", response.body);
}
