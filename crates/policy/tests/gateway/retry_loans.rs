//! Retries that VMs lend each other.

use rstest::rstest;
use skylarkshed_core::{ClockTime, VmName};
use skylarkshed_policy::{
    lendable_retries, wait_limit, LenderSearch, LenderState, LoanDemand, RemainingTime,
    RetryBudget, RetryClaim, RetryGrant, RetryLimits, RetryQueue, SilentVms, VmEntry,
    WaitingStream,
};

const VMS: usize = 86;
const LIMITS: RetryLimits = RetryLimits {
    percent: 64,
    reserve: 105,
    window: ClockTime::from_millis(10_000),
};
const CLAIM: RetryClaim = RetryClaim {
    is_resumable: true,
    leaves_quarter: false,
};

fn at(time_ms: u64) -> ClockTime {
    ClockTime::from_millis(time_ms)
}

fn stream(events: u64, since_ms: u64) -> WaitingStream {
    WaitingStream {
        is_begun: true,
        is_resumable: true,
        priority: 1,
        events,
        since: at(since_ms),
    }
}

/// Guards against a retry that is lent twice, or lent and spent, in one millisecond.
#[test]
fn tasks_of_one_millisecond_share_the_last_retries() {
    let budget = RetryBudget::with_loans(LIMITS, VMS);
    (0..10).for_each(|_| budget.record_request(at(20_000)));
    let spare = budget.spare(at(20_000));
    let demand = LoanDemand {
        wanted: 8,
        is_begun: true,
        priority: 0,
    };
    let lender = LenderState {
        is_leaving: true,
        ..LenderState::default()
    };
    let taken = std::sync::atomic::AtomicU32::new(0);
    std::thread::scope(|scope| {
        for task in 0..8 {
            let (budget, taken) = (&budget, &taken);
            scope.spawn(move || {
                for _ in 0..50 {
                    let count = match task % 2 {
                        0 => budget.lend(
                            LoanDemand {
                                wanted: 1,
                                ..demand
                            },
                            lender,
                            at(20_000),
                        ),
                        _ => u32::from(budget.try_spend(CLAIM, at(20_000)).is_some()),
                    };
                    taken.fetch_add(count, std::sync::atomic::Ordering::Relaxed);
                }
            });
        }
    });
    assert_eq!(taken.into_inner(), spare);
}

/// Guards against a lender that forgets a loan while the borrower can still spend it, or that
/// takes back what another process has lent.
#[test]
fn a_loan_counts_until_no_window_contains_its_use() {
    let budget = RetryBudget::with_loans(LIMITS, 30);
    let lender = LenderState::default();
    let demand = LoanDemand {
        wanted: 1,
        is_begun: true,
        priority: 0,
    };
    assert_eq!(budget.spare(at(11_499)), 0);
    assert_eq!(budget.lend(demand, lender, at(20_000)), 1);
    assert_eq!(budget.spare(at(31_500)), 2);
    assert_eq!(budget.spare(at(31_501)), 3);
    assert_eq!(budget.lend(demand, lender, at(40_000)), 1);
    assert_eq!(budget.take_back(5, at(39_999), at(40_010)), 0);
    assert_eq!(budget.take_back(5, at(40_000), at(40_010)), 1);
    assert_eq!(budget.take_back(5, at(40_000), at(40_010)), 0);
    assert_eq!(budget.spare(at(40_010)), 3);
}

/// Guards against a borrowed retry that is lost or made late when its send failed.
#[test]
fn a_refunded_loan_can_be_spent_until_it_expires() {
    let limits = RetryLimits {
        reserve: 0,
        ..LIMITS
    };
    let budget = RetryBudget::with_loans(limits, VMS);
    budget.add_loan(1, at(1_500));
    let grant = budget.try_spend(CLAIM, at(100)).unwrap();
    assert_eq!(grant, RetryGrant::Loan(at(1_500)));
    assert!(grant.is_usable(at(1_499)) && !grant.is_usable(at(1_500)));
    assert_eq!(budget.try_spend(CLAIM, at(100)), None);
    budget.refund_grant(grant, at(200));
    let grant = budget.try_spend(CLAIM, at(300)).unwrap();
    budget.refund_grant(grant, at(1_600));
    assert_eq!(budget.try_spend(CLAIM, at(1_600)), None);
    assert_eq!(budget.drain_expired(at(1_600)), 1);
}

/// Guards against a stream that gets a retry before a more urgent one.
#[test]
fn waiting_streams_are_served_in_their_order() {
    let mut queue = RetryQueue::default();
    let new = WaitingStream {
        is_begun: false,
        priority: 0,
        ..stream(0, 1)
    };
    let less_urgent = WaitingStream {
        priority: 2,
        ..stream(50, 1)
    };
    let expected = [stream(20, 9), stream(5, 2), stream(5, 3), less_urgent, new];
    expected.iter().rev().for_each(|stream| {
        queue.join(*stream);
    });
    assert!(queue.goes_before(&new) && !queue.goes_before(&stream(21, 10)));
    for stream in expected {
        let (id, first) = queue.first().unwrap();
        assert_eq!(first, stream);
        queue.leave(id);
    }
    queue.record_priority(0);
    assert!(!queue.is_least_urgent(0));
    queue.record_priority(2);
    assert!(queue.is_least_urgent(2) && !queue.is_least_urgent(0));
    // A stream that stays with a silent engine is asked for, but not for ever.
    queue.add_loan_request(&less_urgent, at(1));
    let demand = queue.demand(0, at(2)).unwrap();
    assert_eq!((demand.wanted, demand.priority), (1, 2));
    assert_eq!(queue.demand(1, at(2)), None);
    assert_eq!(queue.demand(0, at(700)), None);
}

/// Guards against a VM that lends what more urgent streams of its own wait for, and against
/// one that lends nothing because it runs begun streams.
#[rstest]
#[case::half(7, None, false, 4)]
#[case::last(1, None, false, 1)]
#[case::none(0, None, false, 0)]
#[case::draining(6, None, true, 6)]
#[case::own_more_urgent(6, Some(0), false, 0)]
#[case::own_less_urgent(6, Some(2), false, 3)]
fn a_lender_keeps_what_it_needs(
    #[case] spare: u32,
    #[case] waiting_priority: Option<u8>,
    #[case] is_leaving: bool,
    #[case] expected: u32,
) {
    let first_waiting = waiting_priority.map(|priority| WaitingStream {
        priority,
        ..stream(1, 1)
    });
    let lender = LenderState {
        first_waiting,
        is_leaving,
    };
    let demand = LoanDemand {
        wanted: 8,
        is_begun: true,
        priority: 1,
    };
    assert_eq!(lendable_retries(spare, demand, lender), expected);
}

/// Guards against a search that asks the same VMs again, too often, or not at all.
#[test]
fn other_vms_are_asked_each_time() {
    let entry = |number: usize| VmEntry {
        name: VmName::from(number.to_string().as_str()),
        zone: format!("zone-{}", number % 3).as_str().into(),
        address: "127.0.0.1:7300".parse().unwrap(),
        announced_at: at(0),
        capacity: 0,
    };
    let entries: Vec<VmEntry> = (0..8).map(entry).collect();
    let (own, mut search) = (&entries[0], LenderSearch::default());
    let mut choose = |is_avoided: &dyn Fn(&VmName) -> bool| {
        search.choose(&entries, (&own.name, &own.zone), is_avoided, 5)
    };
    let mut asked: Vec<VmName> = Vec::new();
    for expected in [3, 3, 1] {
        let chosen = choose(&|_| false);
        assert_eq!(chosen.len(), expected);
        asked.extend(chosen.into_iter().map(|vm| vm.name));
    }
    // The own zone goes first, then each other VM is asked once.
    assert!(asked[..2]
        .iter()
        .all(|vm| ["3", "6"].contains(&vm.as_str())));
    asked.sort();
    asked.dedup();
    assert_eq!(asked.len(), 7);
    let mut silent = SilentVms::default();
    silent.record("3".into(), at(100));
    assert!(silent.contains(&"3".into(), at(1_099)) && !silent.contains(&"3".into(), at(1_100)));
    let chosen = choose(&|vm| silent.contains(vm, at(200)));
    assert!(chosen.len() == 3 && chosen.iter().all(|vm| vm.name.as_str() != "3"));
    let pauses = [0, 0, 0, 0, 1, 0].map(|got| search.next_pause(got).as_millis());
    assert_eq!(pauses, [100, 200, 400, 400, 0, 100]);
}

/// Guards against a stream that waits although it can't be served any more.
#[test]
fn a_hopeless_stream_does_not_wait() {
    let time = RemainingTime {
        deadline: at(2_000),
        usual: at(2_100),
        first_event: at(1_000),
        target: at(1_200),
    };
    assert_eq!(wait_limit(true, time), None);
    assert_eq!(wait_limit(false, time), Some(at(200)));
    let late = RemainingTime {
        target: at(900),
        ..time
    };
    assert_eq!(wait_limit(false, late), None);
}

/// Guards against calls of a restarted VM that spend a share which its earlier process may have
/// spent or lent.
#[test]
fn calls_of_a_young_process_have_no_share() {
    let budget = RetryBudget::with_loans(LIMITS, 30);
    // A call has one retry, whatever the share is.
    assert_eq!((0..9).filter(|_| budget.try_retry(at(100))).count(), 1);
    assert_eq!((0..9).filter(|_| budget.try_retry(at(20_000))).count(), 3);
}

/// Guards against fleets that do not lend yet whose shares and additional retries together
/// exceed the slack of 150.
#[test]
fn additional_retries_of_all_vms_stay_within_the_slack() {
    for vms in 1..=26 {
        let budget = RetryBudget::with_loans(LIMITS, vms);
        let taken = (0..200).filter(|_| budget.try_resume(at(1))).count();
        assert!(taken * vms <= 150, "{taken} retries of each of {vms} VMs");
    }
}

/// Guards against a VM that takes a share of the reserve before it knows among how many VMs
/// the reserve is divided, and against one that gets it again when it learns the number.
#[test]
fn withheld_reserve_is_given_once() {
    let budget = RetryBudget::with_loans(LIMITS, 8);
    budget.withhold_reserve();
    let resumed = |time_ms| (0..99).filter(|_| budget.try_resume(at(time_ms))).count();
    assert_eq!(resumed(1), 1);
    budget.limit_reserve(3);
    assert_eq!(resumed(1), 2);
    budget.set_vm_count(8);
    assert_eq!(resumed(2), 14);
    budget.withhold_reserve();
    budget.set_vm_count(8);
    assert!(!budget.try_resume(at(3)));
}

/// Guards against a stream that takes away the request for a loan of another one, which then
/// waits for a loan that nobody asks for.
#[test]
fn a_stream_removes_its_own_loan_request_only() {
    let urgent = WaitingStream {
        priority: 0,
        ..stream(1, 1)
    };
    let mut queue = RetryQueue::default();
    queue.add_loan_request(&urgent, at(1));
    let own = queue.add_loan_request(&stream(2, 1), at(2));
    queue.remove_loan_request(own);
    let demand = queue.demand(0, at(3)).unwrap();
    assert_eq!((demand.wanted, demand.priority), (1, 0));
}
