//! Whether the store was away, by the answers that this and other VMs had.

use skylarkshed_core::ClockTime;
use skylarkshed_policy::StoreContact;

const MIN_OUTAGE: ClockTime = ClockTime::from_millis(2_400);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Returns the contact of a VM that had no answer from 1 to 5 s.
fn contact_after_a_gap() -> StoreContact {
    let mut contact = StoreContact::new(MIN_OUTAGE);
    contact.record_answer(at(1_000));
    contact.record_failure();
    contact.record_answer(at(5_000));
    contact
}

#[test]
fn entries_cannot_expire_in_a_short_gap() {
    let mut contact = StoreContact::new(MIN_OUTAGE);
    contact.record_answer(at(1_000));
    contact.record_failure();
    contact.record_answer(at(3_399));
    assert_eq!(contact.returned_at(), None);
    assert_eq!(contact.steady_since(), Some(at(1_000)));
}

/// A VM that was frozen reads what it missed without a failure.
#[test]
fn a_gap_without_a_failure_is_no_outage() {
    let mut contact = StoreContact::new(MIN_OUTAGE);
    contact.record_answer(at(1_000));
    contact.record_answer(at(9_000));
    assert_eq!(contact.returned_at(), None);
    assert_eq!(contact.steady_since(), Some(at(1_000)));
}

#[test]
fn a_vm_that_starts_knows_of_no_outage() {
    let mut contact = StoreContact::new(MIN_OUTAGE);
    assert_eq!(contact.steady_since(), None);
    contact.record_answer(at(9_000));
    assert_eq!(contact.returned_at(), None);
    assert_eq!(contact.steady_since(), Some(at(9_000)));
}

#[test]
fn a_vm_that_had_answers_in_the_gap_disproves_the_outage() {
    let mut contact = contact_after_a_gap();
    contact.record_steady(at(1_000));
    assert_eq!(contact.returned_at(), None);
    // It can tell others in turn.
    assert_eq!(contact.steady_since(), Some(at(1_000)));
}

/// A VM that was started within the gap may have been started within the outage.
#[test]
fn a_vm_that_knows_a_part_of_the_gap_disproves_nothing() {
    let mut contact = contact_after_a_gap();
    contact.record_steady(at(1_001));
    assert_eq!(contact.returned_at(), Some(at(5_000)));
}

#[test]
fn answers_that_arrive_out_of_order_are_no_gap() {
    let mut contact = contact_after_a_gap();
    contact.record_answer(at(1_500));
    contact.record_answer(at(5_100));
    assert_eq!(contact.returned_at(), Some(at(5_000)));
}
