//! A whole request on an open connection ends with an answer or a refusal, also if the
//! connection times out or the process leaves meanwhile.

use nix::sys::signal::Signal;
use skylarkshed_stand_ins::{ScriptedResponse, StreamEnd};
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, RawClient, DEPOT_KEY};
use std::time::Duration;

const CONNECTIONS: usize = 40;
/// The limits of the default configuration.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// After a termination signal, idle connections are closed this late.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2_200);
const SHORT: Duration = Duration::from_millis(150);
/// A reader with this pause takes longer than twice the idle timeout for 900 kB.
const READ_PAUSE: Duration = Duration::from_millis(20);

fn booking() -> String {
    GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x")
}

fn split_request() -> (String, String) {
    let request = booking();
    let (first, rest) = request.split_at(40);
    (first.to_owned(), rest.to_owned())
}

/// Opens connections that have each been used once.
async fn open_used_connections(harness: &GatewayHarness, count: usize) -> Vec<RawClient> {
    let mut clients = Vec::new();
    for _ in 0..count {
        let mut client = harness.connect().await;
        client.send(booking().as_bytes()).await;
        assert_eq!(client.read_response().await.unwrap().status, 200);
        clients.push(client);
    }
    clients
}

/// Returns how many connections end without a response.
async fn count_unanswered(clients: Vec<RawClient>) -> usize {
    let mut unanswered = 0;
    for mut client in clients {
        unanswered += usize::from(client.read_response().await.is_none());
    }
    unanswered
}

#[tokio::test]
async fn request_in_the_socket_is_answered_when_the_idle_timeout_passes() {
    let harness = HarnessBuilder::default().start().await;
    let mut clients = open_used_connections(&harness, CONNECTIONS).await;
    harness.signal(Signal::SIGSTOP);
    for client in &mut clients {
        client.send(booking().as_bytes()).await;
    }
    tokio::time::sleep(IDLE_TIMEOUT + SHORT).await;
    harness.signal(Signal::SIGCONT);
    assert_eq!(count_unanswered(clients).await, 0);
}

#[tokio::test]
async fn request_in_the_socket_is_answered_when_the_head_timeout_passes() {
    let harness = HarnessBuilder::default().start().await;
    let mut clients = open_used_connections(&harness, CONNECTIONS).await;
    let mut rests = Vec::new();
    for client in &mut clients {
        let (first, rest) = split_request();
        client.send(first.as_bytes()).await;
        rests.push(rest);
    }
    tokio::time::sleep(SHORT).await;
    harness.signal(Signal::SIGSTOP);
    for (client, rest) in clients.iter_mut().zip(rests) {
        client.send(rest.as_bytes()).await;
    }
    tokio::time::sleep(HEAD_TIMEOUT).await;
    harness.signal(Signal::SIGCONT);
    assert_eq!(count_unanswered(clients).await, 0);
}

/// A configuration with shorter limits arrives while heads are on their way, and the
/// limits of the old one pass while the process does not run.
#[tokio::test]
async fn request_is_answered_when_a_configuration_shortens_the_timeouts() {
    let harness = HarnessBuilder::default().start().await;
    let mut idle = open_used_connections(&harness, CONNECTIONS).await;
    let mut reading = open_used_connections(&harness, CONNECTIONS).await;
    let mut config = harness.next_config();
    config["limits"]["idle_timeout_ms"] = 300.into();
    config["limits"]["header_timeout_ms"] = 200.into();
    let version = config["version"].as_u64().unwrap();
    harness.put_config(&config);
    harness.wait_for_config_version(version).await;
    let mut rests = Vec::new();
    for client in &mut reading {
        let (first, rest) = split_request();
        client.send(first.as_bytes()).await;
        rests.push(rest);
    }
    tokio::time::sleep(SHORT).await;
    harness.signal(Signal::SIGSTOP);
    for client in &mut idle {
        client.send(booking().as_bytes()).await;
    }
    for (client, rest) in reading.iter_mut().zip(rests) {
        client.send(rest.as_bytes()).await;
    }
    tokio::time::sleep(IDLE_TIMEOUT).await;
    harness.signal(Signal::SIGCONT);
    assert_eq!(count_unanswered(idle).await, 0);
    assert_eq!(count_unanswered(reading).await, 0);
}

/// The configuration that a caller knows may be older than the one before.
#[tokio::test]
async fn open_connection_keeps_the_longest_idle_timeout_that_was_in_force() {
    let harness = HarnessBuilder::default().start().await;
    let mut clients = open_used_connections(&harness, 2).await;
    for idle_timeout_ms in [4_000, 300] {
        let mut config = harness.next_config();
        config["limits"]["idle_timeout_ms"] = idle_timeout_ms.into();
        let version = config["version"].as_u64().unwrap();
        harness.put_config(&config);
        harness.wait_for_config_version(version).await;
        for client in &mut clients {
            client.send(booking().as_bytes()).await;
            assert_eq!(client.read_response().await.unwrap().status, 200);
        }
    }
    tokio::time::sleep(2 * IDLE_TIMEOUT).await;
    for client in &mut clients {
        client.send(booking().as_bytes()).await;
    }
    assert_eq!(count_unanswered(clients).await, 0);
}

/// A caller learns later than the VM that the idle timeout has become shorter.
#[tokio::test]
async fn open_connection_keeps_its_idle_timeout_when_a_configuration_shortens_it() {
    let harness = HarnessBuilder::default().start().await;
    let mut clients = open_used_connections(&harness, 2).await;
    let mut config = harness.next_config();
    config["limits"]["idle_timeout_ms"] = 300.into();
    let version = config["version"].as_u64().unwrap();
    harness.put_config(&config);
    harness.wait_for_config_version(version).await;
    for _ in 0..3 {
        // Less than four fifths of the idle timeout that the caller knows.
        tokio::time::sleep(IDLE_TIMEOUT * 2 / 3).await;
        for client in &mut clients {
            client.send(booking().as_bytes()).await;
            let response = client.read_response().await;
            assert_eq!(response.map(|response| response.status), Some(200));
        }
    }
}

#[tokio::test]
async fn part_of_a_head_that_arrives_during_a_response_is_kept() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    harness.applications[0].enqueue_response(ScriptedResponse::Status {
        status: 200,
        delay: 2 * SHORT,
    });
    let mut client = harness.connect().await;
    let (first, rest) = split_request();
    client.send(booking().as_bytes()).await;
    harness.applications[0].wait_for_requests(1).await;
    client.send(first.as_bytes()).await;
    assert_eq!(client.read_response().await.unwrap().status, 200);
    tokio::time::sleep(SHORT).await;
    client.send(rest.as_bytes()).await;
    assert_eq!(client.read_response().await.unwrap().status, 200);
}

/// A caller may use a connection again within four fifths of the idle timeout, unless a
/// response has announced its end.
#[tokio::test]
async fn connection_with_a_refused_request_is_usable_after_the_head_timeout() {
    let harness = HarnessBuilder::default().start().await;
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request("POST", "/book/7", "unknown", "0123456789");
    let (head, body) = request.split_at(request.len() - 10);
    client.send(head.as_bytes()).await;
    tokio::time::sleep(SHORT).await;
    client.try_send(body.as_bytes()).await;
    let response = client.read_response().await.unwrap();
    assert_eq!(response.status, 401);
    if response.header("connection") == Some("close") {
        return;
    }
    tokio::time::sleep(HEAD_TIMEOUT + SHORT).await;
    client.send(booking().as_bytes()).await;
    let response = client.read_response().await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

/// Closing a connection with unread bytes resets it, and the reset discards a response
/// that is still on its way.
#[tokio::test]
async fn refusal_is_received_by_a_caller_that_still_sends_its_body() {
    let harness = HarnessBuilder::default().start().await;
    let body = "b".repeat(60_000);
    for _ in 0..CONNECTIONS {
        let request = GatewayHarness::build_request("POST", "/book/7", "unknown", &body);
        let (first, rest) = request.split_at(request.len() - 30_000);
        let mut client = harness.connect().await;
        assert!(client.try_send(first.as_bytes()).await);
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(client.try_send(rest.as_bytes()).await);
        tokio::time::sleep(Duration::from_millis(20)).await;
        let response = client.read_response().await;
        assert_eq!(response.map(|response| response.status), Some(401));
        // The connection was not reset.
        client.wait_for_close_without_reset().await;
    }
}

#[tokio::test]
async fn response_to_a_slow_reader_is_complete() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    let bytes = 900_000;
    harness.applications[0].set_default_response(ScriptedResponse::LongBody { bytes });
    let mut client = RawClient::connect_with_small_buffer(harness.caller_address).await;
    client.send(booking().as_bytes()).await;
    let started = std::time::Instant::now();
    let response = client.read_response_slowly(READ_PAUSE).await.unwrap();
    assert!(
        started.elapsed() > 2 * IDLE_TIMEOUT,
        "{:?}",
        started.elapsed()
    );
    assert!(response.is_complete, "{} bytes", response.body.len());
    assert_eq!(response.body.len(), bytes);
}

#[tokio::test]
async fn head_that_is_on_its_way_is_answered_while_the_process_leaves() {
    let harness = HarnessBuilder::default().start().await;
    let mut config = harness.next_config();
    config["limits"]["header_timeout_ms"] = 3_000.into();
    config["limits"]["idle_timeout_ms"] = 9_000.into();
    let version = config["version"].as_u64().unwrap();
    harness.put_config(&config);
    harness.wait_for_config_version(version).await;
    let mut used = open_used_connections(&harness, CONNECTIONS).await;
    let mut new = Vec::new();
    for _ in 0..CONNECTIONS {
        new.push(harness.connect().await);
    }
    harness.signal(Signal::SIGTERM);
    tokio::time::sleep(IDLE_CLOSE_DELAY - 2 * SHORT).await;
    let mut rests = Vec::new();
    for client in used.iter_mut().chain(&mut new) {
        let (first, rest) = split_request();
        client.send(first.as_bytes()).await;
        rests.push(rest);
    }
    tokio::time::sleep(4 * SHORT).await;
    for (client, rest) in used.iter_mut().chain(&mut new).zip(rests) {
        client.try_send(rest.as_bytes()).await;
    }
    let unanswered = (count_unanswered(used).await, count_unanswered(new).await);
    assert_eq!(unanswered, (0, 0));
}

#[tokio::test]
async fn new_connection_is_served_until_the_process_ends() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    harness.applications[0].enqueue_response(ScriptedResponse::Status {
        status: 200,
        delay: Duration::from_millis(900),
    });
    harness.signal(Signal::SIGTERM);
    tokio::time::sleep(IDLE_CLOSE_DELAY - 2 * SHORT).await;
    let mut busy = harness.connect().await;
    busy.send(booking().as_bytes()).await;
    harness.applications[0].wait_for_requests(1).await;
    tokio::time::sleep(3 * SHORT).await;
    // The process closes idle connections by now, and runs because of the busy one.
    let mut clients = Vec::new();
    for _ in 0..10 {
        let mut client = harness.connect().await;
        client.send(booking().as_bytes()).await;
        clients.push(client);
    }
    assert_eq!(count_unanswered(clients).await, 0);
    assert_eq!(busy.read_response().await.unwrap().status, 200);
}

/// Connections that the kernel has accepted when the process is about to end.
#[tokio::test]
async fn connection_in_the_backlog_is_served_before_the_process_ends() {
    let harness = HarnessBuilder::default().start().await;
    harness.signal(Signal::SIGTERM);
    harness.wait_for_readiness(503).await;
    harness.signal(Signal::SIGSTOP);
    let mut clients = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut client = harness.connect().await;
        client.send(booking().as_bytes()).await;
        clients.push(client);
    }
    tokio::time::sleep(IDLE_CLOSE_DELAY).await;
    harness.signal(Signal::SIGCONT);
    assert_eq!(count_unanswered(clients).await, 0);
}

/// Waits until a cut connection is logged with this end.
async fn wait_for_logged_end(harness: &GatewayHarness, end: &str) {
    let end = format!("\"end\":\"{end}\"");
    let is_logged = || {
        let log = std::fs::read_to_string(&harness.log_path).unwrap();
        let mut lines = log.lines();
        lines.any(|line| line.contains("caller's connection ended") && line.contains(&end))
    };
    let waiting = async {
        while !is_logged() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(10), waiting).await;
    let log = std::fs::read_to_string(&harness.log_path).unwrap();
    assert!(result.is_ok(), "no connection was logged with {end}: {log}");
}

/// Nothing can be sent to a caller after the close, so the log has to tell such a request
/// from one that was lost.
#[tokio::test]
async fn request_that_crosses_the_close_of_an_idle_connection_is_logged_and_not_run() {
    let harness = HarnessBuilder::default().start().await;
    let mut config = harness.next_config();
    config["limits"]["idle_timeout_ms"] = 9_000.into();
    let version = config["version"].as_u64().unwrap();
    harness.put_config(&config);
    harness.wait_for_config_version(version).await;
    let mut clients = open_used_connections(&harness, 1).await;
    harness.signal(Signal::SIGTERM);
    tokio::time::sleep(IDLE_CLOSE_DELAY + 2 * SHORT).await;
    clients[0].send(booking().as_bytes()).await;
    assert_eq!(count_unanswered(clients).await, 1);
    wait_for_logged_end(&harness, "draining").await;
    assert_eq!(harness.application_request_count(), 1);
}

#[tokio::test]
async fn stream_that_outlasts_the_process_is_logged() {
    let harness = HarnessBuilder::default()
        .engines(1)
        .grace_s(3)
        .start()
        .await;
    harness.engines[0].set_default_response(ScriptedResponse::stream(5, StreamEnd::Stall));
    let mut client = harness.connect().await;
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    client.send(request.as_bytes()).await;
    client.wait_for_text("id: 5").await;
    harness.signal(Signal::SIGTERM);
    wait_for_logged_end(&harness, "exited").await;
}
