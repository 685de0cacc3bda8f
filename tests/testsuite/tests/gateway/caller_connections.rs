//! A whole request on an open connection ends with an answer or a refusal, also if the
//! connection times out or the process leaves meanwhile.

use nix::sys::signal::Signal;
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder, RawClient, DEPOT_KEY};
use std::time::Duration;

const CONNECTIONS: usize = 40;
/// The limits of the default configuration.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
const SHORT: Duration = Duration::from_millis(150);

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
