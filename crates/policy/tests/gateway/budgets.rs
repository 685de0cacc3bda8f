//! Sends beyond the first, summed over VMs.

use rstest::rstest;
use skylarkshed_policy::RetryBudget;

/// The users' bound: this many sends beyond the first per request, and so many
/// in any case, within ten seconds.
const BOUND_RATIO: f64 = 0.8;
const BOUND_SLACK: f64 = 150.0;

/// All upstreams fail: every VM sends as often as its budget lets it.
#[rstest]
#[case::today(8, 64)]
#[case::after_growth(12, 64)]
#[case::nearly_idle(8, 0)]
fn sum_over_all_vms_keeps_below_the_bound(#[case] vms: u32, #[case] requests: u32) {
    let reserve = (BOUND_SLACK * 0.7) as u32 / vms;
    let budgets = (0..vms).map(|_| RetryBudget::new(64, reserve));
    let mut sends = 0;
    for budget in budgets {
        for _ in 0..requests / vms {
            budget.note_request();
            while budget.try_recover() {
                sends += 1;
            }
        }
        while budget.try_recover() {
            sends += 1;
        }
    }
    let bound = BOUND_RATIO * f64::from(requests) + BOUND_SLACK;
    assert!(f64::from(sends) <= bound, "{sends} sends, bound {bound}");
}

#[test]
fn a_vm_of_a_large_fleet_recovers_what_it_runs() {
    let budget = RetryBudget::new(64, 1);
    // Two answers lose their engines twice.
    assert!((0..4).all(|_| budget.try_recover()));
}

#[test]
fn a_refunded_send_can_be_made_again() {
    let budget = RetryBudget::new(64, 1);
    assert!(budget.try_retry() && !budget.try_retry());
    budget.refund();
    assert!(budget.try_retry());
}

#[test]
fn a_larger_fleet_takes_from_the_reserve_at_once() {
    let budget = RetryBudget::new(64, 10);
    budget.set_reserve(3);
    assert_eq!((0..10).filter(|_| budget.try_retry()).count(), 3);
}
