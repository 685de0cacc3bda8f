//! A sound engine that is silent for a while loses no stream.

use rstest::rstest;
use serde_json::Value;
use skylarkshed_stand_ins::{FakeUpstream, ScriptedResponse, StreamEnd};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, DEPOT_KEY, MODEL_SERVICE};
use std::time::{Duration, Instant};

/// Longer than the silence after which a stream without a copy is continued elsewhere.
const PAUSE: Duration = Duration::from_millis(2_500);
/// How long all engines refuse.
const FULL_TIME: Duration = Duration::from_millis(1_800);
const STREAMS: usize = 40;
/// A tenth of the streams, and the four resumes that a VM may make besides; the budget
/// always allows one more.
const MAX_RESUMES: usize = 9;
const COPY_TIME: Duration = Duration::from_millis(2_500);

/// Returns a stream of nine events that pauses after the fifth.
fn paused_stream() -> ScriptedResponse {
    ScriptedResponse::stream(
        5,
        StreamEnd::Pause {
            pause: PAUSE,
            last_id: 9,
        },
    )
}

async fn activate(harness: &GatewayHarness, config: &Value) {
    harness.put_config(config);
    let version = config["version"].as_u64().unwrap();
    harness.wait_for_config_version(version).await;
}

async fn assert_whole(harness: &GatewayHarness) {
    let response = harness.send_request("POST", "/write/7", "prompt").await;
    assert_eq!(response.status, 200);
    assert_eq!(response.event_ids(), (1..=9).collect::<Vec<u64>>());
    assert!(response.is_complete);
}

/// Returns a stream whose head comes late.
fn late_stream() -> ScriptedResponse {
    ScriptedResponse::LateStream {
        delay: PAUSE,
        last_id: 9,
    }
}

/// Returns a stream whose first event comes long after its head.
fn stream_with_late_event() -> ScriptedResponse {
    ScriptedResponse::stream(
        0,
        StreamEnd::Pause {
            pause: PAUSE,
            last_id: 9,
        },
    )
}

#[rstest]
#[tokio::test]
async fn silence_ends_no_stream(
    #[values(("stream_resumption", false.into()), ("attempts", 1.into()))] change: (&str, Value),
    #[values(paused_stream(), late_stream(), stream_with_late_event())] response: ScriptedResponse,
) {
    let harness = HarnessBuilder::default().engines(2).start().await;
    let mut config = harness.next_config();
    config["routes"][3][change.0] = change.1;
    activate(&harness, &config).await;
    for engine in &harness.engines {
        engine.set_default_response(response.clone());
    }
    assert_whole(&harness).await;
}

#[tokio::test]
async fn silence_ends_no_stream_while_no_other_engine_is_listed() {
    let harness = HarnessBuilder::default().engines(1).start().await;
    harness.engines[0].set_default_response(paused_stream());
    assert_whole(&harness).await;
}

/// Guards against a sound engine that is left for one that then refuses.
#[tokio::test]
async fn last_attempt_is_kept_while_the_silent_engine_may_go_on() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    let mut config = harness.next_config();
    config["routes"][3]["attempts"] = 2.into();
    activate(&harness, &config).await;
    harness.engines[0].set_default_response(paused_stream());
    harness.engines[1].set_default_response(ScriptedResponse::NotExecuted);
    assert_whole(&harness).await;
}

/// A draining engine may close its listener before its last stream ends.
#[tokio::test]
async fn engine_that_no_longer_listens_is_not_taken_for_dead() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    let mut config = harness.next_config();
    // Without copies, only the liveness check could end the attempt so soon.
    config["services"][1]["engine"]["backups"] = false.into();
    config["services"][1]["engine"]["moves"] = false.into();
    activate(&harness, &config).await;
    let (first, second) = (&harness.engines[0], &harness.engines[1]);
    let pause = Duration::from_millis(1_000);
    let end = StreamEnd::Pause { pause, last_id: 9 };
    first.set_default_response(ScriptedResponse::stream(5, end));
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    client.send(request.as_bytes()).await;
    first.wait_for_requests(1).await;
    first.stop();
    let response = client.read_response().await.unwrap();
    assert_eq!(response.event_ids(), (1..=9).collect::<Vec<u64>>());
    assert!(response.is_complete);
    assert!(second.received_requests().is_empty());
}

/// Guards against a stream that ends because no engine was listed at that moment.
#[tokio::test]
async fn broken_stream_waits_for_an_engine() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    let (first, second) = (&harness.engines[0], &harness.engines[1]);
    harness.store.remove("servers", &second.name());
    harness
        .wait_for_metric("gateway_upstreams{state=\"present\"} 3")
        .await;
    first.set_default_response(ScriptedResponse::stream(5, StreamEnd::Reset));
    second.set_default_response(ScriptedResponse::stream(9, StreamEnd::Complete));
    let (response, ()) = tokio::join!(harness.send_request("POST", "/write/7", "prompt"), async {
        first.wait_for_requests(1).await;
        harness.store.remove("servers", &first.name());
        harness
            .wait_for_metric("gateway_upstreams{state=\"present\"} 2")
            .await;
        harness.register(second, MODEL_SERVICE, 1, "ready");
    });
    assert_eq!(response.event_ids(), (1..=9).collect::<Vec<u64>>());
    assert!(response.is_complete);
}

/// Guards against a stream that ends because all engines were full for some seconds.
#[tokio::test]
async fn broken_stream_waits_for_room() {
    let harness = HarnessBuilder::default().engines(3).start().await;
    let (first, others) = harness.engines.split_first().unwrap();
    first.enqueue_response(ScriptedResponse::stream(5, StreamEnd::Reset));
    for engine in &harness.engines {
        engine.set_default_response(ScriptedResponse::NotExecuted);
    }
    let (response, ()) = tokio::join!(harness.send_request("POST", "/write/7", "prompt"), async {
        first.wait_for_requests(1).await;
        tokio::time::sleep(FULL_TIME).await;
        for engine in others {
            engine.set_default_response(ScriptedResponse::stream(9, StreamEnd::Complete));
        }
    });
    assert_eq!(response.event_ids(), (1..=9).collect::<Vec<u64>>());
    assert!(response.is_complete);
}

/// Guards against a stream that waits for a dead engine because the other one refused
/// earlier.
#[tokio::test]
async fn engine_that_refused_earlier_replaces_a_dead_one() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    let (first, second) = (&harness.engines[0], &harness.engines[1]);
    first.enqueue_response(ScriptedResponse::NotExecuted);
    first.set_default_response(ScriptedResponse::stream(9, StreamEnd::Complete));
    second.set_default_response(ScriptedResponse::stream(5, StreamEnd::Stall));
    assert_whole(&harness).await;
}

/// Guards against a request that is held past its deadline.
#[tokio::test]
async fn engine_that_never_responds_is_waited_for_until_the_deadline() {
    let harness = HarnessBuilder::default().engines(1).start().await;
    harness.engines[0].set_default_response(ScriptedResponse::NoResponse);
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    let request = request.replace("Remaining: 20000", "Remaining: 2000");
    let sent = Instant::now();
    let response = harness.send_raw(&request).await.unwrap();
    assert_eq!(response.status, 504);
    assert!(sent.elapsed() < Duration::from_millis(2_500));
}

/// Guards against retries of silent streams that are not taken from the budget.
#[tokio::test]
async fn retries_of_silent_streams_stay_within_the_budget() {
    let builder = HarnessBuilder::default().engines(3).retry_budget(0.0, 0);
    let harness = builder.start().await;
    for engine in &harness.engines {
        engine.set_default_response(ScriptedResponse::NoResponse);
    }
    let mut clients = Vec::new();
    for _ in 0..STREAMS {
        let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
        let request = request.replace("Remaining: 20000", "Remaining: 4000");
        let mut client = harness.connect().await;
        client.send(request.as_bytes()).await;
        clients.push(client);
    }
    for client in &mut clients {
        assert!(client.read_response().await.is_some());
    }
    let engines = harness.engines.iter();
    let arrivals: usize = engines.map(|engine| engine.received_requests().len()).sum();
    assert!(
        arrivals - STREAMS <= MAX_RESUMES,
        "{arrivals} arrivals of {STREAMS} streams"
    );
}

/// Guards against a VM that is kept busy by a copy that fails at once.
#[tokio::test]
async fn failed_copy_of_a_kv_cache_is_not_repeated_without_a_pause() {
    let harness = HarnessBuilder::default().engines(3).start().await;
    let stream = skylarkshed_stand_ins::StreamScript {
        last_id: 1_000,
        interval: Duration::from_millis(20),
        end: StreamEnd::Complete,
    };
    harness.engines[0].set_default_response(ScriptedResponse::Stream(stream));
    harness
        .engines
        .iter()
        .for_each(FakeUpstream::refuse_kv_moves);
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    client.send(request.as_bytes()).await;
    client.wait_for_text("piece 2\n").await;
    let sent = &harness.engines[0].received_requests()[0];
    let holder = sent.header("x-cache-backup").unwrap();
    let is_holder = |engine: &&FakeUpstream| engine.address().to_string() == holder;
    let removed = harness.engines.iter().find(is_holder).unwrap();
    harness.store.remove("servers", &removed.name());
    tokio::time::sleep(COPY_TIME).await;
    let copies = harness.engines[0].kv_move_requests().len();
    assert!((1..=6).contains(&copies), "{copies} requests for a copy");
}

/// Guards against a slow engine that is left for a KV cache copy whose holder is gone: the
/// prompt would be prefilled again.
#[tokio::test]
async fn slow_engine_is_not_left_for_a_copy_that_is_gone() {
    /// Longer than the silence after which a stream goes on from its copy, and shorter than
    /// the one without a copy.
    const SHORT_PAUSE: Duration = Duration::from_millis(1_000);
    let harness = HarnessBuilder::default().engines(3).start().await;
    for engine in &harness.engines {
        engine.set_default_response(ScriptedResponse::stream(
            5,
            StreamEnd::Pause {
                pause: SHORT_PAUSE,
                last_id: 9,
            },
        ));
    }
    // The request goes to the engine in the VM's own zone, so a copy is in one of these.
    harness.engines[1].stop();
    harness.engines[2].stop();
    assert_whole(&harness).await;
    assert_eq!(harness.engines[0].received_requests().len(), 1);
}
