//! Polls the load of the engines in this VM's availability zone.

use crate::state::{NodeShared, UpstreamState};
use skylarkshed_core::{ClockTime, ServiceKind, UpstreamEntry, VmName};
use skylarkshed_policy::{is_top_ranked, LeavingNotice};
use skylarkshed_upstream::EngineClient;
use std::sync::Arc;

const POLL_INTERVAL: ClockTime = ClockTime::from_millis(500);
const LOAD_TIMEOUT: ClockTime = ClockTime::from_millis(400);
/// The number of VMs of a zone that poll each of its engines.
const POLLERS_PER_ENGINE: usize = 2;

/// Polls the load of the engines that are assigned to this VM, until the process exits.
pub(crate) async fn run_load_polling(shared: Arc<NodeShared>) {
    loop {
        for entry in polled_engines(&shared) {
            tokio::spawn(poll_engine(shared.clone(), entry));
        }
        tokio::time::sleep(POLL_INTERVAL.to_duration()).await;
    }
}

/// Marks an upstream as leaving, so that it gets no new requests, and informs the other VMs.
pub(crate) fn handle_leaving(
    shared: &Arc<NodeShared>,
    state: &Arc<UpstreamState>,
    now: ClockTime,
    source: &'static str,
) {
    if !state.mark_leaving(now) {
        return;
    }
    let upstream = state.entry.name.clone();
    log::info!(upstream = upstream.as_str(), source = source; "an upstream is leaving");
    let notice = LeavingNotice {
        upstream,
        address: state.entry.address,
    };
    shared
        .membership
        .lock()
        .expect("not poisoned")
        .announce_leaving(notice);
}

async fn poll_engine(shared: Arc<NodeShared>, entry: Arc<UpstreamEntry>) {
    let state = shared.registry.state(&entry);
    let load = shared.engine.load(entry.address);
    let Ok(Ok(report)) = tokio::time::timeout(LOAD_TIMEOUT.to_duration(), load).await else {
        return;
    };
    state.set_reported_load(report.running + report.waiting);
    if report.leaving {
        handle_leaving(&shared, &state, shared.clock.now(), "engine");
    }
}

/// Returns the engines that this VM polls.
fn polled_engines(shared: &Arc<NodeShared>) -> Vec<Arc<UpstreamEntry>> {
    let zone = &shared.settings.zone;
    let zone_vms: Vec<VmName> = {
        let membership = shared.membership.lock().expect("not poisoned");
        let present = membership
            .present()
            .filter(|(record, _)| record.zone == *zone);
        present.map(|(record, _)| record.name.clone()).collect()
    };
    let catalog = shared.configuration.current();
    let models = catalog
        .services
        .values()
        .filter(|s| s.entry.kind == ServiceKind::Model);
    let versions = models.flat_map(|service| service.versions.values());
    let upstreams = versions.flat_map(|version| version.upstreams.iter());
    let local = upstreams.filter(|entry| entry.zone == *zone);
    local
        .filter(|entry| is_load_poller(&shared.settings.name, &zone_vms, entry))
        .cloned()
        .collect()
}

fn is_load_poller(own: &VmName, zone_vms: &[VmName], entry: &UpstreamEntry) -> bool {
    is_top_ranked(own, zone_vms.iter(), &entry.name, POLLERS_PER_ENGINE)
}
