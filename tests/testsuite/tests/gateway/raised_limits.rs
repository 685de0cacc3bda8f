//! Limits that a configuration raises hold for connections that were opened before.

use rstest::rstest;
use serde_json::json;
use skylarkshed_stand_ins::{ScriptedResponse, StreamEnd, StreamScript};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, RawClient, DEPOT_KEY};
use std::time::Duration;

/// The limit of the default configuration is 8,192.
const RAISED_LIMIT: usize = 65_536;
/// Headers between the two limits.
const HEADER_BYTES: usize = 40_000;
const VALUE_BYTES: usize = 4_000;
const ACCEPT_TIME: Duration = Duration::from_millis(50);

/// What a connection has been used for before the limit is raised.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EarlierUse {
    Nothing,
    Request,
    /// A stream that ends after the change.
    OpenStream,
    /// A part of the long head.
    HalfHead,
}

fn long_request(header_bytes: usize) -> String {
    let value = "x".repeat(VALUE_BYTES);
    let headers =
        (0..header_bytes / VALUE_BYTES).map(|number| format!("X-Note-{number}: {value}\r\n"));
    let headers: String = headers.collect();
    let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
    request.replacen("Content-Length", &format!("{headers}Content-Length"), 1)
}

async fn raise_limit(harness: &GatewayHarness) {
    let mut config = harness.next_config();
    config["limits"]["max_header_bytes"] = json!(RAISED_LIMIT);
    // Connections stay open meanwhile.
    config["limits"]["header_timeout_ms"] = json!(5_000);
    config["limits"]["idle_timeout_ms"] = json!(15_000);
    let version = config["version"].as_u64().expect("it has a version");
    harness.put_config(&config);
    harness.wait_for_config_version(version).await;
}

async fn start() -> GatewayHarness {
    let harness = HarnessBuilder::default().start().await;
    let stream = ScriptedResponse::Stream(StreamScript {
        last_id: 10,
        interval: Duration::from_millis(50),
        end: StreamEnd::Complete,
    });
    for engine in &harness.engines {
        engine.set_default_response(stream.clone());
    }
    harness
}

/// Guards against a proper request that is refused with 431 because its connection is older
/// than the configuration.
#[rstest]
#[tokio::test]
async fn raised_head_limit_holds_for_open_connections(
    #[values(
        EarlierUse::Nothing,
        EarlierUse::Request,
        EarlierUse::OpenStream,
        EarlierUse::HalfHead
    )]
    earlier: EarlierUse,
) {
    let harness = start().await;
    let mut client = harness.connect().await;
    let request = long_request(HEADER_BYTES);
    let (first, rest) = request.split_at(4_000);
    match earlier {
        EarlierUse::Nothing => {}
        EarlierUse::Request => {
            let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
            client.send(request.as_bytes()).await;
            assert_eq!(client.read_response().await.unwrap().status, 200);
        }
        EarlierUse::OpenStream => {
            let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "x");
            client.send(request.as_bytes()).await;
            client.wait_for_text("piece 1\n\n").await;
        }
        EarlierUse::HalfHead => client.send(first.as_bytes()).await,
    }
    // The connection is accepted.
    tokio::time::sleep(ACCEPT_TIME).await;
    raise_limit(&harness).await;
    if earlier == EarlierUse::OpenStream {
        assert!(client.read_response().await.unwrap().is_complete);
    }
    match earlier {
        EarlierUse::HalfHead => client.send(rest.as_bytes()).await,
        _ => client.send(request.as_bytes()).await,
    }
    assert_eq!(client.read_response().await.unwrap().status, 200);
    // The connection goes on as before.
    let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
    client.send(request.as_bytes()).await;
    assert_eq!(client.read_response().await.unwrap().status, 200);
    client.send(long_request(2 * RAISED_LIMIT).as_bytes()).await;
    assert_eq!(client.read_response().await.unwrap().status, 431);
}

/// Guards against a response that is lost as its connection takes over the raised limit.
#[tokio::test]
async fn responses_to_pipelined_requests_are_whole_while_the_limit_is_raised() {
    let harness = start().await;
    let bytes = 300_000;
    harness.applications[0].set_default_response(ScriptedResponse::LongBody { bytes });
    let mut client = RawClient::connect_with_small_buffer(harness.caller_address).await;
    for _ in 0..10 {
        let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
        client.send(request.as_bytes()).await;
    }
    harness.applications[0].wait_for_requests(2).await;
    raise_limit(&harness).await;
    client.send(long_request(HEADER_BYTES).as_bytes()).await;
    for _ in 0..11 {
        let response = client.read_response().await.expect("the VM responds");
        assert_eq!((response.status, response.body.len()), (200, bytes));
    }
}

/// Guards against a request that is run on a connection whose last response has announced
/// its end, and that can't be answered there.
#[tokio::test]
async fn connection_that_is_being_closed_takes_no_request_with_the_raised_limit() {
    let harness = start().await;
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
    let last = request.replacen("Content-Length", "Connection: close\r\nContent-Length", 1);
    client.send(last.as_bytes()).await;
    assert_eq!(client.read_response().await.unwrap().status, 200);
    raise_limit(&harness).await;
    for _ in 0..2 {
        let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
        assert!(client.try_send(request.as_bytes()).await);
        tokio::time::sleep(ACCEPT_TIME).await;
    }
    client.wait_for_close().await;
    assert_eq!(harness.application_request_count(), 1);
}
