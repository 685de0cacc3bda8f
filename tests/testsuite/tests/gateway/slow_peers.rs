//! Peers that are alive and do not read for a while: their windows stay closed for longer
//! than an unreachable peer is waited for.

use nix::sys::signal::Signal;
use serde_json::json;
use skylarkshed_stand_ins::{upstream_row, ScriptedResponse, StreamEnd, StreamScript, APP_SERVICE};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, RawClient, DEPOT_KEY};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

const PAUSE: Duration = Duration::from_millis(3_500);
/// More than a closed window lets through.
const BODY_BYTES: usize = 200_000;
const EVENTS: u64 = 4_000;
/// More than the buffers of the kernel hold answers for.
const PIPELINED_REQUESTS: usize = 12;
/// The time in which the buffers of the kernel are filled.
const FILL_TIME: Duration = Duration::from_millis(700);

/// Guards against an answer that is lost because its caller pauses before it reads on.
#[tokio::test]
async fn answer_to_a_caller_that_pauses_is_complete() {
    let harness = HarnessBuilder::default().start().await;
    let body = ScriptedResponse::LongBody { bytes: BODY_BYTES };
    harness.applications[0].set_default_response(body);
    let mut client = RawClient::connect_with_small_buffer(harness.caller_address).await;
    let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
    client.send(request.as_bytes()).await;
    tokio::time::sleep(PAUSE).await;
    let response = client.read_response().await.expect("the VM responds");
    assert!(response.is_complete, "{} bytes", response.body.len());
    assert_eq!(response.body.len(), BODY_BYTES);
}

/// Guards against the same for a stream, whose engine goes on meanwhile.
#[tokio::test]
async fn stream_to_a_caller_that_pauses_is_complete() {
    let harness = HarnessBuilder::default().engines(1).start().await;
    harness.engines[0].set_default_response(ScriptedResponse::Stream(StreamScript {
        last_id: EVENTS,
        interval: Duration::from_micros(500),
        end: StreamEnd::Complete,
    }));
    let mut client = RawClient::connect_with_small_buffer(harness.caller_address).await;
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    client.send(request.as_bytes()).await;
    client.wait_for_text("piece 1\n\n").await;
    tokio::time::sleep(PAUSE).await;
    let response = client.read_response().await.expect("the VM responds");
    assert!(response.is_complete);
    assert_eq!(response.event_ids(), (1..=EVENTS).collect::<Vec<u64>>());
}

/// Guards against an answer that a leaving process cuts off because its caller pauses. The
/// first answers fill the buffers of the kernel, so the last one stays in the process.
#[tokio::test]
async fn answer_to_a_caller_that_pauses_is_complete_while_the_process_leaves() {
    let harness = HarnessBuilder::default().start().await;
    let bytes = 1_000_000;
    harness.applications[0].set_default_response(ScriptedResponse::LongBody { bytes });
    let mut client = RawClient::connect_with_small_buffer(harness.caller_address).await;
    for _ in 0..PIPELINED_REQUESTS {
        let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
        client.send(request.as_bytes()).await;
    }
    tokio::time::sleep(FILL_TIME).await;
    let answered = harness.application_request_count();
    assert!(
        answered < PIPELINED_REQUESTS,
        "the buffers hold all answers"
    );
    harness.signal(Signal::SIGTERM);
    tokio::time::sleep(PAUSE).await;
    for _ in 0..answered {
        let response = client.read_response().await.expect("the VM responds");
        assert!(response.is_complete, "{} bytes", response.body.len());
        assert_eq!(response.body.len(), bytes);
    }
}

/// Starts an application that reads nothing for a while, then the whole request, which it
/// answers.
async fn start_slow_application() -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("a descriptor is free");
    socket
        .set_recv_buffer_size(4_096)
        .expect("the size is allowed");
    let address = "127.0.0.1:0".parse().expect("it is an address");
    socket.bind(address).expect("a port is free");
    let listener = socket.listen(16).expect("it is bound");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::time::sleep(PAUSE).await;
            let mut received = 0;
            let mut part = [0; 16_384];
            while received < BODY_BYTES {
                match stream.read(&mut part).await {
                    Ok(count) if count > 0 => received += count,
                    _ => return,
                }
            }
            let answer = "HTTP/1.1 200 OK\r\nX-Server-Signature: sig\r\n\
                          Content-Length: 6\r\n\r\nbooked";
            // The test sees the missing answer.
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Guards against a booking that fails because its application reads the body late.
#[tokio::test]
async fn upload_to_an_application_that_pauses_is_answered() {
    let harness = HarnessBuilder::default().applications(0).start().await;
    let address = start_slow_application().await;
    let entry = upstream_row(APP_SERVICE, address, "zone-0", "v1", "ready");
    harness.store.put("servers", "slow", &entry);
    // There are two engines.
    let listed = "gateway_upstreams{state=\"present\"} 3";
    harness.wait_for_metric(listed).await;
    let mut config = harness.next_config();
    config["limits"]["max_body_bytes"] = json!(4 * BODY_BYTES);
    config["routes"][0]["timeout_ms"] = json!(10_000);
    let version = config["version"].as_u64().expect("it has a version");
    harness.put_config(&config);
    harness.wait_for_config_version(version).await;
    let body = "u".repeat(BODY_BYTES);
    let response = harness.send_request("POST", "/book/7", &body).await;
    assert_eq!((response.status, response.body.as_str()), (200, "booked"));
}
