//! A part of a prompt that ends each engine which begins to write an answer on it.

use rstest::rstest;
use skylarkshed_stand_ins::CrashFault;
use skylarkshed_testsuite::{CrashTrial, SETTLE_WINDOW};
use std::time::{Duration, Instant};

/// The number of crashing requests that may reach engines after all VMs know the part.
const MAX_LATE_ARRIVALS: usize = 3;

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
    trial.start_sound_callers(Duration::from_millis(50));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let first_sent_at = Instant::now();
    let (before, begun_before) = trial.sound_requests(started_at, first_sent_at);
    assert!(
        begun_before * 10 >= before * 9,
        "{begun_before} of {before}"
    );
    let (pause, time) = (Duration::from_millis(300), Duration::from_secs(14));
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
