//! The ledgers that this VM keeps.

use crate::engine_calls::request_report;
use crate::gateway_state::GatewayState;
use crate::platform_api::WireProtocol;
use crate::upstreams::UpstreamState;
use skylarkshed_core::{ClockTime, MonotonicClock, ServiceName, UpstreamName};
use skylarkshed_policy::{EngineLedger, EngineLoad, LedgerView};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{watch, Semaphore};

/// How long a VM that asks waits for the engine's report. With the way to that VM it is less
/// than the time after which the VM asks the engine itself.
const REPORT_WAIT: ClockTime = ClockTime::from_millis(30);
/// The least time between two status checks, also of an engine that does not answer.
const REPORT_INTERVAL: ClockTime = ClockTime::from_millis(200);
/// An older report says nothing about the load any more.
const MAX_REPORT_AGE: ClockTime = ClockTime::from_millis(2_000);
/// How often unused ledgers are dropped.
const SWEEP_INTERVAL: ClockTime = ClockTime::from_millis(10_000);
/// The number of messages to owners that may be on their way; further ones are left out, and
/// the owner learns the same from its reports.
const MAX_NOTICES: usize = 256;

/// Identifies the ledger of one start of an engine.
type LedgerKey = (ServiceName, UpstreamName, ClockTime);

/// The ledgers that this VM keeps, and the owners of others that did not answer.
pub(crate) struct EngineLedgers {
    clock: MonotonicClock,
    table: Mutex<LedgerTable>,
    /// Until when owners that did not answer are not asked.
    silent_owners: Mutex<HashMap<SocketAddr, ClockTime>>,
    /// Limits the messages to owners for which nothing waits.
    pub(super) notices: Arc<Semaphore>,
}

#[derive(Default)]
struct LedgerTable {
    ledgers: HashMap<LedgerKey, Arc<LedgerSlot>>,
    swept_at: ClockTime,
}

/// The ledger of one engine.
#[derive(Default)]
pub(super) struct LedgerSlot {
    state: Mutex<SlotState>,
}

#[derive(Default)]
pub(super) struct SlotState {
    pub(super) ledger: EngineLedger,
    /// When the engine was last asked for a report.
    asked_at: Option<ClockTime>,
    /// Whether the last request for a report failed.
    has_failed: bool,
    /// Ends when the engine has been asked, if that is under way.
    asking: Option<watch::Receiver<()>>,
    is_problem_logged: bool,
}

/// Where an engine's load is known from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LoadSource {
    /// The ledger, as it was.
    Ledger,
    /// A report that was requested for this.
    Report,
}

impl EngineLedgers {
    pub(crate) fn new(clock: MonotonicClock) -> Self {
        EngineLedgers {
            clock,
            table: Mutex::default(),
            silent_owners: Mutex::default(),
            notices: Arc::new(Semaphore::new(MAX_NOTICES)),
        }
    }

    /// Returns the ledger of an engine, which it creates at first use.
    pub(super) fn slot(&self, state: &GatewayState, engine: &UpstreamState) -> Arc<LedgerSlot> {
        let now = self.clock.now();
        let mut table = self.lock();
        if now.since(table.swept_at) >= SWEEP_INTERVAL {
            table.swept_at = now;
            table.ledgers.retain(|(service, name, started), slot| {
                let listed = state.upstreams.find(service, name);
                let is_listed = listed.is_some_and(|listed| listed.record.started == *started);
                is_listed && !slot.lock().ledger.is_unused(now)
            });
        }
        let slot = table.ledgers.entry(ledger_key(engine));
        slot.or_default().clone()
    }

    /// Returns the ledger of an engine if there is one.
    pub(super) fn find_slot(&self, engine: &UpstreamState) -> Option<Arc<LedgerSlot>> {
        self.lock().ledgers.get(&ledger_key(engine)).cloned()
    }

    /// Reports whether an owner has just not answered.
    pub(super) fn is_silent(&self, owner: SocketAddr) -> bool {
        let now = self.clock.now();
        let owners = self.lock_owners();
        owners.get(&owner).is_some_and(|until| now < *until)
    }

    /// Records that an owner did not answer, or does not know an engine.
    pub(super) fn mark_silent(&self, owner: SocketAddr) {
        let now = self.clock.now();
        let mut owners = self.lock_owners();
        owners.retain(|_, until| now < *until);
        owners.insert(owner, now + super::OWNER_RETRY_DELAY);
    }

    fn lock(&self) -> MutexGuard<'_, LedgerTable> {
        // Insertions can't leave the map inconsistent, so a poisoned lock is usable.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_owners(&self) -> MutexGuard<'_, HashMap<SocketAddr, ClockTime>> {
        let owners = self.silent_owners.lock();
        owners.unwrap_or_else(PoisonError::into_inner)
    }
}

fn ledger_key(engine: &UpstreamState) -> LedgerKey {
    let record = &engine.record;
    (record.service.clone(), record.name.clone(), record.started)
}

impl LedgerSlot {
    pub(super) fn lock(&self) -> MutexGuard<'_, SlotState> {
        // The ledger is consistent between calls, so a poisoned lock is usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the engine for its load if the last report is too old, once for all that ask
    /// meanwhile.
    pub(super) async fn refresh<P: WireProtocol>(
        self: &Arc<Self>,
        state: &Arc<GatewayState>,
        engine: &Arc<UpstreamState>,
    ) -> LoadSource {
        let (mut asking, source) = match self.start_asking(state.clock.now()) {
            AskingStep::UpToDate => return LoadSource::Ledger,
            AskingStep::Join(asking) => (asking, LoadSource::Ledger),
            AskingStep::Start(done, asking) => {
                let (slot, state, engine) = (self.clone(), state.clone(), engine.clone());
                tokio::spawn(async move {
                    slot.ask_engine::<P>(&state, &engine).await;
                    drop(done);
                });
                (asking, LoadSource::Report)
            }
        };
        // The channel closes when the engine was asked; a late report is of use to the next.
        let _ = tokio::time::timeout(REPORT_WAIT.to_duration(), asking.changed()).await;
        source
    }

    fn start_asking(&self, now: ClockTime) -> AskingStep {
        let mut slot = self.lock();
        let asking = slot.asking.clone();
        if let Some(asking) = asking.filter(|asking| asking.has_changed().is_ok()) {
            return AskingStep::Join(asking);
        }
        let asked_at = slot.asked_at;
        let was_just_asked = asked_at.is_some_and(|at| now.since(at) < REPORT_INTERVAL);
        if was_just_asked || !slot.ledger.needs_report(now) {
            return AskingStep::UpToDate;
        }
        let (done, asking) = watch::channel(());
        slot.asked_at = Some(now);
        slot.asking = Some(asking.clone());
        AskingStep::Start(done, asking)
    }

    async fn ask_engine<P: WireProtocol>(&self, state: &GatewayState, engine: &UpstreamState) {
        let asked_at = state.clock.now();
        let report = request_report::<P>(state, engine).await;
        let mut slot = self.lock();
        slot.has_failed = report.is_none();
        if let Some(report) = report {
            let load = EngineLoad {
                // The ledger has this VM's prompts like those of all others.
                unreported: 0,
                ..report
            };
            slot.ledger.record_report(&load, asked_at);
        }
        let problem = match slot.has_failed {
            true => Some("no report"),
            false => slot
                .ledger
                .has_absurd_report()
                .then_some("a figure is missing or absurd"),
        };
        if let Some(problem) = problem.filter(|_| !slot.is_problem_logged) {
            slot.is_problem_logged = true;
            log::info!(upstream:% = engine.name(), problem; "load of an engine is partly unknown");
        }
    }

    /// Returns the engine's load, or none if the last report is too old.
    pub(super) fn view(&self, now: ClockTime, usual_prompt: u64) -> Option<LedgerView> {
        let slot = self.lock();
        let view = slot.ledger.view(now, usual_prompt);
        let view = LedgerView {
            is_suspect: view.is_suspect || slot.has_failed,
            ..view
        };
        (view.age < MAX_REPORT_AGE).then_some(view)
    }
}

/// What is to be done before an engine's load is known.
enum AskingStep {
    /// Nothing: the last report is new enough.
    UpToDate,
    /// Wait until the engine has been asked.
    Join(watch::Receiver<()>),
    /// Ask the engine, then close the channel.
    Start(watch::Sender<()>, watch::Receiver<()>),
}
