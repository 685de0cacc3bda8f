//! What callers see of the versions of a service during a rollout.
//!
//! Samples are kept by time slice, so that a fault that appears late is not averaged
//! away. Those of one stream depend on each other, so a stream has one sample of its
//! time to the first event, and one of its pace in each slice.

use serde::{Deserialize, Serialize};
use skylarkshed_core::{ClockTime, CustomerName};
use std::collections::BTreeMap;

/// The number of time slices of a rollout.
pub const ROLLOUT_SLICES: u64 = 8;
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// The highest bucket, of about a quarter of an hour in milliseconds.
const MAX_BUCKET: u8 = 79;

/// A time as one of the buckets of a [`TimeHistogram`].
pub(crate) fn bucket_of(time: ClockTime) -> u8 {
    let millis = time.as_millis().max(1) as f64;
    (millis.log2() * BUCKETS_PER_DOUBLING).min(f64::from(MAX_BUCKET)) as u8
}

/// Returns the shortest time that is above a bucket.
pub(crate) fn time_above(bucket: u8) -> ClockTime {
    let millis = (f64::from(bucket + 1) / BUCKETS_PER_DOUBLING).exp2();
    ClockTime::from_millis(millis.ceil() as u64)
}

/// The number of buckets that a time moves up if it is multiplied by a factor.
pub(crate) fn buckets_of_factor(factor: f64) -> u8 {
    (factor.log2() * BUCKETS_PER_DOUBLING).ceil() as u8
}

/// Counts times by buckets, four per doubling.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TimeHistogram(BTreeMap<u8, u64>);

impl TimeHistogram {
    /// Records a time.
    pub fn record(&mut self, time: ClockTime) {
        *self.0.entry(bucket_of(time)).or_default() += 1;
    }

    fn merge(&mut self, other: &TimeHistogram) {
        for (bucket, count) in &other.0 {
            *self.0.entry(*bucket).or_default() += count;
        }
    }

    pub(crate) fn total(&self) -> u64 {
        self.0.values().sum()
    }

    pub(crate) fn count_above(&self, bucket: u8) -> u64 {
        self.0.range(bucket + 1..).map(|(_, count)| count).sum()
    }

    pub(crate) fn quantile_bucket(&self, quantile: f64) -> u8 {
        let target_count = (self.total() as f64 * quantile).ceil() as u64;
        let mut seen = 0;
        for (bucket, count) in &self.0 {
            seen += count;
            if seen >= target_count {
                return *bucket;
            }
        }
        MAX_BUCKET
    }
}

/// The requests of one version on one route.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteSamples {
    /// Attempts sent.
    pub sent: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Those of the failed requests that got no response, or only a part of one: their
    /// upstream was lost or silent.
    #[serde(default)]
    pub unanswered: u64,
    /// Requests that failed or were answered; streams count at their first event, and
    /// requests that are sent again at their first attempt.
    pub total: u64,
    /// First attempts that have neither failed nor been answered.
    #[serde(default)]
    pub open: u64,
    /// Times to the response or its first event, with those that are overdue.
    pub first: TimeHistogram,
    /// Mean intervals between the events of a stream.
    pub pace: TimeHistogram,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// The upstream responded with an error, or with what is no valid response.
    ErrorResponse,
    /// The upstream was lost or silent, so that no response or only a part of one came. A
    /// whole version of upstreams may be lost without a fault of the version.
    NoResponse,
}

/// How many of some requests failed in one way.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct FailureCount {
    pub(crate) failed: u64,
    pub(crate) total: u64,
}

impl RouteSamples {
    /// Records the time to a request's response or its first event.
    pub fn record_first(&mut self, time: ClockTime) {
        self.total += 1;
        self.first.record(time);
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, kind: FailureKind) {
        self.total += 1;
        self.failed += 1;
        self.unanswered += u64::from(kind == FailureKind::NoResponse);
    }

    /// Counts the error responses among the responses.
    pub(crate) fn error_responses(&self) -> FailureCount {
        FailureCount {
            failed: self.failed.saturating_sub(self.unanswered),
            total: self.total.saturating_sub(self.unanswered),
        }
    }

    /// Counts the requests without a response.
    pub(crate) fn missing_responses(&self) -> FailureCount {
        FailureCount {
            failed: self.unanswered,
            total: self.total,
        }
    }

    /// Counts the failures of both kinds.
    pub(crate) fn all_failures(&self) -> FailureCount {
        FailureCount {
            failed: self.failed,
            total: self.total,
        }
    }

    pub(crate) fn merge(&mut self, other: &RouteSamples) {
        self.sent += other.sent;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
        self.total += other.total;
        self.open += other.open;
        self.first.merge(&other.first);
        self.pace.merge(&other.pace);
    }
}

/// The requests of one version, by route.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct VersionSamples {
    /// The samples by route.
    pub routes: BTreeMap<String, RouteSamples>,
}

impl VersionSamples {
    /// Returns the samples of a route, which are created at first use.
    pub fn route(&mut self, route: &str) -> &mut RouteSamples {
        self.routes.entry(route.to_owned()).or_default()
    }

    /// Adds other samples.
    pub fn merge(&mut self, other: &VersionSamples) {
        for (route, samples) in &other.routes {
            self.routes.entry(route.clone()).or_default().merge(samples);
        }
    }

    pub(crate) fn sum(&self) -> RouteSamples {
        let mut sum = RouteSamples::default();
        self.routes.values().for_each(|samples| sum.merge(samples));
        sum
    }
}

/// The samples of both versions.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct VersionPair {
    /// The samples of the old version.
    pub old: VersionSamples,
    /// The samples of the new version.
    pub new: VersionSamples,
}

impl VersionPair {
    fn merge(&mut self, other: &VersionPair) {
        self.old.merge(&other.old);
        self.new.merge(&other.new);
    }
}

/// The requests of a customer to a version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct CustomerSamples {
    pub(crate) failed: u64,
    pub(crate) total: u64,
}

type CustomerMap = BTreeMap<CustomerName, CustomerSamples>;

/// All samples of a rollout.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::RolloutSamples;
///
/// let (mut own, mut other) = (RolloutSamples::default(), RolloutSamples::default());
/// own.slice(0).new.route("ask").sent += 1;
/// other.slice(0).new.route("ask").sent += 2;
/// own.merge(&other);
/// assert_eq!(own.since(0).new.route("ask").sent, 3);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RolloutSamples {
    slices: BTreeMap<u64, VersionPair>,
    /// What was seen of the old version just before the rollout, for routes with few
    /// requests.
    before: VersionSamples,
    pub(crate) old_customers: CustomerMap,
    pub(crate) new_customers: CustomerMap,
}

impl RolloutSamples {
    /// Creates the samples of a rollout; `before` are those of the time before it.
    pub fn new(before: VersionSamples) -> Self {
        RolloutSamples {
            before,
            ..RolloutSamples::default()
        }
    }

    /// Returns the slice of a time since the rollout began, of its whole `duration`.
    pub fn slice_at(elapsed: ClockTime, duration: ClockTime) -> u64 {
        let slice = elapsed.as_millis() * ROLLOUT_SLICES / duration.as_millis().max(1);
        slice.min(ROLLOUT_SLICES - 1)
    }

    /// Returns the samples of a slice, which are created at first use.
    pub fn slice(&mut self, slice: u64) -> &mut VersionPair {
        self.slices.entry(slice).or_default()
    }

    /// Records how a request of a customer ended.
    pub fn record_customer(&mut self, customer: &CustomerName, is_new: bool, is_failed: bool) {
        let customers = match is_new {
            true => &mut self.new_customers,
            false => &mut self.old_customers,
        };
        let samples = customers.entry(customer.clone()).or_default();
        samples.total += 1;
        samples.failed += u64::from(is_failed);
    }

    /// Adds the samples of another VM.
    pub fn merge(&mut self, other: &RolloutSamples) {
        for (slice, pair) in &other.slices {
            self.slices.entry(*slice).or_default().merge(pair);
        }
        self.before.merge(&other.before);
        merge_customers(&mut self.old_customers, &other.old_customers);
        merge_customers(&mut self.new_customers, &other.new_customers);
    }

    /// Returns the sum of all samples from a slice on.
    pub fn since(&self, first: u64) -> VersionPair {
        let mut sum = VersionPair::default();
        self.slices
            .range(first..)
            .for_each(|(_, pair)| sum.merge(pair));
        sum
    }

    /// Returns the sum of all samples of the slices before one.
    pub(crate) fn until(&self, end: u64) -> VersionPair {
        let mut sum = VersionPair::default();
        self.slices
            .range(..end)
            .for_each(|(_, pair)| sum.merge(pair));
        sum
    }

    /// Keeps the slices for which `is_kept` returns true.
    pub(crate) fn retain_slices(&mut self, is_kept: impl Fn(u64) -> bool) {
        self.slices.retain(|slice, _| is_kept(*slice));
    }

    /// Moves all samples to a slice: they were recorded while it was not known for how long
    /// the rollout had run.
    pub fn move_to(&mut self, slice: u64) {
        let all = self.since(0);
        let is_empty = all.old.routes.is_empty() && all.new.routes.is_empty();
        self.slices.clear();
        if !is_empty {
            self.slices.insert(slice, all);
        }
    }

    /// Drops the requests that were still open, since the process that sent them has ended.
    pub fn drop_open(&mut self) {
        let pairs = self.slices.values_mut();
        let versions = pairs.flat_map(|pair| [&mut pair.old, &mut pair.new]);
        for samples in versions.flat_map(|version| version.routes.values_mut()) {
            samples.open = 0;
        }
    }

    /// Returns the first slice with samples of any version.
    pub(crate) fn first_slice(&self) -> Option<u64> {
        self.slices.keys().next().copied()
    }

    /// Returns the slices with samples of the new version.
    pub(crate) fn tested_slices(&self) -> impl Iterator<Item = u64> + '_ {
        let tested = self.slices.iter();
        let tested = tested.filter(|(_, pair)| !pair.new.routes.is_empty());
        tested.map(|(slice, _)| *slice)
    }

    pub(crate) fn before(&self) -> &VersionSamples {
        &self.before
    }

    /// Returns the number of requests sent to the new version, by route. Routes that
    /// only the old version has served are included.
    pub fn sent_to_new(&self) -> BTreeMap<String, u64> {
        let all = self.since(0);
        let mut sent: BTreeMap<String, u64> = BTreeMap::new();
        for route in all.old.routes.keys().chain(all.new.routes.keys()) {
            let samples = all.new.routes.get(route);
            sent.insert(route.clone(), samples.map_or(0, |samples| samples.sent));
        }
        sent
    }

    /// Returns the number of requests of one route sent to the new version.
    pub fn sent_to_new_on(&self, route: &str) -> u64 {
        let routes = self.slices.values();
        let routes = routes.filter_map(|pair| pair.new.routes.get(route));
        routes.map(|samples| samples.sent).sum()
    }

    /// Returns the number of requests sent to both versions, by route.
    pub fn requests(&self) -> BTreeMap<String, u64> {
        let mut requests: BTreeMap<String, u64> = BTreeMap::new();
        let versions = self.slices.values().flat_map(|pair| [&pair.old, &pair.new]);
        for (route, samples) in versions.flat_map(|version| &version.routes) {
            *requests.entry(route.clone()).or_default() += samples.sent;
        }
        requests
    }
}

fn merge_customers(sum: &mut CustomerMap, other: &CustomerMap) {
    for (customer, samples) in other {
        let entry = sum.entry(customer.clone()).or_default();
        entry.failed += samples.failed;
        entry.total += samples.total;
    }
}
