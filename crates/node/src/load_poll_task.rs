//! Watches the load of the upstreams in this VM's availability zone.

use crate::registry::UpstreamState;
use crate::shared::NodeShared;
use skylarkshed_core::{ClockTime, ServiceKind, UpstreamEntry, VmName};
use skylarkshed_policy::{is_top_ranked, LeavingNotice};
use skylarkshed_upstream::EngineClient;
use std::sync::Arc;

const WATCH_PERIOD: ClockTime = ClockTime::from_millis(500);
const LOAD_WAIT: ClockTime = ClockTime::from_millis(400);
/// So many VMs of a zone watch each of its upstreams.
const WATCHERS: usize = 2;

/// Asks the engines that this VM watches for their load, for ever.
pub(crate) async fn run_watch(shared: Arc<NodeShared>) {
    loop {
        for entry in watched(&shared) {
            tokio::spawn(watch_engine(shared.clone(), entry));
        }
        tokio::time::sleep(WATCH_PERIOD.to_duration()).await;
    }
}

/// Gives an upstream no new work and tells the other VMs.
pub(crate) fn note_leaving(
    shared: &Arc<NodeShared>,
    record: &Arc<UpstreamState>,
    now: ClockTime,
    source: &'static str,
) {
    if !record.note_leaving(now) {
        return;
    }
    let upstream = record.entry.name.clone();
    log::info!(upstream = upstream.as_str(), source = source; "an upstream leaves");
    let notice = LeavingNotice {
        upstream,
        address: record.entry.address,
    };
    shared
        .membership
        .lock()
        .expect("not poisoned")
        .announce_leaving(notice);
}

async fn watch_engine(shared: Arc<NodeShared>, entry: Arc<UpstreamEntry>) {
    let record = shared.registry.record(&entry);
    let load = shared.engine.load(entry.address);
    let Ok(Ok(report)) = tokio::time::timeout(LOAD_WAIT.to_duration(), load).await else {
        return;
    };
    record.set_reported_load(report.running + report.waiting);
    if report.leaving {
        note_leaving(&shared, &record, shared.clock.now(), "engine");
    }
}

/// Returns the engines that this VM is one of the watchers of.
fn watched(shared: &Arc<NodeShared>) -> Vec<Arc<UpstreamEntry>> {
    let zone = &shared.settings.zone;
    let neighbours: Vec<VmName> = {
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
        .filter(|entry| is_watcher(&shared.settings.name, &neighbours, entry))
        .cloned()
        .collect()
}

fn is_watcher(own: &VmName, neighbours: &[VmName], entry: &UpstreamEntry) -> bool {
    is_top_ranked(own, neighbours.iter(), &entry.name, WATCHERS)
}
