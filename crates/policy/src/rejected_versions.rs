//! Remembers which versions of a service earlier rollouts have not completed.
//!
//! An order replaces the one before it, but the upstreams of the earlier version stay
//! listed as ready for seconds, and for longer if its rollout did not end. None of them is
//! the version that the service had before.

use crate::rollout_plan::{RolloutState, VersionRule};
use serde::{Deserialize, Serialize};
use skylarkshed_core::{ClockTime, VersionName};
use std::collections::BTreeMap;

/// The number of versions of a service that are remembered.
const MAX_REJECTED: usize = 16;

/// Why a version gets no requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectionReason {
    /// Its rollout was rolled back.
    RolledBack,
    /// The operators replaced or removed the order while the version was tested.
    Unfinished,
    /// It was found to be bad after its rollout was done.
    Withdrawn,
}

/// The end of the rollout of a rejected version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VersionRejection {
    /// The version.
    pub version: VersionName,
    /// The revision of its order.
    pub order: u64,
    /// Why it is rejected.
    pub reason: RejectionReason,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct RejectedEntry {
    rejection: VersionRejection,
    /// Until when the version is not used even if no other has upstreams: the end of its
    /// time limit, on this VM's clock.
    forbidden_until: ClockTime,
}

impl RejectedEntry {
    fn is_forbidden(&self, now: ClockTime) -> bool {
        self.rejection.reason == RejectionReason::RolledBack || now < self.forbidden_until
    }
}

/// The versions of a service that its earlier rollouts have not completed.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{RejectedVersions, RejectionReason, VersionRejection, VersionRule};
///
/// let mut rejected = RejectedVersions::default();
/// let rejection = VersionRejection {
///     version: "v2".into(),
///     order: 7,
///     reason: RejectionReason::RolledBack,
/// };
/// rejected.insert(rejection, ClockTime::ZERO);
/// let filter = rejected.restrict(VersionRule::Except("v3".into()), ClockTime::ZERO);
/// assert!(filter.allows(&"v1".into()));
/// assert!(!filter.allows(&"v2".into()));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RejectedVersions {
    entries: BTreeMap<VersionName, RejectedEntry>,
}

impl RejectedVersions {
    /// Rejects a version, unless a later order of it is known. Until `forbidden_until` it
    /// is not used even if no other version has upstreams.
    pub fn insert(&mut self, rejection: VersionRejection, forbidden_until: ClockTime) {
        if let Some(known) = self.entries.get(&rejection.version) {
            let is_less_telling = rejection.reason == RejectionReason::Unfinished;
            let is_same_order = known.rejection.order == rejection.order;
            if known.rejection.order > rejection.order || (is_same_order && is_less_telling) {
                return;
            }
        }
        let entry = RejectedEntry {
            rejection,
            forbidden_until,
        };
        self.entries.insert(entry.rejection.version.clone(), entry);
        if self.entries.len() > MAX_REJECTED {
            self.remove_oldest();
        }
    }

    /// Rejects the versions that another VM or the store knows, but for the one that is
    /// rolled out now.
    pub fn merge(&mut self, rejections: &[VersionRejection], current: &VersionName) {
        let others = rejections.iter();
        for rejection in others.filter(|rejection| rejection.version != *current) {
            self.insert(rejection.clone(), ClockTime::ZERO);
        }
    }

    /// Records the end of an earlier order, which this VM learned of later. Reports whether
    /// its version was rejected.
    pub fn record_end(&mut self, order: u64, state: RolloutState) -> bool {
        let mut entries = self.entries.values_mut();
        let Some(entry) = entries.find(|entry| entry.rejection.order == order) else {
            return false;
        };
        match state {
            RolloutState::Running => {}
            RolloutState::RolledBack => entry.rejection.reason = RejectionReason::RolledBack,
            RolloutState::Done => {
                let version = entry.rejection.version.clone();
                self.entries.remove(&version);
            }
        }
        true
    }

    /// Forgets a version, because it is rolled out again.
    pub fn remove(&mut self, version: &VersionName) {
        self.entries.remove(version);
    }

    /// Reports whether a version is rejected.
    pub fn contains(&self, version: &VersionName) -> bool {
        self.entries.contains_key(version)
    }

    /// Reports whether no version is rejected.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the rejected versions.
    pub fn rejections(&self) -> Vec<VersionRejection> {
        let entries = self.entries.values();
        entries.map(|entry| entry.rejection.clone()).collect()
    }

    /// Restricts the rule of the current rollout to versions that are not rejected.
    pub fn restrict(&self, rule: VersionRule, now: ClockTime) -> VersionFilter {
        let entries = self.entries.values();
        let (forbidden, avoided): (Vec<_>, Vec<_>) =
            entries.partition(|entry| entry.is_forbidden(now));
        let names = |entries: Vec<&RejectedEntry>| {
            let entries = entries.into_iter();
            entries
                .map(|entry| entry.rejection.version.clone())
                .collect()
        };
        VersionFilter {
            rule,
            forbidden: names(forbidden),
            avoided: names(avoided),
        }
    }

    fn remove_oldest(&mut self) {
        let entries = self.entries.values();
        let oldest = entries.min_by_key(|entry| entry.rejection.order);
        if let Some(version) = oldest.map(|entry| entry.rejection.version.clone()) {
            self.entries.remove(&version);
        }
    }
}

/// Which versions may receive a request: the rule of the current rollout without the
/// versions that earlier ones have not completed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionFilter {
    rule: VersionRule,
    forbidden: Vec<VersionName>,
    avoided: Vec<VersionName>,
}

impl From<VersionRule> for VersionFilter {
    fn from(rule: VersionRule) -> Self {
        VersionFilter {
            rule,
            ..VersionFilter::default()
        }
    }
}

impl VersionFilter {
    /// Reports whether a version may receive the request.
    pub fn allows(&self, version: &VersionName) -> bool {
        self.rule.allows(version) && !self.forbidden.contains(version)
    }

    /// Reports whether a version may receive the request and takes precedence over the
    /// others.
    pub fn prefers(&self, version: &VersionName) -> bool {
        self.allows(version) && self.rule.prefers(version) && !self.avoided.contains(version)
    }
}
