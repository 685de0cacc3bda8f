//! Versions that earlier rollouts of a service have not completed.

use skylarkshed_core::{ClockTime, VersionName};
use skylarkshed_policy::{
    RejectedVersions, RejectionReason, RolloutState, VersionFilter, VersionRejection, VersionRule,
};

const LIMIT: ClockTime = ClockTime::from_millis(12_000);

fn version(name: &str) -> VersionName {
    name.into()
}

fn rejection(name: &str, order: u64, reason: RejectionReason) -> VersionRejection {
    VersionRejection {
        version: name.into(),
        order,
        reason,
    }
}

/// Returns the versions, of `v1` to `v3`, that are allowed and those that are preferred.
fn usable(filter: &VersionFilter) -> (Vec<&'static str>, Vec<&'static str>) {
    let all = ["v1", "v2", "v3"].into_iter();
    let allowed = all.clone().filter(|name| filter.allows(&version(name)));
    let preferred = all.filter(|name| filter.prefers(&version(name)));
    (allowed.collect(), preferred.collect())
}

#[test]
fn an_unfinished_version_is_the_last_resort_after_its_time() {
    let mut rejected = RejectedVersions::default();
    rejected.insert(rejection("v2", 5, RejectionReason::Unfinished), LIMIT);
    let rule = || VersionRule::Except("v3".into());
    let before = rejected.restrict(rule(), ClockTime::from_millis(11_999));
    assert_eq!(usable(&before), (vec!["v1"], vec!["v1"]));
    let after = rejected.restrict(rule(), LIMIT);
    assert_eq!(usable(&after), (vec!["v1", "v2"], vec!["v1"]));
}

#[test]
fn a_version_stays_rolled_back_whatever_is_learned_of_the_order_later() {
    let mut rejected = RejectedVersions::default();
    rejected.insert(rejection("v2", 5, RejectionReason::RolledBack), LIMIT);
    let unfinished = rejection("v2", 5, RejectionReason::Unfinished);
    rejected.merge(&[unfinished], &version("v3"));
    let filter = rejected.restrict(VersionRule::Any, LIMIT);
    assert_eq!(usable(&filter), (vec!["v1", "v3"], vec!["v1", "v3"]));
}

#[test]
fn an_end_that_arrives_late_counts_for_its_order_only() {
    let mut rejected = RejectedVersions::default();
    rejected.insert(rejection("v2", 5, RejectionReason::Unfinished), LIMIT);
    assert!(!rejected.record_end(4, RolloutState::Done));
    assert!(rejected.contains(&version("v2")));
    assert!(rejected.record_end(5, RolloutState::RolledBack));
    assert!(!rejected
        .restrict(VersionRule::Any, LIMIT)
        .allows(&version("v2")));
    assert!(rejected.record_end(5, RolloutState::Done));
    assert!(rejected.is_empty());
}

#[test]
fn the_version_that_is_rolled_out_now_is_not_rejected_by_others() {
    let mut rejected = RejectedVersions::default();
    let known = [
        rejection("v2", 5, RejectionReason::RolledBack),
        rejection("v3", 6, RejectionReason::Unfinished),
    ];
    rejected.merge(&known, &version("v3"));
    assert!(rejected.contains(&version("v2")));
    assert!(!rejected.contains(&version("v3")));
}

#[test]
fn the_oldest_orders_are_forgotten_first() {
    let mut rejected = RejectedVersions::default();
    for order in 1..=20 {
        let name = format!("v{order}");
        rejected.insert(
            rejection(&name, order, RejectionReason::RolledBack),
            ClockTime::ZERO,
        );
    }
    assert!(!rejected.contains(&version("v4")));
    assert!(rejected.contains(&version("v5")));
    assert_eq!(rejected.rejections().len(), 16);
}
