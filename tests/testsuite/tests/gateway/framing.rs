//! Requests that are malformed, smuggled, too large or too slow.

use rstest::rstest;
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder};

const HEAD: &str = "POST /book/7 HTTP/1.1\r\nHost: stock.example\r\nX-Attempt-Id: abc\r\n\
    Authorization: Token depot-key\r\n";
const HIDDEN: &str = "POST /book/8 HTTP/1.1\r\nHost: stock.example\r\nX-Attempt-Id: hidden\r\n\
    Authorization: Token depot-key\r\nContent-Length: 0\r\n\r\n";

/// Sends a request with a hidden one behind it, and returns what the upstream
/// heard once the connection is closed or the answer is there.
async fn send_with_hidden(framing: &str, body: &str) -> Vec<String> {
    let rig = HarnessBuilder::default().applications(1).start().await;
    let mut caller = rig.connect().await;
    let request = format!("{HEAD}{framing}\r\n{body}{HIDDEN}");
    caller.send(request.as_bytes()).await;
    caller.wait_for_client_closes().await;
    let heard = rig.applications[0].received_requests();
    let ids = heard
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
async fn hidden_request_is_never_run(#[case] framing: &str, #[case] body: &str) {
    let heard = send_with_hidden(framing, body).await;
    assert!(!heard.contains(&"hidden".to_owned()), "{heard:?}");
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
    let rig = HarnessBuilder::default().start().await;
    let request = format!("GET /find/7 HTTP/1.1\r\n{headers}\r\n");
    assert_eq!(rig.ask_raw(&request).await.unwrap().status, status);
    assert_eq!(rig.heard_by_applications(), 0);
}

#[tokio::test]
async fn large_head_and_body_are_rejected() {
    let rig = HarnessBuilder::default().start().await;
    let long = "x".repeat(20_000);
    let request = format!("{HEAD}X-Long: {long}\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(rig.ask_raw(&request).await.unwrap().status, 431);
    let body = "x".repeat(70_000);
    assert_eq!(rig.ask("POST", "/book/7", &body).await.status, 413);
    assert_eq!(rig.heard_by_applications(), 0);
}

#[tokio::test]
async fn slow_head_is_cut_off_and_idle_connection_is_closed() {
    let rig = HarnessBuilder::default().start().await;
    let mut slow = rig.connect().await;
    slow.send(b"POST /book/7 HT").await;
    slow.wait_for_client_closes().await;
    let mut idle = rig.connect().await;
    let request = GatewayHarness::request("POST", "/book/7", "depot-key", "x");
    idle.send(request.as_bytes()).await;
    assert_eq!(idle.answer().await.unwrap().status, 200);
    // Four fifths of the idle time are kept for certain.
    tokio::time::sleep(std::time::Duration::from_millis(1_200)).await;
    let request = GatewayHarness::request("POST", "/book/7", "depot-key", "x");
    idle.send(request.as_bytes()).await;
    assert_eq!(idle.answer().await.unwrap().status, 200);
    idle.wait_for_client_closes().await;
}

#[tokio::test]
async fn slow_body_is_told_as_not_run() {
    let rig = HarnessBuilder::default().start().await;
    let request = format!("{HEAD}X-Deadline-Remaining: 300\r\nContent-Length: 9\r\n\r\nhalf");
    let answer = rig.ask_raw(&request).await.unwrap();
    assert_eq!(answer.status, 408);
    assert_eq!(rig.heard_by_applications(), 0);
}

/// Whatever a line feed alone is taken for, an upstream must not see one.
#[tokio::test]
async fn line_feed_in_a_header_is_not_passed_on() {
    let rig = HarnessBuilder::default().applications(1).start().await;
    let request = format!("{HEAD}X-Note: a\nX-Tenant: vendor\r\nContent-Length: 0\r\n\r\n");
    // A connection that is closed without an answer is right, too.
    let _ = rig.ask_raw(&request).await;
    for request in rig.applications[0].received_requests() {
        let has_feed = request
            .headers
            .iter()
            .any(|(name, value)| name.contains('\n') || value.contains('\n'));
        assert!(!has_feed, "{request:?}");
        assert_eq!(request.header("x-tenant"), Some("depot"));
    }
}
