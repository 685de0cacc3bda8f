//! Upstreams in trouble, whose responses are none: their status is no HTTP status, or they
//! reset a connection while a long request is still being sent.

use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use skylarkshed_stand_ins::{
    upstream_row, ScriptedResponse, StreamEnd, APP_SERVICE, DEPOT_KEY, MODEL_SERVICE,
};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// More than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 12_000_000;

/// The time in which a part of a message reaches its receiver.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

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

async fn allow_uploads(harness: &GatewayHarness) {
    let mut config = harness.next_config();
    config["limits"]["max_body_bytes"] = json!(2 * UPLOAD_BYTES);
    for route in 0..4 {
        config["routes"][route]["timeout_ms"] = json!(15_000);
    }
    harness.put_config(&config);
    let version = config["version"].as_u64().expect("it has a version");
    harness.wait_for_config_version(version).await;
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
    allow_uploads(&harness).await;
    check_responses(&harness, &response, &"u".repeat(UPLOAD_BYTES)).await;
}

/// Starts an upstream that hands over the connection of each upload, whose head it has read.
async fn start_handing_over() -> (SocketAddr, mpsc::Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let (uploads, received) = mpsc::channel(1);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 1_024];
            let count = stream.read(&mut head).await.unwrap_or(0);
            if head[..count].starts_with(b"POST /") {
                // The test has ended otherwise.
                let _ = uploads.send(stream).await;
            }
        }
    });
    (address, received)
}

/// Guards against the same at a VM that has no processor time from the time before the part
/// until after the reset, so that it sees both at once.
#[rstest]
#[case::booking(APP_SERVICE, "/book/7")]
#[case::stream(MODEL_SERVICE, "/write/7")]
#[tokio::test]
async fn part_of_a_response_before_a_reset_is_no_answer_of_a_late_vm(
    #[case] service: &str,
    #[case] path: &str,
) {
    let harness = HarnessBuilder::default().applications(0).engines(0);
    let harness = harness.start_empty().await;
    let (address, mut uploads) = start_handing_over().await;
    let entry = upstream_row(service, address, "zone-0", "v1", "ready");
    harness.store.put("servers", "troubled", &entry);
    allow_uploads(&harness).await;
    harness.wait_for_ready().await;
    let mut client = harness.connect().await;
    let body = "u".repeat(UPLOAD_BYTES);
    let request = GatewayHarness::build_request("POST", path, DEPOT_KEY, &body);
    client.send(request.as_bytes()).await;
    let mut upload = uploads.recv().await.expect("the upload is sent");
    harness.signal(Signal::SIGSTOP);
    let part = "HTTP/1.1 200 OK\r\nX-Server-Signature: sig\r\n\r\nid: 1\ndata: half\n\n";
    upload.write_all(part.as_bytes()).await.unwrap();
    tokio::time::sleep(ARRIVAL_TIME).await;
    upload.set_zero_linger().unwrap();
    drop(upload);
    tokio::time::sleep(ARRIVAL_TIME).await;
    harness.signal(Signal::SIGCONT);
    let is_complete = match client.read_response().await {
        Some(response) => response.status == 200 && response.is_complete,
        None => false,
    };
    assert!(!is_complete, "the part is passed on as a whole answer");
}
