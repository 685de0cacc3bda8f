//! Decides how a rollout shifts a service's traffic to another version.
//!
//! A bad version may fail only late, so the new version gets a small canary share
//! until most of the time has elapsed. By then it has received fewer requests than
//! a bad version may get. A rollback needs no coordination: each VM stops sending
//! to the new version at once on its own evidence.

use crate::evidence::{compare_versions, VersionCounts, VersionVerdict};
use skylarkshed_core::{ClockTime, RolloutSpec, VersionName};

const WHOLE_PPM: u64 = 1_000_000;
/// The new version's share in the canary phase. It is below the tenth of all
/// requests that a bad version may get.
const CANARY_SHARE_PPM: u64 = 80_000;
/// The length of the canary phase, as a percentage of the rollout's time. The
/// rest is kept for a store that is slow to accept the result.
const CANARY_TIME_PERCENT: u64 = 70;

/// The progress of a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutState {
    /// The new version is in its canary phase.
    Running,
    /// The new version has all traffic.
    Done,
    /// The rollout was rolled back: the old version has all traffic again.
    RolledBack,
}

/// Restricts the versions that may receive a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum VersionRule {
    /// Any version.
    #[default]
    Any,
    /// This version, or any other if it has no upstream.
    Prefer(VersionName),
    /// Any other version, or this one if no other has an upstream.
    Avoid(VersionName),
    /// Any version but this one.
    Except(VersionName),
}

impl VersionRule {
    /// Reports whether a version may receive the request.
    pub fn allows(&self, version: &VersionName) -> bool {
        match self {
            VersionRule::Except(other) => version != other,
            VersionRule::Any | VersionRule::Prefer(_) | VersionRule::Avoid(_) => true,
        }
    }

    /// Reports whether a version takes precedence over the others.
    pub fn prefers(&self, version: &VersionName) -> bool {
        match self {
            VersionRule::Prefer(wanted) => version == wanted,
            VersionRule::Avoid(other) => version != other,
            VersionRule::Any | VersionRule::Except(_) => true,
        }
    }
}

/// The next step of a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutDecision {
    /// Do nothing.
    Wait,
    /// Give all traffic to the new version.
    Finish,
    /// Give all traffic back to the old version.
    RollBack(VersionVerdict),
}

/// Selects the versions that may receive a request.
///
/// `random` is a random value or hash that is evenly distributed over requests.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{select_version_rule, RolloutState, VersionRule};
///
/// let rule = select_version_rule(&"v2".into(), RolloutState::RolledBack, 7);
/// assert_eq!(rule, VersionRule::Except("v2".into()));
/// ```
pub fn select_version_rule(to: &VersionName, state: RolloutState, random: u64) -> VersionRule {
    match state {
        RolloutState::Running if random % WHOLE_PPM < CANARY_SHARE_PPM => {
            VersionRule::Prefer(to.clone())
        }
        // The new version is not excluded: a restarted VM does not know yet whether the
        // rollout is done and the old version no longer has an upstream.
        RolloutState::Running => VersionRule::Avoid(to.clone()),
        RolloutState::RolledBack => VersionRule::Except(to.clone()),
        RolloutState::Done => VersionRule::Prefer(to.clone()),
    }
}

/// Decides the next step of a running rollout; `elapsed` is the time since it began.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::{ClockTime, RolloutSpec};
/// use skylarkshed_policy::{decide_rollout, RolloutDecision, VersionCounts};
///
/// let spec = RolloutSpec {
///     service: "stores".into(),
///     to: "v2".into(),
///     duration: ClockTime::from_millis(10_000),
///     revision: 3,
/// };
/// let none = VersionCounts::default();
/// let decide = |ms| decide_rollout(&spec, &none, &none, ClockTime::from_millis(ms));
/// assert_eq!(decide(6_900), RolloutDecision::Wait);
/// assert_eq!(decide(7_000), RolloutDecision::Finish);
/// ```
pub fn decide_rollout(
    spec: &RolloutSpec,
    old: &VersionCounts,
    new: &VersionCounts,
    elapsed: ClockTime,
) -> RolloutDecision {
    let verdict = compare_versions(old, new);
    if verdict != VersionVerdict::NoFault {
        return RolloutDecision::RollBack(verdict);
    }
    let canary_ms = spec.duration.as_millis() * CANARY_TIME_PERCENT / 100;
    match elapsed >= ClockTime::from_millis(canary_ms) {
        true => RolloutDecision::Finish,
        false => RolloutDecision::Wait,
    }
}
