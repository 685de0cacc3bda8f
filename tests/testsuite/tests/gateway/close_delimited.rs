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

/// Guards against a part of an application's answer that is passed on as the whole.
#[rstest]
#[case::booking("POST", "/book/7", (502, 1))]
#[case::lookup("GET", "/find/7", (200, 2))]
#[tokio::test]
async fn call_whose_application_ends_is_not_answered_with_a_part(
    #[case] method: &str,
    #[case] path: &str,
    #[case] (status, requests): (u16, usize),
) {
    let harness = start().await;
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request(method, path, DEPOT_KEY, "");
    client.send(request.as_bytes()).await;
    harness.applications[0].wait_for_requests(1).await;
    tokio::time::sleep(ARRIVAL_TIME).await;
    harness.applications[0].crash();
    let response = client.read_response().await.expect("the VM responds");
    assert_eq!(response.status, status, "{}", response.body);
    assert!(!response.body.contains("half"), "{}", response.body);
    assert_eq!(harness.application_request_count(), requests);
}
