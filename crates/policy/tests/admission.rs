//! The admission queue and the customers' limits of concurrent requests.

use skylarkshed_core::{ClockTime, CustomerName};
use skylarkshed_policy::{AdmissionQueue, AdmissionRefusal, AdmissionVerdict, TicketNumber};

const DURATION: ClockTime = ClockTime::from_millis(10);
const DEADLINE: ClockTime = ClockTime::from_millis(60_000);

fn submit(queue: &mut AdmissionQueue, customer: &str, max_concurrency: u32) -> AdmissionVerdict {
    let customer = CustomerName::from(customer);
    queue.submit(&customer, 1, max_concurrency, ClockTime::ZERO, DEADLINE)
}

fn queued(verdict: AdmissionVerdict) -> TicketNumber {
    match verdict {
        AdmissionVerdict::Queued(ticket) => ticket,
        other => panic!("queued, not {other:?}"),
    }
}

fn is_refused_for_concurrency(verdict: AdmissionVerdict) -> bool {
    let AdmissionVerdict::Refused(refusal) = verdict else {
        return false;
    };
    matches!(refusal, AdmissionRefusal::CustomerConcurrency { .. })
}

#[test]
fn waiting_requests_count_towards_the_concurrency_limit() {
    let mut queue = AdmissionQueue::new(2);
    for _ in 0..2 {
        assert_eq!(submit(&mut queue, "large", 0), AdmissionVerdict::Admitted);
    }
    let ticket = queued(submit(&mut queue, "limited", 1));
    assert!(is_refused_for_concurrency(submit(&mut queue, "limited", 1)));
    let large = CustomerName::from("large");
    assert_eq!(queue.finish(&large, DURATION), Some(ticket));
    assert_eq!(queue.finish(&large, DURATION), None);
    assert_eq!(queue.in_progress(), 1);
}

#[test]
fn lowered_concurrency_limit_applies_to_waiting_requests() {
    let mut queue = AdmissionQueue::new(2);
    for _ in 0..2 {
        assert_eq!(submit(&mut queue, "large", 0), AdmissionVerdict::Admitted);
    }
    let first = queued(submit(&mut queue, "limited", 2));
    let second = queued(submit(&mut queue, "limited", 2));
    assert!(is_refused_for_concurrency(submit(&mut queue, "limited", 1)));
    let (large, limited) = (CustomerName::from("large"), CustomerName::from("limited"));
    assert_eq!(queue.finish(&large, DURATION), Some(first));
    assert_eq!(queue.finish(&large, DURATION), None, "one is in progress");
    assert_eq!(queue.finish(&limited, DURATION), Some(second));
}

#[test]
fn customer_without_requests_is_not_kept() {
    let mut queue = AdmissionQueue::new(1);
    let (large, small) = (CustomerName::from("large"), CustomerName::from("small"));
    assert_eq!(submit(&mut queue, "large", 0), AdmissionVerdict::Admitted);
    let ticket = queued(submit(&mut queue, "small", 0));
    assert!(queue.cancel(&small, ticket));
    assert_eq!(queue.customer_count(), 1, "after a cancelled wait");
    let verdict = queue.submit(&small, 1, 0, DEADLINE, ClockTime::ZERO);
    assert!(matches!(verdict, AdmissionVerdict::Refused(_)));
    assert_eq!(queue.customer_count(), 1, "after a refusal");
    queue.finish(&large, DURATION);
    assert_eq!(queue.customer_count(), 0);
}
