//! A process that can open no more files waits instead of using its processor.

use rstest::rstest;
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

const MAX_FILES: u64 = 64;
const MEASURED_TIME: Duration = Duration::from_secs(1);
/// A fifth of a core, at 100 ticks a second.
const MAX_TICKS: u64 = 20;

#[rstest]
#[case::readiness_checks(|harness: &GatewayHarness| harness.readiness_address)]
#[case::other_vms(|harness: &GatewayHarness| harness.seed_address)]
#[case::callers(|harness: &GatewayHarness| harness.caller_address)]
#[tokio::test]
async fn process_without_free_descriptors_does_not_spin(
    #[case] address: impl Fn(&GatewayHarness) -> SocketAddr,
) {
    let harness = HarnessBuilder::default().max_files(MAX_FILES).start().await;
    let mut connections = Vec::new();
    for _ in 0..2 * MAX_FILES {
        connections.push(TcpStream::connect(address(&harness)).await.unwrap());
    }
    // The last of them have been accepted, or wait in the backlog.
    tokio::time::sleep(MEASURED_TIME).await;
    let before = harness.processor_ticks();
    tokio::time::sleep(MEASURED_TIME).await;
    let ticks = harness.processor_ticks() - before;
    assert!(ticks <= MAX_TICKS, "{ticks} ticks in a second");
}
