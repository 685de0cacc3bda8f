//! Evidence on running moves: this VM's request counts and times of both versions.

use serde::{Deserialize, Serialize};
use skylarkshed_core::{
    CatalogState, ClockTime, CustomerName, MoveState, RevisionNumber, ServiceName, VersionName,
};
use skylarkshed_policy::VersionCounts;
use std::collections::HashMap;
use std::sync::Mutex;

/// Identifies a move: its service and the revision that started it.
pub(crate) type MoveKey = (ServiceName, RevisionNumber);

/// Counts of the old and the new version over the same period.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct MoveEvidence {
    pub(crate) old: VersionCounts,
    pub(crate) new: VersionCounts,
}

impl MoveEvidence {
    /// Adds the evidence of another VM.
    pub(crate) fn merge(&mut self, other: &MoveEvidence) {
        self.old.merge(&other.old);
        self.new.merge(&other.new);
    }
}

/// The evidence of this VM, by move.
#[derive(Default)]
pub(crate) struct EvidenceRegistry {
    moves: Mutex<HashMap<MoveKey, MoveEvidence>>,
}

impl EvidenceRegistry {
    /// Records a finished request; `time` is `None` if it failed.
    ///
    /// Does nothing if the service has no running move.
    pub(crate) fn record(
        &self,
        catalog: &CatalogState,
        service: &ServiceName,
        version: &VersionName,
        route: &str,
        customer: &CustomerName,
        time: Option<ClockTime>,
    ) {
        let state = catalog.services.get(service);
        let entry = state.and_then(|state| state.latest_move.as_ref());
        let Some(entry) = entry.filter(|entry| entry.state == MoveState::Running) else {
            return;
        };
        let mut moves = self.moves.lock().expect("not poisoned");
        let evidence = moves.entry((service.clone(), entry.revision)).or_default();
        if *version == entry.to {
            evidence.new.record(route, customer, time);
        } else if *version == entry.from {
            evidence.old.record(route, customer, time);
        }
    }

    /// Returns the evidence of a move.
    pub(crate) fn get(&self, key: &MoveKey) -> MoveEvidence {
        let moves = self.moves.lock().expect("not poisoned");
        moves.get(key).cloned().unwrap_or_default()
    }

    /// Returns the evidence of a move as JSON, as it is sent between VMs.
    pub(crate) fn to_json(&self, key: &MoveKey) -> String {
        serde_json::to_string(&self.get(key)).expect("evidence is plain data")
    }

    /// Removes the evidence of all moves but these.
    pub(crate) fn retain(&self, keys: &[MoveKey]) {
        self.moves
            .lock()
            .expect("not poisoned")
            .retain(|key, _| keys.contains(key));
    }
}
