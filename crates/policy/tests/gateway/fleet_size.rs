//! The number of VMs among which the reserve of retry budgets is divided.

use skylarkshed_core::ClockTime;
use skylarkshed_policy::FleetSize;

fn at(time_ms: u64) -> ClockTime {
    ClockTime::from_millis(time_ms)
}

/// Guards against a VM that divides the reserve by a list whose entries are still arriving.
#[test]
fn a_list_that_grows_has_no_size_yet() {
    let mut size = FleetSize::default();
    assert_eq!(size.get(at(60_000)), None);
    size.record(3, at(60_000));
    size.record(5, at(61_500));
    assert_eq!(size.get(at(63_000)), None);
    size.record(8, at(63_000));
    assert_eq!(size.get(at(64_999)), None);
    assert_eq!(size.get(at(65_000)), Some(8));
    // Once it is known, more VMs count at once.
    size.record(9, at(66_000));
    assert_eq!(size.get(at(66_000)), Some(9));
}

/// Guards against a VM that takes a third of the reserve while its list names 3 of 8 VMs.
#[test]
fn a_list_that_shrinks_counts_later() {
    let mut size = FleetSize::default();
    size.record(8, at(0));
    size.record(3, at(5_000));
    size.record(5, at(7_000));
    assert_eq!(size.get(at(19_999)), Some(8));
    assert_eq!(size.get(at(20_000)), Some(5));
    size.record(3, at(21_000));
    size.record(8, at(22_000));
    assert_eq!(size.get(at(22_000)), Some(8));
    assert_eq!(size.get(at(90_000)), Some(8));
}

/// Guards against a VM whose own list is short for long while the lists of others are not.
#[test]
fn a_longer_list_of_another_vm_counts_for_a_while() {
    let mut size = FleetSize::default();
    size.record(3, at(0));
    size.record_other(8, at(1_000));
    assert_eq!(size.get(at(1_500)), None);
    assert_eq!(size.get(at(2_000)), Some(8));
    size.record_other(2, at(3_000));
    size.record_other(6, at(4_000));
    assert_eq!(size.get(at(15_999)), Some(8));
    assert_eq!(size.get(at(16_000)), Some(6));
    assert_eq!(size.get(at(19_000)), Some(3));
}
