//! Retry budgets, summed over VMs.

use rstest::rstest;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{RetryBudget, RetryLimits};

/// The required bound within ten seconds: this many retries per request, plus a
/// fixed number.
const BOUND_RATIO: f64 = 0.8;
const BOUND_SLACK: f64 = 150.0;
const WINDOW: ClockTime = ClockTime::from_millis(10_000);
/// The limits that the platform's settings derive from the bound.
const LIMITS: RetryLimits = RetryLimits {
    percent: 64,
    reserve: 105,
    window: WINDOW,
};

fn at(time_ms: u64) -> ClockTime {
    ClockTime::from_millis(time_ms)
}

/// Guards against exceeding the bound when all upstreams fail and every VM uses its
/// whole budget.
#[rstest]
#[case::eight_vms(8, 64)]
#[case::twelve_vms(12, 64)]
#[case::nearly_idle(8, 0)]
fn sum_over_all_vms_stays_within_the_bound(#[case] vms: u32, #[case] requests: u32) {
    let budgets = (0..vms).map(|_| RetryBudget::new(LIMITS, vms as usize));
    let mut retries = 0;
    for budget in budgets {
        for _ in 0..requests / vms {
            budget.record_request(at(1));
            while budget.try_resume(at(1)) {
                retries += 1;
            }
        }
        while budget.try_resume(at(2)) {
            retries += 1;
        }
    }
    let bound = BOUND_RATIO * f64::from(requests) + BOUND_SLACK;
    assert!(
        f64::from(retries) <= bound,
        "{retries} retries, bound {bound}"
    );
}

/// Guards against exceeding the bound in a sliding window. The worst case is
/// varying traffic while all VMs use their whole budget at every moment of a minute.
#[test]
fn no_window_exceeds_the_bound() {
    const VMS: usize = 8;
    let budgets: Vec<RetryBudget> = (0..VMS).map(|_| RetryBudget::new(LIMITS, VMS)).collect();
    let mut events: Vec<(u64, u64)> = Vec::new();
    for step in 0..600 {
        let now = at(step * 100);
        let is_busy = (step / 75) % 2 == 0;
        let mut retries = 0;
        for budget in &budgets {
            if is_busy {
                budget.record_request(now);
            }
            while budget.try_resume(now) {
                retries += 1;
            }
        }
        events.push((if is_busy { VMS as u64 } else { 0 }, retries));
    }
    let window = (WINDOW.as_millis() / 100) as usize;
    for end in 2 * window..events.len() {
        let requests_from = |from: usize| -> u64 {
            let window_events = &events[from..from + window];
            window_events.iter().map(|event| event.0).sum()
        };
        let start = end - window;
        // The bound counts the requests of this window or of an earlier one,
        // whichever has more.
        let requests = [start, start - window / 2, start - window].map(requests_from);
        let max_requests = requests.into_iter().max().unwrap_or(0);
        let retries: u64 = events[start..end].iter().map(|event| event.1).sum();
        let bound = BOUND_RATIO * max_requests as f64 + BOUND_SLACK;
        assert!(retries as f64 <= bound, "{retries} retries, bound {bound}");
    }
}

#[test]
fn a_vm_of_a_large_fleet_can_resume_all_its_streams() {
    let budget = RetryBudget::new(LIMITS, 64);
    // Each of two streams loses its engine twice.
    assert!((0..4).all(|_| budget.try_resume(at(1))));
}

/// Guards against an exhausted budget under repeated zone failures: one of 64 VMs
/// gets a long request every three seconds, the engines of a zone fail every 6.5
/// seconds, and the VM runs up to three streams there. In this test every second
/// failure, one in 13 seconds, ends three of its streams.
#[test]
fn a_vm_of_a_large_fleet_can_resume_after_each_zone_failure() {
    let budget = RetryBudget::new(LIMITS, 64);
    for second in 0..40 {
        let now = at(second * 1_000);
        if second % 3 == 0 {
            budget.record_request(now);
        }
        if second % 13 == 12 {
            let resumed = (0..3).filter(|_| budget.try_resume(now)).count();
            assert_eq!(resumed, 3, "after {second} s");
        }
    }
}

#[test]
fn retries_earned_in_a_window_can_be_used_at_once() {
    let budget = RetryBudget::new(LIMITS, 64);
    for second in 0..10 {
        budget.record_request(at(second * 1_000));
    }
    let retries = (0..20).filter(|_| budget.try_retry(at(9_500))).count();
    assert_eq!(retries, 8);
    assert!(!budget.try_retry(at(15_000)));
}

#[test]
fn a_refunded_retry_can_be_spent_again() {
    let budget = RetryBudget::new(LIMITS, 64);
    assert!(budget.try_retry(at(1)) && !budget.try_retry(at(1)));
    budget.refund(at(1), at(1));
    assert!(budget.try_retry(at(1)));
}

#[test]
fn a_larger_fleet_reduces_the_share_of_the_reserve_at_once() {
    let budget = RetryBudget::new(LIMITS, 8);
    budget.set_vm_count(35);
    let retries = (0..10).filter(|_| budget.try_retry(at(1))).count();
    assert_eq!(retries, 3);
}

/// Guards against a refund that removes another retry, or adds one that was never taken.
#[test]
fn a_late_refund_removes_the_retry_that_was_taken() {
    let budget = RetryBudget::new(LIMITS, 64);
    assert!(budget.try_retry(at(1)));
    assert!((0..4).all(|_| budget.try_resume(at(1))));
    budget.refund(at(1), at(2_500));
    assert!(budget.try_retry(at(2_500)) && !budget.try_resume(at(2_500)));
}
