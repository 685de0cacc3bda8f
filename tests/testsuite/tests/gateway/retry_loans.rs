//! VMs that borrow retries from each other, as processes.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rstest::rstest;
use skylarkshed_stand_ins::{ScriptedResponse, StreamEnd, DEPOT_KEY};
use skylarkshed_testsuite::{
    config_metric, wait_for_metric, GatewayHarness, HarnessBuilder, OtherVm, RawClient,
};
use std::path::Path;
use std::time::{Duration, Instant};

/// Less than four retries for each of three VMs, so that they lend each other some. A VM
/// that has just started has no part of it.
const SLACK: u64 = 8;
/// The requests that earn the lender its retries.
const REQUESTS: usize = 10;

fn builder() -> HarnessBuilder {
    HarnessBuilder::default()
        .engines(2)
        .retry_budget(0.8, SLACK)
}

async fn wait_for_log(log: &Path, text: &str) -> String {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let text_so_far = std::fs::read_to_string(log).unwrap_or_default();
        if text_so_far.contains(text) {
            return text_so_far;
        }
        assert!(Instant::now() < deadline, "no `{text}` in the log");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Starts two VMs beside the harness's; the second one has retries to lend.
async fn start_lenders(harness: &GatewayHarness) -> [OtherVm; 2] {
    let start = |name| {
        let builder = builder();
        async move { harness.start_other_like(&builder, name, &[]).await }
    };
    let others = [start("vm-2").await, start("vm-3").await];
    wait_for_log(&harness.log_path, "\"vms\":3").await;
    for other in &others {
        wait_for_log(&other.log_path, "\"vms\":3").await;
        wait_for_metric(other.metrics_address, &config_metric(1)).await;
    }
    for engine in &harness.engines {
        engine.set_default_response(ScriptedResponse::stream(9, StreamEnd::Complete));
    }
    for _ in 0..REQUESTS {
        let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
        let mut client = RawClient::connect(others[1].caller_address).await;
        client.send(request.as_bytes()).await;
        assert_eq!(client.read_response().await.unwrap().status, 200);
    }
    others
}

/// Sends a stream whose first attempt ends after five events, and returns how long it took.
async fn send_interrupted(harness: &GatewayHarness, end: StreamEnd) -> Duration {
    // The engine in the VM's own zone gets the request.
    harness.engines[0].enqueue_response(ScriptedResponse::stream(5, end));
    let sent = Instant::now();
    let response = harness.send_request("POST", "/write/7", "prompt").await;
    assert_eq!(response.event_ids(), (1..=9).collect::<Vec<u64>>());
    assert!(response.is_complete);
    sent.elapsed()
}

/// Guards against a begun stream that sleeps while another VM has a retry for it, whether its
/// engine ended or is silent, and against one that waits without a log line.
#[rstest]
#[case::broken(StreamEnd::Reset, true)]
#[case::silent(StreamEnd::Stall, false)]
#[tokio::test]
async fn begun_stream_goes_on_with_a_retry_of_another_vm(
    #[case] end: StreamEnd,
    #[case] is_waiting: bool,
) {
    let harness = builder().start().await;
    let others = start_lenders(&harness).await;
    let took = send_interrupted(&harness, end).await;
    assert!(took < Duration::from_millis(2_000), "{took:?}");
    harness
        .wait_for_metric("gateway_retry_loans_total{side=\"borrowed\"} 1\n")
        .await;
    // A metric appears with its first increment.
    wait_for_metric(others[1].metrics_address, "{side=\"lent\"} 1\n").await;
    if is_waiting {
        let log = wait_for_log(&harness.log_path, "stream goes on after waiting").await;
        assert!(log.contains("stream waits for the retry budget"));
        assert!(log.contains("\"from\":\"loan\""));
    }
}

/// Guards against a stream that is held up by a VM that does not answer.
#[rstest]
#[case::killed(Signal::SIGKILL)]
#[case::stopped(Signal::SIGSTOP)]
#[tokio::test]
async fn lender_that_is_gone_holds_up_no_stream(#[case] signal: Signal) {
    let harness = builder().start().await;
    let others = start_lenders(&harness).await;
    let id = others[0].process.id().unwrap();
    kill(Pid::from_raw(i32::try_from(id).unwrap()), signal).unwrap();
    let took = send_interrupted(&harness, StreamEnd::Reset).await;
    assert!(took < Duration::from_millis(1_500), "{took:?}");
}

/// Guards against a stream that waits past its deadline if no VM lends.
#[tokio::test]
async fn stream_without_a_lender_ends_by_its_deadline() {
    let harness = builder().start().await;
    let others = start_lenders(&harness).await;
    drop(others);
    harness.engines[0].enqueue_response(ScriptedResponse::stream(5, StreamEnd::Reset));
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    let request = request.replace("Remaining: 20000", "Remaining: 2000");
    let sent = Instant::now();
    let response = harness.send_raw(&request).await.unwrap();
    assert!(!response.is_complete);
    assert!(sent.elapsed() < Duration::from_millis(2_500));
    wait_for_log(&harness.log_path, "stream ends without a retry").await;
}

/// Guards against a stream that sleeps on while its VM has earned a retry.
#[tokio::test]
async fn waiting_stream_goes_on_with_an_own_retry_at_once() {
    let harness = builder().start().await;
    drop(start_lenders(&harness).await);
    harness.engines[0].enqueue_response(ScriptedResponse::stream(5, StreamEnd::Reset));
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    let mut client = harness.connect().await;
    client.send(request.as_bytes()).await;
    wait_for_log(&harness.log_path, "stream waits for the retry budget").await;
    // The second request earns the rest of a retry.
    let response = harness.send_request("POST", "/write/7", "prompt").await;
    assert!(response.is_complete);
    let earned = Instant::now();
    assert!(client.read_response().await.unwrap().is_complete);
    assert!(earned.elapsed() < Duration::from_millis(500));
    let log = wait_for_log(&harness.log_path, "stream goes on after waiting").await;
    assert!(log.contains("\"from\":\"own\""));
}

/// Guards against a process that takes a share of the reserve before it knows among how many
/// VMs the reserve is divided: 20 requests earn 12.8 retries, and 3.28 are the share of one of 32
/// VMs.
#[tokio::test]
async fn process_without_a_settled_list_has_the_share_of_a_large_fleet() {
    const LOOKUPS: usize = 20;
    let harness = HarnessBuilder::default().applications(6).start().await;
    for application in &harness.applications {
        application.set_default_response(ScriptedResponse::Reset);
    }
    for _ in 0..LOOKUPS {
        let response = harness.send_request("GET", "/find/7", "").await;
        assert!(response.status >= 500);
    }
    let retries = harness.application_request_count() - LOOKUPS;
    assert!((1..=16).contains(&retries), "{retries} retries");
}
