//! Bytes without an end from an upstream neither fill the memory of a VM nor delay
//! other requests.

use rstest::rstest;
use skylarkshed_stand_ins::{
    EndlessResponse, FakeUpstream, ScriptedResponse, StoreMode, StreamEnd, StreamScript,
};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, RawResponse};
use std::time::{Duration, Instant};

/// The timeout of the call routes, and 0.5 s for the final response.
const CALL_BOUND: Duration = Duration::from_millis(1_500);
/// The target latency of the stream route.
const STREAM_BOUND: Duration = Duration::from_millis(4_500);
/// The target latency of the call routes.
const CALL_TARGET: Duration = Duration::from_millis(300);
/// An upstream's connection is closed within this time after the response.
const CLOSE_BOUND: Duration = Duration::from_millis(500);
/// The smallest VMs have 260 MB. Half of it has to be left for other requests.
const MAX_PEAK_KIB: u64 = 130 * 1024;
/// How many requests get an endless response at the same time.
const CONCURRENT: usize = 8;
/// As many as the users had callers when a VM ran out of memory.
const MANY: usize = 24;
const CROWD: usize = 80;
/// The memory in the VM's settings.
const MEMORY_KIB: u64 = 88_000;
/// The bodies that are buffered may have 1 MiB each, and their connections some buffers.
const MAX_GROWTH_KIB: u64 = MANY as u64 * 1_100;

/// Sends the same request several times at once and returns the responses; meanwhile
/// other requests are served in time.
async fn send_concurrently<const N: usize>(
    harness: &GatewayHarness,
    (method, path): (&str, &str),
    (other_method, other_path): (&str, &str),
    bound: Duration,
) -> Vec<RawResponse> {
    let started = Instant::now();
    let sending = async {
        let mut clients = Vec::new();
        for _ in 0..N {
            let request = GatewayHarness::build_request(method, path, "depot-key", "prompt");
            let mut client = harness.connect().await;
            client.send(request.as_bytes()).await;
            clients.push(client);
        }
        let mut responses = Vec::new();
        for mut client in clients {
            responses.push(client.read_response().await.unwrap());
        }
        assert!(started.elapsed() < bound, "{:?}", started.elapsed());
        responses
    };
    let others = async {
        for _ in 0..5 {
            let sent = Instant::now();
            let response = harness
                .send_request(other_method, other_path, "other")
                .await;
            assert_eq!(response.status, 200);
            assert!(sent.elapsed() < CALL_TARGET, "{:?}", sent.elapsed());
        }
    };
    let (responses, ()) = tokio::join!(sending, others);
    responses
}

fn serve_streams(harness: &GatewayHarness) {
    for engine in &harness.engines {
        engine.set_default_response(ScriptedResponse::stream(3, StreamEnd::Complete));
    }
}

async fn assert_closed(upstream: &FakeUpstream, count: usize) {
    let closing = upstream.wait_for_client_closes(count);
    let closed = tokio::time::timeout(CLOSE_BOUND, closing).await;
    closed.expect("the upstream's connections are closed");
}

fn assert_memory_is_bounded(harness: &GatewayHarness) {
    let peak = harness.peak_memory_kib();
    assert!(peak < MAX_PEAK_KIB, "{peak} KiB");
}

#[rstest]
#[case::garbage(EndlessResponse::Garbage)]
#[case::empty_lines(EndlessResponse::EmptyLines)]
#[case::informational(EndlessResponse::Informational)]
#[case::header_value(EndlessResponse::HeaderValue)]
#[case::header_lines(EndlessResponse::HeaderLines)]
#[case::undelimited_body(EndlessResponse::UndelimitedBody)]
#[case::chunks(EndlessResponse::Chunks)]
#[case::tiny_chunks(EndlessResponse::TinyChunks)]
#[case::chunk_extension(EndlessResponse::ChunkExtension)]
#[case::trailer(EndlessResponse::Trailer)]
#[tokio::test]
async fn endless_response_to_a_retryable_call_is_replaced(#[case] endless: EndlessResponse) {
    let harness = HarnessBuilder::default().start().await;
    let (broken, sound) = (&harness.applications[0], &harness.applications[1]);
    broken.set_default_response(ScriptedResponse::Endless(endless));
    serve_streams(&harness);
    let (call, other) = (("GET", "/find/7"), ("POST", "/write/7"));
    let responses = send_concurrently::<CONCURRENT>(&harness, call, other, CALL_BOUND).await;
    for response in responses {
        assert_eq!((response.status, response.body.as_str()), (200, "answer"));
    }
    let received = broken.received_requests().len();
    assert!(
        received > 0,
        "the upstream in the VM's zone is chosen first"
    );
    assert_closed(broken, received).await;
    assert_memory_is_bounded(&harness);
    // The upstream is suspect, so the next call goes to the other one.
    let served = sound.received_requests().len();
    assert_eq!(
        harness.send_request("POST", "/book/7", "x").await.status,
        200
    );
    assert_eq!(broken.received_requests().len(), received);
    assert_eq!(sound.received_requests().len(), served + 1);
}

#[rstest]
#[case::garbage(EndlessResponse::Garbage)]
#[case::empty_lines(EndlessResponse::EmptyLines)]
#[case::informational(EndlessResponse::Informational)]
#[case::header_value(EndlessResponse::HeaderValue)]
#[case::header_lines(EndlessResponse::HeaderLines)]
#[case::undelimited_body(EndlessResponse::UndelimitedBody)]
#[case::chunks(EndlessResponse::Chunks)]
#[case::tiny_chunks(EndlessResponse::TinyChunks)]
#[case::chunk_extension(EndlessResponse::ChunkExtension)]
#[case::trailer(EndlessResponse::Trailer)]
#[tokio::test]
async fn endless_response_to_a_booking_fails_it_once(#[case] endless: EndlessResponse) {
    let harness = HarnessBuilder::default().start().await;
    for application in &harness.applications {
        application.set_default_response(ScriptedResponse::Endless(endless));
    }
    serve_streams(&harness);
    let (call, other) = (("POST", "/book/7"), ("POST", "/write/7"));
    let responses = send_concurrently::<CONCURRENT>(&harness, call, other, CALL_BOUND).await;
    for response in responses {
        assert!(matches!(response.status, 502 | 504), "{}", response.status);
        assert_eq!(response.header("retry-after"), None);
    }
    assert_eq!(harness.application_request_count(), CONCURRENT);
    for application in &harness.applications {
        assert_closed(application, application.received_requests().len()).await;
    }
    assert_memory_is_bounded(&harness);
}

#[tokio::test]
async fn endless_bytes_after_a_body_are_not_passed_on() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    let endless = ScriptedResponse::Endless(EndlessResponse::AfterBody);
    harness.applications[0].set_default_response(endless);
    serve_streams(&harness);
    let (call, other) = (("POST", "/book/7"), ("POST", "/write/7"));
    let responses = send_concurrently::<CONCURRENT>(&harness, call, other, CALL_BOUND).await;
    for response in responses {
        assert_eq!((response.status, response.body.as_str()), (200, "answer"));
    }
    assert_closed(&harness.applications[0], CONCURRENT).await;
    assert_memory_is_bounded(&harness);
}

#[rstest]
#[case::garbage(EndlessResponse::Garbage)]
#[case::empty_lines(EndlessResponse::EmptyLines)]
#[case::informational(EndlessResponse::Informational)]
#[case::header_value(EndlessResponse::HeaderValue)]
#[case::header_lines(EndlessResponse::HeaderLines)]
#[case::undelimited_body(EndlessResponse::UndelimitedBody)]
#[case::chunks(EndlessResponse::Chunks)]
#[case::tiny_chunks(EndlessResponse::TinyChunks)]
#[case::chunk_extension(EndlessResponse::ChunkExtension)]
#[case::trailer(EndlessResponse::Trailer)]
#[case::client_error(EndlessResponse::ClientError)]
#[case::event(EndlessResponse::Event)]
#[case::comment_lines(EndlessResponse::CommentLines)]
#[case::comment_blocks(EndlessResponse::CommentBlocks)]
#[case::blank_lines(EndlessResponse::BlankLines)]
#[tokio::test]
async fn endless_response_to_a_stream_is_replaced(#[case] endless: EndlessResponse) {
    let harness = HarnessBuilder::default().start().await;
    let (broken, sound) = (&harness.engines[0], &harness.engines[1]);
    broken.set_default_response(ScriptedResponse::Endless(endless));
    sound.set_default_response(ScriptedResponse::stream(9, StreamEnd::Complete));
    let (stream, other) = (("POST", "/write/7"), ("POST", "/book/7"));
    let responses = send_concurrently::<CONCURRENT>(&harness, stream, other, STREAM_BOUND).await;
    for response in responses {
        assert_eq!(response.status, 200);
        assert!(response.is_complete);
        assert_eq!(response.event_ids(), (1..=9).collect::<Vec<u64>>());
    }
    let received = broken.received_requests().len();
    assert!(received > 0, "the engine in the VM's zone is chosen first");
    assert_closed(broken, received).await;
    assert_memory_is_bounded(&harness);
}

#[rstest]
#[case::informational(EndlessResponse::Informational)]
#[case::undelimited_body(EndlessResponse::UndelimitedBody)]
#[case::chunks(EndlessResponse::Chunks)]
#[case::tiny_chunks(EndlessResponse::TinyChunks)]
#[case::trailer(EndlessResponse::Trailer)]
#[tokio::test]
async fn endless_reports_and_cache_lists_delay_nothing(#[case] endless: EndlessResponse) {
    let harness = HarnessBuilder::default().start().await;
    serve_streams(&harness);
    for engine in &harness.engines {
        engine.set_endless_control(endless);
    }
    let (stream, other) = (("POST", "/write/7"), ("POST", "/book/7"));
    let responses = send_concurrently::<CONCURRENT>(&harness, stream, other, STREAM_BOUND).await;
    for response in responses {
        assert!(response.is_complete);
        assert_eq!(response.event_ids(), [1, 2, 3]);
    }
    let request = GatewayHarness::build_request("POST", "/write/7", "depot-key", "prompt");
    let headers = "Last-Event-Id: 1\r\nX-Prompt-Prefix: 0f:200,ab0:8000\r\nX-Attempt-Id";
    let request = request.replacen("X-Attempt-Id", headers, 1);
    let response = harness.send_raw(&request).await.unwrap();
    assert_eq!(response.event_ids(), [2, 3]);
    assert_memory_is_bounded(&harness);
}

#[rstest]
#[case::undelimited_body(EndlessResponse::UndelimitedBody)]
#[case::chunks(EndlessResponse::Chunks)]
#[case::tiny_chunks(EndlessResponse::TinyChunks)]
#[tokio::test]
async fn endless_reply_to_a_copy_request_is_bounded(#[case] endless: EndlessResponse) {
    let harness = HarnessBuilder::default().engines(3).start().await;
    harness.engines[0].set_default_response(ScriptedResponse::Stream(StreamScript {
        last_id: 150,
        interval: Duration::from_millis(20),
        end: StreamEnd::Complete,
    }));
    let mut clients = Vec::new();
    for _ in 0..CONCURRENT {
        let request = GatewayHarness::build_request("POST", "/write/7", "depot-key", "prompt");
        let mut client = harness.connect().await;
        client.send(request.as_bytes()).await;
        client.wait_for_text("piece 2\n").await;
        clients.push(client);
    }
    harness.engines[0].set_endless_control(endless);
    // A copy whose holder has been removed is made anew.
    let sent = harness.engines[0].received_requests();
    let holder = sent[0].header("x-cache-backup").unwrap();
    let is_holder = |engine: &&FakeUpstream| engine.address().to_string() == holder;
    let removed = harness.engines.iter().find(is_holder).unwrap();
    harness.store.remove("servers", &removed.name());
    for mut client in clients {
        assert!(client.read_response().await.unwrap().is_complete);
    }
    assert!(!harness.engines[0].kv_move_requests().is_empty());
    assert_memory_is_bounded(&harness);
}

#[rstest]
#[case::informational(EndlessResponse::Informational)]
#[case::header_value(EndlessResponse::HeaderValue)]
#[case::undelimited_body(EndlessResponse::UndelimitedBody)]
#[case::chunks(EndlessResponse::Chunks)]
#[case::tiny_chunks(EndlessResponse::TinyChunks)]
#[tokio::test]
async fn endless_response_of_the_store_is_bounded(#[case] endless: EndlessResponse) {
    let harness = HarnessBuilder::default().start().await;
    harness.store.set_mode(StoreMode::Endless(endless));
    let started = Instant::now();
    while started.elapsed() < 2 * CALL_BOUND {
        let sent = Instant::now();
        let response = harness.send_request("POST", "/book/7", "x").await;
        assert_eq!(response.status, 200);
        assert!(sent.elapsed() < CALL_TARGET, "{:?}", sent.elapsed());
        tokio::time::sleep(CALL_TARGET).await;
    }
    harness.store.set_mode(StoreMode::Available);
    let config = harness.next_config();
    harness.put_config(&config);
    let version = config["version"].as_u64().unwrap();
    harness.wait_for_config_version(version).await;
    assert_memory_is_bounded(&harness);
}

/// Guards against bodies in pieces of one byte, each of which kept the buffer that it was
/// read into.
#[tokio::test]
async fn bodies_in_tiny_chunks_are_cut_off_early() {
    let harness = HarnessBuilder::default().start().await;
    for application in &harness.applications {
        let endless = ScriptedResponse::Endless(EndlessResponse::TinyChunks);
        application.set_default_response(endless);
    }
    serve_streams(&harness);
    let before = harness.peak_memory_kib();
    let (call, other) = (("POST", "/book/7"), ("POST", "/write/7"));
    let responses = send_concurrently::<MANY>(&harness, call, other, CALL_BOUND).await;
    for response in responses {
        // The upstream is at fault, not the time.
        assert_eq!(response.status, 502);
    }
    let growth = harness.peak_memory_kib() - before;
    assert!(growth < MAX_GROWTH_KIB, "{growth} KiB");
}

/// Guards against bodies that are within their limits, but fill the memory together.
#[tokio::test]
async fn bodies_of_many_calls_share_a_part_of_the_memory() {
    let harness = HarnessBuilder::default().start().await;
    for application in &harness.applications {
        let endless = ScriptedResponse::Endless(EndlessResponse::Chunks);
        application.set_default_response(endless);
    }
    serve_streams(&harness);
    let before = harness.peak_memory_kib();
    let (call, other) = (("POST", "/book/7"), ("POST", "/write/7"));
    let responses = send_concurrently::<CROWD>(&harness, call, other, CALL_BOUND).await;
    for response in responses {
        assert_eq!(response.status, 502);
    }
    let growth = harness.peak_memory_kib() - before;
    assert!(growth < MEMORY_KIB / 2, "{growth} KiB");
    // Large bodies are served again afterwards.
    let long_body = ScriptedResponse::LongBody { bytes: 1_000_000 };
    for application in &harness.applications {
        application.set_default_response(long_body.clone());
    }
    let response = harness.send_request("POST", "/book/7", "x").await;
    assert_eq!((response.status, response.body.len()), (200, 1_000_000));
}
