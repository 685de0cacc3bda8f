//! What a hub tells the other VMs of a rollout.

use serde::{Deserialize, Serialize};
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{RolloutSamples, RolloutState, VersionRejection};
use std::collections::BTreeMap;

/// What a hub knows of a rollout.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct RolloutWord {
    pub(super) state: RolloutState,
    pub(super) is_stored: bool,
    /// Whether the version was withdrawn for all VMs after the rollout was done.
    #[serde(default)]
    pub(super) is_withdrawn: bool,
    /// Whether the hub hears from most VMs.
    pub(super) has_quorum: bool,
    /// Whether the hub knows that the rollout is running and that there was another version.
    #[serde(default)]
    pub(super) is_other_expected: bool,
    /// The time since the rollout began.
    pub(super) elapsed_ms: u64,
    /// Requests sent to the new version, by route.
    pub(super) sent: BTreeMap<String, u64>,
    /// Requests sent to any version, by route.
    #[serde(default)]
    pub(super) requests: BTreeMap<String, u64>,
    /// When a first event is overdue, by route; the empty name is for other routes.
    pub(super) overdue_ms: BTreeMap<String, u64>,
    /// From which interval on events are slow, by route.
    pub(super) slow_pace_ms: BTreeMap<String, u64>,
    /// The versions that earlier rollouts of the service have not completed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) rejected: Vec<VersionRejection>,
    /// The last report of an earlier process of the VM that the message is sent to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) earlier: Option<EarlierReport>,
}

/// The last report of a VM's process that has ended.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct EarlierReport {
    pub(super) samples: RolloutSamples,
    /// Whether the process had a part of the reserve.
    pub(super) has_reserve: bool,
}

impl Default for RolloutWord {
    fn default() -> Self {
        RolloutWord {
            state: RolloutState::Running,
            is_stored: false,
            is_withdrawn: false,
            has_quorum: false,
            is_other_expected: false,
            elapsed_ms: 0,
            sent: BTreeMap::new(),
            requests: BTreeMap::new(),
            overdue_ms: BTreeMap::new(),
            slow_pace_ms: BTreeMap::new(),
            rejected: Vec::new(),
            earlier: None,
        }
    }
}

impl RolloutWord {
    /// Returns when a route's first event is overdue, if it is known.
    pub(super) fn overdue(&self, route: &str) -> Option<ClockTime> {
        let millis = self.overdue_ms.get(route).or(self.overdue_ms.get(""))?;
        Some(ClockTime::from_millis(*millis))
    }

    /// Reports whether an interval between events is slow.
    pub(super) fn is_slow_pace(&self, route: &str, interval: ClockTime) -> bool {
        let millis = self.slow_pace_ms.get(route);
        millis.is_some_and(|millis| interval >= ClockTime::from_millis(*millis))
    }
}
