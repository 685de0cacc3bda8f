//! The times of the exchange on rollouts follow from the time to roll back.

use rstest::rstest;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::RolloutTimes;

/// The intervals differ by up to a fifth, so that VMs do not report together.
const MAX_JITTER_PERCENT: u64 = 120;

/// A VM learns of a bad version by its next report after the hub's review of the decisive
/// one; a VM that loses its hubs in the meantime stops when its lease ends.
#[rstest]
fn word_of_a_bad_version_and_the_lease_keep_the_rollback_time(
    #[values(500, 1_000, 3_000, 5_000, 20_000)] rollback_ms: u64,
    #[values(1, 9, 100, 300, 430)] vms: usize,
) {
    let times = RolloutTimes::new(ClockTime::from_millis(rollback_ms));
    let interval = times.report_interval(vms).as_millis() * MAX_JITTER_PERCENT / 100;
    assert!(interval > 0);
    // The first report may wait for a hub that does not reply.
    let known_after = 2 * interval + times.reply_timeout.as_millis();
    assert!(known_after + interval <= rollback_ms);
    assert!(known_after + times.lease.as_millis() <= rollback_ms);
    // Without any hub, the last one that hears most VMs gave the lease.
    assert!((times.report_ttl + times.lease).as_millis() < rollback_ms);
    // A late report does not make a VM look dead.
    assert!(interval < times.report_ttl.as_millis());
    assert!(interval + times.reply_timeout.as_millis() < times.hub_timeout.as_millis());
}

#[test]
fn short_rollback_time_gives_a_short_lease() {
    let lease_of = |ms| RolloutTimes::new(ClockTime::from_millis(ms)).lease;
    assert_eq!(lease_of(1_000), ClockTime::from_millis(400));
    assert!(lease_of(500) < lease_of(1_000));
}
