//! Sends beyond the first, summed over VMs.

use rstest::rstest;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{RetryBudget, RetryLimits};

/// The users' bound: this many sends beyond the first per request, and so many
/// in any case, within ten seconds.
const BOUND_RATIO: f64 = 0.8;
const BOUND_SLACK: f64 = 150.0;
const WINDOW: ClockTime = ClockTime::from_millis(10_000);
/// What the platform's settings make of the bound.
const LIMITS: RetryLimits = RetryLimits {
    percent: 64,
    reserve: 105,
    window: WINDOW,
};

fn at(time_ms: u64) -> ClockTime {
    ClockTime::from_millis(time_ms)
}

/// All upstreams fail: every VM sends as often as its budget lets it.
#[rstest]
#[case::today(8, 64)]
#[case::after_growth(12, 64)]
#[case::nearly_idle(8, 0)]
fn sum_over_all_vms_keeps_below_the_bound(#[case] vms: u32, #[case] requests: u32) {
    let budgets = (0..vms).map(|_| RetryBudget::new(LIMITS, vms as usize));
    let mut sends = 0;
    for budget in budgets {
        for _ in 0..requests / vms {
            budget.record_request(at(1));
            while budget.try_resume(at(1)) {
                sends += 1;
            }
        }
        while budget.try_resume(at(2)) {
            sends += 1;
        }
    }
    let bound = BOUND_RATIO * f64::from(requests) + BOUND_SLACK;
    assert!(f64::from(sends) <= bound, "{sends} sends, bound {bound}");
}

/// The worst for a sliding window: as much as is let, at every moment, for a
/// minute, while the traffic swings.
#[test]
fn no_window_has_more_than_the_bound() {
    const VMS: usize = 8;
    let budgets: Vec<RetryBudget> = (0..VMS).map(|_| RetryBudget::new(LIMITS, VMS)).collect();
    let mut events: Vec<(u64, u64)> = Vec::new();
    for step in 0..600 {
        let now = at(step * 100);
        let busy = (step / 75) % 2 == 0;
        let mut sends = 0;
        for budget in &budgets {
            if busy {
                budget.record_request(now);
            }
            while budget.try_resume(now) {
                sends += 1;
            }
        }
        events.push((if busy { VMS as u64 } else { 0 }, sends));
    }
    let window = (WINDOW.as_millis() / 100) as usize;
    for end in 2 * window..events.len() {
        let requests_from = |from: usize| -> u64 {
            let part = &events[from..from + window];
            part.iter().map(|event| event.0).sum()
        };
        let start = end - window;
        // The users count the requests of this window or of one before it.
        let requests = [start, start - window / 2, start - window].map(requests_from);
        let most = requests.into_iter().max().unwrap_or(0);
        let sends: u64 = events[start..end].iter().map(|event| event.1).sum();
        let bound = BOUND_RATIO * most as f64 + BOUND_SLACK;
        assert!(sends as f64 <= bound, "{sends} sends, bound {bound}");
    }
}

#[test]
fn a_vm_of_a_large_fleet_recovers_what_it_runs() {
    let budget = RetryBudget::new(LIMITS, 64);
    // Two answers lose their engines twice.
    assert!((0..4).all(|_| budget.try_resume(at(1))));
}

/// One of 64 VMs gets a long request in three seconds; a zone's engines die
/// every six and a half, and it runs up to three answers there.
#[test]
fn a_vm_of_a_large_fleet_recovers_after_each_loss_of_a_zone() {
    let budget = RetryBudget::new(LIMITS, 64);
    for second in 0..40 {
        let now = at(second * 1_000);
        if second % 3 == 0 {
            budget.record_request(now);
        }
        if second % 13 == 12 {
            let sent = (0..3).filter(|_| budget.try_resume(now)).count();
            assert_eq!(sent, 3, "after {second} s");
        }
    }
}

#[test]
fn what_a_window_earned_can_be_used_at_once() {
    let budget = RetryBudget::new(LIMITS, 64);
    for second in 0..10 {
        budget.record_request(at(second * 1_000));
    }
    let sends = (0..20).filter(|_| budget.try_retry(at(9_500))).count();
    assert_eq!(sends, 8);
    assert!(!budget.try_retry(at(15_000)));
}

#[test]
fn a_refunded_send_can_be_made_again() {
    let budget = RetryBudget::new(LIMITS, 64);
    assert!(budget.try_retry(at(1)) && !budget.try_retry(at(1)));
    budget.refund(at(1));
    assert!(budget.try_retry(at(1)));
}

#[test]
fn a_larger_fleet_takes_from_the_reserve_at_once() {
    let budget = RetryBudget::new(LIMITS, 8);
    budget.set_vm_count(35);
    let sends = (0..10).filter(|_| budget.try_retry(at(1))).count();
    assert_eq!(sends, 3);
}
