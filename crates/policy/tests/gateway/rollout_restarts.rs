//! What a VM may send to a version under test after its process was restarted.

use rstest::rstest;
use skylarkshed_core::{ClockTime, RolloutSpec};
use skylarkshed_policy::{
    bound_earlier_use, compare_rollout, decide_rollout, CanaryAllowance, ExposureLimits,
    RolloutDecision, RolloutSamples, RoutePriority, VersionVerdict, ROLLOUT_SLICES,
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

/// Returns the decision at the end of a rollout without a failure, of which the samples from
/// this slice on are known.
fn decide_at_end(first_slice: u64) -> RolloutDecision {
    let mut samples = RolloutSamples::default();
    let time = ClockTime::from_millis(30);
    for slice in first_slice..ROLLOUT_SLICES {
        let pair = samples.slice(slice);
        for (version, count) in [(&mut pair.old, 100), (&mut pair.new, 20)] {
            let route = version.route("ask");
            route.sent += count;
            (0..count).for_each(|_| route.record_first(time));
        }
    }
    let spec = RolloutSpec {
        service: "stores".into(),
        to: "v2".into(),
        duration: DURATION,
        revision: 3,
    };
    decide_rollout(&spec, LIMITS, &compare_rollout(&samples), DURATION)
}

/// Guards against a bad version that is kept because all VMs that saw its failures were
/// killed.
#[rstest]
#[case::all_is_known(0, RolloutDecision::Finish)]
#[case::little_is_lost(1, RolloutDecision::Finish)]
#[case::a_quarter_is_lost(2, RolloutDecision::RollBack(VersionVerdict::Untested))]
#[case::half_is_lost(4, RolloutDecision::RollBack(VersionVerdict::Untested))]
fn version_is_kept_only_if_most_of_its_rollout_was_seen(
    #[case] first_slice: u64,
    #[case] decision: RolloutDecision,
) {
    assert_eq!(decide_at_end(first_slice), decision);
}

#[test]
fn samples_of_a_restarted_vm_belong_to_the_time_after_its_start() {
    let mut samples = RolloutSamples::default();
    samples.slice(0).new.route("ask").sent += 3;
    samples.slice(1).old.route("ask").sent += 5;
    samples.move_to(4);
    assert_eq!(samples.since(4), samples.since(0));
    assert_eq!(samples.since(4).new.route("ask").sent, 3);
    assert_eq!(samples.since(4).old.route("ask").sent, 5);
}
