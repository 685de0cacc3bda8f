//! Engines that crash under prompts that are not at fault.

use skylarkshed_stand_ins::{ScriptedResponse, StreamEnd, StreamScript, DEPOT_KEY, MODEL_SERVICE};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, RawClient};
use std::time::Duration;

const ENGINES: usize = 6;
/// How many of them crash.
const CRASHED: usize = 2;
const STREAMS: usize = 18;
const LAST_ID: u64 = 60;
/// Streams last for 1.8 s, and take 0.5 s until they show that their prompt is sound.
const STREAM: ScriptedResponse = ScriptedResponse::Stream(StreamScript {
    last_id: LAST_ID,
    interval: Duration::from_millis(30),
    end: StreamEnd::Complete,
});

fn build_stream_request(number: usize) -> String {
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    let parts = format!("X-Prompt-Prefix: 0f:200,ab{number}:800\r\nX-Attempt-Id");
    request.replacen("X-Attempt-Id", &parts, 1)
}

/// Guards against streams at sound engines that are closed because two other engines crashed
/// as they began to answer on the same part of a prompt, and against requests with that part
/// that are refused for longer than it takes to see that it is sound.
#[tokio::test]
async fn streams_at_sound_engines_go_on_when_others_crash() {
    let builder = HarnessBuilder::default().applications(0);
    let harness = builder.engines(ENGINES).start().await;
    for engine in &harness.engines {
        engine.set_default_response(STREAM);
        harness.register(engine, MODEL_SERVICE, 0, "ready");
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut clients: Vec<RawClient> = Vec::new();
    for number in 0..STREAMS {
        let mut client = harness.connect().await;
        client.send(build_stream_request(number).as_bytes()).await;
        clients.push(client);
    }
    for client in &mut clients {
        client.wait_for_text("piece 1\n").await;
    }
    for engine in &harness.engines[..CRASHED] {
        assert!(!engine.received_requests().is_empty(), "it serves a stream");
        engine.crash();
    }
    let at_sound: usize = harness.engines[CRASHED..]
        .iter()
        .map(|engine| engine.received_requests().len())
        .sum();
    let mut complete = 0;
    for client in &mut clients {
        let response = client.read_response().await;
        complete += usize::from(response.is_some_and(|response| response.is_complete));
    }
    assert!(
        complete >= at_sound,
        "{complete} streams are complete, {at_sound} were at sound engines"
    );
    let response = harness
        .send_raw(&build_stream_request(STREAMS))
        .await
        .unwrap();
    assert_eq!((response.status, response.is_complete), (200, true));
}
