//! The upstreams, and what this VM has sent them.

use arc_swap::ArcSwap;
use skylarkshed_core::{
    ClockTime, MonotonicClock, ServiceName, UpstreamName, UpstreamRecord, ZoneName,
};
use skylarkshed_policy::{
    choose_candidate, PlacementQuery, UpstreamCandidate, UpstreamChange, UpstreamHealth,
    UpstreamTable, VersionRule,
};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// How long an upstream that failed is used only if no other is left: about
/// the time in which a new entry of a restarted upstream arrives.
const SUSPICION: ClockTime = ClockTime::from_millis(2_000);
/// Reports of engines are some hundred milliseconds old.
const REPORT_LAG: ClockTime = ClockTime::from_millis(250);
/// Load of one request, in thousandths of one slot.
const REQUEST_LOAD: u64 = 1_000;

/// One upstream as this VM sees it.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) record: Arc<UpstreamRecord>,
    usage: Arc<UpstreamUsage>,
}

/// What outlives a change of an upstream's entry.
#[derive(Debug, Default)]
struct UpstreamUsage {
    running: AtomicU64,
    suspect_until: AtomicU64,
    /// When the last prompt was sent, and how many were sent shortly before.
    prompt_sent: AtomicU64,
    recent_prompts: AtomicU64,
    /// Its address belongs to another upstream, or it said that it leaves.
    is_gone: AtomicBool,
}

/// A request under way at an upstream; dropping it frees its place.
#[derive(Debug)]
pub(crate) struct LoadGuard(Arc<UpstreamUsage>);

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl UpstreamState {
    pub(crate) fn name(&self) -> &UpstreamName {
        &self.record.name
    }

    pub(crate) fn begin(&self) -> LoadGuard {
        self.usage.running.fetch_add(1, Ordering::Relaxed);
        LoadGuard(self.usage.clone())
    }

    /// Notes that a prompt is sent.
    pub(crate) fn note_prompt(&self, now: ClockTime) {
        let recent = self.unreported_prompts(now) + 1;
        self.usage.recent_prompts.store(recent, Ordering::Relaxed);
        let sent = now.as_millis();
        self.usage.prompt_sent.store(sent, Ordering::Relaxed);
    }

    /// Returns the prompts sent so recently that no report can have them.
    pub(crate) fn unreported_prompts(&self, now: ClockTime) -> u64 {
        let sent = self.usage.prompt_sent.load(Ordering::Relaxed);
        let sent = ClockTime::from_millis(sent);
        match sent > ClockTime::ZERO && now.since(sent) < REPORT_LAG {
            true => self.usage.recent_prompts.load(Ordering::Relaxed),
            false => 0,
        }
    }

    /// Notes that the upstream failed.
    pub(crate) fn suspect(&self, now: ClockTime) {
        let until = (now + SUSPICION).as_millis();
        self.usage.suspect_until.store(until, Ordering::Relaxed);
    }

    /// Notes that the upstream answered.
    pub(crate) fn trust(&self) {
        self.usage.suspect_until.store(0, Ordering::Relaxed);
    }

    /// Notes that the upstream gets no new work for good.
    pub(crate) fn retire(&self) {
        self.usage.is_gone.store(true, Ordering::Relaxed);
    }

    /// Tells whether the upstream is known to have ended.
    pub(crate) fn is_retired(&self) -> bool {
        self.usage.is_gone.load(Ordering::Relaxed)
    }

    pub(crate) fn health(&self, now: ClockTime) -> UpstreamHealth {
        if self.record.is_leaving || self.is_retired() {
            return UpstreamHealth::Leaving;
        }
        match self.usage.suspect_until.load(Ordering::Relaxed) > now.as_millis() {
            true => UpstreamHealth::Suspect,
            false => UpstreamHealth::Healthy,
        }
    }

    fn load(&self) -> u64 {
        let running = self.usage.running.load(Ordering::Relaxed);
        running * REQUEST_LOAD / u64::from(self.record.slots.max(1))
    }
}

type ServiceMap = HashMap<ServiceName, Vec<Arc<UpstreamState>>>;

/// All upstreams by service.
pub(crate) struct UpstreamDirectory {
    clock: MonotonicClock,
    book: Mutex<UpstreamTable>,
    services: ArcSwap<ServiceMap>,
}

/// What a request asks of its upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamQuery<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) zone: &'a ZoneName,
    pub(crate) avoid: &'a [UpstreamName],
    pub(crate) avoid_zones: &'a [ZoneName],
    pub(crate) versions: &'a VersionRule,
}

impl UpstreamDirectory {
    pub(crate) fn new(clock: MonotonicClock, lapse: ClockTime) -> Self {
        UpstreamDirectory {
            clock,
            book: Mutex::new(UpstreamTable::new(lapse)),
            services: ArcSwap::default(),
        }
    }

    /// Changes the book and publishes the result.
    pub(crate) fn update(
        &self,
        change: impl FnOnce(&mut UpstreamTable, ClockTime) -> Vec<UpstreamChange>,
    ) -> Vec<UpstreamChange> {
        // The book is whole between two calls, also after a panic elsewhere.
        let mut book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        let changes = change(&mut book, self.clock.now());
        if !changes.is_empty() {
            self.publish(&book);
        }
        changes
    }

    fn publish(&self, book: &UpstreamTable) {
        let known = self.services.load();
        let known = known.values().flatten();
        let known: HashMap<&UpstreamName, &Arc<UpstreamState>> =
            known.map(|state| (state.name(), state)).collect();
        let mut services = ServiceMap::new();
        for record in book.records() {
            // Another run under the same name has done nothing yet.
            let usage = known.get(&record.name);
            let usage = usage.filter(|state| state.record.started == record.started);
            let usage = usage.map(|state| state.usage.clone()).unwrap_or_default();
            let state = UpstreamState {
                record: record.clone(),
                usage,
            };
            let states = services.entry(record.service.clone()).or_default();
            states.push(Arc::new(state));
        }
        self.services.store(Arc::new(services));
    }

    /// Picks an upstream for a request.
    pub(crate) fn choose(&self, query: &UpstreamQuery<'_>) -> Option<Arc<UpstreamState>> {
        let services = self.services.load();
        let states = services.get(query.service)?;
        let versions = query.versions;
        let allowed = |state: &UpstreamState| versions.allows(&state.record.version);
        let preferred =
            |state: &UpstreamState| allowed(state) && versions.prefers(&state.record.version);
        let chosen = self.choose_among(states, query, preferred);
        chosen.or_else(|| self.choose_among(states, query, allowed))
    }

    fn choose_among(
        &self,
        states: &[Arc<UpstreamState>],
        query: &UpstreamQuery<'_>,
        is_allowed: impl Fn(&UpstreamState) -> bool,
    ) -> Option<Arc<UpstreamState>> {
        let now = self.clock.now();
        let states = states.iter().filter(|state| is_allowed(state));
        let states: Vec<&Arc<UpstreamState>> = states.collect();
        let candidates = states.iter().map(|state| UpstreamCandidate {
            name: state.name(),
            zone: &state.record.zone,
            load: state.load(),
            health: state.health(now),
        });
        let candidates: Vec<UpstreamCandidate<'_>> = candidates.collect();
        let place = PlacementQuery {
            zone: query.zone,
            avoid: query.avoid,
            avoid_zones: query.avoid_zones,
            random: rand::random(),
        };
        choose_candidate(&place, &candidates).map(|place| states[place].clone())
    }

    /// Finds an upstream that may get work.
    pub(crate) fn find(
        &self,
        service: &ServiceName,
        name: &UpstreamName,
    ) -> Option<Arc<UpstreamState>> {
        let services = self.services.load();
        let states = services.get(service)?;
        states.iter().find(|state| state.name() == name).cloned()
    }

    /// Returns how many upstreams are present and how many of them leave.
    pub(crate) fn count(&self) -> (usize, usize) {
        let services = self.services.load();
        let states = services.values().flatten();
        let leaving = states
            .clone()
            .filter(|state| state.record.is_leaving)
            .count();
        (states.count(), leaving)
    }

    /// Tells whether any upstream is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.services.load().is_empty()
    }
}
