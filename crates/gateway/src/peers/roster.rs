//! Which VMs there are.

use crate::gateway_state::GatewayState;
use crate::pacing::spread;
use crate::platform_api::RoutingStore;
use arc_swap::ArcSwap;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::VmEntry;
use std::sync::Arc;

/// How often the list of VMs is read: a VM that is not on it yet is not asked,
/// and one that is gone is found out when it is asked.
const READ_PERIOD: ClockTime = ClockTime::from_millis(30_000);
/// A list that has changed is read again soon: VMs that start together announce
/// themselves within a second.
const CHANGING_PERIOD: ClockTime = ClockTime::from_millis(1_000);
/// How often a VM says that it is there.
const ANNOUNCE_PERIOD: ClockTime = ClockTime::from_millis(60_000);
/// An entry so old is of a VM that was replaced: three announcements and a
/// clock that jumped by a minute.
const EXPIRY: ClockTime = ClockTime::from_millis(240_000);

/// The VMs that said they are there.
#[derive(Default)]
pub(crate) struct VmRoster {
    vms: ArcSwap<Vec<VmEntry>>,
}

impl VmRoster {
    pub(crate) fn vms(&self) -> Arc<Vec<VmEntry>> {
        self.vms.load_full()
    }

    /// Returns how many VMs there are, this one included; none if not known yet.
    pub(crate) fn count(&self) -> Option<usize> {
        let count = self.vms.load().len();
        (count > 0).then_some(count)
    }
}

/// Announces this VM and reads the list of the others, for ever.
pub(crate) async fn keep_roster<S: RoutingStore>(state: Arc<GatewayState>, store: S) {
    let mut announced: Option<ClockTime> = None;
    loop {
        let now = state.clock.now();
        let is_due = announced.is_none_or(|at| now.since(at) >= ANNOUNCE_PERIOD);
        if is_due && state.leaving_for().is_none() {
            match store.announce(&own_entry(&state)).await {
                Ok(()) => announced = Some(now),
                Err(error) => log::info!(reason = error.label(); "not announced: {error}"),
            }
        }
        let is_settled = match store.read_vms().await {
            Ok(vms) => !note_vms(&state, vms),
            Err(error) => {
                log::info!(reason = error.label(); "VMs not read: {error}");
                state.roster.count().is_some()
            }
        };
        let period = match is_settled {
            true => READ_PERIOD,
            false => CHANGING_PERIOD,
        };
        tokio::time::sleep(spread(period).to_duration()).await;
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

/// Takes the list; tells whether it has changed.
fn note_vms(state: &GatewayState, vms: Vec<VmEntry>) -> bool {
    let now = ClockTime::wall_clock_now();
    let is_live = |vm: &VmEntry| now.since(vm.announced_at) < EXPIRY;
    let live: Vec<VmEntry> = vms.into_iter().filter(is_live).collect();
    let before = state.roster.vms();
    let is_changed = !before
        .iter()
        .map(|vm| vm.address)
        .eq(live.iter().map(|vm| vm.address));
    if is_changed {
        log::info!(vms = live.len(); "VMs known");
    }
    if *before != live {
        state.roster.vms.store(Arc::new(live));
        state.share_budgets();
    }
    is_changed
}
