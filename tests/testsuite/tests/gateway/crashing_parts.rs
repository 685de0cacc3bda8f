//! A part of a prompt that ends each engine which begins to write an answer on it.

use rstest::rstest;
use skylarkshed_stand_ins::{CrashFault, StoreMode};
use skylarkshed_testsuite::{CrashTrial, SETTLE_WINDOW};
use std::time::{Duration, Instant};

/// The number of crashing requests that may reach engines after all VMs know the part.
const MAX_LATE_ARRIVALS: usize = 3;
const BLOCK_TABLE: &str = "blocks";

/// Guards against a kind of request that ends engine after engine: its attempts and the
/// next requests were sent on, by all VMs.
#[rstest]
#[case::with_a_head(CrashTrial::fault())]
#[case::without_a_head(CrashFault { sends_head: false, ..CrashTrial::fault() })]
#[case::after_a_long_prefill(CrashFault { prefill: Duration::from_secs(1), ..CrashTrial::fault() })]
#[tokio::test]
async fn part_that_ends_engines_is_not_sent_any_more(#[case] fault: CrashFault) {
    let mut trial = CrashTrial::start(3, 12).await;
    trial.set_fault(Some(&fault));
    let started_at = Instant::now();
    for _ in 0..3 {
        trial.start_sound_callers(Duration::from_millis(50));
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let first_sent_at = Instant::now();
    let (before, begun_before) = trial.sound_requests(started_at, first_sent_at);
    assert!(
        begun_before * 10 >= before * 9,
        "{begun_before} of {before}"
    );
    let (pause, time) = (Duration::from_millis(300), Duration::from_secs(26));
    trial.send_crashing_requests(pause, time).await;
    let ends = trial.end_times();
    assert!(!ends.is_empty(), "the part ends engines");
    let late = trial.late_arrivals();
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} sent, {} ends",
        ends.len()
    );
    // Sound requests that share the customer and the first part go on.
    let known_at = ends[ends.len().min(5) - 1];
    let last = Instant::now() - Duration::from_secs(2);
    let (sent, begun) = trial.sound_requests(known_at + 2 * SETTLE_WINDOW, last);
    assert!(sent >= 20, "{sent} sound requests");
    assert!(
        begun * 2 * before >= sent * begun_before,
        "{begun} of {sent} began"
    );
}

/// Sends crashing requests to a VM until it refuses one; returns how many reached engines.
async fn block_part(trial: &CrashTrial) -> usize {
    let vm = trial.harness.caller_address;
    for _ in 0..3 {
        let response = trial.send_crashing_request(vm).await;
        if response.is_some_and(|response| response.status == 503) {
            return trial.crashing_arrivals().len();
        }
    }
    panic!(
        "the part is not blocked after {} ends",
        trial.end_times().len()
    );
}

/// Starts VMs whose first part is known to be sound.
async fn start_warm(vms: usize, engines: usize) -> CrashTrial {
    let mut trial = CrashTrial::start(vms, engines).await;
    trial.start_sound_callers(Duration::from_millis(50));
    tokio::time::sleep(Duration::from_secs(2)).await;
    trial
}

#[tokio::test]
async fn refused_request_says_when_to_return() {
    let trial = start_warm(2, 6).await;
    block_part(&trial).await;
    for vm in trial.vm_addresses() {
        let response = trial.send_crashing_request(vm).await.unwrap();
        assert_eq!(response.status, 503);
        assert!(
            response.body.contains("prompt_blocked"),
            "{}",
            response.body
        );
        let seconds: f64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!(seconds >= 5.0, "{seconds} s");
    }
    assert!(trial.end_times().len() <= 2, "one request ends two engines");
}

/// Guards against a VM that was restarted and sends such requests again.
#[tokio::test]
async fn vm_that_starts_while_the_store_is_away_knows_the_part() {
    let mut trial = start_warm(2, 6).await;
    let arrivals = block_part(&trial).await;
    trial.harness.store.set_mode(StoreMode::Unresponsive);
    let seeds = [trial.harness.seed_address];
    let vm = trial.add_vm("vm-9", &seeds).await;
    let response = trial.send_crashing_request(vm).await.unwrap();
    assert_eq!(response.status, 503);
    assert_eq!(trial.crashing_arrivals().len(), arrivals);
}

/// Guards against a loss of power of all VMs that makes them forget such parts.
#[tokio::test]
async fn part_is_known_after_all_vms_were_restarted() {
    let mut trial = start_warm(2, 6).await;
    let arrivals = block_part(&trial).await;
    wait_for_block(&trial).await;
    trial.harness.process.kill().await.unwrap();
    trial.others[0].process.kill().await.unwrap();
    let vm = trial.add_vm("vm-9", &[]).await;
    tokio::time::sleep(SETTLE_WINDOW).await;
    let response = trial.send_crashing_request(vm).await.unwrap();
    assert_eq!(response.status, 503);
    assert_eq!(trial.crashing_arrivals().len(), arrivals);
}

/// Guards against a block that is lost with what the store had acknowledged.
#[tokio::test]
async fn part_is_stored_again_after_the_store_was_restored() {
    let trial = start_warm(2, 6).await;
    let store = &trial.harness.store;
    let copy = store.copy();
    block_part(&trial).await;
    wait_for_block(&trial).await;
    store.restore(&copy);
    assert_eq!(store.row_count(BLOCK_TABLE), 0);
    wait_for_block(&trial).await;
}

/// Waits until the store has a block.
async fn wait_for_block(trial: &CrashTrial) {
    let waiting = async {
        while trial.harness.store.row_count(BLOCK_TABLE) == 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(12), waiting)
        .await
        .expect("the block is stored");
}

/// Guards against a part that stays blocked although engines no longer end under it.
#[tokio::test]
async fn part_that_is_sound_again_is_served_by_all_vms() {
    const LIFT_TIMEOUT: Duration = Duration::from_secs(20);
    let trial = start_warm(2, 6).await;
    block_part(&trial).await;
    trial.set_fault(None);
    let mended_at = Instant::now();
    for vm in trial.vm_addresses().into_iter().cycle() {
        let response = trial.send_crashing_request(vm).await;
        if response.is_some_and(|response| response.status == 200) {
            break;
        }
        assert!(mended_at.elapsed() < LIFT_TIMEOUT, "still blocked");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for vm in trial.vm_addresses() {
        let response = trial.send_crashing_request(vm).await.unwrap();
        assert_eq!(response.status, 200);
    }
}

/// Guards against a sound part that is blocked because engines end for another reason.
#[tokio::test]
async fn engines_that_end_for_another_reason_block_no_part() {
    let mut trial = CrashTrial::start(2, 6).await;
    let started_at = Instant::now();
    trial.set_fault(None);
    for _ in 0..4 {
        trial.start_sound_callers(Duration::from_millis(20));
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    for engine in &trial.harness.engines {
        engine.crash();
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    let vm = trial.harness.caller_address;
    let response = trial.send_crashing_request(vm).await.unwrap();
    assert_eq!(response.status, 200);
    let (sent, begun) = trial.sound_requests(started_at, Instant::now());
    assert!(begun * 10 >= sent * 9, "{begun} of {sent} began");
}

/// Guards against a request that ends one engine after the other although its prompt shares
/// no part with others, so that nothing is learned for the next one.
#[tokio::test]
async fn request_with_only_its_own_part_ends_two_engines_at_most() {
    let trial = CrashTrial::start(1, 6).await;
    let vm = trial.harness.caller_address;
    let response = trial.send_crashing_own_part(vm).await.unwrap();
    assert!(!response.is_complete || response.status == 502);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let ends = trial.end_times().len();
    assert!((1..=2).contains(&ends), "{ends} ends");
}
