//! VMs that start while others run, and what they ask of the store.

use skylarkshed_stand_ins::StoreMode;
use skylarkshed_testsuite::{
    config_metric, wait_for_metric, GatewayHarness, HarnessBuilder, OtherVm, RawClient, DEPOT_KEY,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const READ_PATH: &str = "/-/rows-get";
/// VMs that have started follow the configuration within this time.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
const CHANGE_PATH: &str = "/-/rows-tx";

/// Guards against a store that is flooded by a rolling restart of a large fleet: each
/// start cost ten calls there.
#[tokio::test]
async fn vm_that_starts_reads_nothing_from_the_store_if_a_seed_runs() {
    let harness = HarnessBuilder::default().start().await;
    wait_for_entry(&harness, "vm-1").await;
    let reads = harness.store.call_count_of(READ_PATH);
    let _other = start_with_tables(&harness).await;
    wait_for_entry(&harness, "vm-2").await;
    // Its entry comes back in the list of VMs, so it is not written again.
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(harness.store.call_count_of(READ_PATH), reads);
    assert_eq!(harness.store.call_count_of(CHANGE_PATH), 2);
}

/// Starts a VM that knows the harness's VM as its seed, and waits until it has the
/// tables.
async fn start_with_tables(harness: &GatewayHarness) -> OtherVm {
    let seeds = [harness.seed_address];
    let other = harness.start_other_with_seeds("vm-2", &seeds).await;
    let upstreams = "gateway_upstreams{state=\"present\"} 4";
    wait_for_metric(other.metrics_address, &config_metric(1)).await;
    wait_for_metric(other.metrics_address, upstreams).await;
    other
}

/// Waits until a VM has written its entry.
async fn wait_for_entry(harness: &GatewayHarness, name: &str) {
    while harness.store.row("vms", name).is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn vm_that_starts_while_the_store_is_away_gets_the_tables_from_a_seed() {
    let harness = HarnessBuilder::default().start().await;
    harness.store.set_mode(StoreMode::Unresponsive);
    start_with_tables(&harness).await;
}

#[tokio::test]
async fn vm_whose_seeds_are_down_reads_the_store() {
    let harness = HarnessBuilder::default().start().await;
    // Nothing listens on this port.
    let seed = ([127, 0, 0, 1], 1).into();
    let other = harness.start_other_with_seeds("vm-2", &[seed]).await;
    wait_for_metric(other.metrics_address, &config_metric(1)).await;
}

/// Seeds may be VMs that are gone for good: nothing answers there, not even with a reset.
/// Callers are refused until the VM has the tables.
#[tokio::test]
async fn vm_whose_seeds_do_not_answer_reads_the_store_in_time() {
    let harness = HarnessBuilder::default().start().await;
    let mut seeds = Vec::new();
    for _ in 0..3 {
        seeds.push(SilentAddress::bind().await);
    }
    let addresses: Vec<SocketAddr> = seeds.iter().map(|seed| seed.address).collect();
    let started_at = Instant::now();
    let other = harness.start_other_with_seeds("vm-2", &addresses).await;
    wait_for_metric(other.metrics_address, &config_metric(1)).await;
    let elapsed = started_at.elapsed();
    assert!(elapsed <= CATCH_UP_TIME, "{elapsed:?} until the tables");
}

/// An address at which connections are neither accepted nor refused.
struct SilentAddress {
    address: SocketAddr,
    _listener: TcpListener,
    _waiting: TcpStream,
}

impl SilentAddress {
    async fn bind() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        // The queue has room for one connection; the kernel drops the packets of others.
        let waiting = TcpStream::connect(address).await.unwrap();
        SilentAddress {
            address,
            _listener: listener,
            _waiting: waiting,
        }
    }
}

/// Guards against refusals in the moment after a restart: callers that a crash has cut
/// off come back at once, and have no further attempt if they are refused.
#[tokio::test]
async fn request_that_arrives_before_the_tables_is_served() {
    let harness = HarnessBuilder::default().start().await;
    for number in 2..5 {
        let name = format!("vm-{number}");
        let seeds = [harness.seed_address];
        let other = harness.start_other_with_seeds(&name, &seeds).await;
        let mut client = RawClient::connect(other.caller_address).await;
        let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
        client.send(request.as_bytes()).await;
        let response = client.read_response().await.unwrap();
        assert_eq!(response.status, 200, "{}", response.body);
    }
}
