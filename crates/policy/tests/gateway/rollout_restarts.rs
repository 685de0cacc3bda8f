//! What a VM may send to a version under test after its process was restarted.

use rstest::rstest;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{
    bound_earlier_use, CanaryAllowance, ExposureLimits, RolloutSamples, RoutePriority,
};

const DURATION: ClockTime = ClockTime::from_millis(15_000);
const REPORT_TTL: ClockTime = ClockTime::from_millis(2_000);
const LIMITS: ExposureLimits = ExposureLimits {
    percent: 10,
    reserve: 50,
};
const VMS: usize = 9;

/// Sends `count` requests evenly from `from` on and returns how many the version gets.
fn send(allowance: &mut CanaryAllowance, from: u64, until: u64, count: u64) -> u64 {
    let before = allowance.arrivals();
    for number in 0..count {
        let at = ClockTime::from_millis(from + (until - from) * number / count);
        allowance.record_request();
        allowance.try_take(RoutePriority::Least, at, DURATION);
    }
    allowance.arrivals() - before
}

/// The last reports of a killed process may be missing.
#[rstest]
fn restarted_vm_stays_within_its_part(
    #[values(3, 20, 100, 600)] requests: u64,
    #[values(0, 1_000, 2_000)] unreported_ms: u64,
) {
    let killed_ms = 7_000;
    let reported_ms = killed_ms - unreported_ms;
    let reported = requests * reported_ms / killed_ms;
    let mut first = CanaryAllowance::new(LIMITS, VMS, 0);
    let reported_use = send(&mut first, 0, reported_ms, reported);
    let unreported_use = send(&mut first, reported_ms, killed_ms, requests - reported);
    let mut samples = RolloutSamples::default();
    samples.slice(0).new.route("ask").sent += reported_use;
    samples.slice(0).old.route("ask").sent += reported - reported_use;

    let mut second = CanaryAllowance::without_reserve(LIMITS);
    let elapsed = ClockTime::from_millis(killed_ms);
    second.record_earlier_use(bound_earlier_use(&samples, elapsed, REPORT_TTL));
    second.add_reserve(LIMITS, VMS, 0);
    let later_use = send(&mut second, killed_ms, DURATION.as_millis(), requests);

    let used = reported_use + unreported_use + later_use;
    let part = LIMITS.reserve.div_ceil(VMS as u64) + 2 * requests * LIMITS.percent / 100;
    assert!(used <= part, "{used} of {part}");
}
