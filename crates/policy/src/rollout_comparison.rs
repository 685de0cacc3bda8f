//! Compares the versions of a rollout while it runs.
//!
//! Each test is a mixture of likelihood ratios (Robbins, 1970): if the new version is
//! no worse than the old one by more than a margin, the probability that the statistic
//! ever exceeds 1/a is at most a (Ville's inequality), however often it is evaluated.
//! A test is started in each time slice, as in a Shiryaev-Roberts procedure, so that
//! a fault that appears late is not hidden by the good requests before it. The
//! probability of a false alarm is divided among all tests (Bonferroni).

use crate::evidence::{log_mixture, upper_rate, VersionVerdict};
use crate::rollout_samples::{
    buckets_of_factor, time_above, FailureCount, RolloutSamples, RouteSamples, TimeHistogram,
    VersionPair, VersionSamples, ROLLOUT_SLICES,
};
use skylarkshed_core::ClockTime;
use std::collections::BTreeMap;

/// The probability of finding a fault in a good version: half of it in all tests by
/// route, half in those by customer.
const FALSE_ALARM_PROBABILITY: f64 = 0.02;
const PARTS: f64 = 2.0;
/// How much worse the failure rate may be.
const FAILURE_MARGIN: f64 = 0.01;
/// With fewer requests of the old version, a route is compared with all routes.
const MIN_OLD_REQUESTS: u64 = 20;
/// With fewer requests of the old version, a route or customer is not judged: some routes
/// always fail or are always slow, and other routes tell nothing about that.
const MIN_OWN_REQUESTS: u64 = 5;
/// The first slice of the last part of a rollout, in which a version has to be tested.
const LAST_SLICES: u64 = 5;
/// The first slice before which samples are missing if all VMs have lost them; a fault may
/// have shown in a quarter of the rollout.
const LOST_SLICES: u64 = 2;
const ALL_ROUTES: &str = "";
/// A time is slow if it is above this quantile of the old version, times the factor of
/// a [`SlowLimit`].
const SLOW_QUANTILE: f64 = 0.9;

/// When the share of slow requests is too large.
pub(crate) struct SlowLimit {
    pub(crate) factor: f64,
    /// How much larger the share of slow requests may be.
    pub(crate) margin: f64,
}

/// Times that are a little longer have to be frequent, much longer ones rare.
const SLOW_LIMITS: [SlowLimit; 3] = [
    SlowLimit {
        factor: 1.0,
        margin: 0.12,
    },
    SlowLimit {
        factor: OVERDUE_FACTOR,
        margin: 0.04,
    },
    SlowLimit {
        factor: 2.0,
        margin: 0.02,
    },
];
/// A first event is overdue after this many times the usual longest wait: early enough
/// that another upstream can send it within the target latency.
const OVERDUE_FACTOR: f64 = 1.25;
/// The number of tests of a route in each slice: both kinds of failures, and all limits for
/// the times to first events and for the paces.
const ROUTE_TESTS: f64 = 8.0;

/// Counts the failures of one kind.
type FailureCounter = fn(&RouteSamples) -> FailureCount;

/// The kinds of failures that are compared. Each has a test of its own, since upstreams of
/// the old version that are lost would otherwise hide the error responses of the new one.
const FAILURE_COUNTERS: [FailureCounter; 2] = [
    RouteSamples::error_responses,
    RouteSamples::missing_responses,
];

/// What the comparison found.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutFindings {
    /// A fault that is proven, or [`VersionVerdict::NoFault`].
    pub verdict: VersionVerdict,
    /// The strongest evidence of a fault, proven or not, as the logarithm of a
    /// likelihood ratio.
    pub strength: f64,
    /// Its kind.
    pub suspicion: VersionVerdict,
    /// The requests of the old version that ended.
    pub old_total: u64,
    /// The requests of the new version that ended.
    pub new_total: u64,
    /// The failed requests of the new version.
    pub new_failed: u64,
    /// Whether all requests of the new version failed, on routes that do not usually fail.
    pub has_only_failed: bool,
    /// Whether the new version responded to nothing in the whole or the last part of the
    /// rollout, although there were requests.
    pub is_untested: bool,
    /// Whether nothing is known of a large first part of the rollout: all VMs that saw it
    /// have ended.
    pub lacks_beginning: bool,
}

impl RolloutFindings {
    /// Reports whether a fault is proven.
    pub fn is_proven(&self) -> bool {
        self.verdict != VersionVerdict::NoFault
    }

    pub(crate) fn note(&mut self, verdict: VersionVerdict, strength: f64, threshold: f64) {
        if strength >= threshold && self.verdict == VersionVerdict::NoFault {
            self.verdict = verdict.clone();
        }
        if strength > self.strength {
            self.strength = strength;
            self.suspicion = verdict;
        }
    }
}

/// Compares the new version of a rollout with the old one.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{compare_rollout, RolloutSamples, VersionVerdict};
///
/// let mut samples = RolloutSamples::default();
/// for _ in 0..60 {
///     samples.slice(0).old.route("ask").total += 1;
/// }
/// assert_eq!(compare_rollout(&samples).verdict, VersionVerdict::NoFault);
/// for _ in 0..8 {
///     let new = samples.slice(0).new.route("ask");
///     new.total += 1;
///     new.failed += 1;
/// }
/// assert!(matches!(compare_rollout(&samples).verdict, VersionVerdict::Fails { .. }));
/// ```
pub fn compare_rollout(samples: &RolloutSamples) -> RolloutFindings {
    let all = samples.since(0);
    let (old_sum, new_sum) = (all.old.sum(), all.new.sum());
    let mut findings = RolloutFindings {
        verdict: VersionVerdict::NoFault,
        strength: 0.0,
        suspicion: VersionVerdict::NoFault,
        old_total: old_sum.total,
        new_total: new_sum.total,
        new_failed: new_sum.failed,
        has_only_failed: has_only_failed(&all),
        is_untested: is_untested(samples),
        lacks_beginning: samples
            .first_slice()
            .is_some_and(|first| first >= LOST_SLICES),
    };
    let routes = all.new.routes.len() as f64 + 1.0;
    let tests = ROUTE_TESTS * routes * ROLLOUT_SLICES as f64;
    let threshold = (tests * PARTS / FALSE_ALARM_PROBABILITY).ln();
    for slice in samples.tested_slices() {
        let pair = samples.since(slice);
        let reference = Reference::new(&pair.old, &all.old, samples.before());
        compare_failures(&reference, &pair.new, threshold, &mut findings);
        compare_times(&reference, &pair.new, threshold, &mut findings);
    }
    compare_customers(samples, &all, &mut findings);
    findings
}

fn has_only_failed(all: &VersionPair) -> bool {
    let usually_fails = |route: &String| {
        let old = all.old.routes.get(route).map(RouteSamples::error_responses);
        old.is_some_and(|old| old.failed * 2 > old.total)
    };
    let mut judged = RouteSamples::default();
    let new = all.new.routes.iter();
    new.filter(|(route, _)| !usually_fails(route))
        .for_each(|(_, samples)| judged.merge(samples));
    judged.failed > 0 && judged.failed == judged.total
}

fn is_untested(samples: &RolloutSamples) -> bool {
    [0, LAST_SLICES].into_iter().any(|first| {
        let pair = samples.since(first);
        let (old, new) = (pair.old.sum(), pair.new.sum());
        old.sent + new.sent >= MIN_OLD_REQUESTS && new.total == 0
    })
}

/// Returns the time after which a first event is overdue, by route, and for all other
/// routes under the empty name.
pub fn overdue_times(samples: &RolloutSamples) -> BTreeMap<String, ClockTime> {
    time_limits(samples, |samples| &samples.first)
}

/// Returns the interval from which on the events of a stream are slow, by route, and for
/// all other routes under the empty name.
pub fn slow_paces(samples: &RolloutSamples) -> BTreeMap<String, ClockTime> {
    time_limits(samples, |samples| &samples.pace)
}

fn time_limits(
    samples: &RolloutSamples,
    times: impl Fn(&RouteSamples) -> &TimeHistogram,
) -> BTreeMap<String, ClockTime> {
    let all = samples.since(0);
    let reference = Reference::new(&all.old, &all.old, samples.before());
    let routes = all.old.routes.keys().chain(all.new.routes.keys());
    let routes = routes.map(String::as_str).chain([ALL_ROUTES]);
    let limits = routes.filter_map(|route| {
        let histogram = reference.times(route, &times)?;
        let bucket = histogram.quantile_bucket(SLOW_QUANTILE) + buckets_of_factor(OVERDUE_FACTOR);
        Some((route.to_owned(), time_above(bucket)))
    });
    limits.collect()
}

/// The requests of the old version that the new one is compared with.
pub(crate) struct Reference {
    routes: VersionSamples,
    sum: RouteSamples,
}

impl Reference {
    /// Takes the samples of the old version at the same time as the new version's, and for
    /// routes with few of these all since the rollout began with those just before it.
    pub(crate) fn new(
        same_time: &VersionSamples,
        whole: &VersionSamples,
        before: &VersionSamples,
    ) -> Self {
        let mut routes = same_time.clone();
        for route in whole.routes.keys().chain(before.routes.keys()) {
            let known = routes.route(route);
            if known.error_responses().total < MIN_OLD_REQUESTS {
                *known = RouteSamples::default();
                let all = [whole.routes.get(route), before.routes.get(route)];
                all.into_iter().flatten().for_each(|all| known.merge(all));
            }
        }
        let sum = routes.sum();
        Reference { routes, sum }
    }

    /// Returns an upper bound of the failure rate. A route with few requests is compared
    /// with the worst of the others, but not with less than its own rate.
    fn failure_rate(&self, route: &str, count: FailureCounter) -> Option<f64> {
        let is_known = |samples: &FailureCount| samples.total >= MIN_OLD_REQUESTS;
        let bound = |samples: FailureCount| upper_rate(samples.failed, samples.total);
        let own = self.routes.routes.get(route).map(count);
        let own = own.filter(|own| own.total >= MIN_OWN_REQUESTS)?;
        if is_known(&own) {
            return Some(bound(own));
        }
        let own_rate = own.failed as f64 / own.total as f64;
        let all = self.routes.routes.values().chain([&self.sum]).map(count);
        let worst = all.filter(is_known).map(bound).max_by(f64::total_cmp);
        Some(worst.map_or_else(|| bound(own), |worst| worst.max(own_rate)))
    }

    /// Returns an upper bound of the failure rate of all judged routes together, if the
    /// requests are those of the new version: the versions get different shares of the
    /// routes.
    fn expected_rate(&self, new: &VersionSamples, count: FailureCounter) -> Option<f64> {
        let rates = new.routes.iter().filter_map(|(route, samples)| {
            let rate = self.failure_rate(route, count)?;
            let total = count(samples).total;
            Some((rate * total as f64, total))
        });
        let (failed, total) = rates.fold((0.0, 0), |sum, route| (sum.0 + route.0, sum.1 + route.1));
        (total > 0).then(|| failed / total as f64)
    }

    /// Returns the times that a route is judged by, if the old version has served it.
    pub(crate) fn judged_times(
        &self,
        route: &str,
        times: impl Fn(&RouteSamples) -> &TimeHistogram,
    ) -> Option<&TimeHistogram> {
        let own = self.routes.routes.get(route).map(&times)?;
        let is_judged = own.total() >= MIN_OWN_REQUESTS;
        is_judged.then(|| self.times(route, times)).flatten()
    }

    /// Returns the old version's times on a route, or on the slowest route if it has
    /// too few.
    pub(crate) fn times(
        &self,
        route: &str,
        times: impl Fn(&RouteSamples) -> &TimeHistogram,
    ) -> Option<&TimeHistogram> {
        let is_known = |times: &&TimeHistogram| times.total() >= MIN_OLD_REQUESTS;
        let own = self.routes.routes.get(route).map(&times).filter(is_known);
        let all = self.routes.routes.values().chain([&self.sum]);
        let all = all.map(&times).filter(is_known);
        own.or_else(|| all.max_by_key(|times| times.quantile_bucket(SLOW_QUANTILE)))
    }
}

pub(crate) fn compare_failures(
    reference: &Reference,
    new: &VersionSamples,
    threshold: f64,
    findings: &mut RolloutFindings,
) {
    for count in FAILURE_COUNTERS {
        compare_failures_of_kind(count, reference, new, threshold, findings);
    }
}

fn compare_failures_of_kind(
    count: FailureCounter,
    reference: &Reference,
    new: &VersionSamples,
    threshold: f64,
    findings: &mut RolloutFindings,
) {
    let mut judged = RouteSamples::default();
    let mut compare = |route: &str, rate: f64, samples: &RouteSamples| {
        // A failure may come sooner than a response, so a request that is still open counts
        // as one that does not fail.
        let failures = count(samples);
        let total = failures.total + samples.open;
        let strength = log_mixture(rate + FAILURE_MARGIN, failures.failed, total);
        let route = route.to_owned();
        findings.note(VersionVerdict::Fails { route }, strength, threshold);
    };
    for (route, samples) in &new.routes {
        if let Some(rate) = reference.failure_rate(route, count) {
            compare(route, rate, samples);
            judged.merge(samples);
        }
    }
    if let Some(expected) = reference.expected_rate(new, count) {
        compare(ALL_ROUTES, expected, &judged);
    }
}

/// Compares the times to first events and the paces by route. A request on one route
/// takes another time than on another, so routes are not added up.
fn compare_times(
    reference: &Reference,
    new: &VersionSamples,
    threshold: f64,
    findings: &mut RolloutFindings,
) {
    for (route, samples) in &new.routes {
        let first = reference.judged_times(route, |samples| &samples.first);
        let pace = reference.judged_times(route, |samples| &samples.pace);
        let pairs = [(first, &samples.first), (pace, &samples.pace)];
        for (old, new) in pairs {
            let Some(old) = old else {
                continue;
            };
            for limit in &SLOW_LIMITS {
                let strength = slow_evidence(limit, old, new);
                let route = route.clone();
                findings.note(VersionVerdict::Slow { route }, strength, threshold);
            }
        }
    }
}

pub(crate) fn slow_evidence(limit: &SlowLimit, old: &TimeHistogram, new: &TimeHistogram) -> f64 {
    let bucket = old.quantile_bucket(SLOW_QUANTILE) + buckets_of_factor(limit.factor);
    let rate = upper_rate(old.count_above(bucket), old.total()) + limit.margin;
    log_mixture(rate, new.count_above(bucket), new.total())
}

/// Looks for a customer for which the new version fails more often.
fn compare_customers(samples: &RolloutSamples, all: &VersionPair, findings: &mut RolloutFindings) {
    let reference = Reference::new(&all.old, &all.old, samples.before());
    let Some(expected) = reference.expected_rate(&all.new, RouteSamples::all_failures) else {
        return;
    };
    let customers = samples.new_customers.len().max(1) as f64;
    let threshold = (customers * PARTS / FALSE_ALARM_PROBABILITY).ln();
    for (customer, new) in &samples.new_customers {
        let old = samples.old_customers.get(customer);
        let Some(old) = old.filter(|old| old.total >= MIN_OWN_REQUESTS) else {
            continue;
        };
        let rate = upper_rate(old.failed, old.total).max(expected);
        let strength = log_mixture(rate + FAILURE_MARGIN, new.failed, new.total);
        let customer = customer.clone();
        findings.note(VersionVerdict::FailsFor { customer }, strength, threshold);
    }
}
