//! Requests that are malformed, smuggled, too large or too slow.

use rstest::rstest;
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder};

const HEAD: &str = "POST /book/7 HTTP/1.1\r\nHost: stock.example\r\nX-Attempt-Id: abc\r\n\
    Authorization: Token depot-key\r\n";
const SMUGGLED: &str = "POST /book/8 HTTP/1.1\r\nHost: stock.example\r\nX-Attempt-Id: hidden\r\n\
    Authorization: Token depot-key\r\nContent-Length: 0\r\n\r\n";

/// Sends a request with a smuggled one behind it, and returns the identifiers of the
/// requests that the upstream received before the connection was closed.
async fn send_with_smuggled(framing: &str, body: &str) -> Vec<String> {
    let harness = HarnessBuilder::default().applications(1).start().await;
    let mut client = harness.connect().await;
    let request = format!("{HEAD}{framing}\r\n{body}{SMUGGLED}");
    client.send(request.as_bytes()).await;
    client.wait_for_close().await;
    let received = harness.applications[0].received_requests();
    let ids = received
        .iter()
        .filter_map(|request| request.header("x-attempt-id"));
    ids.map(str::to_owned).collect()
}

#[rstest]
#[case::length_then_chunks("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")]
#[case::chunks_then_length("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n")]
#[case::two_lengths("Content-Length: 0\r\nContent-Length: 5\r\n", "")]
#[case::list_of_lengths("Content-Length: 0, 5\r\n", "")]
#[case::signed_length("Content-Length: +0\r\n", "")]
#[case::other_coding("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n")]
#[case::space_before_colon("Transfer-Encoding : chunked\r\n", "0\r\n\r\n")]
#[case::folded("X-Fold: a\r\n b\r\nContent-Length: 0\r\n", "")]
#[case::bad_chunk("Transfer-Encoding: chunked\r\n", "0x0\r\n\r\n")]
#[case::line_feeds_around_chunk("Transfer-Encoding: chunked\r\n", "0\n\n")]
#[case::line_feed_hides_length("X-Note: a\nContent-Length: 5\r\n", "")]
#[case::line_feed_hides_chunks(
    "Content-Length: 0\r\nX-Note: a\nTransfer-Encoding: chunked\r\n",
    ""
)]
#[tokio::test]
async fn smuggled_request_is_never_run(#[case] framing: &str, #[case] body: &str) {
    let received = send_with_smuggled(framing, body).await;
    assert!(!received.contains(&"hidden".to_owned()), "{received:?}");
}

#[rstest]
#[case::no_identifier("Host: stock.example\r\n", 400)]
#[case::two_identifiers("Host: stock.example\r\nX-Attempt-Id: a\r\nX-Attempt-Id: b\r\n", 400)]
#[case::two_hosts("Host: stock.example\r\nHost: other\r\nX-Attempt-Id: a\r\n", 400)]
#[case::no_host("X-Attempt-Id: a\r\n", 400)]
#[case::bad_deadline(
    "Host: stock.example\r\nX-Attempt-Id: a\r\nX-Deadline-Remaining: soon\r\n",
    400
)]
#[tokio::test]
async fn malformed_head_is_rejected(#[case] headers: &str, #[case] status: u16) {
    let harness = HarnessBuilder::default().start().await;
    let request = format!("GET /find/7 HTTP/1.1\r\n{headers}\r\n");
    assert_eq!(harness.send_raw(&request).await.unwrap().status, status);
    assert_eq!(harness.application_request_count(), 0);
}

#[tokio::test]
async fn large_head_and_body_are_rejected() {
    let harness = HarnessBuilder::default().start().await;
    let long = "x".repeat(20_000);
    let request = format!("{HEAD}X-Long: {long}\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(harness.send_raw(&request).await.unwrap().status, 431);
    let body = "x".repeat(70_000);
    assert_eq!(
        harness.send_request("POST", "/book/7", &body).await.status,
        413
    );
    assert_eq!(harness.application_request_count(), 0);
}

#[tokio::test]
async fn slow_head_and_idle_connection_are_closed() {
    let harness = HarnessBuilder::default().start().await;
    let mut slow = harness.connect().await;
    slow.send(b"POST /book/7 HT").await;
    slow.wait_for_close().await;
    let mut idle = harness.connect().await;
    let request = GatewayHarness::build_request("POST", "/book/7", "depot-key", "x");
    idle.send(request.as_bytes()).await;
    assert_eq!(idle.read_response().await.unwrap().status, 200);
    // A connection is never closed before four fifths of the idle timeout.
    tokio::time::sleep(std::time::Duration::from_millis(1_200)).await;
    let request = GatewayHarness::build_request("POST", "/book/7", "depot-key", "x");
    idle.send(request.as_bytes()).await;
    assert_eq!(idle.read_response().await.unwrap().status, 200);
    idle.wait_for_close().await;
}

#[tokio::test]
async fn slow_body_is_rejected_before_it_is_sent() {
    let harness = HarnessBuilder::default().start().await;
    let request = format!("{HEAD}X-Deadline-Remaining: 300\r\nContent-Length: 9\r\n\r\nhalf");
    let response = harness.send_raw(&request).await.unwrap();
    assert_eq!(response.status, 408);
    assert_eq!(harness.application_request_count(), 0);
}

/// However the gateway parses a bare line feed, it must not pass one on to an upstream.
#[tokio::test]
async fn bare_line_feed_in_a_header_is_not_passed_on() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    let request = format!("{HEAD}X-Note: a\nX-Tenant: vendor\r\nContent-Length: 0\r\n\r\n");
    // Closing the connection without a response is correct too.
    let _ = harness.send_raw(&request).await;
    for request in harness.applications[0].received_requests() {
        let has_feed = request
            .headers
            .iter()
            .any(|(name, value)| name.contains('\n') || value.contains('\n'));
        assert!(!has_feed, "{request:?}");
        assert_eq!(request.header("x-tenant"), Some("depot"));
    }
}
