//! The parts of prompts that end engines, as this VM knows them. A call to an application
//! counts as a part of its own.
//!
//! VMs tell each other of each end of an engine under a response that had just begun, and
//! of each block that follows. Blocks also go with the reads of the store's tables, so that
//! a VM that was cut off or restarted learns of them; `storage` keeps them in the store for
//! the case that all VMs are restarted.

mod exchange;
mod storage;

use crate::counters;
use crate::gateway_state::GatewayState;
use faststr::FastStr;
use skylarkshed_core::{ClockTime, MonotonicClock, ServiceName, VmName};
use skylarkshed_policy::{
    index_in_ranking, CrashReport, PartBlock, PartQuarantine, PartVerdict, VmEntry,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
pub(crate) use storage::keep_blocks;
use tokio::sync::{watch, Notify};

/// The blocked parts that this VM knows.
pub(crate) struct QuarantineManager {
    clock: MonotonicClock,
    quarantine: Mutex<PartQuarantine>,
    /// Changes with each change of the blocks.
    changed: watch::Sender<()>,
    /// Whether the blocks of an earlier time are known, from another VM or from the store.
    is_restored: AtomicBool,
    /// Notified when the blocks are to be read from the store without a wait.
    restoring: Notify,
}

/// Whether a request may be sent to an engine.
pub(crate) enum Admission {
    Allowed,
    /// It may, to find out whether a blocked part still ends engines.
    Probe(ProbeTicket),
    Blocked {
        retry_after: ClockTime,
    },
}

/// The permission to probe a block; its drop permits another probe.
pub(crate) struct ProbeTicket {
    state: Arc<GatewayState>,
    block: PartBlock,
    has_crashed: bool,
}

impl ProbeTicket {
    /// Records that the probe has ended an engine.
    pub(crate) fn fail(mut self) {
        self.has_crashed = true;
    }
}

impl Drop for ProbeTicket {
    fn drop(&mut self) {
        let manager = &self.state.quarantine;
        let now = manager.clock.now();
        let failed = manager.lock().end_probe(&self.block, self.has_crashed, now);
        if let Some(block) = failed {
            manager.publish(&self.state, &[block], "probe failed");
        }
    }
}

impl QuarantineManager {
    pub(crate) fn new(clock: MonotonicClock) -> Self {
        QuarantineManager {
            clock,
            quarantine: Mutex::default(),
            changed: watch::channel(()).0,
            is_restored: AtomicBool::new(false),
            restoring: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PartQuarantine> {
        // The quarantine is consistent between calls, so a poisoned lock is usable.
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a request with these parts may be sent.
    pub(crate) fn admit(
        &self,
        state: &Arc<GatewayState>,
        service: &ServiceName,
        parts: &[FastStr],
    ) -> Admission {
        let now = self.clock.now();
        let vms = state.roster.vms();
        let turn = |block: &PartBlock| Some(probe_turn(&state.settings.name, &vms, block));
        let mut quarantine = self.lock();
        match quarantine.check(service, parts, now, turn) {
            PartVerdict::Allowed => Admission::Allowed,
            PartVerdict::Blocked { retry_after } => Admission::Blocked { retry_after },
            PartVerdict::Probe(block) => {
                quarantine.start_probe(&block);
                log::info!(service:%, parts = block.parts.join(","); "blocked parts are probed");
                counters::count_quarantine("probed");
                Admission::Probe(ProbeTicket {
                    state: state.clone(),
                    block,
                    has_crashed: false,
                })
            }
        }
    }

    /// Waits until a request with these parts is blocked.
    pub(crate) async fn blocked(&self, service: &ServiceName, parts: &[FastStr]) {
        let mut changed = self.changed.subscribe();
        loop {
            let now = self.clock.now();
            let verdict = self.lock().check(service, parts, now, |_| None);
            if verdict != PartVerdict::Allowed {
                return;
            }
            if changed.changed().await.is_err() {
                // `self` owns the sender.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Reports whether an engine's end says nothing about these parts.
    pub(crate) fn is_sound(&self, service: &ServiceName, parts: &[FastStr]) -> bool {
        self.lock().is_sound(service, parts, self.clock.now())
    }

    /// Records that a response on these parts has gone on for a while.
    pub(crate) fn record_sound(
        &self,
        state: &Arc<GatewayState>,
        service: &ServiceName,
        parts: &[FastStr],
    ) {
        if parts.is_empty() {
            return;
        }
        let lifted = self.lock().record_sound(service, parts, self.clock.now());
        self.publish(state, &lifted, "lifted");
    }

    /// Records an end that this VM has seen, and tells the other VMs.
    pub(crate) fn report_crash(&self, state: &Arc<GatewayState>, report: &CrashReport) {
        log::info!(
            service:% = report.service,
            upstream:% = report.engine,
            parts = report.parts.join(","),
            progress = report.progress.label();
            "engine ended under parts that are not known to be sound"
        );
        counters::count_quarantine("end");
        exchange::notify_of_crash(state, report);
        self.record_crash(state, report);
    }

    fn record_crash(&self, state: &Arc<GatewayState>, report: &CrashReport) {
        let blocked = self.lock().record_crash(report, self.clock.now());
        self.publish(state, &blocked, "blocked");
    }

    /// Tells waiting requests and the other VMs of blocks that this VM has changed.
    fn publish(&self, state: &Arc<GatewayState>, blocks: &[PartBlock], change: &'static str) {
        if blocks.is_empty() {
            return;
        }
        for block in blocks {
            log::warn!(
                service:% = block.service,
                parts = block.parts.join(","),
                change,
                round = block.round,
                failed_probes = block.failed_probes;
                "quarantine of prompt parts changed"
            );
            counters::count_quarantine(change);
        }
        self.note_change();
        exchange::notify_of_blocks(state);
    }

    fn note_change(&self) {
        counters::set_blocked_parts(self.lock().count());
        self.changed.send_replace(());
    }

    /// Records that the store has returned from an older copy, without later blocks.
    pub(crate) fn mark_store_restored(&self) {
        self.lock().mark_all_unstored();
        self.changed.send_replace(());
    }

    /// Reads the blocks of an earlier time from the store, unless they are known: no other
    /// VM had the tables of a VM that starts.
    pub(crate) fn restore_from_store(&self) {
        self.restoring.notify_one();
    }

    fn mark_restored(&self) {
        self.is_restored.store(true, Ordering::Relaxed);
    }

    fn is_restored(&self) -> bool {
        self.is_restored.load(Ordering::Relaxed)
    }
}

/// Returns how many VMs probe a block before this one, and store it first.
fn probe_turn(own: &VmName, vms: &[VmEntry], block: &PartBlock) -> usize {
    let others = vms.iter().map(|vm| &vm.name).filter(|name| *name != own);
    index_in_ranking(own, others, &(&block.service, &block.parts))
}
