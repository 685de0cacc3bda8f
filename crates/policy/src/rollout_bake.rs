//! Judges a version after its rollout is done, while other versions still have upstreams
//! (the bake time of a blue/green deployment).
//!
//! All requests go to the new version, so it is compared with what the old one did before
//! and during the rollout. The load may have changed since then: only times that are
//! several times as long count. The tests are those of `rollout_comparison.rs`; one is
//! started in each slice, and the probability of a false alarm is divided among all slices
//! to come (alpha spending), so that its sum is bounded for any bake time.

use crate::evidence::VersionVerdict;
use crate::rollout_comparison::{
    compare_failures, slow_evidence, Reference, RolloutFindings, SlowLimit,
};
use crate::rollout_plan::{select_version_rule, CanaryUse, RolloutState, VersionRule};
use crate::rollout_samples::{RolloutSamples, VersionSamples, ROLLOUT_SLICES};
use skylarkshed_core::{ClockTime, VersionName};

/// The number of slices that are kept.
const KEPT_SLICES: u64 = 8;
/// The shortest slice. All kept slices together have enough requests for a test also at a
/// few requests a second.
const MIN_SLICE: ClockTime = ClockTime::from_millis(5_000);
/// The probability of ever finding a fault in a good version.
const FALSE_ALARM_PROBABILITY: f64 = 0.02;
/// The number of tests of a route in each slice: both kinds of failures, times to first
/// events, paces.
const ROUTE_TESTS: f64 = 4.0;
/// A fault makes times several times as long; more load makes them a little longer.
const SLOW_LIMIT: SlowLimit = SlowLimit {
    factor: 2.0,
    margin: 0.1,
};

/// Returns the slice of a time after a rollout is done, as the time since it began;
/// `duration` is that of the whole rollout.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{bake_slice_at, ROLLOUT_SLICES};
///
/// let slice_at = |ms| bake_slice_at(ClockTime::from_millis(ms), ClockTime::from_millis(8_000));
/// assert_eq!(slice_at(7_000), ROLLOUT_SLICES);
/// assert_eq!(slice_at(12_999), ROLLOUT_SLICES);
/// assert_eq!(slice_at(13_000), ROLLOUT_SLICES + 1);
/// ```
pub fn bake_slice_at(elapsed: ClockTime, duration: ClockTime) -> u64 {
    let slice = ClockTime::from_millis(duration.as_millis() / ROLLOUT_SLICES).max(MIN_SLICE);
    ROLLOUT_SLICES + elapsed.since(duration).as_millis() / slice.as_millis()
}

/// Drops the slices of the bake time that are no longer needed in slice `current`.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{drop_old_bake_slices, RolloutSamples};
///
/// let mut samples = RolloutSamples::default();
/// for slice in [0, 8, 30] {
///     samples.slice(slice).new.route("ask").sent += 1;
/// }
/// drop_old_bake_slices(&mut samples, 31);
/// assert_eq!(samples.since(0).new.route("ask").sent, 2);
/// ```
pub fn drop_old_bake_slices(samples: &mut RolloutSamples, current: u64) {
    samples.retain_slices(|slice| slice < ROLLOUT_SLICES || slice + KEPT_SLICES > current);
}

/// Compares what a version does in its bake time with what the old version did before.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{compare_baking, RolloutSamples, ROLLOUT_SLICES};
///
/// let mut samples = RolloutSamples::default();
/// samples.slice(0).old.route("ask").total += 100;
/// for _ in 0..10 {
///     let new = samples.slice(ROLLOUT_SLICES).new.route("ask");
///     new.total += 1;
///     new.failed += 1;
/// }
/// assert!(compare_baking(&samples).is_proven());
/// ```
pub fn compare_baking(samples: &RolloutSamples) -> RolloutFindings {
    let old = samples.until(ROLLOUT_SLICES).old;
    let baked = samples.since(ROLLOUT_SLICES).new;
    let (old_sum, new_sum) = (old.sum(), baked.sum());
    let mut findings = RolloutFindings {
        verdict: VersionVerdict::NoFault,
        strength: 0.0,
        suspicion: VersionVerdict::NoFault,
        old_total: old_sum.total,
        new_total: new_sum.total,
        new_failed: new_sum.failed,
        has_only_failed: false,
        is_untested: false,
        lacks_beginning: false,
    };
    let reference = Reference::new(&old, &old, samples.before());
    let slices = samples.tested_slices();
    for slice in slices.filter(|slice| *slice >= ROLLOUT_SLICES) {
        let new = samples.since(slice).new;
        let threshold = proof_threshold(slice, baked.routes.len());
        compare_failures(&reference, &new, threshold, &mut findings);
        compare_times(&reference, &new, threshold, &mut findings);
    }
    findings
}

/// Returns the logarithm of the likelihood ratio that proves a fault in a test that was
/// started in a slice.
fn proof_threshold(slice: u64, routes: usize) -> f64 {
    let number = (slice - ROLLOUT_SLICES + 1) as f64;
    // The sum of 1 / (n (n + 1)) over all n is 1.
    let slices = number * (number + 1.0);
    let tests = ROUTE_TESTS * (routes as f64 + 1.0);
    (tests * slices / FALSE_ALARM_PROBABILITY).ln()
}

fn compare_times(
    reference: &Reference,
    new: &VersionSamples,
    threshold: f64,
    findings: &mut RolloutFindings,
) {
    for (route, samples) in &new.routes {
        let first = reference.judged_times(route, |samples| &samples.first);
        let pace = reference.judged_times(route, |samples| &samples.pace);
        for (old, new) in [(first, &samples.first), (pace, &samples.pace)] {
            let Some(old) = old else {
                continue;
            };
            let strength = slow_evidence(&SLOW_LIMIT, old, new);
            let route = route.clone();
            findings.note(VersionVerdict::Slow { route }, strength, threshold);
        }
    }
}

/// Reports whether a version whose rollout is done is withdrawn: it has a proven fault,
/// and another version has upstreams.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{compare_baking, should_withdraw, RolloutSamples};
///
/// let findings = compare_baking(&RolloutSamples::default());
/// assert!(!should_withdraw(&findings, true));
/// ```
pub fn should_withdraw(findings: &RolloutFindings, has_alternative: bool) -> bool {
    has_alternative && findings.is_proven()
}

/// Selects the versions that may receive a request once a version has been completed;
/// `is_withdrawn` tells whether it was found to be bad since then.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{select_baking_rule, VersionRule};
///
/// assert_eq!(select_baking_rule(&"v2".into(), true), VersionRule::Avoid("v2".into()));
/// ```
pub fn select_baking_rule(to: &VersionName, is_withdrawn: bool) -> VersionRule {
    match is_withdrawn {
        // Not excluded: the upstreams of the old version may stop at any time.
        true => VersionRule::Avoid(to.clone()),
        false => select_version_rule(to, RolloutState::Done, CanaryUse::Forbidden),
    }
}
