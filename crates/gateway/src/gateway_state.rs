//! What all parts of a gateway process share.

use crate::control::ControlState;
use crate::peers::{NewsBoard, VmRoster};
use crate::rollouts::RolloutDesk;
use crate::settings::GatewaySettings;
use crate::upstreams::UpstreamDirectory;
use skylarkshed_core::{BootTimeClock, ClockTime, MonotonicClock, ServiceName};
use skylarkshed_peer::{PeerClient, PeerKey};
use skylarkshed_policy::{LatencyEstimator, RetryBudget};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// As many VMs are taken to share the budgets until the others are known: the
/// users' deployments of today have 8 and 9, and can add 3.
const UNKNOWN_VMS: usize = 12;

/// What one VM keeps about its traffic to one service.
#[derive(Debug)]
pub(crate) struct ServiceTraffic {
    /// The sends beyond the first of each request.
    pub(crate) budget: RetryBudget,
    /// How long quick calls take.
    pub(crate) pace: LatencyEstimator,
}

/// The state of one gateway process.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: MonotonicClock,
    pub(crate) control: ControlState,
    pub(crate) upstreams: UpstreamDirectory,
    pub(crate) board: NewsBoard,
    pub(crate) roster: VmRoster,
    pub(crate) rollouts: RolloutDesk,
    pub(crate) peers: PeerClient,
    pub(crate) connections: AtomicUsize,
    services: Mutex<HashMap<ServiceName, Arc<ServiceTraffic>>>,
    /// When the process was told to leave, in milliseconds; 0 for not yet.
    leaving_ms: AtomicU64,
}

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings, key: PeerKey) -> Self {
        let clock = MonotonicClock::start();
        GatewayState {
            board: NewsBoard::new(),
            roster: VmRoster::default(),
            rollouts: RolloutDesk::default(),
            peers: PeerClient::new(key, settings.listen.peers.ip()),
            clock,
            control: ControlState::new(BootTimeClock::start()),
            upstreams: UpstreamDirectory::new(clock, settings.times.entry_grace),
            connections: AtomicUsize::new(0),
            services: Mutex::default(),
            leaving_ms: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns what this VM keeps about its traffic to a service.
    pub(crate) fn traffic(&self, service: &ServiceName) -> Arc<ServiceTraffic> {
        let make = || ServiceTraffic {
            budget: RetryBudget::new(self.settings.retries, self.vm_count()),
            pace: LatencyEstimator::default(),
        };
        let mut services = self.lock_services();
        let traffic = services.entry(service.clone());
        traffic.or_insert_with(|| Arc::new(make())).clone()
    }

    /// Divides the budgets' reserves over the VMs that are known.
    pub(crate) fn share_budgets(&self) {
        let vms = self.vm_count();
        self.lock_services()
            .values()
            .for_each(|traffic| traffic.budget.set_vm_count(vms));
    }

    fn lock_services(&self) -> MutexGuard<'_, HashMap<ServiceName, Arc<ServiceTraffic>>> {
        // Inserting an entry leaves the map whole, also after a panic elsewhere.
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn vm_count(&self) -> usize {
        self.roster.count().unwrap_or(UNKNOWN_VMS)
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
