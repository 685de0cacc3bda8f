//! The evidence that this VM has gathered for the moves under way.

use serde::{Deserialize, Serialize};
use skylarkshed_core::{
    CatalogState, ClockTime, CustomerName, MoveState, RevisionNumber, ServiceName, VersionName,
};
use skylarkshed_policy::VersionCounts;
use std::collections::HashMap;
use std::sync::Mutex;

/// Names a move: its service and the revision that started it.
pub(crate) type MoveKey = (ServiceName, RevisionNumber);

/// Counts of the old and the new version over the same time.
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
    /// Takes a request's end; `time` is none for a failed one.
    ///
    /// Outside a move this does nothing.
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

    /// Returns the evidence of a move in the form that is sent between VMs.
    pub(crate) fn to_text(&self, key: &MoveKey) -> String {
        serde_json::to_string(&self.get(key)).expect("evidence is plain data")
    }

    /// Forgets all moves but these.
    pub(crate) fn keep(&self, keys: &[MoveKey]) {
        self.moves
            .lock()
            .expect("not poisoned")
            .retain(|key, _| keys.contains(key));
    }
}
