//! The state that all tasks of a gateway process share.

use crate::config_state::ConfigState;
use crate::engine_ledgers::EngineLedgers;
use crate::exchange::CallerRequest;
use crate::peers::{FeedCaches, VmRoster};
use crate::quarantine::QuarantineManager;
use crate::retry_loans::{LoanPeers, RetryDispatcher};
use crate::rollouts::RolloutManager;
use crate::settings::GatewaySettings;
use crate::store_outage::StoreOutage;
use crate::upstreams::UpstreamDirectory;
use skylarkshed_core::{BootTimeClock, CallerLimits, ClockTime, MonotonicClock, ServiceName};
use skylarkshed_http_link::BodyBudget;
use skylarkshed_peer::{PeerClient, PeerKey};
use skylarkshed_policy::{
    return_delay, DurationEstimator, LatencyEstimator, PrefillEstimator, RetryBudget, StreamPace,
    TableServer,
};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// How often the number of VMs that share the retry budgets is updated, besides each change of
/// the list of VMs.
const DIVISION_INTERVAL: ClockTime = ClockTime::from_millis(500);

/// The least time that a draining VM allows for a request. A request that would have
/// ended sooner is served by another VM.
const MIN_STREAM_TIME: ClockTime = ClockTime::from_millis(6_500);
const MIN_CALL_TIME: ClockTime = ClockTime::from_millis(1_200);

/// How long after the start of the process requests wait for its tables.
const START_TIMEOUT: ClockTime = ClockTime::from_millis(1_000);

/// Retry budget and latencies of one VM's traffic to one service.
#[derive(Debug)]
pub(crate) struct ServiceTraffic {
    /// The budget for retries.
    pub(crate) budget: RetryBudget,
    /// The latencies of application calls.
    pub(crate) latency: LatencyEstimator,
    /// The rate of prefills.
    pub(crate) prefill: PrefillEstimator,
    /// The streams that wait for a retry.
    pub(crate) dispatcher: RetryDispatcher,
    /// How long streams last after their first event.
    pub(crate) pace: StreamPace,
}

/// The state of one gateway process.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: MonotonicClock,
    pub(crate) config: ConfigState,
    pub(crate) upstreams: UpstreamDirectory,
    pub(crate) store_outage: StoreOutage,
    pub(crate) feed_caches: FeedCaches,
    pub(crate) table_server: Mutex<TableServer>,
    pub(crate) roster: VmRoster,
    pub(crate) rollouts: RolloutManager,
    pub(crate) quarantine: QuarantineManager,
    pub(crate) engine_ledgers: EngineLedgers,
    pub(crate) peers: PeerClient,
    pub(crate) loan_peers: LoanPeers,
    /// The memory for the bodies of requests and responses.
    pub(crate) body_budget: BodyBudget,
    pub(crate) connections: AtomicUsize,
    /// How long event streams and application calls last.
    pub(crate) stream_time: DurationEstimator,
    pub(crate) call_time: DurationEstimator,
    /// Whether the process has the tables that it needs to serve.
    has_tables: watch::Sender<bool>,
    services: Mutex<HashMap<ServiceName, Arc<ServiceTraffic>>>,
    /// When draining began, in milliseconds on `clock`; 0 before that.
    leaving_ms: AtomicU64,
    /// Whether the process is about to end.
    is_ending: watch::Sender<bool>,
}

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings, key: PeerKey) -> Self {
        let clock = MonotonicClock::start();
        let boot_clock = BootTimeClock::start();
        GatewayState {
            store_outage: StoreOutage::new(clock, boot_clock, settings.times.outage),
            feed_caches: FeedCaches::new(),
            table_server: Mutex::new(TableServer::new(settings.transfer_rate)),
            roster: VmRoster::default(),
            rollouts: RolloutManager::new(clock),
            quarantine: QuarantineManager::new(clock),
            engine_ledgers: EngineLedgers::new(clock),
            peers: PeerClient::new(key, settings.listen.peers.ip()),
            loan_peers: LoanPeers::new(),
            clock,
            config: ConfigState::new(boot_clock),
            upstreams: UpstreamDirectory::new(clock, boot_clock, &settings.times),
            body_budget: BodyBudget::new(settings.body_memory),
            connections: AtomicUsize::new(0),
            stream_time: DurationEstimator::new(MIN_STREAM_TIME),
            call_time: DurationEstimator::new(MIN_CALL_TIME),
            has_tables: watch::channel(false).0,
            services: Mutex::default(),
            leaving_ms: AtomicU64::new(0),
            is_ending: watch::channel(false).0,
            settings,
        }
    }

    /// Returns the limits in force on what callers may send.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let table = self.config.table();
        table.map_or_else(CallerLimits::default, |table| table.limits())
    }

    /// Returns the traffic state of a service, which it creates at first use.
    pub(crate) fn traffic(&self, service: &ServiceName) -> Arc<ServiceTraffic> {
        let make = || ServiceTraffic {
            budget: RetryBudget::with_loans(self.settings.retries, 1),
            latency: LatencyEstimator::default(),
            prefill: PrefillEstimator::default(),
            dispatcher: RetryDispatcher::default(),
            pace: StreamPace::default(),
        };
        let mut services = self.lock_services();
        let traffic = services.entry(service.clone());
        let traffic = traffic.or_insert_with(|| {
            let traffic = make();
            self.divide_budget(&traffic.budget);
            Arc::new(traffic)
        });
        traffic.clone()
    }

    /// Returns the traffic state of a service that this VM knows.
    pub(crate) fn known_traffic(&self, service: &ServiceName) -> Option<Arc<ServiceTraffic>> {
        let known = self.lock_services().get(service).cloned();
        known.or_else(|| {
            let table = self.config.table()?;
            table.engine(service).map(|_| self.traffic(service))
        })
    }

    /// Divides the retry budgets' reserves among the known VMs.
    pub(crate) fn divide_budgets(&self) {
        self.lock_services()
            .values()
            .for_each(|traffic| self.divide_budget(&traffic.budget));
    }

    /// Divides the reserves again when the number of VMs becomes known or changes.
    pub(crate) async fn keep_budgets_divided(self: Arc<Self>) {
        loop {
            tokio::time::sleep(DIVISION_INTERVAL.to_duration()).await;
            self.divide_budgets();
        }
    }

    fn lock_services(&self) -> MutexGuard<'_, HashMap<ServiceName, Arc<ServiceTraffic>>> {
        // Insertions can't leave the map inconsistent, so a poisoned lock is usable.
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn divide_budget(&self, budget: &RetryBudget) {
        let known = self
            .roster
            .known_size(&self.settings.name, self.clock.now());
        match known {
            Some(vms) => budget.set_vm_count(vms),
            None if !self.roster.is_read() => budget.withhold_reserve(),
            None => budget.limit_reserve(self.roster.count().unwrap_or(1)),
        }
    }

    /// Records that a table was read.
    pub(crate) fn note_table(&self) {
        // The configuration is active a moment before its age is known, and without an
        // age requests with a key are refused.
        let has_config = self.config.table().is_some() && self.config.known_age().is_some();
        let has_tables = has_config && !self.upstreams.is_empty();
        if has_tables && !*self.has_tables.borrow() {
            self.has_tables.send_replace(true);
        }
    }

    /// Waits for the tables of a process that has just started: it gets them within a
    /// fraction of a second, and a refused caller would come back later.
    pub(crate) async fn wait_until_started(&self) {
        let remaining = START_TIMEOUT.since(self.clock.now());
        if *self.has_tables.borrow() || remaining == ClockTime::ZERO {
            return;
        }
        let mut has_tables = self.has_tables.subscribe();
        let waiting = has_tables.wait_for(|has_tables| *has_tables);
        // Without tables the request is refused.
        let _ = tokio::time::timeout(remaining.to_duration(), waiting).await;
    }

    /// Returns when the caller of a request should return, if all upstreams that could
    /// serve it have asked for no requests for a while.
    pub(crate) fn deferral_of(&self, request: &CallerRequest) -> Option<ClockTime> {
        let now = self.config.now();
        let filter = &request.version_filter;
        let earliest = self
            .upstreams
            .earliest_release(&request.service, filter, now)?;
        let time_left = request.deadline.remaining();
        Some(return_delay(earliest, time_left, rand::random()))
    }

    pub(crate) fn start_leaving(&self) {
        let now = self.clock.now().as_millis().max(1);
        self.leaving_ms.store(now, Ordering::Relaxed);
    }

    /// Records that only the time for the last responses is left.
    pub(crate) fn start_ending(&self) {
        self.is_ending.send_replace(true);
    }

    /// Waits until only the time for the last responses is left.
    pub(crate) async fn wait_for_ending(&self) {
        let mut is_ending = self.is_ending.subscribe();
        // The sender lives as long as this state.
        let _ = is_ending.wait_for(|is_ending| *is_ending).await;
    }

    /// Returns how long the process has been draining, or none if it isn't.
    pub(crate) fn leaving_for(&self) -> Option<ClockTime> {
        let since = self.leaving_ms.load(Ordering::Relaxed);
        (since > 0).then(|| self.clock.now().since(ClockTime::from_millis(since)))
    }
}
