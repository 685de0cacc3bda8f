//! Each caller receives the complete response to its own request.

use rstest::rstest;
use skylarkshed_stand_ins::ScriptedResponse;
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, DEPOT_KEY};

#[tokio::test]
async fn duplicated_response_reaches_no_caller() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    harness.applications[0].enqueue_response(ScriptedResponse::Duplicated);
    let mut client = harness.connect().await;
    for _ in 0..3 {
        let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
        let id = request.split("X-Attempt-Id: ").nth(1).unwrap();
        let id = id.split("\r\n").next().unwrap().to_owned();
        client.send(request.as_bytes()).await;
        let response = client.read_response().await.unwrap();
        assert_eq!(response.header("x-attempt-id"), Some(id.as_str()));
        assert_eq!(response.body, "answer");
    }
}

#[tokio::test]
async fn response_without_content_length_is_complete() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    harness.applications[0].enqueue_response(ScriptedResponse::NoContentLength);
    let response = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!((response.status, response.body.as_str()), (200, "answer"));
    assert!(response.is_complete);
}

#[rstest]
#[case::reset(ScriptedResponse::Reset)]
#[case::unsigned(ScriptedResponse::Unsigned)]
#[tokio::test]
async fn gateway_error_has_no_server_signature(#[case] response_script: ScriptedResponse) {
    let harness = HarnessBuilder::default().applications(1).start().await;
    harness.applications[0].enqueue_response(response_script);
    let response = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!(response.status, 502);
    assert_eq!(response.header("x-server-signature"), None);
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    let mut client = harness.connect().await;
    let first = GatewayHarness::build_request("POST", "/book/1", DEPOT_KEY, "x");
    let second = GatewayHarness::build_request("GET", "/find/2", DEPOT_KEY, "");
    client.send(format!("{first}{second}").as_bytes()).await;
    assert_eq!(client.read_response().await.unwrap().status, 200);
    assert_eq!(client.read_response().await.unwrap().status, 200);
    let lines: Vec<String> = harness.applications[0]
        .received_requests()
        .iter()
        .map(|request| request.request_line.clone())
        .collect();
    assert_eq!(lines, ["POST /book/1 HTTP/1.1", "GET /find/2 HTTP/1.1"]);
}

#[tokio::test]
async fn requests_are_served_while_the_log_is_not_read() {
    let harness = HarnessBuilder::default()
        .applications(1)
        .unread_output()
        .start()
        .await;
    // These requests log more lines than the pipe and the log queue hold.
    let mut client = harness.connect().await;
    for _ in 0..4_000 {
        let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
        client.send(request.as_bytes()).await;
        assert_eq!(client.read_response().await.unwrap().status, 200);
    }
    harness
        .wait_for_metric("gateway_log_lines_dropped_total")
        .await;
}

/// The upstream responds before it has read a long body. It may receive the rest of
/// that body or not, but nothing else.
#[tokio::test]
async fn response_before_the_body_is_read_is_complete() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    let body = "b".repeat(60_000);
    let mut client = harness.connect().await;
    for sent in 1..=2 {
        harness.applications[0].enqueue_response(ScriptedResponse::BeforeBody);
        let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, &body);
        client.send(request.as_bytes()).await;
        let response = client.read_response().await.unwrap();
        assert_eq!((response.status, response.body.as_str()), (200, "answer"));
        harness.applications[0].wait_for_requests(sent).await;
    }
    for request in harness.applications[0].received_requests() {
        assert!(body.as_bytes().starts_with(&request.body));
    }
}

/// Guards against a call that is reported as not run, or sent again, after an upstream has
/// repeated the refusal of another request.
#[tokio::test]
async fn repeated_refusal_of_another_request_proves_nothing() {
    let harness = HarnessBuilder::default().applications(2).start().await;
    let mut config = harness.next_config();
    config["routes"][0]["attempts"] = 3.into();
    let version = config["version"].as_u64().unwrap();
    harness.put_config(&config);
    harness.wait_for_config_version(version).await;
    for application in &harness.applications {
        application.set_default_response(ScriptedResponse::RepeatedRefusal);
    }
    let response = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!(response.status, 502);
    assert_eq!(harness.application_request_count(), 1);
}

/// The same for a stream that only one upstream may run.
#[tokio::test]
async fn repeated_refusal_ends_a_stream_that_is_not_resumable() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    let mut config = harness.next_config();
    config["routes"][3]["stream_resumption"] = false.into();
    let version = config["version"].as_u64().unwrap();
    harness.put_config(&config);
    harness.wait_for_config_version(version).await;
    for engine in &harness.engines {
        engine.set_default_response(ScriptedResponse::RepeatedRefusal);
    }
    let response = harness.send_request("POST", "/write/7", "prompt").await;
    assert_eq!(response.status, 502);
    let received = harness
        .engines
        .iter()
        .map(|engine| engine.received_requests().len());
    assert_eq!(received.sum::<usize>(), 1);
}
