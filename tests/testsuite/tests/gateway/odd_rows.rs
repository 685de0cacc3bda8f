//! Rows of another writer in the table of upstreams.

use nix::sys::signal::Signal;
use rstest::rstest;
use skylarkshed_testsuite::{peak_memory_kib, wait_for_metric, GatewayHarness, HarnessBuilder};

const TABLE: &str = "servers";
/// Both applications are listed.
const LISTED: &str = "gateway_upstreams{state=\"present\"} 2";
/// Half of the memory of the smallest VMs.
const MAX_MEMORY_KIB: u64 = 44_000;

async fn start() -> GatewayHarness {
    HarnessBuilder::default()
        .applications(2)
        .engines(0)
        .start()
        .await
}

/// Guards against a process that never becomes ready beside the rows of another writer, or that
/// passes over the upstreams after them. No other process runs from which it could read the table.
#[rstest]
#[case::blank("aa 01")]
#[case::fragment("aa#01")]
#[case::other_field("aa&from=z")]
#[tokio::test]
async fn process_starts_beside_odd_keys(#[case] key: &str) {
    let harness = start().await;
    for number in 0..600 {
        let key = format!("{key}{number:03}");
        harness.store.put_raw(TABLE, &key, b"\xff\xfe".to_vec());
    }
    harness.signal(Signal::SIGKILL);
    let other = harness.start_other("vm-2").await;
    wait_for_metric(other.metrics_address, LISTED).await;
}

/// Guards against long values that fill the memory of a process that reads the table, of one
/// that reads its changes, and of one that reads it from another VM.
#[tokio::test]
async fn long_values_are_not_kept() {
    let harness = start().await;
    for number in 0..500 {
        let key = format!("backup-{number:03}");
        harness.store.put_raw(TABLE, &key, vec![b'x'; 60_000]);
    }
    let other = harness.start_other("vm-2").await;
    wait_for_metric(other.metrics_address, LISTED).await;
    // An application that is registered after them shows that the changes were read.
    harness.register_leaving(0);
    let leaving = "gateway_upstreams{state=\"leaving\"} 1";
    harness.wait_for_metric(leaving).await;
    wait_for_metric(other.metrics_address, leaving).await;
    let process = other.process.id().expect("it runs");
    let peaks = [harness.peak_memory_kib(), peak_memory_kib(process)];
    assert!(
        peaks.iter().all(|peak| *peak < MAX_MEMORY_KIB),
        "{peaks:?} KiB"
    );
}
