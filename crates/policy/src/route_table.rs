//! Looks up the route, the service and the customer of a request.

use crate::request_urgency::UrgencyRanks;
use faststr::FastStr;
use skylarkshed_core::{
    CallerLimits, CustomerConfig, EngineCapabilities, KeyHash, RouteConfig, RoutingConfig,
    ServiceName,
};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

/// A routing configuration, indexed for lookup.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::RoutingConfig;
/// use skylarkshed_policy::RouteTable;
///
/// let table = RouteTable::new(RoutingConfig::default());
/// assert!(table.find("stock.example", "/bins/7").is_none());
/// ```
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    limits: CallerLimits,
    /// The routes of each host, the longest prefix first.
    hosts: HashMap<FastStr, Vec<Arc<RouteConfig>>>,
    customers: HashMap<KeyHash, Arc<CustomerConfig>>,
    engines: HashMap<ServiceName, EngineCapabilities>,
    urgency: UrgencyRanks,
    needs_keys: bool,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: RoutingConfig) -> Self {
        let urgency = UrgencyRanks::new(&config);
        let mut hosts: HashMap<FastStr, Vec<Arc<RouteConfig>>> = HashMap::new();
        for route in config.routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        let mut customers = HashMap::new();
        for customer in config.customers.into_iter().map(Arc::new) {
            let entries = customer.keys.iter().map(|key| (*key, customer.clone()));
            customers.extend(entries);
        }
        let engines = config.services.into_iter().filter_map(|service| {
            let engine = service.engine?;
            Some((service.name, engine))
        });
        RouteTable {
            version: config.version,
            limits: config.limits,
            hosts,
            customers,
            engines: engines.collect(),
            urgency,
            needs_keys: config.needs_keys,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the host's route with the longest prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteConfig>> {
        let mut routes = self.hosts.get(host)?.iter();
        routes.find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Reports whether requests on a route need a customer's key.
    pub fn needs_key(&self, route: &RouteConfig) -> bool {
        self.needs_keys && !route.is_public
    }

    /// Returns the customer that holds a key.
    pub fn customer(&self, key: &KeyHash) -> Option<&Arc<CustomerConfig>> {
        self.customers.get(key)
    }

    /// Returns the capabilities of a service's engines, if its upstreams are model
    /// engines.
    pub fn engine(&self, service: &ServiceName) -> Option<EngineCapabilities> {
        self.engines.get(service).copied()
    }

    /// Returns the ranks of requests by priority.
    pub fn urgency(&self) -> &UrgencyRanks {
        &self.urgency
    }
}

/// Chooses the service of a request by the route's weights.
///
/// `random` is a random value or hash that is evenly distributed over requests
/// and the same for all attempts of one request.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ServiceWeight;
/// use skylarkshed_policy::choose_service;
///
/// let target = |name: &str, weight| ServiceWeight { service: name.into(), weight };
/// let targets = [target("old", 3), target("new", 1)];
/// assert_eq!(choose_service(&targets, 2).unwrap().as_str(), "old");
/// assert_eq!(choose_service(&targets, 3).unwrap().as_str(), "new");
/// ```
pub fn choose_service(
    targets: &[skylarkshed_core::ServiceWeight],
    random: u64,
) -> Option<&ServiceName> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut remaining = random % total;
    for target in targets {
        let weight = u64::from(target.weight);
        if remaining < weight {
            return Some(&target.service);
        }
        remaining -= weight;
    }
    None
}
