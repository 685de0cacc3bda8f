//! Checks a routing configuration before it is sent to the VMs.

use crate::config_finding::{ConfigFinding, EntryKind, FindingLabel};
use faststr::FastStr;
use skylarkshed_core::{
    CallerLimits, ClockTime, CustomerConfig, KeyHash, RequestKind, RouteConfig, RoutingConfig,
};
use std::collections::{HashMap, HashSet};

/// The least urgent priority that engines accept.
const LAST_PRIORITY: u8 = 9;

/// Checks a configuration and returns all findings, those of routes first.
///
/// `longest_response` is the time in which a VM that has been told to leave can still
/// answer, if it is known: without it, timeouts are not compared with it.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::{CustomerConfig, RoutingConfig};
/// use skylarkshed_policy::{check_config, FindingLabel};
///
/// let customer = CustomerConfig { name: "depot".into(), keys: Vec::new(), priority: None };
/// let config = RoutingConfig { customers: vec![customer], ..RoutingConfig::default() };
/// let findings = check_config(&config, None);
/// assert_eq!(findings[0].label, FindingLabel::CustomerWithoutKeys);
/// ```
pub fn check_config(
    config: &RoutingConfig,
    longest_response: Option<ClockTime>,
) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    check_names(config, &mut findings);
    check_targets(config, &mut findings);
    for route in &config.routes {
        check_route(route, longest_response, &mut findings);
    }
    find_shadowed_routes(&config.routes, &mut findings);
    find_unused_services(config, &mut findings);
    if config.needs_keys && config.customers.is_empty() {
        let message = "there are none, so only requests on public routes are served";
        let kind = EntryKind::Configuration;
        findings.push(ConfigFinding::new(
            FindingLabel::NoCustomers,
            kind,
            "customers",
            message,
        ));
    }
    for customer in &config.customers {
        check_customer(customer, &mut findings);
    }
    find_shared_keys(&config.customers, &mut findings);
    check_limits(&config.limits, &mut findings);
    findings
}

fn check_names(config: &RoutingConfig, findings: &mut Vec<ConfigFinding>) {
    let routes = config.routes.iter().map(|route| route.name.as_str());
    let services = config.services.iter().map(|service| service.name.as_str());
    let customers = config
        .customers
        .iter()
        .map(|customer| customer.name.as_str());
    find_duplicates(EntryKind::Route, routes, findings);
    find_duplicates(EntryKind::Service, services, findings);
    find_duplicates(EntryKind::Customer, customers, findings);
}

/// Reports each name that occurs more than once, and how often.
fn find_duplicates<'a>(
    entry: EntryKind,
    names: impl Iterator<Item = &'a str> + Clone,
    findings: &mut Vec<ConfigFinding>,
) {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for name in names.clone() {
        *counts.entry(name).or_default() += 1;
    }
    for name in names {
        let Some(count) = counts.remove(name).filter(|count| *count > 1) else {
            continue;
        };
        let message = format!("{count} entries have this name");
        let subject = FastStr::new(name);
        let finding = ConfigFinding::new(FindingLabel::DuplicateName, entry, subject, message);
        findings.push(finding);
    }
}

/// Checks the services of all routes and their weights.
fn check_targets(config: &RoutingConfig, findings: &mut Vec<ConfigFinding>) {
    let services = config.services.iter().map(|service| service.name.as_str());
    let services: HashSet<&str> = services.collect();
    for route in &config.routes {
        let mut report = |label, message| findings.push(route_finding(label, route, message));
        if route.targets.is_empty() {
            let message = "it has no service, so all its requests are refused".to_owned();
            report(FindingLabel::RouteWithoutService, message);
        }
        for target in &route.targets {
            if !services.contains(target.service.as_str()) {
                let message = format!("there is no service `{}`", target.service);
                report(FindingLabel::UnknownService, message);
            }
            if target.weight == 0 {
                let message = format!("the service `{}` has a weight of zero", target.service);
                report(FindingLabel::ZeroWeight, message);
            }
        }
    }
}

fn check_route(
    route: &RouteConfig,
    longest_response: Option<ClockTime>,
    findings: &mut Vec<ConfigFinding>,
) {
    let mut report = |label, message| findings.push(route_finding(label, route, message));
    let timeout = route.timeout.as_millis();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let message = format!(
            "the prefix `{}` must begin and end with a slash",
            route.prefix
        );
        report(FindingLabel::PrefixWithoutSlash, message);
    }
    if route.priority > LAST_PRIORITY {
        report(
            FindingLabel::PriorityOutOfRange,
            priority_message(route.priority),
        );
    }
    if timeout == 0 {
        report(FindingLabel::ZeroTimeout, "the timeout is zero".to_owned());
    } else if route.target_latency > route.timeout {
        let target = route.target_latency.as_millis();
        let message = format!("the target of {target} ms is above the timeout of {timeout} ms");
        report(FindingLabel::TargetAboveTimeout, message);
    }
    if route.max_attempts == 0 {
        let message = "it allows no attempts, so no request is sent".to_owned();
        report(FindingLabel::ZeroAttempts, message);
    }
    if route.kind == RequestKind::NonIdempotent && route.max_attempts > 1 {
        let message = format!(
            "it allows {} attempts, but its requests are not idempotent and run at most once",
            route.max_attempts
        );
        report(FindingLabel::SeveralAttempts, message);
    }
    if has_zero_gap(route.kind) {
        let message = "the target for the gaps between events of its streams is zero".to_owned();
        report(FindingLabel::ZeroTargetGap, message);
    }
    if let Some(longest) = longest_response.filter(|longest| route.timeout > *longest) {
        let message = format!(
            "the timeout is {timeout} ms, but a VM that leaves ends after {} ms",
            longest.as_millis()
        );
        report(FindingLabel::TimeoutAboveGrace, message);
    }
}

fn has_zero_gap(kind: RequestKind) -> bool {
    matches!(
        kind,
        RequestKind::EventStream { target_event_gap, .. } if target_event_gap == ClockTime::ZERO
    )
}

/// Reports routes whose requests all go to an earlier route: of routes with the same host
/// and prefix, the first one matches.
fn find_shadowed_routes(routes: &[RouteConfig], findings: &mut Vec<ConfigFinding>) {
    let mut first_routes: HashMap<(&str, &str), &RouteConfig> = HashMap::new();
    for route in routes {
        let place = (route.host.as_str(), route.prefix.as_str());
        let first = *first_routes.entry(place).or_insert(route);
        if !std::ptr::eq(first, route) {
            let message = format!(
                "it never matches: the earlier route `{}` has the same host and prefix",
                first.name
            );
            findings.push(route_finding(FindingLabel::ShadowedRoute, route, message));
        }
    }
}

fn find_unused_services(config: &RoutingConfig, findings: &mut Vec<ConfigFinding>) {
    let targets = config.routes.iter().flat_map(|route| &route.targets);
    let used: HashSet<&str> = targets.map(|target| target.service.as_str()).collect();
    let unused = config.services.iter();
    let unused = unused.filter(|service| !used.contains(service.name.as_str()));
    findings.extend(unused.map(|service| {
        ConfigFinding::new(
            FindingLabel::UnusedService,
            EntryKind::Service,
            FastStr::new(service.name.as_str()),
            "no route uses it",
        )
    }));
}

fn check_customer(customer: &CustomerConfig, findings: &mut Vec<ConfigFinding>) {
    if customer.keys.is_empty() {
        let message = "it has no keys, so no request is its own".to_owned();
        let label = FindingLabel::CustomerWithoutKeys;
        findings.push(customer_finding(label, customer, message));
    }
    if let Some(priority) = customer
        .priority
        .filter(|priority| *priority > LAST_PRIORITY)
    {
        let message = priority_message(priority);
        let label = FindingLabel::PriorityOutOfRange;
        findings.push(customer_finding(label, customer, message));
    }
}

/// Reports customers with a key that counts for another one: of customers with the same
/// key, the last one gets its requests. Each such pair is reported once.
fn find_shared_keys(customers: &[CustomerConfig], findings: &mut Vec<ConfigFinding>) {
    let mut holders: HashMap<&KeyHash, &CustomerConfig> = HashMap::new();
    for customer in customers {
        holders.extend(customer.keys.iter().map(|key| (key, customer)));
    }
    for customer in customers {
        let mut reported = HashSet::new();
        for holder in customer.keys.iter().map(|key| holders[key]) {
            if holder.name == customer.name || !reported.insert(&holder.name) {
                continue;
            }
            let message = format!(
                "the later customer `{}` has the same key and gets its requests",
                holder.name
            );
            findings.push(customer_finding(FindingLabel::SharedKey, customer, message));
        }
    }
}

fn check_limits(limits: &CallerLimits, findings: &mut Vec<ConfigFinding>) {
    let mut report = |label, limit: &'static str, message: String| {
        let finding = ConfigFinding::new(label, EntryKind::Limits, limit, message);
        findings.push(finding);
    };
    let (head_timeout, idle_timeout) = (limits.head_timeout, limits.idle_timeout);
    for (limit, timeout) in [
        ("header timeout", head_timeout),
        ("idle timeout", idle_timeout),
    ] {
        if timeout == ClockTime::ZERO {
            report(FindingLabel::ZeroTimeout, limit, "it is zero".to_owned());
        }
    }
    if limits.max_head_bytes > limits.max_body_bytes {
        let message = format!(
            "a header may have {} bytes, a body only {}",
            limits.max_head_bytes, limits.max_body_bytes
        );
        report(
            FindingLabel::HeaderLimitAboveBodyLimit,
            "header limit",
            message,
        );
    }
    if idle_timeout != ClockTime::ZERO && idle_timeout < head_timeout {
        let message = format!(
            "it is {} ms, below the header timeout of {} ms",
            idle_timeout.as_millis(),
            head_timeout.as_millis()
        );
        report(
            FindingLabel::IdleTimeoutBelowHeaderTimeout,
            "idle timeout",
            message,
        );
    }
}

fn priority_message(priority: u8) -> String {
    format!("the priority {priority} is above {LAST_PRIORITY}")
}

fn route_finding(label: FindingLabel, route: &RouteConfig, message: String) -> ConfigFinding {
    ConfigFinding::new(label, EntryKind::Route, route.name.clone(), message)
}

fn customer_finding(
    label: FindingLabel,
    customer: &CustomerConfig,
    message: String,
) -> ConfigFinding {
    let name = FastStr::new(customer.name.as_str());
    ConfigFinding::new(label, EntryKind::Customer, name, message)
}
