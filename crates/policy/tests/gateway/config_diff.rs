//! The differences between a configuration and the version in force.

use crate::config_check::sound_config;
use rstest::rstest;
use serde_json::{json, Value};
use skylarkshed_core::{
    ClockTime, EngineCapabilities, KeyHash, RequestKind, RoutingConfig, ServiceWeight,
};
use skylarkshed_policy::{ConfigDiff, FindingLabel};

type ConfigEdit = fn(&mut RoutingConfig);

fn diff_of(edit: ConfigEdit) -> Value {
    let (old, mut new) = (sound_config(), sound_config());
    edit(&mut new);
    serde_json::to_value(ConfigDiff::between(&old, &new)).unwrap()
}

fn value(field: &str, old: &str, new: &str) -> Value {
    json!({"field": field, "old": old, "new": new})
}

/// Guards against changes that an operator doesn't see.
#[rstest]
#[case::host(|config: &mut RoutingConfig| config.routes[0].host = "x".into(), "/routes",
    value("host", "stock.example", "x"))]
#[case::prefix(|config: &mut RoutingConfig| config.routes[0].prefix = "/x/".into(), "/routes",
    value("prefix", "/", "/x/"))]
#[case::kind(|config: &mut RoutingConfig| config.routes[0].kind = RequestKind::Idempotent, "/routes",
    value("kind", "non_idempotent", "idempotent"))]
#[case::attempts(|config: &mut RoutingConfig| config.routes[0].max_attempts = u32::MAX, "/routes",
    value("max_attempts", "1", "4294967295"))]
#[case::timeout(|config: &mut RoutingConfig| config.routes[0].timeout = ClockTime::NEVER, "/routes",
    value("timeout_ms", "8000", "18446744073709551615"))]
#[case::target(|config: &mut RoutingConfig| config.routes[0].target_latency = ClockTime::ZERO, "/routes",
    value("target_latency_ms", "8000", "0"))]
#[case::priority(|config: &mut RoutingConfig| config.routes[0].priority = 0, "/routes",
    value("priority", "9", "0"))]
#[case::services(
    |config: &mut RoutingConfig| config.routes[0].targets.push(ServiceWeight { service: "x".into(), weight: 2 }),
    "/routes", value("services", "stores=1", "stores=1 x=2"))]
#[case::is_public(|config: &mut RoutingConfig| config.routes[0].is_public = true, "/routes",
    value("is_public", "false", "true"))]
#[case::customer(|config: &mut RoutingConfig| config.customers[0].priority = None, "/customers",
    value("priority", "9", "none"))]
#[case::keys(
    |config: &mut RoutingConfig| config.customers[0].keys = vec![KeyHash::of("x"), KeyHash::of("y")],
    "/customers", json!({"field": "keys", "added": 2, "removed": 1}))]
fn changed_field_is_listed(#[case] edit: ConfigEdit, #[case] list: &str, #[case] field: Value) {
    let diff = diff_of(edit);
    let changed = &diff.pointer(list).unwrap()["changed"];
    assert_eq!(changed.as_array().unwrap().len(), 1, "{changed}");
    assert_eq!(changed[0]["fields"], json!([field]));
    assert_eq!(diff["limits"], json!([]));
}

#[test]
fn changed_limits_are_listed() {
    let diff = diff_of(|config| {
        config.limits.max_head_bytes = 1;
        config.limits.max_body_bytes = usize::MAX;
        config.limits.head_timeout = ClockTime::ZERO;
        config.limits.idle_timeout = ClockTime::from_millis(9);
    });
    let expected = json!([
        value("max_head_bytes", "8192", "1"),
        value("max_body_bytes", "8192", &usize::MAX.to_string()),
        value("head_timeout_ms", "500", "0"),
        value("idle_timeout_ms", "500", "9"),
    ]);
    assert_eq!(diff["limits"], expected);
}

/// Guards against a change of the engines that hides behind the service's name.
#[test]
fn changed_engines_are_listed() {
    let diff = diff_of(|config| {
        config.services[0].engine = Some(EngineCapabilities {
            slots: 16,
            cache_capacity_tokens: u64::MAX,
            can_back_up_cache: true,
            can_move_cache: false,
            copy_ttl: ClockTime::from_millis(4_000),
        });
    });
    let fields = &diff["services"]["changed"][0]["fields"];
    assert_eq!(fields[0], value("engine", "false", "true"));
    assert_eq!(fields[1], value("slots", "none", "16"));
    assert_eq!(fields.as_array().unwrap().len(), 6);
}

/// Guards against entries of the same name that stand for each other.
#[test]
fn entries_are_compared_by_name_and_occurrence() {
    let diff = diff_of(|config| {
        let mut second = config.routes[1].clone();
        second.prefix = "/x/".into();
        config.routes.push(second);
        config.routes.remove(0);
        config.services[0].name = "shops".into();
        config.customers.reverse();
    });
    let routes = json!({"added": ["find"], "removed": ["book"], "changed": []});
    assert_eq!(diff["routes"], routes);
    let services = json!({"added": ["shops"], "removed": ["stores"], "changed": []});
    assert_eq!(diff["services"], services);
    assert_eq!(
        diff["customers"],
        json!({"added": [], "removed": [], "changed": []})
    );
}

/// Guards against keys in the output of a check.
#[test]
fn hashes_of_keys_are_not_listed() {
    let text = diff_of(|config| config.customers[0].keys[0] = KeyHash::of("x")).to_string();
    for key in ["x", "depot-key"] {
        assert!(!text.contains(&KeyHash::of(key).to_string()));
    }
}

/// Guards against a configuration that VMs ignore.
#[rstest]
#[case(6, true)]
#[case(7, true)]
#[case(8, false)]
#[case(u64::MAX, false)]
fn version_that_is_not_higher_is_found(#[case] version: u64, #[case] is_found: bool) {
    let (old, mut new) = (sound_config(), sound_config());
    new.version = version;
    let finding = ConfigDiff::between(&old, &new).check_version();
    let label = finding.map(|finding| finding.label);
    assert_eq!(label, is_found.then_some(FindingLabel::VersionNotHigher));
}

/// Guards against a list of customers that is left out by mistake, which opens all routes.
#[rstest]
#[case::dropped(true, false, true)]
#[case::kept(true, true, false)]
#[case::added(false, true, false)]
#[case::absent(false, false, false)]
fn keys_that_are_no_longer_needed_are_found(
    #[case] was_needed: bool,
    #[case] is_needed: bool,
    #[case] is_found: bool,
) {
    let (mut old, mut new) = (sound_config(), sound_config());
    old.needs_keys = was_needed;
    new.needs_keys = is_needed;
    new.version = old.version + 1;
    let findings: Vec<_> = ConfigDiff::between(&old, &new).findings().collect();
    let labels: Vec<FindingLabel> = findings.iter().map(|finding| finding.label).collect();
    let expected = is_found.then_some(FindingLabel::KeysNotNeeded);
    assert_eq!(labels, expected.into_iter().collect::<Vec<_>>());
}
