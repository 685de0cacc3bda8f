//! Notifies the other VMs of the end of a rollout.
//!
//! The platform stops the upstreams of the old version once `done` is stored. A VM that
//! learned of it only with its next report would have no upstream to use until then.

use super::record::RolloutRecord;
use crate::gateway_state::GatewayState;
use skylarkshed_core::ClockTime;
use skylarkshed_peer::wire::{PeerBody, RolloutEnd};
use skylarkshed_policy::RolloutState;
use std::net::SocketAddr;
use std::sync::Arc;

/// Sends the end that this VM knows to all other VMs, without waiting for their replies.
pub(super) fn notify_vms(state: &Arc<GatewayState>, record: &RolloutRecord) {
    let (known, is_stored) = {
        let progress = record.progress();
        (progress.state, progress.is_stored)
    };
    let end = RolloutEnd {
        service: record.spec.service.to_string(),
        revision: record.spec.revision,
        is_rolled_back: known == RolloutState::RolledBack,
        is_stored,
    };
    let own = &state.settings.name;
    for vm in state.roster.vms().iter().filter(|vm| vm.name != *own) {
        let timeout = record.times.reply_timeout;
        tokio::spawn(notify_vm(state.clone(), vm.address, end.clone(), timeout));
    }
}

async fn notify_vm(state: Arc<GatewayState>, vm: SocketAddr, end: RolloutEnd, timeout: ClockTime) {
    let body = PeerBody::EndRollout(end);
    if let Err(error) = state.peers.request(vm, body, timeout).await {
        log::debug!(vm:%; "can't notify a VM of the end of a rollout: {error}");
    }
}

/// Records the end of the order, or of an earlier one, that another VM knows.
pub(super) fn receive_end(record: &RolloutRecord, end: &RolloutEnd) -> PeerBody {
    let state = match end.is_rolled_back {
        true => RolloutState::RolledBack,
        false => RolloutState::Done,
    };
    if record.spec.revision != end.revision {
        let rejected = &mut record.progress().rejected;
        return PeerBody::Done(rejected.record_end(end.revision, state));
    }
    match end.is_stored {
        true => record.record_stored_end(state),
        false => record.record_state(state),
    }
    PeerBody::Done(true)
}
