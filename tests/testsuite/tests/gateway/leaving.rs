//! A process that is told to end cuts off no request.

use nix::sys::signal::Signal;
use skylarkshed_stand_ins::ScriptedResponse;
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, KEY};
use std::time::Duration;

#[tokio::test]
async fn a_leaving_process_finishes_what_it_read() {
    let mut rig = HarnessBuilder::default().applications(1).start().await;
    rig.applications[0].enqueue_response(ScriptedResponse::Status {
        status: 200,
        delay: Duration::from_millis(800),
    });
    let mut busy = rig.connect().await;
    let mut idle = rig.connect().await;
    let request = GatewayHarness::request("POST", "/book/7", KEY, "x");
    busy.send(request.as_bytes()).await;
    rig.applications[0].wait_for_requests(1).await;
    rig.signal(Signal::SIGTERM);
    rig.signal(Signal::SIGTERM);
    rig.wait_readiness(503).await;
    // New callers and open connections are still served, and told to leave.
    assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 200);
    idle.send(GatewayHarness::request("POST", "/book/7", KEY, "x").as_bytes())
        .await;
    let answer = idle.answer().await.unwrap();
    assert_eq!(
        (answer.status, answer.header("connection")),
        (200, Some("close"))
    );
    let answer = busy.answer().await.unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "answer"));
    let ended = tokio::time::timeout(Duration::from_secs(8), rig.process.wait()).await;
    assert!(ended.unwrap().unwrap().success());
}

#[tokio::test]
async fn a_stream_that_cannot_end_in_time_is_refused() {
    let rig = HarnessBuilder::default().grace_s(6).start().await;
    rig.signal(Signal::SIGTERM);
    rig.wait_readiness(503).await;
    let answer = rig.ask("POST", "/write/7", "prompt").await;
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("leaving"));
    assert_eq!(rig.engines[0].received_requests().len(), 0);
}

#[tokio::test]
async fn a_hang_up_signal_cuts_nothing() {
    let rig = HarnessBuilder::default().applications(1).start().await;
    rig.applications[0].enqueue_response(ScriptedResponse::Status {
        status: 200,
        delay: Duration::from_millis(300),
    });
    let mut busy = rig.connect().await;
    let request = GatewayHarness::request("POST", "/book/7", KEY, "x");
    busy.send(request.as_bytes()).await;
    rig.applications[0].wait_for_requests(1).await;
    rig.signal(Signal::SIGHUP);
    std::fs::write(&rig.settings, "not = [valid").unwrap();
    rig.signal(Signal::SIGHUP);
    assert_eq!(busy.answer().await.unwrap().status, 200);
    assert_eq!(rig.ask("POST", "/book/7", "x").await.status, 200);
    rig.wait_ready().await;
}
