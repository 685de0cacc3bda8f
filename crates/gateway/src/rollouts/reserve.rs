//! Adds this VM's part of the reserve to what it may send to a version under test.

use super::record::RolloutRecord;
use crate::gateway_state::GatewayState;
use skylarkshed_core::{ClockTime, VmName};
use skylarkshed_policy::hash_rank;

/// How long the list of VMs must be unchanged before the reserve is divided among them.
/// VMs that start together announce themselves within a second, and the others read it
/// up to a second later.
const STABLE_TIME: ClockTime = ClockTime::from_millis(2_000);

/// Reports whether this VM has a part of the reserve of an order that it learns of now.
pub(super) fn has_reserve(state: &GatewayState, is_initial: bool) -> bool {
    let vms = state.roster.vms();
    let names: Vec<VmName> = vms.iter().map(|vm| vm.name.clone()).collect();
    state.roster.is_read()
        && skylarkshed_policy::has_reserve(&state.settings.name, &names, is_initial)
}

/// Adds this VM's part of the reserve, as soon as it knows among how many VMs the reserve
/// is divided.
pub(super) fn add_reserve(state: &GatewayState, record: &RolloutRecord) {
    let vms = state.roster.vms();
    let own = &state.settings.name;
    let is_listed = vms.iter().any(|vm| vm.name == *own);
    let stable_for = state.roster.stable_for(state.clock.now());
    let mut progress = record.progress();
    if !progress.needs_reserve || !is_listed || stable_for < STABLE_TIME {
        return;
    }
    let spec = &record.spec;
    let rank = |name| hash_rank((name, &spec.service, spec.revision));
    let own_rank = rank(own);
    let index = vms.iter().filter(|vm| rank(&vm.name) > own_rank).count();
    let limits = state.settings.exposure;
    progress.allowance.add_reserve(limits, vms.len(), index);
    progress.needs_reserve = false;
    drop(progress);
    log::info!(
        service:% = spec.service,
        to:% = spec.to,
        order = spec.revision,
        vms = vms.len(),
        index;
        "reserve of a rollout divided"
    );
}
