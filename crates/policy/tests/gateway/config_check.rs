//! Faults of a configuration that its check has to find before it is sent.

use rstest::rstest;
use skylarkshed_core::{
    CallerLimits, ClockTime, CustomerConfig, KeyHash, RequestKind, RouteConfig, RoutingConfig,
    ServiceConfig, ServiceWeight,
};
use skylarkshed_policy::{check_config, EntryKind, FindingKind, FindingLabel};

const GRACE: ClockTime = ClockTime::from_millis(8_000);
const STREAM: RequestKind = RequestKind::EventStream {
    is_resumable: true,
    target_event_gap: ClockTime::from_millis(700),
};

type ConfigEdit = fn(&mut RoutingConfig);

fn route(name: &'static str, prefix: &'static str, kind: RequestKind) -> RouteConfig {
    RouteConfig {
        name: name.into(),
        host: "stock.example".into(),
        prefix: prefix.into(),
        kind,
        max_attempts: 1,
        timeout: GRACE,
        target_latency: GRACE,
        priority: 9,
        targets: vec![target("stores", 1)],
        is_public: false,
    }
}

fn target(service: &str, weight: u32) -> ServiceWeight {
    ServiceWeight {
        service: service.into(),
        weight,
    }
}

fn service(name: &str) -> ServiceConfig {
    ServiceConfig {
        name: name.into(),
        engine: None,
    }
}

fn customer(name: &str, key: &str) -> CustomerConfig {
    CustomerConfig {
        name: name.into(),
        keys: vec![KeyHash::of(key)],
        priority: Some(9),
    }
}

/// Returns a configuration without faults, whose values are at their bounds.
pub(crate) fn sound_config() -> RoutingConfig {
    let mut find = route("find", "/find/", RequestKind::Idempotent);
    find.max_attempts = 5;
    RoutingConfig {
        version: 7,
        routes: vec![
            route("book", "/", RequestKind::NonIdempotent),
            find,
            route("write", "/find/special/", STREAM),
        ],
        services: vec![service("stores")],
        needs_keys: true,
        customers: vec![customer("depot", "depot-key"), customer("vendor", "other")],
        limits: CallerLimits {
            max_head_bytes: 8_192,
            max_body_bytes: 8_192,
            head_timeout: ClockTime::from_millis(500),
            idle_timeout: ClockTime::from_millis(500),
        },
    }
}

#[test]
fn sound_configuration_has_no_findings() {
    assert_eq!(check_config(&sound_config(), Some(GRACE)), []);
    assert_eq!(check_config(&RoutingConfig::default(), Some(GRACE)), []);
}

/// Guards against faults that VMs accept without a word, and against one fault that is
/// reported as several.
#[rstest]
#[case::unknown_service(
    |config: &mut RoutingConfig| config.routes[1].targets.push(target("shops", 1)),
    FindingLabel::UnknownService, EntryKind::Route, "find")]
#[case::no_service(
    |config: &mut RoutingConfig| config.routes[1].targets.clear(),
    FindingLabel::RouteWithoutService, EntryKind::Route, "find")]
#[case::zero_weight(
    |config: &mut RoutingConfig| config.routes[1].targets[0].weight = 0,
    FindingLabel::ZeroWeight, EntryKind::Route, "find")]
#[case::priority_of_a_route(
    |config: &mut RoutingConfig| config.routes[1].priority = 10,
    FindingLabel::PriorityOutOfRange, EntryKind::Route, "find")]
#[case::priority_of_a_customer(
    |config: &mut RoutingConfig| config.customers[1].priority = Some(255),
    FindingLabel::PriorityOutOfRange, EntryKind::Customer, "vendor")]
#[case::zero_timeout(
    |config: &mut RoutingConfig| config.routes[1].timeout = ClockTime::ZERO,
    FindingLabel::ZeroTimeout, EntryKind::Route, "find")]
#[case::zero_header_timeout(
    |config: &mut RoutingConfig| config.limits.head_timeout = ClockTime::ZERO,
    FindingLabel::ZeroTimeout, EntryKind::Limits, "header timeout")]
#[case::zero_idle_timeout(
    |config: &mut RoutingConfig| config.limits.idle_timeout = ClockTime::ZERO,
    FindingLabel::ZeroTimeout, EntryKind::Limits, "idle timeout")]
#[case::zero_attempts(
    |config: &mut RoutingConfig| config.routes[1].max_attempts = 0,
    FindingLabel::ZeroAttempts, EntryKind::Route, "find")]
#[case::target_above_timeout(
    |config: &mut RoutingConfig| config.routes[1].target_latency = ClockTime::from_millis(8_001),
    FindingLabel::TargetAboveTimeout, EntryKind::Route, "find")]
#[case::prefix_without_end(
    |config: &mut RoutingConfig| config.routes[1].prefix = "/find".into(),
    FindingLabel::PrefixWithoutSlash, EntryKind::Route, "find")]
#[case::prefix_without_start(
    |config: &mut RoutingConfig| config.routes[1].prefix = "find/".into(),
    FindingLabel::PrefixWithoutSlash, EntryKind::Route, "find")]
#[case::empty_prefix(
    |config: &mut RoutingConfig| config.routes[1].prefix = "".into(),
    FindingLabel::PrefixWithoutSlash, EntryKind::Route, "find")]
#[case::name_of_two_routes(
    |config: &mut RoutingConfig| config.routes[1].name = "book".into(),
    FindingLabel::DuplicateName, EntryKind::Route, "book")]
#[case::name_of_three_services(
    |config: &mut RoutingConfig| config.services = vec![service("stores"); 3],
    FindingLabel::DuplicateName, EntryKind::Service, "stores")]
#[case::name_of_two_customers(
    |config: &mut RoutingConfig| config.customers.push(config.customers[0].clone()),
    FindingLabel::DuplicateName, EntryKind::Customer, "depot")]
#[case::same_prefix(
    |config: &mut RoutingConfig| config.routes[2].prefix = "/find/".into(),
    FindingLabel::ShadowedRoute, EntryKind::Route, "write")]
#[case::customer_without_keys(
    |config: &mut RoutingConfig| config.customers[1].keys.clear(),
    FindingLabel::CustomerWithoutKeys, EntryKind::Customer, "vendor")]
#[case::no_customers(
    |config: &mut RoutingConfig| config.customers.clear(),
    FindingLabel::NoCustomers, EntryKind::Configuration, "customers")]
#[case::unused_service(
    |config: &mut RoutingConfig| config.services.push(service("shops")),
    FindingLabel::UnusedService, EntryKind::Service, "shops")]
#[case::key_of_two_customers(
    |config: &mut RoutingConfig| config.customers[1].keys.push(KeyHash::of("depot-key")),
    FindingLabel::SharedKey, EntryKind::Customer, "depot")]
#[case::several_attempts(
    |config: &mut RoutingConfig| config.routes[0].max_attempts = 2,
    FindingLabel::SeveralAttempts, EntryKind::Route, "book")]
#[case::zero_target_gap(
    |config: &mut RoutingConfig| config.routes[2].kind = RequestKind::EventStream {
        is_resumable: true,
        target_event_gap: ClockTime::ZERO,
    },
    FindingLabel::ZeroTargetGap, EntryKind::Route, "write")]
#[case::header_limit(
    |config: &mut RoutingConfig| config.limits.max_head_bytes = usize::MAX,
    FindingLabel::HeaderLimitAboveBodyLimit, EntryKind::Limits, "header limit")]
#[case::idle_timeout(
    |config: &mut RoutingConfig| config.limits.head_timeout = ClockTime::NEVER,
    FindingLabel::IdleTimeoutBelowHeaderTimeout, EntryKind::Limits, "idle timeout")]
#[case::timeout_above_grace(
    |config: &mut RoutingConfig| config.routes[1].timeout = ClockTime::NEVER,
    FindingLabel::TimeoutAboveGrace, EntryKind::Route, "find")]
fn fault_is_found_once(
    #[case] edit: ConfigEdit,
    #[case] label: FindingLabel,
    #[case] entry: EntryKind,
    #[case] subject: &str,
) {
    let mut config = sound_config();
    edit(&mut config);
    let findings = check_config(&config, Some(GRACE));
    let found = findings.iter();
    let found: Vec<_> = found
        .map(|finding| (finding.label, finding.entry, finding.subject.as_str()))
        .collect();
    assert_eq!(found, [(label, entry, subject)]);
}

#[rstest]
#[case::same_prefix_on_another_host(|config: &mut RoutingConfig| {
    config.routes[2].prefix = "/find/".into();
    config.routes[2].host = "other.example".into();
})]
#[case::target_unknown(|config: &mut RoutingConfig| config.routes[1].target_latency = ClockTime::ZERO)]
#[case::same_name_of_different_kinds(|config: &mut RoutingConfig| config.customers[0].name = "find".into())]
#[case::same_key_twice_at_a_customer(|config: &mut RoutingConfig| {
    let key = config.customers[0].keys[0];
    config.customers[0].keys.push(key);
})]
#[case::largest_numbers(|config: &mut RoutingConfig| {
    config.routes[1].max_attempts = u32::MAX;
    config.routes[1].targets = vec![target("stores", u32::MAX); 2];
    config.limits.max_body_bytes = usize::MAX;
    config.limits.idle_timeout = ClockTime::NEVER;
})]
fn sound_change_has_no_findings(#[case] edit: ConfigEdit) {
    let mut config = sound_config();
    edit(&mut config);
    assert_eq!(check_config(&config, Some(GRACE)), []);
}

/// Guards against a grace that is assumed without settings.
#[test]
fn timeouts_are_compared_with_a_known_grace_only() {
    let mut config = sound_config();
    config.routes[1].timeout = ClockTime::NEVER;
    assert_eq!(check_config(&config, None), []);
}

/// Guards against warnings that stop a configuration, and errors that don't.
#[test]
fn only_faults_that_break_requests_are_errors() {
    let mut config = sound_config();
    config.routes[2].prefix = "/find/".into();
    config.routes[0].max_attempts = 2;
    config.routes[0].priority = 10;
    let findings = check_config(&config, None);
    let kinds: Vec<FindingKind> = findings.iter().map(|finding| finding.kind).collect();
    let expected = [
        FindingKind::Error,
        FindingKind::Contradiction,
        FindingKind::Unreachable,
    ];
    assert_eq!(kinds, expected);
}
