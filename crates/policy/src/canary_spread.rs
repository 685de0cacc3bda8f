//! Spreads the requests of a version under test over a service's routes.
//!
//! Each route gets requests in proportion to the square root of its traffic. For a given
//! number of requests this minimizes the sum of the variances of the estimated failure
//! rates, each weighted by the callers that a fault of the route affects (the optimal
//! allocation of stratified sampling, Neyman 1934). The quota of a route with few requests
//! is limited by these, so that the other routes don't wait for it.

use std::collections::BTreeMap;

/// The largest part of a route's requests that its quota may be, as a percentage: the rest
/// shows how the old version does.
const MAX_ROUTE_PERCENT: u64 = 50;
/// A route may be ahead of its quota by this number of requests.
const HEAD_START: u64 = 4;
/// A route with less than this part of its quota is behind.
const BEHIND_PERCENT: u64 = 50;
const WHOLE_PERCENT: u64 = 100;

/// Whether a route's next request may go to the version under test. A route that the
/// version has not served says nothing about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoutePriority {
    /// It has its quota, and lets other routes go first.
    Sufficient,
    /// It may be tested like the others.
    Due,
    /// It is far behind its quota, and may use the reserve that is kept for later.
    Least,
}

/// How the requests to the version under test are spread over the routes.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{CanarySpread, RoutePriority};
/// use std::collections::BTreeMap;
///
/// let sent = BTreeMap::from([("ask".to_owned(), 12), ("book".to_owned(), 1)]);
/// let requests = BTreeMap::from([("ask".to_owned(), 400), ("book".to_owned(), 100)]);
/// let spread = CanarySpread::new(&sent, &requests);
/// assert_eq!(spread.priority("book", 1), RoutePriority::Least);
/// assert_eq!(spread.priority("ask", 12), RoutePriority::Due);
/// assert_eq!(spread.priority("ask", 13), RoutePriority::Sufficient);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CanarySpread {
    /// The requests to the version under test that each route should have by now.
    quotas: BTreeMap<String, u64>,
    sent: BTreeMap<String, u64>,
}

impl CanarySpread {
    /// Computes the quotas from the requests to the version under test, and those of the
    /// service to any version, by route.
    pub fn new(sent: &BTreeMap<String, u64>, requests: &BTreeMap<String, u64>) -> Self {
        CanarySpread {
            quotas: divide_quotas(sent.values().sum(), requests),
            sent: sent.clone(),
        }
    }

    /// Returns the priority of a route; `own_sent` is the number of its requests that this
    /// VM has sent to the version under test, which may be newer than that of all VMs.
    pub fn priority(&self, route: &str, own_sent: u64) -> RoutePriority {
        let sent = self.sent.get(route).copied().unwrap_or(0).max(own_sent);
        let Some(quota) = self.quotas.get(route).copied() else {
            return RoutePriority::Sufficient;
        };
        if quota >= HEAD_START && sent * WHOLE_PERCENT < quota * BEHIND_PERCENT {
            RoutePriority::Least
        } else if sent < quota + HEAD_START {
            RoutePriority::Due
        } else {
            RoutePriority::Sufficient
        }
    }
}

/// Divides a number of requests among the routes.
fn divide_quotas(total: u64, requests: &BTreeMap<String, u64>) -> BTreeMap<String, u64> {
    let mut quotas = BTreeMap::new();
    let mut left = total;
    let weight = |route: &String| (requests[route] as f64).sqrt();
    let limit = |route: &String| (requests[route] * MAX_ROUTE_PERCENT).div_ceil(WHOLE_PERCENT);
    let mut open: Vec<&String> = requests.keys().collect();
    // A limited route leaves more to the others, so that further ones may be limited.
    while !open.is_empty() {
        let all: f64 = open.iter().map(|route| weight(route)).sum();
        let share = |route: &String| (left as f64 * weight(route) / all.max(1.0)).ceil() as u64;
        let (limited, rest): (Vec<&String>, Vec<&String>) =
            open.iter().partition(|route| share(route) > limit(route));
        if limited.is_empty() {
            quotas.extend(rest.iter().map(|route| ((*route).clone(), share(route))));
            break;
        }
        for route in &limited {
            quotas.insert((*route).clone(), limit(route));
            left = left.saturating_sub(limit(route));
        }
        open = rest;
    }
    quotas
}
