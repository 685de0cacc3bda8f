//! Lookup of routes, services and customers of a configuration.

use rstest::rstest;
use skylarkshed_core::{
    ClockTime, CustomerConfig, EngineCapabilities, KeyHash, RequestKind, RouteConfig,
    RoutingConfig, ServiceConfig, ServiceWeight,
};
use skylarkshed_policy::{choose_service, RouteTable, UrgencyRanks};

fn route(name: &'static str, host: &'static str, prefix: &'static str) -> RouteConfig {
    RouteConfig {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        max_attempts: 2,
        timeout: ClockTime::from_millis(800),
        target_latency: ClockTime::from_millis(150),
        priority: 1,
        targets: vec![ServiceWeight {
            service: "stores".into(),
            weight: 1,
        }],
        is_public: false,
    }
}

fn table() -> RouteTable {
    RouteTable::new(RoutingConfig {
        version: 7,
        routes: vec![
            route("short", "a.example", "/find/"),
            route("long", "a.example", "/find/special/"),
            route("other", "b.example", "/"),
        ],
        customers: vec![CustomerConfig {
            name: "depot".into(),
            keys: vec![KeyHash::of("one"), KeyHash::of("two")],
            priority: None,
        }],
        needs_keys: true,
        ..RoutingConfig::default()
    })
}

#[rstest]
#[case("a.example", "/find/7", Some("short"))]
#[case("a.example", "/find/special/7", Some("long"))]
#[case("a.example", "/find/specially", Some("short"))]
#[case("a.example", "/find", None)]
#[case("a.example", "/", None)]
#[case("b.example", "/anything", Some("other"))]
#[case("c.example", "/find/7", None)]
fn the_longest_matching_prefix_of_the_host_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table();
    let found = table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn each_key_belongs_to_its_customer() {
    let table = table();
    for key in ["one", "two"] {
        let customer = table.customer(&KeyHash::of(key)).unwrap();
        assert_eq!(customer.name.as_str(), "depot");
    }
    assert!(table.customer(&KeyHash::of("three")).is_none());
}

/// Guards against routes that are open to everybody once the last customer is removed.
#[rstest]
#[case::without_keys(false, true)]
#[case::without_customers(true, false)]
fn routes_are_open_only_if_the_configuration_needs_no_keys(
    #[case] needs_keys: bool,
    #[case] is_open: bool,
) {
    let table = RouteTable::new(RoutingConfig {
        needs_keys,
        ..RoutingConfig::default()
    });
    assert_eq!(table.needs_key(&route("r", "a.example", "/")), !is_open);
}

#[test]
fn requests_are_split_by_weight() {
    let target = |name: &str, weight| ServiceWeight {
        service: name.into(),
        weight,
    };
    let targets = [target("old", 90), target("new", 10), target("none", 0)];
    let new =
        (0..1_000).filter(|&random| choose_service(&targets, random).unwrap().as_str() == "new");
    assert_eq!(new.count(), 100);
    assert!(choose_service(&[target("none", 0)], 5).is_none());
}

/// Returns a configuration with a route of each of these priorities to one service.
fn config_with_priorities(priorities: &[u8], is_engine: bool) -> RoutingConfig {
    let engine = EngineCapabilities {
        slots: 16,
        cache_capacity_tokens: 88_000,
        can_back_up_cache: true,
        can_move_cache: true,
        copy_ttl: ClockTime::from_millis(4_000),
    };
    let with_priority = |priority: &u8| RouteConfig {
        priority: *priority,
        ..route("any", "a.example", "/write/")
    };
    RoutingConfig {
        routes: priorities.iter().map(with_priority).collect(),
        services: vec![ServiceConfig {
            name: "stores".into(),
            engine: is_engine.then_some(engine),
        }],
        ..RoutingConfig::default()
    }
}

/// Guards against urgent prompts that wait behind routine ones at full engines, and against
/// a change of what engines are told where all prompts are equally urgent.
#[rstest]
#[case::two_kinds(&[0, 2, 2], true, [Some(0), Some(1)])]
#[case::out_of_order(&[7, 0, 2, 255], true, [Some(0), Some(1)])]
#[case::one_kind(&[2, 2], true, [None, None])]
#[case::application(&[0, 2], false, [None, None])]
fn urgency_is_the_rank_among_the_priorities_of_a_service(
    #[case] priorities: &[u8],
    #[case] is_engine: bool,
    #[case] expected: [Option<u8>; 2],
) {
    let config = config_with_priorities(priorities, is_engine);
    let ranks = UrgencyRanks::new(&config);
    let ranks = [0, 2].map(|priority| {
        let of_priority = RouteConfig {
            priority,
            ..config.routes[0].clone()
        };
        let service = "stores".into();
        let rank = ranks.rank(&service, &of_priority);
        let is_least_urgent = ranks.is_least_urgent(&service, &of_priority);
        // Priority 2 is the last or the last but one.
        let has_less_urgent = priorities.iter().any(|other| *other > priority);
        assert_eq!(is_least_urgent, rank.is_none() || !has_less_urgent);
        rank
    });
    assert_eq!(ranks, expected);
}
