//! The configurations that the operators wrote, and how each handles a request.

use crate::bounds::CONFIGURATION;
use crate::records::CallerRequest;
use skylarkshed_core::ClockTime;
use std::collections::BTreeMap;

/// How a configuration handles a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Handling {
    /// A service runs it, for a customer if its route needs a key.
    Runs(String, Option<String>),
    /// No route matches (404).
    NoRoute,
    /// The key is unknown or missing (401).
    UnknownKey,
}

/// A route of a configuration.
#[derive(Clone, Debug)]
pub struct RouteRule {
    /// The start of the paths.
    pub prefix: String,
    /// The services that may run its requests.
    pub services: Vec<String>,
    /// Whether requests need no key.
    pub is_public: bool,
    /// The time in which a request must be answered.
    pub timeout: ClockTime,
}

/// A configuration with the time at which the store accepted it.
#[derive(Clone, Debug)]
pub struct ConfigVersion {
    /// Its number.
    pub number: u64,
    /// When the store accepted it.
    pub accepted_at: ClockTime,
    /// Its routes.
    pub routes: Vec<RouteRule>,
    /// The customers by API key.
    pub keys: BTreeMap<String, String>,
}

impl ConfigVersion {
    /// Returns the route of a request.
    pub fn route(&self, request: &CallerRequest) -> Option<&RouteRule> {
        let routes = self.routes.iter();
        let matching = routes.filter(|route| request.path.starts_with(&route.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Returns how this version may handle a request.
    pub fn handlings(&self, request: &CallerRequest) -> Vec<Handling> {
        let Some(route) = self.route(request) else {
            return vec![Handling::NoRoute];
        };
        let customer = request.key.as_ref().and_then(|key| self.keys.get(key));
        if customer.is_none() && !route.is_public {
            return vec![Handling::UnknownKey];
        }
        let services = route.services.iter();
        let customer = customer.filter(|_| !route.is_public);
        services
            .map(|service| Handling::Runs(service.clone(), customer.cloned()))
            .collect()
    }
}

/// All configurations, oldest first.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    /// The versions.
    pub versions: Vec<ConfigVersion>,
}

impl ConfigHistory {
    /// Returns the versions that a VM in touch may use for a request that was sent at
    /// `sent_at` and ended at `ended_at`.
    pub fn in_force(&self, sent_at: ClockTime, ended_at: ClockTime) -> &[ConfigVersion] {
        let is_settled = |version: &&ConfigVersion| version.accepted_at + CONFIGURATION < sent_at;
        let is_known = |version: &&ConfigVersion| version.accepted_at <= ended_at;
        let first = self.versions.iter().filter(is_settled).count();
        let end = self.versions.iter().filter(is_known).count();
        &self.versions[first.saturating_sub(1)..end]
    }

    /// Returns when the last version with a key was replaced; none while the key is valid
    /// or if no version had it.
    pub fn revoked_at(&self, key: &str) -> Option<ClockTime> {
        let has_key = |version: &ConfigVersion| version.keys.contains_key(key);
        let last = self.versions.iter().rposition(has_key)?;
        self.versions
            .get(last + 1)
            .map(|version| version.accepted_at)
    }
}
