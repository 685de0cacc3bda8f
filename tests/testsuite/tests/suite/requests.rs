//! End-to-end requests, and refused requests that reach no upstream.

use rstest::rstest;
use skylarkshed_bench::{CallClient, Fleet, FleetBuilder, GenerationClient};
use skylarkshed_testsuite::{assert_complete_answer, generation_spec, BOOKING_PATH};
use std::time::Duration;

/// A test fails if its response does not arrive within this time.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn generation_is_delivered_completely_by_every_vm() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    fleet.configure().await.unwrap();
    let spec = generation_spec("served whole", 50);
    for vm in &fleet.vms {
        let result = GenerationClient::default()
            .generate(vm.caller_address, &spec)
            .await;
        assert_complete_answer("v1", &spec, &result);
    }
}

#[tokio::test]
async fn application_call_succeeds_and_runs_once() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    fleet.configure().await.unwrap();
    let client = CallClient::default();
    let vm = fleet.vms[1].caller_address;
    let response = client
        .call(
            vm,
            Fleet::CUSTOMER_KEY,
            BOOKING_PATH,
            Some("key-1"),
            "two meters",
        )
        .await;
    assert!(response.is_success(), "{response:?}");
    assert_eq!(response.body["echo"], "two meters");
    assert_eq!(fleet.call_counts().await.unwrap()["key-1"], 1);
}

#[tokio::test]
async fn change_reaches_all_vms_within_two_seconds() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    fleet.configure().await.unwrap();
    let start = std::time::Instant::now();
    fleet
        .put_customer("late", "late-key", 1, 0, 0)
        .await
        .unwrap();
    let revision = fleet.revision(0).await.unwrap();
    fleet.wait_for_revision(revision).await.unwrap();
    assert!(
        start.elapsed().as_millis() < 2_000,
        "took {:?}",
        start.elapsed()
    );
}

/// A request that must be refused.
struct BadRequest {
    key: &'static str,
    path: &'static str,
    idempotency_key: Option<String>,
    body: Vec<u8>,
}

fn booking() -> BadRequest {
    BadRequest {
        key: Fleet::CUSTOMER_KEY,
        path: BOOKING_PATH,
        idempotency_key: None,
        body: b"refused".to_vec(),
    }
}

#[rstest]
#[case::wrong_key(BadRequest { key: "no-such-key", ..booking() }, 401, "unknown_key")]
#[case::not_allowed(BadRequest { key: "stranger-key", ..booking() }, 403, "not_allowed")]
#[case::unknown_service(
    BadRequest { path: "no-such/calls/book", ..booking() }, 404, "unknown_service")]
#[case::body_too_long(BadRequest { body: vec![b'x'; 3_000], ..booking() }, 413, "body_too_long")]
#[case::bad_header(
    BadRequest { idempotency_key: Some("k".repeat(300)), ..booking() }, 400, "bad_header")]
#[case::bad_json(
    BadRequest { path: "ledger-llm/generations", ..booking() }, 400, "bad_request")]
#[tokio::test]
async fn bad_request_is_refused_as_not_run(
    #[case] bad: BadRequest,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let settings = serde_json::json!({"limits": {"body_bytes": 2_000}});
    let fleet = FleetBuilder::new()
        .zones(1)
        .settings(settings)
        .start()
        .await
        .unwrap();
    fleet.configure().await.unwrap();
    put_customer_without_services(&fleet).await;
    let client = CallClient::default();
    let vm = fleet.vms[0].caller_address;
    let response = client
        .call(
            vm,
            bad.key,
            bad.path,
            bad.idempotency_key.as_deref(),
            bad.body,
        )
        .await;
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(response.reason(), reason);
    assert_eq!(response.outcome(), "not_run");
    assert!(
        fleet.call_counts().await.unwrap().is_empty(),
        "nothing reaches an upstream"
    );
    let count = fleet
        .metric_sum(&fleet.vms[0], &format!("reason=\"{reason}\""))
        .await
        .unwrap();
    assert_eq!(count, 1.0, "the refusal is counted");
}

/// Creates a customer that may not call any service.
async fn put_customer_without_services(fleet: &Fleet) {
    use skylarkshed_operator::schema::PutCustomerRequest;
    let request = PutCustomerRequest {
        change_id: "stranger".into(),
        name: "stranger".into(),
        keys: vec!["stranger-key".into()],
        ..PutCustomerRequest::default()
    };
    fleet
        .operator_client(0)
        .put_customer(request)
        .await
        .unwrap();
}

/// Sends raw bytes on a new connection and returns the start of the response.
async fn send_raw(vm: std::net::SocketAddr, request: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(vm).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = vec![0; 4_096];
    let read = tokio::time::timeout(RESPONSE_TIMEOUT, stream.read(&mut response)).await;
    let count = read.expect("the response arrives in time").unwrap();
    String::from_utf8_lossy(&response[..count]).into_owned()
}

#[tokio::test]
async fn slow_body_is_refused() {
    let settings = serde_json::json!({"limits": {"body_time": "300ms"}});
    let fleet = FleetBuilder::new()
        .zones(1)
        .settings(settings)
        .start()
        .await
        .unwrap();
    fleet.configure().await.unwrap();
    let request = "POST /v1/services/stores-app/calls/book HTTP/1.1\r\nhost: vm\r\n\
        authorization: Bearer depot-key\r\ncontent-length: 100\r\n\r\nonly a part";
    let response = send_raw(fleet.vms[0].caller_address, request).await;
    assert!(
        response.contains("body_too_slow") && response.contains("not_run"),
        "{response}"
    );
}

#[tokio::test]
async fn too_many_headers_are_refused() {
    let fleet = FleetBuilder::new().zones(1).start().await.unwrap();
    fleet.configure().await.unwrap();
    let headers: String = (0..70).map(|number| format!("x-{number}: 1\r\n")).collect();
    let request = format!(
        "POST /v1/services/stores-app/calls/book HTTP/1.1\r\nhost: vm\r\n\
         authorization: Bearer depot-key\r\n{headers}content-length: 0\r\n\r\n"
    );
    let response = send_raw(fleet.vms[0].caller_address, &request).await;
    assert!(
        response.contains("too_many_headers") && response.contains("not_run"),
        "{response}"
    );
}
