//! Decides how a rollout shifts a service's traffic to another version.
//!
//! The new version gets the requests of a [`CanaryAllowance`](crate::CanaryAllowance)
//! until shortly before the time limit. It is rolled back as soon as it is shown to be
//! worse. It is not finished sooner if it is shown to be as good: a fault may appear
//! late, and the old version's upstreams stop at the end. A VM stops sending to the new
//! version at once on its own evidence.

use crate::evidence::VersionVerdict;
use crate::rollout_allowance::ExposureLimits;
use crate::rollout_comparison::RolloutFindings;
use serde::{Deserialize, Serialize};
use skylarkshed_core::{ClockTime, RolloutSpec, VersionName};

/// The last part of a rollout's time, as a percentage, and its maximum: the time that
/// the store may take to accept the result.
const FINISH_PERCENT: u64 = 20;
const MAX_FINISH_TIME: ClockTime = ClockTime::from_millis(1_200);
/// The likelihood ratio from which a version is rolled back at the end if no fault was
/// proven. A bad version that is kept harms all requests, and a good one that is rolled
/// back can be rolled out again.
const END_LIKELIHOOD_RATIO: f64 = 4.0;

/// A version that got a smaller part of the usable requests, as a percentage, is rolled back
/// at the end: a fault that appears late would not have been seen.
const MIN_TESTED_PERCENT: u64 = 25;
/// With fewer requests of the service, all may have come before the version had upstreams.
const MIN_REQUESTS: u64 = 20;

/// The highest rank of the VMs that may end a rollout.
const LAST_RANK: u64 = 2;

/// The progress of a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
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

/// How a request may use the version that is rolled out while the rollout is running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CanaryUse {
    /// It was taken from the [`CanaryAllowance`](crate::CanaryAllowance).
    Taken,
    /// It was not taken, so it is refused if no other version can serve it.
    Forbidden,
    /// It was not taken, but this VM does not know whether the rollout is still running: it
    /// may be done, and the old version may have no upstream any more.
    IfNoOther,
}

/// Reports whether an attempt may be taken for the version under test; `has_other` tells
/// whether another version has upstreams. A request that has failed elsewhere is sent again
/// there: it may fail by itself, which tells nothing about the version.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::may_take_canary;
///
/// assert!(may_take_canary(true, || true));
/// assert!(!may_take_canary(false, || true));
/// assert!(may_take_canary(false, || false));
/// ```
pub fn may_take_canary(is_first: bool, has_other: impl FnOnce() -> bool) -> bool {
    is_first || !has_other()
}

/// What a VM knows of the versions of a service that is rolled out.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VersionKnowledge {
    /// Whether another version has had upstreams since the VM knows of the rollout.
    pub has_seen_other: bool,
    /// Whether the rollout may have ended before the VM learned of it.
    pub may_have_ended: bool,
    /// Whether a hub expects that another version has upstreams.
    pub is_expected_by_hub: bool,
}

impl VersionKnowledge {
    /// Reports whether requests belong to another version unless they were taken: the
    /// rollout is known to be running, and there was another version. Without one there is
    /// nothing to go back to.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_policy::VersionKnowledge;
    ///
    /// let mut knowledge = VersionKnowledge::default();
    /// assert!(!knowledge.is_other_expected());
    /// knowledge.has_seen_other = true;
    /// assert!(knowledge.is_other_expected());
    /// knowledge.may_have_ended = true;
    /// assert!(!knowledge.is_other_expected());
    /// ```
    pub fn is_other_expected(&self) -> bool {
        (self.has_seen_other && !self.may_have_ended) || self.is_expected_by_hub
    }
}

/// Returns how a request that was not taken may use the version under test; `elapsed` is the
/// time since the rollout began, of its whole `duration`.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{select_untaken_use, CanaryUse};
///
/// let duration = ClockTime::from_millis(15_000);
/// let select = |elapsed| select_untaken_use(true, ClockTime::from_millis(elapsed), duration);
/// assert_eq!(select(14_999), CanaryUse::Forbidden);
/// assert_eq!(select(15_000), CanaryUse::IfNoOther);
/// ```
pub fn select_untaken_use(
    is_other_expected: bool,
    elapsed: ClockTime,
    duration: ClockTime,
) -> CanaryUse {
    match is_other_expected && elapsed < duration {
        true => CanaryUse::Forbidden,
        false => CanaryUse::IfNoOther,
    }
}

/// Selects the versions that may receive a request.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{select_version_rule, CanaryUse, RolloutState, VersionRule};
///
/// let select = |state| select_version_rule(&"v2".into(), state, CanaryUse::Forbidden);
/// assert_eq!(select(RolloutState::Running), VersionRule::Except("v2".into()));
/// assert_eq!(select(RolloutState::Done), VersionRule::Prefer("v2".into()));
/// ```
pub fn select_version_rule(
    to: &VersionName,
    state: RolloutState,
    canary_use: CanaryUse,
) -> VersionRule {
    match state {
        RolloutState::Running => match canary_use {
            CanaryUse::Taken => VersionRule::Prefer(to.clone()),
            CanaryUse::Forbidden => VersionRule::Except(to.clone()),
            CanaryUse::IfNoOther => VersionRule::Avoid(to.clone()),
        },
        RolloutState::RolledBack => VersionRule::Except(to.clone()),
        RolloutState::Done => VersionRule::Prefer(to.clone()),
    }
}

/// Returns when a rollout that has not been rolled back is finished, as the time since
/// it began; `duration` is its whole time.
pub fn finish_time(duration: ClockTime) -> ClockTime {
    let last = ClockTime::from_millis(duration.as_millis() * FINISH_PERCENT / 100);
    duration.since(last.min(MAX_FINISH_TIME))
}

/// Returns how much later than the first hub a VM ends a rollout without a proof; `rank` is
/// 0 for the first hub, and larger for the VMs that act if they do not hear from it. Two
/// that act at the same time may decide differently.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::{ClockTime, RolloutSpec};
/// use skylarkshed_policy::end_delay;
///
/// let spec = RolloutSpec {
///     service: "stores".into(),
///     to: "v2".into(),
///     duration: ClockTime::from_millis(10_000),
///     revision: 3,
/// };
/// assert_eq!(end_delay(&spec, 0), ClockTime::ZERO);
/// assert_eq!(end_delay(&spec, 1), ClockTime::from_millis(400));
/// ```
pub fn end_delay(spec: &RolloutSpec, rank: u64) -> ClockTime {
    let left = spec.duration.since(finish_time(spec.duration));
    ClockTime::from_millis(left.as_millis() * rank.min(LAST_RANK) / (LAST_RANK + 1))
}

/// Decides the next step of a running rollout; `elapsed` is the time since it began, `limits`
/// are those of the requests to the new version.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::{ClockTime, RolloutSpec};
/// use skylarkshed_policy::{
///     compare_rollout, decide_rollout, ExposureLimits, RolloutDecision, RolloutSamples,
/// };
///
/// let limits = ExposureLimits { percent: 10, reserve: 50 };
/// let spec = RolloutSpec {
///     service: "stores".into(),
///     to: "v2".into(),
///     duration: ClockTime::from_millis(10_000),
///     revision: 3,
/// };
/// let findings = compare_rollout(&RolloutSamples::default());
/// let decide = |ms| decide_rollout(&spec, limits, &findings, ClockTime::from_millis(ms));
/// assert_eq!(decide(8_700), RolloutDecision::Wait);
/// assert_eq!(decide(8_800), RolloutDecision::Finish);
/// ```
pub fn decide_rollout(
    spec: &RolloutSpec,
    limits: ExposureLimits,
    findings: &RolloutFindings,
    elapsed: ClockTime,
) -> RolloutDecision {
    if findings.verdict != VersionVerdict::NoFault {
        return RolloutDecision::RollBack(findings.verdict.clone());
    }
    if elapsed < finish_time(spec.duration) {
        return RolloutDecision::Wait;
    }
    if findings.is_untested || has_lost_samples(findings) || is_hardly_tested(limits, findings) {
        return RolloutDecision::RollBack(VersionVerdict::Untested);
    }
    match findings.strength >= END_LIKELIHOOD_RATIO.ln() || findings.has_only_failed {
        true => RolloutDecision::RollBack(findings.suspicion.clone()),
        false => RolloutDecision::Finish,
    }
}

/// Reports whether the samples of the beginning are lost: with as many requests since then,
/// some would have come before.
fn has_lost_samples(findings: &RolloutFindings) -> bool {
    findings.lacks_beginning && findings.old_total + findings.new_total >= MIN_REQUESTS
}

fn is_hardly_tested(limits: ExposureLimits, findings: &RolloutFindings) -> bool {
    let requests = findings.old_total + findings.new_total;
    let usable = limits.usable(requests);
    requests >= MIN_REQUESTS && findings.new_total * 100 < usable * MIN_TESTED_PERCENT
}
