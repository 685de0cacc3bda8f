//! What all parts of a gateway process share.

use crate::control::ControlState;
use crate::settings::GatewaySettings;
use crate::upstreams::UpstreamDirectory;
use skylarkshed_core::{ClockTime, MonotonicClock, ServiceName, SuspendClock};
use skylarkshed_policy::WorkBudget;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// The state of one gateway process.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: MonotonicClock,
    pub(crate) control: ControlState,
    pub(crate) upstreams: UpstreamDirectory,
    pub(crate) connections: AtomicUsize,
    budgets: Mutex<HashMap<ServiceName, Arc<WorkBudget>>>,
    /// When the process was told to leave, in milliseconds; 0 for not yet.
    leaving_ms: AtomicU64,
}

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings) -> Self {
        let clock = MonotonicClock::start();
        GatewayState {
            clock,
            control: ControlState::new(SuspendClock::start()),
            upstreams: UpstreamDirectory::new(clock, settings.times.lapse),
            connections: AtomicUsize::new(0),
            budgets: Mutex::default(),
            leaving_ms: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the budget of repeated sends to a service.
    pub(crate) fn budget(&self, service: &ServiceName) -> Arc<WorkBudget> {
        // Inserting an entry leaves the map whole, also after a panic elsewhere.
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let settings = &self.settings;
        let make = || WorkBudget::new(settings.retry_percent, settings.retry_reserve);
        let budget = budgets.entry(service.clone());
        budget.or_insert_with(|| Arc::new(make())).clone()
    }

    pub(crate) fn start_leaving(&self) {
        let now = self.clock.now().as_millis().max(1);
        self.leaving_ms.store(now, Ordering::Relaxed);
    }

    /// Returns the time since the process was told to leave.
    pub(crate) fn leaving_for(&self) -> Option<ClockTime> {
        let since = self.leaving_ms.load(Ordering::Relaxed);
        (since > 0).then(|| self.clock.now().since(ClockTime::from_millis(since)))
    }
}
