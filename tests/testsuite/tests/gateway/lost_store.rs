//! Upstreams that leave while a VM can't read the store.

use skylarkshed_stand_ins::StoreMode;
use skylarkshed_testsuite::{GatewayHarness, HarnessBuilder};
use std::time::{Duration, Instant};

/// The time after which a leaving upstream gets no more requests.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// The store answers the watch that is open when it falls silent; only the next one fails.
/// Entries can't expire in this time, which is shorter than that of three heartbeats.
const SHORT_SILENCE: Duration = Duration::from_millis(1_000);
/// Keys are accepted for longer.
const LONG_OUTAGE: Duration = Duration::from_millis(3_000);

async fn start() -> GatewayHarness {
    let harness = HarnessBuilder::default()
        .applications(2)
        .engines(0)
        .start()
        .await;
    // The first answers have arrived.
    tokio::time::sleep(Duration::from_millis(500)).await;
    harness
}

async fn send_calls(harness: &GatewayHarness, time: Duration) {
    let started = Instant::now();
    while started.elapsed() < time {
        let response = harness.send_request("GET", "/find/7", "").await;
        assert_eq!(response.status, 200);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn last_request(harness: &GatewayHarness, application: usize) -> Instant {
    let received = harness.applications[application].received_requests();
    received.last().expect("it got requests").received_at
}

/// Guards against an upstream that gets requests after it has left, because a VM takes its
/// removal for an entry that expired in an outage of the store.
#[tokio::test]
async fn upstream_that_left_in_a_short_silence_of_the_store_gets_no_requests() {
    let harness = start().await;
    send_calls(&harness, Duration::from_millis(200)).await;
    harness.store.set_mode(StoreMode::Unresponsive);
    send_calls(&harness, SHORT_SILENCE).await;
    harness.store.remove("servers", "app-0");
    let left = Instant::now();
    harness.store.set_mode(StoreMode::Available);
    send_calls(&harness, 2 * DRAIN_TIME).await;
    let last = last_request(&harness, 0).duration_since(left);
    assert!(last <= DRAIN_TIME, "{last:?} after it left");
    assert!(last_request(&harness, 1).duration_since(left) > DRAIN_TIME);
}

/// The other half: after a long outage an entry may be missing because its heartbeats were
/// lost. It is dropped at the end of the grace period, also if the store is silent again.
#[tokio::test]
async fn upstream_that_is_missing_after_an_outage_is_used_until_the_grace_period_ends() {
    let harness = start().await;
    harness.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(LONG_OUTAGE).await;
    harness.store.remove("servers", "app-0");
    harness.store.remove("servers", "app-1");
    harness.store.set_mode(StoreMode::Available);
    let returned = Instant::now();
    send_calls(&harness, Duration::from_millis(1_000)).await;
    harness.register(&harness.applications[1], "stores", 1, "ready");
    send_calls(&harness, Duration::from_millis(300)).await;
    harness.store.set_mode(StoreMode::Unavailable);
    send_calls(&harness, DRAIN_TIME).await;
    let last = last_request(&harness, 0).duration_since(returned);
    let is_in_grace = Duration::from_millis(1_000)..Duration::from_millis(3_000);
    assert!(is_in_grace.contains(&last), "{last:?} after the return");
}
