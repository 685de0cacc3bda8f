//! The list of VMs, read from the store.

use crate::gateway_state::GatewayState;
use crate::jitter::add_jitter;
use crate::platform_api::RoutingStore;
use arc_swap::ArcSwap;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::VmEntry;
use std::sync::Arc;

/// How often the list of VMs is read. A VM that is not listed yet gets no feed
/// requests; one that has stopped is detected when a request to it fails.
const READ_INTERVAL: ClockTime = ClockTime::from_millis(30_000);
/// A list that has changed is read again soon, as VMs that start together announce
/// themselves within a second.
const CHANGED_READ_INTERVAL: ClockTime = ClockTime::from_millis(1_000);
/// How often a VM renews its entry.
const ANNOUNCE_INTERVAL: ClockTime = ClockTime::from_millis(60_000);
/// An older entry belongs to a VM that was replaced. The time covers three
/// announcements and a clock that jumped by a minute.
const ENTRY_TTL: ClockTime = ClockTime::from_millis(240_000);

/// The VMs that announced themselves.
#[derive(Default)]
pub(crate) struct VmRoster {
    vms: ArcSwap<Vec<VmEntry>>,
}

impl VmRoster {
    pub(crate) fn vms(&self) -> Arc<Vec<VmEntry>> {
        self.vms.load_full()
    }

    /// Returns the number of VMs, including this one, or none if it is not known yet.
    pub(crate) fn count(&self) -> Option<usize> {
        let count = self.vms.load().len();
        (count > 0).then_some(count)
    }
}

/// Announces this VM and reads the list of VMs periodically.
pub(crate) async fn maintain_roster<S: RoutingStore>(state: Arc<GatewayState>, store: S) {
    let mut announced: Option<ClockTime> = None;
    loop {
        let now = state.clock.now();
        let is_due = announced.is_none_or(|at| now.since(at) >= ANNOUNCE_INTERVAL);
        if is_due && state.leaving_for().is_none() {
            match store.announce(&own_entry(&state)).await {
                Ok(()) => announced = Some(now),
                Err(error) => log::info!(reason = error.label(); "can't announce this VM: {error}"),
            }
        }
        let is_settled = match store.read_vms().await {
            Ok(vms) => !update_roster(&state, vms),
            Err(error) => {
                log::info!(reason = error.label(); "can't read the list of VMs: {error}");
                state.roster.count().is_some()
            }
        };
        let period = match is_settled {
            true => READ_INTERVAL,
            false => CHANGED_READ_INTERVAL,
        };
        tokio::time::sleep(add_jitter(period).to_duration()).await;
    }
}

fn own_entry(state: &GatewayState) -> VmEntry {
    VmEntry {
        name: state.settings.name.clone(),
        zone: state.settings.zone.clone(),
        address: state.settings.listen.peers,
        announced_at: ClockTime::wall_clock_now(),
    }
}

/// Applies a list; reports whether its addresses have changed.
fn update_roster(state: &GatewayState, vms: Vec<VmEntry>) -> bool {
    let now = ClockTime::wall_clock_now();
    let is_live = |vm: &VmEntry| now.since(vm.announced_at) < ENTRY_TTL;
    let live: Vec<VmEntry> = vms.into_iter().filter(is_live).collect();
    let before = state.roster.vms();
    let is_changed = !before
        .iter()
        .map(|vm| vm.address)
        .eq(live.iter().map(|vm| vm.address));
    if is_changed {
        log::info!(vms = live.len(); "list of VMs changed");
    }
    if *before != live {
        state.roster.vms.store(Arc::new(live));
        state.divide_budgets();
    }
    is_changed
}
