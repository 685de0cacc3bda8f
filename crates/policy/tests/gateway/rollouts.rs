//! Which versions get requests while a service moves.

use rstest::rstest;
use skylarkshed_core::{ClockTime, RolloutSpec, VersionName};
use skylarkshed_policy::{
    decide_rollout, select_version_rule, RolloutDecision, RolloutState, VersionCounts, VersionRule,
};

/// The share of all requests that a bad version may get.
const EXPOSURE: f64 = 0.1;

fn to() -> VersionName {
    "v2".into()
}

#[test]
fn a_watched_version_gets_less_than_it_may() {
    let rules = (0..1_000_000).step_by(100);
    let rules = rules.map(|draw| select_version_rule(&to(), RolloutState::Running, draw));
    let new = rules
        .filter(|rule| *rule == VersionRule::Prefer(to()))
        .count();
    assert!(new > 0 && (new as f64) < EXPOSURE * 10_000.0);
}

#[rstest]
#[case::running(RolloutState::Running, true)]
#[case::done(RolloutState::Done, true)]
#[case::rolled_back(RolloutState::RolledBack, false)]
fn a_version_without_another_serves_unless_it_is_bad(
    #[case] state: RolloutState,
    #[case] is_allowed: bool,
) {
    // A draw beyond the watched share.
    assert_eq!(
        select_version_rule(&to(), state, 999_999).allows(&to()),
        is_allowed
    );
}

#[test]
fn the_old_version_goes_first_while_the_new_one_is_watched() {
    let rule = select_version_rule(&to(), RolloutState::Running, 999_999);
    assert!(rule.prefers(&"v1".into()) && !rule.prefers(&to()));
}

#[test]
fn a_bad_version_is_left_whenever_its_fault_shows() {
    let order = RolloutSpec {
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
    for passed_ms in [100, 8_400, 11_900] {
        let step = decide_rollout(&order, &old, &new, ClockTime::from_millis(passed_ms));
        assert!(
            matches!(step, RolloutDecision::RollBack(_)),
            "at {passed_ms} ms"
        );
    }
}
