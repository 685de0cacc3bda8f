//! Ranks the requests for a model service by the priorities of its routes.
//!
//! Load pattern: prompts of an urgent and a routine kind compete for engines that are full.
//! Engines admit the most urgent of the prompts that wait. They also preempt less urgent
//! requests, whose prompts have to be prefilled again, so the priorities of customers, which
//! many requests of a kind share, are not told to engines.

use skylarkshed_core::{RouteConfig, RoutingConfig, ServiceName};
use std::collections::{BTreeSet, HashMap};

/// The ranks of the requests for each model service.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::RoutingConfig;
/// use skylarkshed_policy::UrgencyRanks;
///
/// let ranks = UrgencyRanks::new(&RoutingConfig::default());
/// assert_eq!(ranks, UrgencyRanks::default());
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UrgencyRanks {
    /// The priorities of the routes to a service, the most urgent first, if they differ.
    priorities: HashMap<ServiceName, Vec<u8>>,
}

impl UrgencyRanks {
    /// Determines the ranks from a configuration.
    pub fn new(config: &RoutingConfig) -> Self {
        let services = config.services.iter();
        let services = services.filter(|service| service.engine.is_some());
        let priorities = services.map(|service| {
            let priorities = route_priorities(config, &service.name);
            (service.name.clone(), priorities)
        });
        let differing = priorities.filter(|(_, priorities)| priorities.len() > 1);
        UrgencyRanks {
            priorities: differing
                .map(|(service, priorities)| (service, priorities.into_iter().collect()))
                .collect(),
        }
    }

    /// Returns the rank of a route's requests for a service, 0 being the most urgent; none if
    /// all routes to the service have the same priority.
    pub fn rank(&self, service: &ServiceName, route: &RouteConfig) -> Option<u8> {
        let priorities = self.priorities.get(service)?;
        let rank = priorities.partition_point(|priority| *priority < route.priority);
        Some(u8::try_from(rank).unwrap_or(u8::MAX))
    }

    /// Reports whether no route to a service has less urgent requests than this one.
    pub fn is_least_urgent(&self, service: &ServiceName, route: &RouteConfig) -> bool {
        let priorities = self.priorities.get(service);
        let least_urgent = priorities.and_then(|priorities| priorities.last());
        least_urgent.is_none_or(|priority| route.priority >= *priority)
    }
}

fn route_priorities(config: &RoutingConfig, service: &ServiceName) -> BTreeSet<u8> {
    let is_target = |route: &&RouteConfig| {
        let mut targets = route.targets.iter();
        targets.any(|target| target.service == *service && target.weight > 0)
    };
    let routes = config.routes.iter().filter(is_target);
    routes.map(|route| route.priority).collect()
}
