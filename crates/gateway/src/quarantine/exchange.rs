//! Exchanges crash reports and blocks with other VMs.

use super::QuarantineManager;
use crate::gateway_state::GatewayState;
use faststr::FastStr;
use skylarkshed_core::{ClockTime, ServiceName, UpstreamName};
use skylarkshed_peer::wire::{CrashNotice, PartBlockWire, PartBlocks, PeerBody};
use skylarkshed_policy::{AttemptProgress, CrashReport, PartBlock};
use std::sync::Arc;

/// How long a VM may take to acknowledge a message.
const REPLY_TIMEOUT: ClockTime = ClockTime::from_millis(500);

/// Sends a report to all other VMs, without waiting for their replies.
pub(super) fn notify_of_crash(state: &Arc<GatewayState>, report: &CrashReport) {
    let notice = CrashNotice {
        service: report.service.to_string(),
        engine: report.engine.to_string(),
        parts: report.parts.iter().map(ToString::to_string).collect(),
        has_begun: report.progress != AttemptProgress::Waiting,
    };
    notify_vms(state, &PeerBody::ReportCrash(notice));
}

/// Sends all blocks to all other VMs, without waiting for their replies.
pub(super) fn notify_of_blocks(state: &Arc<GatewayState>) {
    let blocks = state.quarantine.to_wire();
    notify_vms(state, &PeerBody::ShareBlocks(PartBlocks { blocks }));
}

fn notify_vms(state: &Arc<GatewayState>, body: &PeerBody) {
    let own = &state.settings.name;
    for vm in state.roster.vms().iter().filter(|vm| vm.name != *own) {
        let (state, body, address) = (state.clone(), body.clone(), vm.address);
        tokio::spawn(async move {
            if let Err(error) = state.peers.request(address, body, REPLY_TIMEOUT).await {
                log::debug!(vm:% = address; "can't notify a VM of the quarantine: {error}");
            }
        });
    }
}

impl QuarantineManager {
    /// Handles another VM's report.
    pub(crate) fn receive_crash(
        &self,
        state: &Arc<GatewayState>,
        notice: &CrashNotice,
    ) -> PeerBody {
        let report = CrashReport {
            service: ServiceName::from(notice.service.as_str()),
            engine: UpstreamName::from(notice.engine.as_str()),
            parts: notice.parts.iter().map(FastStr::new).collect(),
            progress: match notice.has_begun {
                true => AttemptProgress::Begun,
                false => AttemptProgress::Waiting,
            },
        };
        self.record_crash(state, &report);
        PeerBody::Done(true)
    }

    /// Handles the blocks that another VM knows; `is_restored` tells whether it knows those
    /// of an earlier time.
    pub(crate) fn receive_blocks(&self, blocks: &[PartBlockWire], is_restored: bool) {
        let now = self.clock.now();
        let mut is_changed = false;
        {
            let mut quarantine = self.lock();
            for wire in blocks {
                let age = ClockTime::from_millis(wire.age_ms);
                is_changed |= quarantine.merge(from_wire(wire), age, wire.is_stored, now);
            }
        }
        if is_restored {
            self.mark_restored();
        }
        if is_changed {
            log::info!(blocks = blocks.len(); "blocks of prompt parts learned from another VM");
            self.note_change();
        }
    }

    /// Returns all blocks in the form of messages.
    pub(crate) fn to_wire(&self) -> Vec<PartBlockWire> {
        let blocks = self.lock().blocks(self.clock.now());
        let wire = blocks
            .into_iter()
            .map(|(block, age, is_stored)| PartBlockWire {
                service: block.service.to_string(),
                parts: block.parts.iter().map(ToString::to_string).collect(),
                round: block.round,
                is_lifted: block.is_lifted,
                failed_probes: block.failed_probes,
                age_ms: age.as_millis(),
                is_stored,
            });
        wire.collect()
    }

    /// Reports whether the blocks of an earlier time are known.
    pub(crate) fn knows_earlier_blocks(&self) -> bool {
        self.is_restored()
    }
}

fn from_wire(wire: &PartBlockWire) -> PartBlock {
    PartBlock {
        service: ServiceName::from(wire.service.as_str()),
        parts: wire.parts.iter().map(FastStr::new).collect(),
        round: wire.round,
        is_lifted: wire.is_lifted,
        failed_probes: wire.failed_probes,
    }
}
