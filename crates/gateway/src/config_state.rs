//! The active configuration, and when it was last confirmed as current.

use arc_swap::ArcSwapOption;
use skylarkshed_core::{BootTimeClock, ClockTime, RoutingConfig};
use skylarkshed_policy::RouteTable;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// The active configuration and its age.
pub(crate) struct ConfigState {
    clock: BootTimeClock,
    table: ArcSwapOption<RouteTable>,
    /// When the configuration was last confirmed as current; 0 for never.
    confirmed_ms: AtomicU64,
    /// Whether other VMs have no fresh configuration either.
    is_fleet_stale: AtomicBool,
}

impl ConfigState {
    pub(crate) fn new(clock: BootTimeClock) -> Self {
        ConfigState {
            clock,
            table: ArcSwapOption::empty(),
            confirmed_ms: AtomicU64::new(0),
            is_fleet_stale: AtomicBool::new(false),
        }
    }

    /// Returns the clock that also counts while the VM is suspended.
    pub(crate) fn clock(&self) -> BootTimeClock {
        self.clock
    }

    /// Returns the time on that clock.
    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Activates a configuration if it is newer; reports whether it did.
    pub(crate) fn accept(&self, config: RoutingConfig) -> bool {
        let current = self.table.load();
        let is_newer = current
            .as_ref()
            .is_none_or(|table| config.version > table.version());
        if is_newer {
            self.table.store(Some(Arc::new(RouteTable::new(config))));
        }
        is_newer
    }

    /// Records whether other VMs have no fresh configuration either.
    pub(crate) fn set_fleet_stale(&self, is_stale: bool) {
        self.is_fleet_stale.store(is_stale, Ordering::Relaxed);
    }

    /// Reports whether another VM, when it was last asked, had no fresh configuration.
    pub(crate) fn is_fleet_stale(&self) -> bool {
        self.is_fleet_stale.load(Ordering::Relaxed)
    }

    /// Records that the configuration was current at a time.
    pub(crate) fn mark_confirmed(&self, confirmed_at: ClockTime) {
        self.confirmed_ms
            .fetch_max(confirmed_at.as_millis(), Ordering::Relaxed);
    }

    /// Returns the active configuration, if any.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.load_full()
    }

    /// Returns the time since the last confirmation, or [`ClockTime::NEVER`].
    pub(crate) fn age(&self) -> ClockTime {
        self.known_age().unwrap_or(ClockTime::NEVER)
    }

    /// Returns the time since the last confirmation, if there was one.
    pub(crate) fn known_age(&self) -> Option<ClockTime> {
        match self.confirmed_ms.load(Ordering::Relaxed) {
            0 => None,
            confirmed => Some(self.now().since(ClockTime::from_millis(confirmed))),
        }
    }
}
