//! Calls that end the applications that run them.

use rstest::rstest;
use skylarkshed_stand_ins::{CrashFault, ReceivedRequest};
use skylarkshed_testsuite::{
    config_metric, wait_for_metric, GatewayHarness, HarnessBuilder, OtherVm, RawClient, DEPOT_KEY,
    SETTLE_WINDOW,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The header that makes an application end.
const CRASHING_PART: &str = "bad0";
/// The number of ends after which all VMs have to know the call.
const KNOWN_AFTER_ENDS: usize = 3;
/// The number of such calls that may reach applications later.
const MAX_LATER_CALLS: usize = 3;
const INTERVAL: Duration = Duration::from_millis(250);
const TIME: Duration = Duration::from_secs(9);

async fn start(fault: &CrashFault) -> (GatewayHarness, OtherVm) {
    let harness = HarnessBuilder::default()
        .applications(3)
        .engines(0)
        .start()
        .await;
    for application in &harness.applications {
        application.set_crash_fault(Some(fault.clone()));
    }
    let seeds = [harness.seed_address];
    let other = harness.start_other_with_seeds("vm-2", &seeds).await;
    wait_for_metric(other.metrics_address, &config_metric(1)).await;
    while harness.store.row("vms", "vm-2").is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Both have read the list of VMs.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    (harness, other)
}

/// Sends a call to a VM and returns the status, or none if the connection ended first.
async fn send(vm: SocketAddr, method: &str, path: &str, header: &str) -> Option<u16> {
    let request = GatewayHarness::build_request(method, path, DEPOT_KEY, "x");
    let request = request.replacen("X-Attempt-Id", &format!("{header}X-Attempt-Id"), 1);
    let mut client = RawClient::connect(vm).await;
    client.send(request.as_bytes()).await;
    Some(client.read_response().await?.status)
}

/// Returns when each crashing call reached an application, sorted.
fn crashing_arrivals(harness: &GatewayHarness, fault: &CrashFault) -> Vec<Instant> {
    let is_crashing = |request: &ReceivedRequest| fault.is_hit_by(request);
    let received = harness.applications.iter();
    let received = received.flat_map(|application| application.received_requests());
    let mut times: Vec<Instant> = received
        .filter(is_crashing)
        .map(|request| request.received_at)
        .collect();
    times.sort();
    times
}

/// Guards against a call that callers repeat and that ends one application after another,
/// with all calls that these run.
#[rstest]
#[case::booking("POST", "/book/bad")]
#[case::lookup("GET", "/find/bad")]
#[tokio::test]
async fn call_that_ends_applications_is_not_sent_any_more(
    #[case] method: &'static str,
    #[case] path: &'static str,
) {
    let fault = CrashFault {
        sends_head: false,
        prefill: Duration::from_millis(20),
        ..CrashFault::new(CRASHING_PART)
    };
    let (harness, other) = start(&fault).await;
    let vms = [harness.caller_address, other.caller_address];
    let header = format!("X-Prompt-Prefix: {CRASHING_PART}:1\r\n");
    let started = Instant::now();
    let mut later = 0;
    let mut served = 0;
    for round in 0.. {
        if started.elapsed() >= TIME {
            break;
        }
        let vm = vms[round % vms.len()];
        let crashing = send(vm, method, path, &header);
        let sound_path = format!("/find/{round}");
        let (crashing, sound) = tokio::join!(crashing, send(vm, "GET", &sound_path, ""));
        assert!(crashing.is_some(), "a call that was read gets an answer");
        let is_late = started.elapsed() > TIME / 2;
        later += usize::from(is_late);
        served += usize::from(is_late && sound == Some(200));
        tokio::time::sleep(INTERVAL).await;
    }
    let arrivals = crashing_arrivals(&harness, &fault);
    assert!(!arrivals.is_empty(), "no application has ended");
    let decisive = arrivals.get(KNOWN_AFTER_ENDS - 1);
    let is_late = |at: &&Instant| decisive.is_some_and(|end| **at > *end + SETTLE_WINDOW);
    let late = arrivals.iter().filter(is_late).count();
    assert!(
        late <= MAX_LATER_CALLS,
        "{late} of {} crashing calls reached applications too late",
        arrivals.len()
    );
    assert!(
        2 * served >= later,
        "{served} of {later} sound calls served"
    );
}
