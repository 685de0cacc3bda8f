//! Moves a service's traffic to another version by an operator's order.
//!
//! Only a small share goes to the new version until most of the time has
//! passed, as a bad version may show only late; what it got by then is below
//! what it may get. The move back needs no agreement: any VM stops at once on
//! its own evidence.

use crate::evidence::{compare_versions, VersionCounts, VersionVerdict};
use skylarkshed_core::{ClockTime, RolloutSpec, VersionName};

const WHOLE_PPM: u64 = 1_000_000;
/// The new version's share while it is watched: below the tenth of all requests
/// that a bad version may get.
const WATCHED_PPM: u64 = 80_000;
/// The part of the time in which the new version is watched, in hundredths;
/// the rest is for a store that is slow to take the end.
const WATCHED_PERCENT: u64 = 70;

/// How far a rollout has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutState {
    /// The new version is watched.
    Running,
    /// The new version has all traffic.
    Done,
    /// The old version has all traffic again.
    RolledBack,
}

/// Which versions may get a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum VersionRule {
    /// Any.
    #[default]
    Any,
    /// This one, or any other if it has no upstream.
    Prefer(VersionName),
    /// Any other, or this one if no other has an upstream.
    Avoid(VersionName),
    /// Any but this one.
    Except(VersionName),
}

impl VersionRule {
    /// Tells whether a version may get the request.
    pub fn allows(&self, version: &VersionName) -> bool {
        match self {
            VersionRule::Except(other) => version != other,
            VersionRule::Any | VersionRule::Prefer(_) | VersionRule::Avoid(_) => true,
        }
    }

    /// Tells whether a version goes before the others.
    pub fn prefers(&self, version: &VersionName) -> bool {
        match self {
            VersionRule::Prefer(wanted) => version == wanted,
            VersionRule::Avoid(other) => version != other,
            VersionRule::Any | VersionRule::Except(_) => true,
        }
    }
}

/// What a rollout does now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutDecision {
    /// Nothing.
    Wait,
    /// Give all traffic to the new version.
    Finish,
    /// Give all traffic back to the old version.
    RollBack(VersionVerdict),
}

/// Returns which versions may get a request, by a number even over requests.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{select_version_rule, RolloutState, VersionRule};
///
/// let rule = select_version_rule(&"v2".into(), RolloutState::RolledBack, 7);
/// assert_eq!(rule, VersionRule::Except("v2".into()));
/// ```
pub fn select_version_rule(to: &VersionName, state: RolloutState, draw: u64) -> VersionRule {
    match state {
        RolloutState::Running if draw % WHOLE_PPM < WATCHED_PPM => VersionRule::Prefer(to.clone()),
        // A VM that was restarted does not know yet whether the rollout is done
        // and the other version has no upstream any more.
        RolloutState::Running => VersionRule::Avoid(to.clone()),
        RolloutState::RolledBack => VersionRule::Except(to.clone()),
        RolloutState::Done => VersionRule::Prefer(to.clone()),
    }
}

/// Decides what a running rollout does; `passed` is the time since its order.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::{ClockTime, RolloutSpec};
/// use skylarkshed_policy::{decide_rollout, RolloutDecision, VersionCounts};
///
/// let order = RolloutSpec {
///     service: "stores".into(),
///     to: "v2".into(),
///     duration: ClockTime::from_millis(10_000),
///     revision: 3,
/// };
/// let none = VersionCounts::default();
/// let decide = |ms| decide_rollout(&order, &none, &none, ClockTime::from_millis(ms));
/// assert_eq!(decide(6_900), RolloutDecision::Wait);
/// assert_eq!(decide(7_000), RolloutDecision::Finish);
/// ```
pub fn decide_rollout(
    order: &RolloutSpec,
    old: &VersionCounts,
    new: &VersionCounts,
    passed: ClockTime,
) -> RolloutDecision {
    let verdict = compare_versions(old, new);
    if verdict != VersionVerdict::NoFault {
        return RolloutDecision::RollBack(verdict);
    }
    let watched_ms = order.duration.as_millis() * WATCHED_PERCENT / 100;
    match passed >= ClockTime::from_millis(watched_ms) {
        true => RolloutDecision::Finish,
        false => RolloutDecision::Wait,
    }
}
