//! The memory of the metrics while nobody fetches them.

use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The requests of one batch, which are pipelined on one connection.
const BATCH_REQUESTS: usize = 500;
const BATCHES: usize = 500;
/// Samples of a duration that are kept one by one take 16 bytes each.
const MAX_GROWTH_KIB: u64 = (BATCH_REQUESTS * BATCHES * 16 / 1_024 / 2) as u64;
const STATUS_LINE: &[u8] = b"HTTP/1.1 401 ";

/// Sends requests with an unknown key, and waits for all responses.
async fn send_refused_requests(harness: &GatewayHarness, batches: usize) {
    let mut stream = TcpStream::connect(harness.caller_address).await.unwrap();
    let request = GatewayHarness::build_request("GET", "/find/7", "unknown", "");
    let batch = request.repeat(BATCH_REQUESTS);
    let mut part = vec![0; 256 * 1_024];
    for _ in 0..batches {
        stream.write_all(batch.as_bytes()).await.unwrap();
        let mut responses = 0;
        let mut received = Vec::new();
        while responses < BATCH_REQUESTS {
            let count = stream.read(&mut part).await.unwrap();
            assert!(count > 0, "the VM closed the connection");
            received.extend_from_slice(&part[..count]);
            let heads = received.windows(STATUS_LINE.len());
            responses = heads.filter(|head| *head == STATUS_LINE).count();
        }
    }
}

/// Guards against a process that keeps a sample of each request until the metrics are
/// fetched, which only happens while a failure is examined.
#[tokio::test]
async fn memory_does_not_grow_with_requests_if_the_metrics_are_not_fetched() {
    let harness = HarnessBuilder::default().start().await;
    send_refused_requests(&harness, BATCHES / 4).await;
    let before = harness.resident_memory_kib();
    send_refused_requests(&harness, BATCHES).await;
    let growth = harness.resident_memory_kib().saturating_sub(before);
    assert!(growth < MAX_GROWTH_KIB, "{growth} KiB of {MAX_GROWTH_KIB}");
}
