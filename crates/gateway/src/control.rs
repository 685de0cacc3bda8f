//! The configuration in force, and how fresh the proof of it is.

use arc_swap::ArcSwapOption;
use skylarkshed_core::{BootTimeClock, ClockTime, RoutingConfig};
use skylarkshed_policy::RouteTable;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The configuration in force.
pub(crate) struct ControlState {
    clock: BootTimeClock,
    table: ArcSwapOption<RouteTable>,
    /// When the configuration was last known to be the newest; 0 for never.
    proved_ms: AtomicU64,
}

impl ControlState {
    pub(crate) fn new(clock: BootTimeClock) -> Self {
        ControlState {
            clock,
            table: ArcSwapOption::empty(),
            proved_ms: AtomicU64::new(0),
        }
    }

    /// Returns the time on the clock that goes on while the VM is suspended.
    pub(crate) fn now(&self) -> ClockTime {
        // A proof at the clock's zero would read as none.
        self.clock.now() + ClockTime::from_millis(1)
    }

    /// Puts a configuration in force unless a newer one is; tells whether it did.
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

    /// Notes that the configuration was the newest at a time.
    pub(crate) fn prove(&self, asked: ClockTime) {
        self.proved_ms
            .fetch_max(asked.as_millis(), Ordering::Relaxed);
    }

    /// Returns the configuration, once one is known.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.load_full()
    }

    /// Returns the time since the configuration was known to be the newest.
    pub(crate) fn age(&self) -> ClockTime {
        self.known_age().unwrap_or(ClockTime::NEVER)
    }

    /// Returns the same, or none if no configuration is known.
    pub(crate) fn known_age(&self) -> Option<ClockTime> {
        match self.proved_ms.load(Ordering::Relaxed) {
            0 => None,
            proved => Some(self.now().since(ClockTime::from_millis(proved))),
        }
    }
}
