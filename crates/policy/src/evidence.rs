//! Evidence for and against a new version, and a test that may be looked at
//! at any time.
//!
//! The test is a mixture of likelihood ratios (Robbins, 1970). Under the
//! hypothesis that the new version is no worse than the old one by more than a
//! margin, its value exceeds 1/a at any time with probability a at most
//! (Ville's inequality), however often it is looked at. The old version's rate
//! is itself an estimate; an upper confidence bound of it stands in its place.

use serde::{Deserialize, Serialize};
use skylarkshed_core::{ClockTime, CustomerName};
use std::collections::BTreeMap;

/// Buckets of times: four for each doubling, from one millisecond.
const BUCKETS: usize = 80;
const BUCKETS_PER_DOUBLING: f64 = 4.0;
const TOTAL_ROUTE: &str = "";

/// The probability of calling a good version bad, over all its tests.
const FALSE_ALARM: f64 = 0.002;
/// How much worse a version may be without being called bad.
const FAILURE_MARGIN: f64 = 0.01;
const SLOW_MARGIN: f64 = 0.10;
/// A time counts as slow above this quantile of the old version, times a factor.
const SLOW_QUANTILE: f64 = 0.9;
const SLOW_FACTOR: f64 = 1.5;
/// So many first requests of a version may be slow for want of warm caches.
const WARM_UP: u64 = 20;
/// Standard errors between the old version's rate and its upper bound.
const UPPER_DEVIATIONS: f64 = 2.5;
/// Without this many of the old version nothing is compared.
const LEAST_OLD: u64 = 20;
/// The alternatives that the mixture bets on, between the null and certainty.
const ALTERNATIVES: [f64; 6] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8];

/// Requests of one version on one route.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Requests that failed.
    pub failed: u64,
    /// Requests that ended, failed ones included.
    pub total: u64,
    /// How long the others took, by bucket.
    times: BTreeMap<usize, u64>,
}

impl RouteCounts {
    /// Takes a request's end; `time` is none for a failed one.
    pub fn record(&mut self, time: Option<ClockTime>) {
        self.total += 1;
        match time {
            None => self.failed += 1,
            // The first ones are left out: caches are cold.
            Some(_) if self.total <= WARM_UP => {}
            Some(time) => *self.times.entry(bucket_of(time)).or_default() += 1,
        }
    }

    fn merge(&mut self, other: &RouteCounts) {
        self.failed += other.failed;
        self.total += other.total;
        for (bucket, count) in &other.times {
            *self.times.entry(*bucket).or_default() += count;
        }
    }

    fn timed(&self) -> u64 {
        self.times.values().sum()
    }

    fn above(&self, bucket: usize) -> u64 {
        self.times.range(bucket + 1..).map(|(_, count)| count).sum()
    }

    fn quantile_bucket(&self, quantile: f64) -> usize {
        let wanted = (self.timed() as f64 * quantile).ceil() as u64;
        let mut seen = 0;
        for (bucket, count) in &self.times {
            seen += count;
            if seen >= wanted {
                return *bucket;
            }
        }
        BUCKETS
    }
}

/// Requests of one customer to one version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
struct FailureCounts {
    failed: u64,
    total: u64,
}

/// Requests of one version, by route and by customer.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct VersionCounts {
    routes: BTreeMap<String, RouteCounts>,
    customers: BTreeMap<CustomerName, FailureCounts>,
}

impl VersionCounts {
    /// Takes a request's end; `time` is none for a failed one.
    pub fn record(&mut self, route: &str, customer: &CustomerName, time: Option<ClockTime>) {
        let route = self.routes.entry(route.to_owned()).or_default();
        route.record(time);
        let counts = self.customers.entry(customer.clone()).or_default();
        counts.total += 1;
        counts.failed += u64::from(time.is_none());
    }

    /// Adds the counts of another VM.
    pub fn merge(&mut self, other: &VersionCounts) {
        for (route, counts) in &other.routes {
            self.routes.entry(route.clone()).or_default().merge(counts);
        }
        for (customer, counts) in &other.customers {
            let sum = self.customers.entry(customer.clone()).or_default();
            sum.failed += counts.failed;
            sum.total += counts.total;
        }
    }

    /// Returns the requests on all routes.
    pub fn total(&self) -> u64 {
        self.routes.values().map(|counts| counts.total).sum()
    }

    fn sum(&self) -> RouteCounts {
        let mut sum = RouteCounts::default();
        self.routes.values().for_each(|counts| sum.merge(counts));
        sum
    }
}

/// What the evidence says of a new version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionVerdict {
    /// Nothing speaks against it.
    NoFault,
    /// It fails more often than the old version.
    Fails {
        /// The route; empty for all routes together.
        route: String,
    },
    /// It fails more often than the old version for one customer.
    FailsFor {
        /// The customer.
        customer: CustomerName,
    },
    /// It is slow more often than the old version.
    Slow {
        /// The route; empty for all routes together.
        route: String,
    },
}

/// Compares a new version with the old one over the same time.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{compare_versions, VersionVerdict, VersionCounts};
///
/// let (mut old, mut new) = (VersionCounts::default(), VersionCounts::default());
/// for _ in 0..100 {
///     old.record("book", &"depot".into(), Some(ClockTime::from_millis(20)));
///     new.record("book", &"depot".into(), None);
/// }
/// assert!(matches!(compare_versions(&old, &new), VersionVerdict::Fails { .. }));
/// assert_eq!(compare_versions(&old, &old), VersionVerdict::NoFault);
/// ```
pub fn compare_versions(old: &VersionCounts, new: &VersionCounts) -> VersionVerdict {
    let tests = 2 * (new.routes.len() + 1) + new.customers.len();
    let threshold = (tests as f64 / FALSE_ALARM).ln();
    let (old_sum, new_sum) = (old.sum(), new.sum());
    let totals = (TOTAL_ROUTE, &old_sum, &new_sum);
    let empty = RouteCounts::default();
    let routes = new.routes.iter().map(|(route, counts)| {
        (
            route.as_str(),
            old.routes.get(route).unwrap_or(&empty),
            counts,
        )
    });
    let mut slow = None;
    for (route, old, new) in std::iter::once(totals).chain(routes) {
        if old.total < LEAST_OLD {
            continue;
        }
        if failure_evidence(old, new) >= threshold {
            return VersionVerdict::Fails {
                route: route.to_owned(),
            };
        }
        // Routes of different kinds have times of different kinds.
        if route != TOTAL_ROUTE && slow_evidence(old, new) >= threshold {
            slow.get_or_insert_with(|| VersionVerdict::Slow {
                route: route.to_owned(),
            });
        }
    }
    let failing = failing_customer(&old_sum, old, new, threshold);
    failing.or(slow).unwrap_or(VersionVerdict::NoFault)
}

/// Finds a customer that the new version fails, against the old version's rate
/// for that customer or, where that is not known, for all.
fn failing_customer(
    old_sum: &RouteCounts,
    old: &VersionCounts,
    new: &VersionCounts,
    threshold: f64,
) -> Option<VersionVerdict> {
    if old_sum.total < LEAST_OLD {
        return None;
    }
    let all = FailureCounts {
        failed: old_sum.failed,
        total: old_sum.total,
    };
    let mut customers = new.customers.iter();
    let failing = customers.find(|(customer, counts)| {
        let known = old
            .customers
            .get(*customer)
            .filter(|counts| counts.total >= LEAST_OLD);
        let base = known.unwrap_or(&all);
        let null = upper_rate(base.failed, base.total) + FAILURE_MARGIN;
        log_mixture(null, counts.failed, counts.total) >= threshold
    });
    failing.map(|(customer, _)| VersionVerdict::FailsFor {
        customer: customer.clone(),
    })
}

fn failure_evidence(old: &RouteCounts, new: &RouteCounts) -> f64 {
    let null = upper_rate(old.failed, old.total) + FAILURE_MARGIN;
    log_mixture(null, new.failed, new.total)
}

fn slow_evidence(old: &RouteCounts, new: &RouteCounts) -> f64 {
    if old.timed() < LEAST_OLD {
        return 0.0;
    }
    let factor_buckets = (SLOW_FACTOR.log2() * BUCKETS_PER_DOUBLING).ceil() as usize;
    let bucket = old.quantile_bucket(SLOW_QUANTILE) + factor_buckets;
    let null = upper_rate(old.above(bucket), old.timed()) + SLOW_MARGIN;
    log_mixture(null, new.above(bucket), new.timed())
}

/// Returns an upper confidence bound of a rate.
fn upper_rate(hits: u64, total: u64) -> f64 {
    let total = total as f64 + 2.0;
    let rate = (hits as f64 + 1.0) / total;
    rate + UPPER_DEVIATIONS * (rate * (1.0 - rate) / total).sqrt()
}

/// Returns the logarithm of the mixture of likelihood ratios against `null`.
fn log_mixture(null: f64, hits: u64, total: u64) -> f64 {
    if null >= 1.0 {
        return f64::NEG_INFINITY;
    }
    let misses = (total - hits) as f64;
    let ratio = |share: f64| {
        let rate = null + (1.0 - null) * share;
        hits as f64 * (rate / null).ln() + misses * ((1.0 - rate) / (1.0 - null)).ln()
    };
    let logs = ALTERNATIVES.map(ratio);
    let largest = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logs.iter().map(|log| (log - largest).exp()).sum();
    largest + (sum / ALTERNATIVES.len() as f64).ln()
}

fn bucket_of(time: ClockTime) -> usize {
    let millis = time.as_millis().max(1) as f64;
    ((millis.log2() * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS)
}
