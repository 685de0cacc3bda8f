//! Tracks outages of the store, and resolves which missing upstreams have left.

use crate::gateway_state::GatewayState;
use crate::peers::confirm_contact;
use crate::store_watch::log_changes;
use skylarkshed_core::{BootTimeClock, ClockTime, MonotonicClock};
use skylarkshed_policy::StoreContact;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The number of VMs that are asked whether the store was away.
const ASKED_VMS: usize = 3;

/// When the store answered this VM or others.
pub(crate) struct StoreOutage {
    clock: MonotonicClock,
    boot_clock: BootTimeClock,
    contact: Mutex<StoreContact>,
}

impl StoreOutage {
    pub(crate) fn new(
        clock: MonotonicClock,
        boot_clock: BootTimeClock,
        min_outage: ClockTime,
    ) -> Self {
        StoreOutage {
            clock,
            boot_clock,
            contact: Mutex::new(StoreContact::new(min_outage)),
        }
    }

    /// Records that the store has answered this VM.
    pub(crate) fn record_answer(&self) {
        self.lock().record_answer(self.boot_clock.now());
    }

    /// Records that neither the store nor another VM had an answer.
    pub(crate) fn record_failure(&self) {
        self.lock().record_failure();
    }

    /// Records another VM's word: when the store answered at the latest, and for how long
    /// it has known of no outage.
    pub(crate) fn record_word(&self, answer_age: ClockTime, steady: ClockTime) {
        let now = self.boot_clock.now();
        let mut contact = self.lock();
        contact.record_answer(now.since(answer_age));
        if steady > ClockTime::ZERO {
            contact.record_steady(now.since(steady));
        }
    }

    /// Returns for how long this VM has known of no outage.
    pub(crate) fn steady_for(&self) -> ClockTime {
        let since = self.lock().steady_since();
        since.map_or(ClockTime::ZERO, |since| self.boot_clock.now().since(since))
    }

    /// Returns when the store returned from its last outage, on the clock that does not
    /// count suspension.
    pub(crate) fn returned_at(&self) -> Option<ClockTime> {
        let returned_at = self.lock().returned_at()?;
        let elapsed = self.boot_clock.now().since(returned_at);
        Some(self.clock.now().since(elapsed))
    }

    fn lock(&self) -> MutexGuard<'_, StoreContact> {
        // The times are consistent between calls, so a poisoned lock is usable.
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks some VMs whether the store was away, and drops the entries that are missing: at
/// once if it was not, otherwise at the end of the grace period. `source` is the table of
/// upstreams.
pub(crate) async fn resolve_missing_upstreams(state: Arc<GatewayState>, source: &'static str) {
    let vms = state.roster.vms();
    let own = &state.settings.name;
    let mut others: Vec<_> = vms.iter().filter(|vm| vm.name != *own).collect();
    // A VM of the same availability zone may have been cut off together with this one.
    others.sort_by_cached_key(|vm| (vm.zone == state.settings.zone, rand::random::<u32>()));
    let others = others.iter().take(ASKED_VMS);
    let asking = others.map(|vm| confirm_contact(&state, vm.address, source));
    futures::future::join_all(asking).await;
    let returned_at = state.store_outage.returned_at();
    log::info!(
        source,
        was_away = returned_at.is_some(),
        steady_ms = state.store_outage.steady_for().as_millis();
        "missing upstreams are reviewed"
    );
    let changes = state
        .upstreams
        .update(|table, now| table.record_store_return(returned_at, now));
    log_changes(&changes);
    while let Some(expires_at) = state.upstreams.next_expiry() {
        tokio::time::sleep(expires_at.since(state.clock.now()).to_duration()).await;
        log_changes(&state.upstreams.update(|table, now| table.expire(now)));
    }
}
