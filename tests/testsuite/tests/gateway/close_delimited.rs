//! Responses without a length whose upstream's process ends before them. The kernel closes
//! its connections in order.

use rstest::rstest;
use serde_json::json;
use skylarkshed_stand_ins::{FakeUpstream, ScriptedResponse, StreamEnd, UnframedEnd};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, RawClient, DEPOT_KEY};
use std::time::Duration;

/// The start time of a process that takes the place of a listed one.
const LATER_START_MS: u64 = 2_000;

/// The time in which a part of a response reaches the VM.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// A time in which another process may have taken the place of one that ended.
const LONG_TIME: Duration = Duration::from_millis(400);

/// How the process of an engine ends.
#[derive(Clone, Copy, Debug)]
enum ProcessEnd {
    Killed,
    /// Another process listens at the address at once.
    Replaced,
}

impl ProcessEnd {
    fn play(self, upstream: &FakeUpstream) {
        match self {
            ProcessEnd::Killed => upstream.crash(),
            ProcessEnd::Replaced => upstream.replace_process(LATER_START_MS),
        }
    }
}

async fn start() -> GatewayHarness {
    let harness = HarnessBuilder::default().start().await;
    let open = ScriptedResponse::UnframedStream {
        last_id: 5,
        end: UnframedEnd::Open,
    };
    harness.engines[0].set_default_response(open);
    harness.engines[1].set_default_response(ScriptedResponse::stream(9, StreamEnd::Complete));
    harness.applications[0].enqueue_response(ScriptedResponse::OpenBody);
    harness
}

/// Starts a stream and returns its client once the engine in the VM's zone has sent all of
/// its events.
async fn start_stream(harness: &GatewayHarness) -> RawClient {
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    client.send(request.as_bytes()).await;
    client.wait_for_text("piece 5\n\n").await;
    client
}

/// Guards against a stream that is cut short by the end of its engine and looks complete.
#[rstest]
#[tokio::test]
async fn stream_whose_engine_ends_is_continued(
    #[values(ProcessEnd::Killed, ProcessEnd::Replaced)] end: ProcessEnd,
) {
    let harness = start().await;
    let mut client = start_stream(&harness).await;
    end.play(&harness.engines[0]);
    let response = client.read_response().await.expect("the VM responds");
    assert!(response.is_complete);
    assert_eq!(response.event_ids(), (1..=9).collect::<Vec<u64>>());
    assert_eq!(harness.engines[1].received_requests().len(), 1);
}

/// Guards against the same for a stream that no other engine may continue.
#[rstest]
#[tokio::test]
async fn stream_that_can_not_be_resumed_is_broken_off(
    #[values(ProcessEnd::Killed, ProcessEnd::Replaced)] end: ProcessEnd,
) {
    let harness = start().await;
    let mut config = harness.next_config();
    config["routes"][3]["stream_resumption"] = json!(false);
    let version = config["version"].as_u64().expect("it has a version");
    harness.put_config(&config);
    harness.wait_for_config_version(version).await;
    let mut client = start_stream(&harness).await;
    end.play(&harness.engines[0]);
    let response = client.read_response().await.expect("the VM responds");
    assert!(!response.is_complete, "{}", response.body);
    assert_eq!(harness.engines[1].received_requests().len(), 0);
}

/// Guards against a part of an application's answer that is passed on as the whole, also if
/// another process has taken the place of the one that sent it.
#[rstest]
#[case::booking("POST", "/book/7", (502, 1))]
#[case::lookup("GET", "/find/7", (200, 2))]
#[tokio::test]
async fn call_whose_application_ends_is_not_answered_with_a_part(
    #[case] method: &str,
    #[case] path: &str,
    #[case] (status, requests): (u16, usize),
    #[values(ProcessEnd::Killed, ProcessEnd::Replaced)] end: ProcessEnd,
    #[values(ARRIVAL_TIME, LONG_TIME)] after: Duration,
) {
    let harness = start().await;
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request(method, path, DEPOT_KEY, "");
    client.send(request.as_bytes()).await;
    harness.applications[0].wait_for_requests(1).await;
    tokio::time::sleep(after).await;
    end.play(&harness.applications[0]);
    let response = client.read_response().await.expect("the VM responds");
    assert_eq!(response.status, status, "{}", response.body);
    assert!(!response.body.contains("half"), "{}", response.body);
    assert_eq!(harness.application_request_count(), requests);
}

/// Guards against an answer of a part and the close of its connection that reach the VM
/// together, long after the request, when another process has the address: a cut may have held
/// them up.
#[tokio::test]
async fn part_that_arrives_late_with_its_close_is_not_passed_on() {
    let harness = HarnessBuilder::default().start().await;
    let late = ScriptedResponse::LatePart { delay: LONG_TIME };
    harness.applications[0].enqueue_response(late);
    let response = harness.send_request("POST", "/book/7", "").await;
    assert_eq!(response.status, 502, "{}", response.body);
}

/// Guards against whole answers that are taken for parts.
#[rstest]
#[tokio::test]
async fn whole_answer_is_passed_on(
    #[values(Duration::ZERO, ARRIVAL_TIME, LONG_TIME)] pause: Duration,
) {
    let harness = HarnessBuilder::default().start().await;
    harness.applications[0].enqueue_response(ScriptedResponse::SlowBody { pause });
    let response = harness.send_request("POST", "/book/7", "").await;
    assert_eq!((response.status, response.body.as_str()), (200, "answer"));
}

/// Guards against a stream that a kill cuts short and that looks complete, because the process
/// at the address of its engine tells no start, or tells it late.
#[rstest]
#[case::unknown_path("404 Not Found", "")]
#[case::misdirected("421 Misdirected Request", "")]
#[case::no_identifier("400 Bad Request", "")]
#[case::other_body("200 OK", "hello")]
#[case::no_start("200 OK", "{\"waiting\": 0}")]
#[case::busy("503 Service Unavailable", "")]
#[tokio::test]
async fn stream_is_continued_if_its_engine_does_not_tell_its_start(
    #[case] status: &str,
    #[case] body: &str,
) {
    let harness = start().await;
    let mut client = start_stream(&harness).await;
    harness.engines[0].replace_process_by(status, body);
    let response = client.read_response().await.expect("the VM responds");
    assert!(response.is_complete);
    assert_eq!(response.event_ids(), (1..=9).collect::<Vec<u64>>());
}

/// Guards against the same for a process that is slow after its start, and against a whole
/// stream of a slow engine that is continued elsewhere.
#[rstest]
#[case::later_start(LATER_START_MS, 9)]
#[case::same_start(1_000, 5)]
#[tokio::test]
async fn engine_that_reports_late_is_waited_for(#[case] started_ms: u64, #[case] events: u64) {
    let harness = start().await;
    let mut client = start_stream(&harness).await;
    harness.engines[0].delay_reports(Duration::from_millis(150));
    harness.engines[0].replace_process(started_ms);
    let response = client.read_response().await.expect("the VM responds");
    assert!(response.is_complete);
    assert_eq!(response.event_ids(), (1..=events).collect::<Vec<u64>>());
}
