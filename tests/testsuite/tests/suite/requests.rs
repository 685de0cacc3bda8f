//! Requests from end to end, and refusals that reach no upstream.

use rstest::rstest;
use skylarkshed_bench::{CallClient, Fleet, FleetBuilder, GenerationClient};
use skylarkshed_testsuite::{assert_complete_answer, query, SERVICE_CALLS};
use std::time::Duration;

/// A slow sender is answered long before this time.
const ANSWER_WAIT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn generation_is_served_whole_by_every_vm() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    fleet.configure().await.unwrap();
    let query = query("served whole", 50);
    for vm in &fleet.vms {
        let trace = GenerationClient::default()
            .generate(vm.caller_address, &query)
            .await;
        assert_complete_answer("v1", &query, &trace);
    }
}

#[tokio::test]
async fn quick_call_is_answered_and_runs_once() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    fleet.configure().await.unwrap();
    let caller = CallClient::default();
    let vm = fleet.vms[1].caller_address;
    let trace = caller
        .call(
            vm,
            Fleet::CUSTOMER_KEY,
            SERVICE_CALLS,
            Some("key-1"),
            "two meters",
        )
        .await;
    assert!(trace.is_success(), "{trace:?}");
    assert_eq!(trace.body["echo"], "two meters");
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

/// One request that has to be refused.
struct BadRequest {
    key: &'static str,
    path: &'static str,
    idempotency_key: Option<String>,
    body: Vec<u8>,
}

fn booking() -> BadRequest {
    BadRequest {
        key: Fleet::CUSTOMER_KEY,
        path: SERVICE_CALLS,
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
    put_stranger(&fleet).await;
    let caller = CallClient::default();
    let vm = fleet.vms[0].caller_address;
    let trace = caller
        .call(
            vm,
            bad.key,
            bad.path,
            bad.idempotency_key.as_deref(),
            bad.body,
        )
        .await;
    assert_eq!(trace.status, status, "{trace:?}");
    assert_eq!(trace.reason(), reason);
    assert_eq!(trace.outcome(), "not_run");
    assert!(
        fleet.call_counts().await.unwrap().is_empty(),
        "nothing reaches an upstream"
    );
    let counted = fleet
        .metric_sum(&fleet.vms[0], &format!("reason=\"{reason}\""))
        .await
        .unwrap();
    assert_eq!(counted, 1.0, "the refusal is counted");
}

/// Creates a customer that may call nothing.
async fn put_stranger(fleet: &Fleet) {
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

/// Sends bytes over a connection of its own and returns what comes back.
async fn send_raw(vm: std::net::SocketAddr, request: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(vm).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4_096];
    let answered = tokio::time::timeout(ANSWER_WAIT, stream.read(&mut answer)).await;
    let count = answered.expect("an answer comes in time").unwrap();
    String::from_utf8_lossy(&answer[..count]).into_owned()
}

#[tokio::test]
async fn slow_sender_is_cut_off() {
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
    let answer = send_raw(fleet.vms[0].caller_address, request).await;
    assert!(
        answer.contains("body_too_slow") && answer.contains("not_run"),
        "{answer}"
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
    let answer = send_raw(fleet.vms[0].caller_address, &request).await;
    assert!(
        answer.contains("too_many_headers") && answer.contains("not_run"),
        "{answer}"
    );
}
