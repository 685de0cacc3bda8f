//! The list of VMs, as read from the store, and this VM's entry in it.

use crate::gateway_state::GatewayState;
use crate::jitter::add_jitter;
use crate::platform_api::{RoutingStore, VmUpdate};
use arc_swap::ArcSwap;
use skylarkshed_core::{ClockTime, VmName};
use skylarkshed_policy::{FleetSize, VmEntry};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// How often a VM compares its entry with what it should be.
const CHECK_INTERVAL: ClockTime = ClockTime::from_millis(2_000);
/// How often a VM renews its entry.
const RENEWAL_INTERVAL: ClockTime = ClockTime::from_millis(300_000);
/// An older entry belongs to a VM that was removed. The time covers three renewals
/// and a clock that jumped by minutes.
const ENTRY_TTL: ClockTime = ClockTime::from_millis(1_200_000);
/// The time in which a written entry comes back in the list, through a relay.
const WRITE_DELAY: ClockTime = ClockTime::from_millis(8_000);
/// How long a VM that starts waits for the list, which may contain its entry.
const LIST_TIMEOUT: ClockTime = ClockTime::from_millis(2_000);
/// VMs that start together for the first time write their entries over this time, so
/// that the store accepts all of them.
const FIRST_WRITE_SPREAD_MS: u64 = 1_000;

/// The VMs that announced themselves.
pub(crate) struct VmRoster {
    entries: Mutex<BTreeMap<VmName, VmEntry>>,
    vms: ArcSwap<Vec<VmEntry>>,
    /// When a VM was last added or removed.
    members_changed_at: AtomicU64,
    /// The number of VMs among which reserves are divided.
    size: Mutex<FleetSize>,
    is_read: watch::Sender<bool>,
}

impl Default for VmRoster {
    fn default() -> Self {
        VmRoster {
            entries: Mutex::default(),
            vms: ArcSwap::default(),
            members_changed_at: AtomicU64::new(0),
            size: Mutex::default(),
            is_read: watch::channel(false).0,
        }
    }
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

    /// Returns among how many VMs reserves are divided; none while that is unknown. A list
    /// without the VM itself is not complete.
    pub(crate) fn known_size(&self, own: &VmName, now: ClockTime) -> Option<usize> {
        let vms = self.vms.load();
        let mut size = self.lock_size();
        if vms.iter().any(|vm| vm.name == *own) {
            size.record(vms.len(), now);
        }
        size.get(now)
    }

    /// Returns the number of VMs in the list as other VMs are told it; 0 if it is unknown.
    pub(crate) fn listed_vms(&self) -> u32 {
        u32::try_from(self.count().unwrap_or(0)).unwrap_or(u32::MAX)
    }

    /// Records the number of VMs in the list of another VM.
    pub(crate) fn record_other_list(&self, listed_vms: u32, now: ClockTime) {
        self.lock_size().record_other(listed_vms as usize, now);
    }

    fn lock_size(&self) -> MutexGuard<'_, FleetSize> {
        // The lengths are consistent between changes, so a poisoned lock is usable.
        self.size.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports whether the list was read.
    pub(crate) fn is_read(&self) -> bool {
        *self.is_read.borrow()
    }

    /// Returns for how long the list has contained the same VMs.
    pub(crate) fn stable_for(&self, now: ClockTime) -> ClockTime {
        let changed_ms = self.members_changed_at.load(Ordering::Relaxed);
        now.since(ClockTime::from_millis(changed_ms))
    }

    /// Waits until the list was read for the first time, but not forever.
    pub(crate) async fn wait_until_read(&self) {
        let mut is_read = self.is_read.subscribe();
        let reading = is_read.wait_for(|is_read| *is_read);
        // Without the list, the VM asks the seeds and the store.
        let _ = tokio::time::timeout(LIST_TIMEOUT.to_duration(), reading).await;
    }

    /// Applies changes, which are the whole list if `is_complete`; reports whether the
    /// list is different now.
    pub(crate) fn apply(&self, updates: Vec<VmUpdate>, is_complete: bool, now: ClockTime) -> bool {
        // The map is consistent between changes, so a poisoned lock is usable.
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if is_complete {
            entries.clear();
        }
        for update in updates {
            match update {
                VmUpdate::Updated(vm) => {
                    entries.insert(vm.name.clone(), vm);
                }
                VmUpdate::Removed(name) => {
                    entries.remove(&name);
                }
                VmUpdate::Unreadable { name, problem } => {
                    log::warn!(row:% = name; "can't parse the entry of a VM: {problem}");
                    entries.remove(&name);
                }
            }
        }
        let wall_clock = ClockTime::wall_clock_now();
        let is_live = |vm: &&VmEntry| wall_clock.since(vm.announced_at) < ENTRY_TTL;
        let live: Vec<VmEntry> = entries.values().filter(is_live).cloned().collect();
        drop(entries);
        let previous = self.vms.load_full();
        let is_changed = *previous != live;
        if is_changed {
            let names = |vms: &[VmEntry]| vms.iter().map(|vm| vm.name.clone()).collect::<Vec<_>>();
            if names(&previous) != names(&live) {
                let now_ms = now.as_millis();
                self.members_changed_at.store(now_ms, Ordering::Relaxed);
            }
            log::info!(vms = live.len(); "list of VMs changed");
            self.vms.store(Arc::new(live));
        }
        self.is_read.send_replace(true);
        is_changed
    }
}

/// Keeps this VM's entry in the store until the process drains.
pub(crate) async fn announce_vm<S: RoutingStore>(state: Arc<GatewayState>, store: S) {
    state.roster.wait_until_read().await;
    if needs_entry(&state) {
        let delay_ms = rand::random_range(0..FIRST_WRITE_SPREAD_MS);
        tokio::time::sleep(ClockTime::from_millis(delay_ms).to_duration()).await;
    }
    let mut written_at: Option<ClockTime> = None;
    while state.leaving_for().is_none() {
        let now = state.clock.now();
        let is_pending = written_at.is_some_and(|at| now.since(at) < WRITE_DELAY);
        if !is_pending && needs_entry(&state) {
            match store.announce(&own_entry(&state)).await {
                Ok(()) => written_at = Some(now),
                Err(error) => log::info!(reason = error.label(); "can't announce this VM: {error}"),
            }
        }
        tokio::time::sleep(add_jitter(CHECK_INTERVAL).to_duration()).await;
    }
}

/// Reports whether this VM's entry is missing, wrong or has to be renewed.
fn needs_entry(state: &GatewayState) -> bool {
    let wanted = own_entry(state);
    let vms = state.roster.vms();
    let current = vms.iter().find(|vm| vm.name == wanted.name);
    current.is_none_or(|current| {
        let age = wanted.announced_at.since(current.announced_at);
        let unchanged = VmEntry {
            announced_at: wanted.announced_at,
            ..current.clone()
        };
        age >= RENEWAL_INTERVAL || unchanged != wanted
    })
}

fn own_entry(state: &GatewayState) -> VmEntry {
    VmEntry {
        name: state.settings.name.clone(),
        zone: state.settings.zone.clone(),
        address: state.settings.listen.peers,
        announced_at: ClockTime::wall_clock_now(),
        capacity: state.settings.relay_capacity,
    }
}
