//! Streams go on after a loss, each event once.

use rstest::rstest;
use skylarkshed_stand_ins::{FakeUpstream, ScriptedResponse, StreamEnd};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, KEY};

/// Returns the engine that heard a request first, and the other one.
async fn first_and_second(rig: &GatewayHarness) -> (&FakeUpstream, &FakeUpstream) {
    let (first, second) = (&rig.engines[0], &rig.engines[1]);
    match first.received_requests().is_empty() {
        true => (second, first),
        false => (first, second),
    }
}

#[rstest]
#[case::reset(StreamEnd::Reset)]
#[case::amid_an_event(StreamEnd::ResetMidEvent)]
#[case::silence(StreamEnd::Stall)]
#[tokio::test]
async fn a_lost_stream_goes_on_from_the_copy(#[case] end: StreamEnd) {
    let rig = HarnessBuilder::default().engines(2).start().await;
    // The engine of the VM's zone is first.
    rig.engines[0].enqueue_response(ScriptedResponse::stream(5, end));
    rig.engines[1].enqueue_response(ScriptedResponse::stream(9, StreamEnd::Complete));
    let answer = rig.ask("POST", "/write/7", "prompt").await;
    assert_eq!(answer.status, 200);
    assert!(answer.is_complete);
    assert_eq!(answer.event_ids(), (1..=9).collect::<Vec<u64>>());
    let (first, second) = first_and_second(&rig).await;
    let (sent, resumed) = (
        &first.received_requests()[0],
        &second.received_requests()[0],
    );
    let id = sent.header("x-attempt-id").unwrap();
    let signature = format!("sig-{id}");
    assert_eq!(
        answer.header("x-server-signature"),
        Some(signature.as_str())
    );
    let holder = second.address().to_string();
    assert_eq!(sent.header("x-cache-backup"), Some(holder.as_str()));
    assert_eq!(resumed.header("last-event-id"), Some("5"));
    let copy = format!("{holder}/{id}");
    assert_eq!(resumed.header("kv-from"), Some(copy.as_str()));
    assert_eq!(resumed.body, b"prompt");
}

#[tokio::test]
async fn a_copy_that_is_not_there_is_read_again_elsewhere() {
    let rig = HarnessBuilder::default().engines(3).start().await;
    rig.engines[0].enqueue_response(ScriptedResponse::stream(5, StreamEnd::Reset));
    for engine in &rig.engines[1..] {
        engine.enqueue_response(ScriptedResponse::NotExecuted);
        engine.set_default_response(ScriptedResponse::stream(9, StreamEnd::Complete));
    }
    // The holder says that it has no copy; another engine reads the prompt.
    let answer = rig.ask("POST", "/write/7", "prompt").await;
    assert!(!answer.is_complete || answer.event_ids() == (1..=9).collect::<Vec<u64>>());
    let sends: usize = rig
        .engines
        .iter()
        .map(|engine| engine.received_requests().len())
        .sum();
    assert!((3..=5).contains(&sends), "{sends} sends");
}

#[tokio::test]
async fn a_stream_is_never_joined_over_a_gap() {
    let rig = HarnessBuilder::default().engines(2).start().await;
    rig.engines[0].enqueue_response(ScriptedResponse::stream(5, StreamEnd::Reset));
    rig.engines[1].set_default_response(ScriptedResponse::Reset);
    rig.engines[0].set_default_response(ScriptedResponse::Reset);
    let answer = rig.ask("POST", "/write/7", "prompt").await;
    assert_eq!(answer.event_ids(), (1..=5).collect::<Vec<u64>>());
    assert!(!answer.is_complete, "a broken answer must not look whole");
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_is_sent_once() {
    let rig = HarnessBuilder::default().engines(2).start().await;
    let mut config = rig.config();
    config["routes"][3]["stream_resumption"] = false.into();
    let version = config["version"].as_u64().unwrap();
    rig.put_config(&config);
    rig.wait_version(version).await;
    for engine in &rig.engines {
        engine.set_default_response(ScriptedResponse::stream(5, StreamEnd::Reset));
    }
    let answer = rig.ask("POST", "/write/7", "prompt").await;
    assert!(!answer.is_complete);
    let sends: usize = rig
        .engines
        .iter()
        .map(|engine| engine.received_requests().len())
        .sum();
    assert_eq!(sends, 1);
    let sent = rig
        .engines
        .iter()
        .find_map(|engine| engine.received_requests().pop());
    assert_eq!(sent.unwrap().header("x-cache-backup"), None);
}

#[tokio::test]
async fn a_caller_that_comes_back_gets_the_rest() {
    let rig = HarnessBuilder::default().engines(1).start().await;
    rig.engines[0].enqueue_response(ScriptedResponse::stream(9, StreamEnd::Complete));
    let request = GatewayHarness::request("POST", "/write/7", KEY, "prompt");
    let request = request.replacen("X-Token", "Last-Event-Id: 4\r\nX-Token", 1);
    let answer = rig.ask_raw(&request).await.unwrap();
    assert_eq!(answer.event_ids(), (5..=9).collect::<Vec<u64>>());
    assert!(answer.is_complete);
}

#[tokio::test]
async fn a_copy_whose_holder_is_gone_is_made_anew() {
    let rig = HarnessBuilder::default().engines(3).start().await;
    rig.engines[0].enqueue_response(ScriptedResponse::Stream(
        skylarkshed_stand_ins::StreamScript {
            last_id: 400,
            interval: std::time::Duration::from_millis(20),
            end: StreamEnd::Complete,
        },
    ));
    let mut caller = rig.connect().await;
    let request = GatewayHarness::request("POST", "/write/7", KEY, "prompt");
    caller.send(request.as_bytes()).await;
    caller.wait_for_text("piece 2\n").await;
    let sent = &rig.engines[0].received_requests()[0];
    let holder = sent.header("x-cache-backup").unwrap();
    let is_holder = |engine: &&FakeUpstream| engine.address().to_string() == holder;
    let lost = rig.engines.iter().find(is_holder).unwrap();
    rig.store.remove("servers", &lost.name());
    caller.wait_for_text("piece 150\n").await;
    let copies = rig.engines[0].kv_move_requests();
    let other = rig.engines[1..].iter().find(|engine| !is_holder(engine));
    let target = other.unwrap().address().to_string();
    assert!(
        copies.iter().any(|copy| copy.contains(&target)),
        "{copies:?}"
    );
}
