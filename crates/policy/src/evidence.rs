//! Sequential test that compares a new version with the old one.
//!
//! The test statistic is a mixture of likelihood ratios (Robbins, 1970). If the
//! new version is not worse than the old one by more than a margin, the
//! probability that the statistic ever exceeds 1/a is at most a (Ville's
//! inequality), however often it is evaluated. The rate of the old version is
//! itself an estimate, so an upper confidence bound is used in its place.

use serde::{Deserialize, Serialize};
use skylarkshed_core::{ClockTime, CustomerName};
use std::collections::BTreeMap;

/// The number of latency buckets: four per doubling, from one millisecond.
const BUCKETS: usize = 80;
const BUCKETS_PER_DOUBLING: f64 = 4.0;
const ALL_ROUTES: &str = "";

/// The probability of rejecting a good version, over all its tests.
const FALSE_ALARM_PROBABILITY: f64 = 0.002;
/// How much worse the failure rate may be without rejecting a version.
const FAILURE_MARGIN: f64 = 0.01;
/// How much larger the share of slow requests may be.
const SLOW_MARGIN: f64 = 0.10;
/// A request is slow if it takes longer than this quantile of the old version's
/// latency, times [`SLOW_FACTOR`].
const SLOW_QUANTILE: f64 = 0.9;
const SLOW_FACTOR: f64 = 1.5;
/// The number of a version's first requests on a route that are not timed, because
/// caches are still cold.
const WARM_UP_REQUESTS: u64 = 20;
/// The number of standard errors between a rate and its upper confidence bound.
const UPPER_BOUND_STD_ERRORS: f64 = 2.5;
/// With fewer requests of the old version, nothing is compared.
const MIN_OLD_REQUESTS: u64 = 20;
/// The alternative hypotheses of the mixture, as fractions of the way from the
/// null rate to 1.
const ALTERNATIVES: [f64; 6] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8];

/// The requests of one version on one route.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Failed requests.
    pub failed: u64,
    /// Finished requests, including failed ones.
    pub total: u64,
    /// The latencies of successful requests, by bucket.
    times: BTreeMap<usize, u64>,
}

impl RouteCounts {
    /// Records a finished request; `time` is `None` if it failed.
    pub fn record(&mut self, time: Option<ClockTime>) {
        self.total += 1;
        match time {
            None => self.failed += 1,
            // Caches are still cold.
            Some(_) if self.total <= WARM_UP_REQUESTS => {}
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

    fn timed_total(&self) -> u64 {
        self.times.values().sum()
    }

    fn count_above(&self, bucket: usize) -> u64 {
        self.times.range(bucket + 1..).map(|(_, count)| count).sum()
    }

    fn quantile_bucket(&self, quantile: f64) -> usize {
        let target_count = (self.timed_total() as f64 * quantile).ceil() as u64;
        let mut seen = 0;
        for (bucket, count) in &self.times {
            seen += count;
            if seen >= target_count {
                return *bucket;
            }
        }
        BUCKETS
    }
}

/// The requests of one customer to one version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
struct FailureCounts {
    failed: u64,
    total: u64,
}

/// The requests of one version, by route and by customer.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct VersionCounts {
    routes: BTreeMap<String, RouteCounts>,
    customers: BTreeMap<CustomerName, FailureCounts>,
}

impl VersionCounts {
    /// Records a finished request; `time` is `None` if it failed.
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

    /// Returns the number of requests on all routes.
    pub fn total(&self) -> u64 {
        self.routes.values().map(|counts| counts.total).sum()
    }

    fn sum(&self) -> RouteCounts {
        let mut sum = RouteCounts::default();
        self.routes.values().for_each(|counts| sum.merge(counts));
        sum
    }
}

/// The result of comparing a new version with the old one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionVerdict {
    /// No fault was found.
    NoFault,
    /// It fails more often than the old version.
    Fails {
        /// The route; empty for all routes taken together.
        route: String,
    },
    /// It fails more often than the old version for one customer.
    FailsFor {
        /// The customer.
        customer: CustomerName,
    },
    /// Its requests are slow more often than those of the old version.
    Slow {
        /// The route; empty for all routes taken together.
        route: String,
    },
    /// It got hardly any requests or responded to none before the decision, although there
    /// were some.
    Untested,
}

/// Compares a new version with the old one over the same period.
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
    let threshold = (tests as f64 / FALSE_ALARM_PROBABILITY).ln();
    let (old_sum, new_sum) = (old.sum(), new.sum());
    let totals = (ALL_ROUTES, &old_sum, &new_sum);
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
        if old.total < MIN_OLD_REQUESTS {
            continue;
        }
        if failure_evidence(old, new) >= threshold {
            return VersionVerdict::Fails {
                route: route.to_owned(),
            };
        }
        // Latencies of different routes are not comparable.
        if route != ALL_ROUTES && slow_evidence(old, new) >= threshold {
            slow.get_or_insert_with(|| VersionVerdict::Slow {
                route: route.to_owned(),
            });
        }
    }
    let failing = failing_customer(&old_sum, old, new, threshold);
    failing.or(slow).unwrap_or(VersionVerdict::NoFault)
}

/// Finds a customer for which the new version fails more often.
///
/// The reference is the old version's rate for that customer or, if there are too
/// few requests, for all customers.
fn failing_customer(
    old_sum: &RouteCounts,
    old: &VersionCounts,
    new: &VersionCounts,
    threshold: f64,
) -> Option<VersionVerdict> {
    if old_sum.total < MIN_OLD_REQUESTS {
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
            .filter(|counts| counts.total >= MIN_OLD_REQUESTS);
        let reference = known.unwrap_or(&all);
        let null = upper_rate(reference.failed, reference.total) + FAILURE_MARGIN;
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
    if old.timed_total() < MIN_OLD_REQUESTS {
        return 0.0;
    }
    let factor_buckets = (SLOW_FACTOR.log2() * BUCKETS_PER_DOUBLING).ceil() as usize;
    let bucket = old.quantile_bucket(SLOW_QUANTILE) + factor_buckets;
    let null = upper_rate(old.count_above(bucket), old.timed_total()) + SLOW_MARGIN;
    log_mixture(null, new.count_above(bucket), new.timed_total())
}

/// Returns an upper confidence bound for a rate.
///
/// One hit and one miss are added (the rule of succession), so that the bound is
/// not 0 if there was no hit.
pub(crate) fn upper_rate(hits: u64, total: u64) -> f64 {
    let total = total as f64 + 2.0;
    let rate = (hits as f64 + 1.0) / total;
    rate + UPPER_BOUND_STD_ERRORS * (rate * (1.0 - rate) / total).sqrt()
}

/// Returns the logarithm of the mixture likelihood ratio against the `null` rate.
pub(crate) fn log_mixture(null: f64, hits: u64, total: u64) -> f64 {
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
