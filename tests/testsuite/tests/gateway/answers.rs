//! Callers get the whole answer to their own request.

use rstest::rstest;
use skylarkshed_stand_ins::ScriptedResponse;
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, KEY};

#[tokio::test]
async fn a_second_answer_reaches_nobody() {
    let rig = HarnessBuilder::default().applications(1).start().await;
    rig.applications[0].enqueue_response(ScriptedResponse::Duplicated);
    let mut caller = rig.connect().await;
    for _ in 0..3 {
        let request = GatewayHarness::request("POST", "/book/7", KEY, "x");
        let id = request.split("X-Attempt-Id: ").nth(1).unwrap();
        let id = id.split("\r\n").next().unwrap().to_owned();
        caller.send(request.as_bytes()).await;
        let answer = caller.answer().await.unwrap();
        assert_eq!(answer.header("x-attempt-id"), Some(id.as_str()));
        assert_eq!(answer.body, "answer");
    }
}

#[tokio::test]
async fn an_answer_without_a_length_is_whole() {
    let rig = HarnessBuilder::default().applications(1).start().await;
    rig.applications[0].enqueue_response(ScriptedResponse::NoContentLength);
    let answer = rig.ask("POST", "/book/7", "x").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "answer"));
    assert!(answer.is_complete);
}

#[rstest]
#[case::reset(ScriptedResponse::Reset)]
#[case::unsigned(ScriptedResponse::Unsigned)]
#[tokio::test]
async fn a_failure_of_ours_bears_no_signature(#[case] reaction: ScriptedResponse) {
    let rig = HarnessBuilder::default().applications(1).start().await;
    rig.applications[0].enqueue_response(reaction);
    let answer = rig.ask("POST", "/book/7", "x").await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("x-server-signature"), None);
}

#[tokio::test]
async fn requests_of_one_connection_are_answered_in_turn() {
    let rig = HarnessBuilder::default().applications(1).start().await;
    let mut caller = rig.connect().await;
    let first = GatewayHarness::request("POST", "/book/1", KEY, "x");
    let second = GatewayHarness::request("GET", "/find/2", KEY, "");
    caller.send(format!("{first}{second}").as_bytes()).await;
    assert_eq!(caller.answer().await.unwrap().status, 200);
    assert_eq!(caller.answer().await.unwrap().status, 200);
    let lines: Vec<String> = rig.applications[0]
        .received_requests()
        .iter()
        .map(|request| request.request_line.clone())
        .collect();
    assert_eq!(lines, ["POST /book/1 HTTP/1.1", "GET /find/2 HTTP/1.1"]);
}

#[tokio::test]
async fn requests_are_served_while_nobody_reads_the_log() {
    let rig = HarnessBuilder::default()
        .applications(1)
        .unread_output()
        .start()
        .await;
    // More lines than the pipe and the queue hold.
    let mut caller = rig.connect().await;
    for _ in 0..4_000 {
        let request = GatewayHarness::request("POST", "/book/7", KEY, "x");
        caller.send(request.as_bytes()).await;
        assert_eq!(caller.answer().await.unwrap().status, 200);
    }
    rig.wait_metric("gateway_log_lines_dropped_total").await;
}

/// The rest of a long body may reach the upstream or not; nothing else may.
#[tokio::test]
async fn answer_that_comes_before_the_body_was_read_is_whole() {
    let rig = HarnessBuilder::default().applications(1).start().await;
    let body = "b".repeat(60_000);
    let mut caller = rig.connect().await;
    for sent in 1..=2 {
        rig.applications[0].enqueue_response(ScriptedResponse::BeforeBody);
        let request = GatewayHarness::request("POST", "/book/7", KEY, &body);
        caller.send(request.as_bytes()).await;
        let answer = caller.answer().await.unwrap();
        assert_eq!((answer.status, answer.body.as_str()), (200, "answer"));
        rig.applications[0].wait_for_requests(sent).await;
    }
    for request in rig.applications[0].received_requests() {
        assert!(body.as_bytes().starts_with(&request.body));
    }
}
