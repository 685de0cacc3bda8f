//! Signals to the gateway process interrupt no request.

use nix::sys::signal::Signal;
use rstest::rstest;
use skylarkshed_stand_ins::ScriptedResponse;
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, DEPOT_KEY};
use std::time::{Duration, Instant};

/// When a leaving process closes idle connections, and may end.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2_200);
/// The time in which a process without connections ends, far below its grace.
const CLOSE_TIME: Duration = Duration::from_secs(2);
/// Shorter than the time for which a process accepts connections before it ends.
const CONNECT_INTERVAL: Duration = Duration::from_millis(2);

#[tokio::test]
async fn terminating_process_finishes_the_requests_it_read() {
    let mut harness = HarnessBuilder::default().applications(1).start().await;
    harness.applications[0].enqueue_response(ScriptedResponse::Status {
        status: 200,
        delay: Duration::from_millis(800),
    });
    let mut busy = harness.connect().await;
    let mut idle = harness.connect().await;
    let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
    busy.send(request.as_bytes()).await;
    harness.applications[0].wait_for_requests(1).await;
    harness.signal(Signal::SIGTERM);
    // A repeated signal does not cut the shutdown short.
    harness.signal(Signal::SIGTERM);
    harness.wait_for_readiness(503).await;
    // New and open connections are still served, with `Connection: close`.
    assert_eq!(
        harness.send_request("POST", "/book/7", "x").await.status,
        200
    );
    idle.send(GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x").as_bytes())
        .await;
    let response = idle.read_response().await.unwrap();
    assert_eq!(
        (response.status, response.header("connection")),
        (200, Some("close"))
    );
    let response = busy.read_response().await.unwrap();
    assert_eq!((response.status, response.body.as_str()), (200, "answer"));
    let ended = tokio::time::timeout(Duration::from_secs(8), harness.process.wait()).await;
    assert!(ended.unwrap().unwrap().success());
}

#[tokio::test]
async fn stream_that_cannot_end_in_time_is_refused() {
    let harness = HarnessBuilder::default().grace_s(6).start().await;
    harness.signal(Signal::SIGTERM);
    harness.wait_for_readiness(503).await;
    let response = harness.send_request("POST", "/write/7", "prompt").await;
    assert_eq!(response.status, 503);
    assert!(response.body.contains("leaving"));
    assert_eq!(harness.engines[0].received_requests().len(), 0);
}

#[tokio::test]
async fn hang_up_signal_interrupts_nothing() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    harness.applications[0].enqueue_response(ScriptedResponse::Status {
        status: 200,
        delay: Duration::from_millis(300),
    });
    let mut busy = harness.connect().await;
    let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
    busy.send(request.as_bytes()).await;
    harness.applications[0].wait_for_requests(1).await;
    harness.signal(Signal::SIGHUP);
    // Invalid settings leave the old ones active.
    std::fs::write(&harness.settings_path, "not = [valid").unwrap();
    harness.signal(Signal::SIGHUP);
    assert_eq!(busy.read_response().await.unwrap().status, 200);
    assert_eq!(
        harness.send_request("POST", "/book/7", "x").await.status,
        200
    );
    harness.wait_for_ready().await;
}

/// Guards against a call that a draining process admits and that its exit then cuts.
#[tokio::test]
async fn call_that_would_outlast_the_process_gets_an_answer() {
    let harness = HarnessBuilder::default().grace_s(4).start().await;
    for application in &harness.applications {
        application.set_default_response(ScriptedResponse::Status {
            status: 200,
            delay: Duration::from_millis(900),
        });
    }
    harness.signal(Signal::SIGTERM);
    let started = Instant::now();
    // The first call keeps the process up until the second one has begun.
    let mut clients = Vec::new();
    for begin in [2_100, 2_900] {
        let begin = Duration::from_millis(begin);
        tokio::time::sleep(begin.saturating_sub(started.elapsed())).await;
        let mut client = harness.connect().await;
        let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
        client.send(request.as_bytes()).await;
        clients.push(client);
    }
    for client in &mut clients {
        let response = client.read_response().await;
        let response = response.expect("a call that was read gets an answer");
        assert!([200, 503, 504].contains(&response.status), "{response:?}");
    }
}

/// Guards against a call that is accepted between the last count of connections and the
/// end of the process.
#[rstest]
#[tokio::test]
async fn call_that_is_accepted_last_gets_an_answer(
    #[values(20, 40, 60, 80, 100, 120, 140, 160)] after_idle_close_ms: u64,
) {
    let harness = HarnessBuilder::default().applications(1).start().await;
    harness.applications[0].set_default_response(ScriptedResponse::Status {
        status: 200,
        delay: Duration::from_millis(300),
    });
    harness.signal(Signal::SIGTERM);
    tokio::time::sleep(IDLE_CLOSE_DELAY + Duration::from_millis(after_idle_close_ms)).await;
    // A refused connection tells the caller to use another VM.
    if let Some(mut client) = harness.connect_if_listening().await {
        let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
        client.send(request.as_bytes()).await;
        let response = client.read_response().await;
        assert_eq!(response.map(|response| response.status), Some(200));
    }
}

/// Guards against a listener that stays open as long as callers connect to it.
#[tokio::test]
async fn drained_process_ends_while_callers_connect() {
    let mut harness = HarnessBuilder::default().grace_s(20).start().await;
    harness.signal(Signal::SIGTERM);
    let signalled = Instant::now();
    let connect = || async {
        while let Some(client) = harness.connect_if_listening().await {
            drop(client);
            tokio::time::sleep(CONNECT_INTERVAL).await;
        }
    };
    // Several callers, so that a slow one does not leave a pause.
    let connecting = async { tokio::join!(connect(), connect(), connect(), connect()) };
    let limit = IDLE_CLOSE_DELAY + CLOSE_TIME;
    let refused = tokio::time::timeout(limit, connecting).await;
    assert!(refused.is_ok(), "callers could connect for {limit:?}");
    assert!(signalled.elapsed() > IDLE_CLOSE_DELAY);
    let ended = tokio::time::timeout(CLOSE_TIME, harness.process.wait()).await;
    assert!(ended.unwrap().unwrap().success());
}

const GRACE_S: u64 = 4;
const LONG_TIME: Duration = Duration::from_secs(10);
/// A process ends within this time after the signal.
const END_TIME: Duration = Duration::from_secs(GRACE_S);

/// Starts a harness whose routes allow requests to last longer than the grace.
async fn start_with_long_timeouts(response: ScriptedResponse) -> GatewayHarness {
    let harness = HarnessBuilder::default().grace_s(GRACE_S).start().await;
    let mut config = harness.next_config();
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = serde_json::json!(20_000);
    }
    harness.put_config(&config);
    let version = config["version"].as_u64().unwrap();
    harness.wait_for_config_version(version).await;
    for upstream in harness.applications.iter().chain(&harness.engines) {
        upstream.set_default_response(response.clone());
    }
    harness
}

/// Guards against requests that were accepted before the signal and are cut without an
/// answer when the grace ends.
#[rstest]
#[case::booking("POST", "/book/7")]
#[case::lookup("GET", "/find/7")]
#[case::stream("POST", "/write/7")]
#[tokio::test]
async fn request_that_outlasts_the_grace_gets_an_answer(#[case] method: &str, #[case] path: &str) {
    let slow = ScriptedResponse::Status {
        status: 200,
        delay: LONG_TIME,
    };
    let harness = start_with_long_timeouts(slow).await;
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request(method, path, DEPOT_KEY, "x");
    client.send(request.as_bytes()).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    harness.signal(Signal::SIGTERM);
    let response = tokio::time::timeout(END_TIME, client.read_response()).await;
    let response = response.expect("the process ends in its grace");
    let response = response.expect("a request that was read gets an answer");
    assert_eq!(response.status, 504);
}

/// Guards against a request whose body arrives late in the grace: it would be passed on and
/// cut.
#[tokio::test]
async fn request_whose_body_ends_late_in_the_grace_is_not_run() {
    let slow = ScriptedResponse::Status {
        status: 200,
        delay: Duration::from_secs(1),
    };
    let harness = start_with_long_timeouts(slow).await;
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "body");
    let (first, last) = request.split_at(request.len() - 1);
    client.send(first.as_bytes()).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    harness.signal(Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(2_900)).await;
    client.send(last.as_bytes()).await;
    let response = client.read_response().await;
    let response = response.expect("a request that was read gets an answer");
    assert_eq!(response.status, 503);
    assert!(response.body.contains("not_run"));
    assert_eq!(harness.application_request_count(), 0);
}

/// A request whose body never ends is told that it has not run.
#[tokio::test]
async fn request_without_a_whole_body_is_refused_when_the_grace_ends() {
    let harness = start_with_long_timeouts(ScriptedResponse::success()).await;
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "body");
    client.send(&request.as_bytes()[..request.len() - 1]).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    harness.signal(Signal::SIGTERM);
    let response = tokio::time::timeout(END_TIME, client.read_response()).await;
    let response = response.expect("the process ends in its grace");
    assert_eq!(response.map(|response| response.status), Some(503));
}
