//! Which versions receive requests during a rollout.

use rstest::rstest;
use skylarkshed_core::{ClockTime, RolloutSpec, VersionName};
use skylarkshed_policy::{
    decide_rollout, select_version_rule, RolloutDecision, RolloutState, VersionCounts, VersionRule,
};

/// The share of all requests that a bad version may get.
const MAX_EXPOSURE: f64 = 0.1;

fn to() -> VersionName {
    "v2".into()
}

#[test]
fn a_canary_gets_less_than_the_allowed_exposure() {
    let rules = (0..1_000_000).step_by(100);
    let rules = rules.map(|random| select_version_rule(&to(), RolloutState::Running, random));
    let new = rules
        .filter(|rule| *rule == VersionRule::Prefer(to()))
        .count();
    assert!(new > 0 && (new as f64) < MAX_EXPOSURE * 10_000.0);
}

#[rstest]
#[case::running(RolloutState::Running, true)]
#[case::done(RolloutState::Done, true)]
#[case::rolled_back(RolloutState::RolledBack, false)]
fn the_only_version_is_allowed_unless_it_was_rolled_back(
    #[case] state: RolloutState,
    #[case] is_allowed: bool,
) {
    // A random value beyond the canary share.
    assert_eq!(
        select_version_rule(&to(), state, 999_999).allows(&to()),
        is_allowed
    );
}

#[test]
fn the_old_version_is_preferred_outside_the_canary_share() {
    let rule = select_version_rule(&to(), RolloutState::Running, 999_999);
    assert!(rule.prefers(&"v1".into()) && !rule.prefers(&to()));
}

#[test]
fn a_bad_version_is_rolled_back_whenever_its_fault_appears() {
    let spec = RolloutSpec {
        service: "stores".into(),
        to: to(),
        duration: ClockTime::from_millis(12_000),
        revision: 1,
    };
    let (mut old, mut new) = (VersionCounts::default(), VersionCounts::default());
    for _ in 0..200 {
        old.record("book", &"depot".into(), Some(ClockTime::from_millis(30)));
    }
    for _ in 0..30 {
        new.record("book", &"depot".into(), None);
    }
    for elapsed_ms in [100, 8_400, 11_900] {
        let decision = decide_rollout(&spec, &old, &new, ClockTime::from_millis(elapsed_ms));
        assert!(
            matches!(decision, RolloutDecision::RollBack(_)),
            "at {elapsed_ms} ms"
        );
    }
}
