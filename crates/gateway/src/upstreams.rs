//! The upstreams, and the load and failures that this VM has seen of each.

use crate::platform_api::ResponseHead;
use crate::settings::GatewayTimes;
use arc_swap::ArcSwap;
use skylarkshed_core::{
    BootTimeClock, ClockTime, MonotonicClock, ServiceName, UpstreamName, UpstreamRecord,
    VersionName, ZoneName,
};
use skylarkshed_policy::{
    choose_candidate, deferred_until, PlacementQuery, RefusalRate, UpstreamCandidate,
    UpstreamChange, UpstreamHealth, UpstreamTable, VersionFilter,
};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// How long a failed upstream is used only if no other is left. It is about the
/// time in which the new entry of a restarted upstream arrives.
const SUSPICION_PERIOD: ClockTime = ClockTime::from_millis(2_000);
/// How long an upstream is expected to close new connections after it closed one.
const CLOSING_PERIOD: ClockTime = ClockTime::from_millis(5_000);
/// Load reports of engines are up to a few hundred milliseconds old.
const MAX_REPORT_AGE: ClockTime = ClockTime::from_millis(250);
/// The step in which this VM's load on an engine counts, in thousandths of its slots.
/// The engines' own reports tell more.
const PROMPT_LOAD_STEP: u64 = 250;
/// The number of remembered starts without an entry; a fleet replaces fewer in an hour.
const MAX_UNLISTED_USAGES: usize = 4_096;
/// The load of one request, in thousandths of a slot.
const REQUEST_LOAD: u64 = 1_000;

/// An upstream's entry and this VM's usage of it.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) record: Arc<UpstreamRecord>,
    usage: Arc<UpstreamUsage>,
}

/// The state that is kept when an upstream's entry changes.
#[derive(Debug, Default)]
struct UpstreamUsage {
    running: AtomicU64,
    suspect_until_ms: AtomicU64,
    /// Until when it is expected to close new connections.
    closing_until_ms: AtomicU64,
    /// When the last prompt was sent; `recent_prompts` are missing from the load report.
    last_prompt_ms: AtomicU64,
    recent_prompts: AtomicU64,
    /// Its address turned out to belong to another upstream.
    is_retired: AtomicBool,
    /// It announced in a response that it leaves.
    is_leaving: AtomicBool,
    refusals: RefusalRate,
    /// Until when it wants no requests, on the clock that counts suspension.
    deferred_until_ms: AtomicU64,
}

/// Counts a running request at an upstream until it is dropped.
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

    pub(crate) fn start_request(&self) -> LoadGuard {
        self.usage.running.fetch_add(1, Ordering::Relaxed);
        LoadGuard(self.usage.clone())
    }

    /// Records that a prompt is being sent.
    pub(crate) fn record_prompt(&self, now: ClockTime) {
        let recent = self.unreported_prompts(now) + 1;
        self.usage.recent_prompts.store(recent, Ordering::Relaxed);
        let sent = now.as_millis();
        self.usage.last_prompt_ms.store(sent, Ordering::Relaxed);
    }

    /// Returns the number of prompts sent too recently to be in a load report.
    pub(crate) fn unreported_prompts(&self, now: ClockTime) -> u64 {
        let sent = self.usage.last_prompt_ms.load(Ordering::Relaxed);
        let sent = ClockTime::from_millis(sent);
        match sent > ClockTime::ZERO && now.since(sent) < MAX_REPORT_AGE {
            true => self.usage.recent_prompts.load(Ordering::Relaxed),
            false => 0,
        }
    }

    /// Marks the upstream as suspect after a failure.
    pub(crate) fn mark_suspect(&self, now: ClockTime) {
        let until = (now + SUSPICION_PERIOD).as_millis();
        self.usage.suspect_until_ms.store(until, Ordering::Relaxed);
    }

    /// Records that the upstream closed a new connection without a response: it has as
    /// many as it accepts.
    pub(crate) fn record_close(&self, now: ClockTime) {
        let until = (now + CLOSING_PERIOD).as_millis();
        self.usage.closing_until_ms.store(until, Ordering::Relaxed);
    }

    /// Reports whether the upstream may close a new connection immediately.
    pub(crate) fn closes_connections(&self, now: ClockTime) -> bool {
        let until_ms = self.usage.closing_until_ms.load(Ordering::Relaxed);
        now < ClockTime::from_millis(until_ms)
    }

    /// Records whether a response was a refusal.
    pub(crate) fn record_refusal(&self, is_refused: bool, now: ClockTime) {
        self.usage.refusals.record(is_refused, now);
    }

    /// Clears the suspicion after a successful response.
    pub(crate) fn mark_healthy(&self) {
        self.usage.suspect_until_ms.store(0, Ordering::Relaxed);
    }

    /// Excludes this incarnation of the upstream from new requests, because its address
    /// belongs to another upstream.
    pub(crate) fn retire(&self) {
        self.usage.is_retired.store(true, Ordering::Relaxed);
    }

    /// Reports whether the upstream is known to have stopped, because its address
    /// belongs to another one.
    pub(crate) fn is_retired(&self) -> bool {
        self.usage.is_retired.load(Ordering::Relaxed)
    }

    /// Reports whether the upstream is draining, by its entry or by its own responses.
    pub(crate) fn is_leaving(&self) -> bool {
        self.record.is_leaving || self.usage.is_leaving.load(Ordering::Relaxed)
    }

    /// Records what a response's head tells about the upstream; `boot_now` is the time
    /// on the clock that counts suspension.
    pub(crate) fn record_head(&self, head: &ResponseHead, boot_now: ClockTime) {
        if head.is_misdirected {
            return self.retire();
        }
        if head.is_leaving && !self.usage.is_leaving.swap(true, Ordering::Relaxed) {
            log::info!(upstream:% = self.name(); "upstream announced that it leaves");
        }
        if let Some(retry_after) = head.retry_after {
            self.defer(deferred_until(boot_now, retry_after), boot_now);
        }
    }

    fn defer(&self, until: ClockTime, boot_now: ClockTime) {
        if !self.is_deferred(boot_now) {
            let wait_ms = until.since(boot_now).as_millis();
            log::info!(upstream:% = self.name(), wait_ms; "upstream wants no requests for a while");
        }
        let until_ms = until.as_millis();
        self.usage
            .deferred_until_ms
            .fetch_max(until_ms, Ordering::Relaxed);
    }

    /// Reports whether the upstream wants no requests now.
    pub(crate) fn is_deferred(&self, boot_now: ClockTime) -> bool {
        self.deferred_for(boot_now) > ClockTime::ZERO
    }

    /// Returns for how long the upstream wants no requests.
    fn deferred_for(&self, boot_now: ClockTime) -> ClockTime {
        let until_ms = self.usage.deferred_until_ms.load(Ordering::Relaxed);
        ClockTime::from_millis(until_ms).since(boot_now)
    }

    pub(crate) fn health(&self, now: ClockTime) -> UpstreamHealth {
        if self.is_leaving() || self.is_retired() {
            return UpstreamHealth::Leaving;
        }
        match self.usage.suspect_until_ms.load(Ordering::Relaxed) > now.as_millis() {
            true => UpstreamHealth::Suspect,
            false => UpstreamHealth::Healthy,
        }
    }

    fn load(&self) -> u64 {
        let running = self.usage.running.load(Ordering::Relaxed);
        running * REQUEST_LOAD / u64::from(self.record.slots.max(1))
    }
}

/// Identifies one start of an upstream.
type UpstreamStart = (UpstreamName, ClockTime);

/// The upstreams and, for each start of one, what this VM knows of it.
#[derive(Debug)]
struct DirectoryTable {
    table: UpstreamTable,
    /// Entries may vanish and come back, so usages are kept without their entries.
    usages: HashMap<UpstreamStart, Arc<UpstreamUsage>>,
}

type ServiceMap = HashMap<ServiceName, Vec<Arc<UpstreamState>>>;

/// All upstreams, by service.
pub(crate) struct UpstreamDirectory {
    clock: MonotonicClock,
    boot_clock: BootTimeClock,
    table: Mutex<DirectoryTable>,
    services: ArcSwap<ServiceMap>,
}

/// The constraints for choosing an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamQuery<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) zone: &'a ZoneName,
    pub(crate) avoid: &'a [UpstreamName],
    pub(crate) avoid_zones: &'a [ZoneName],
    pub(crate) version_filter: &'a VersionFilter,
    /// Which upstream is preferred among equals: the same one for the same prompt, or a
    /// random one.
    pub(crate) prompt_hash: Option<u64>,
}

impl UpstreamDirectory {
    pub(crate) fn new(
        clock: MonotonicClock,
        boot_clock: BootTimeClock,
        times: &GatewayTimes,
    ) -> Self {
        UpstreamDirectory {
            clock,
            boot_clock,
            table: Mutex::new(DirectoryTable {
                table: UpstreamTable::new(times.entry_times()),
                usages: HashMap::new(),
            }),
            services: ArcSwap::default(),
        }
    }

    /// Changes the upstream table and publishes the result.
    pub(crate) fn update(
        &self,
        change: impl FnOnce(&mut UpstreamTable, ClockTime) -> Vec<UpstreamChange>,
    ) -> Vec<UpstreamChange> {
        // The table is consistent between calls, so a poisoned lock is usable.
        let mut directory = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let changes = change(&mut directory.table, self.clock.now());
        if !changes.is_empty() {
            self.publish(&mut directory);
        }
        changes
    }

    /// Returns when the next missing entry is dropped.
    pub(crate) fn next_expiry(&self) -> Option<ClockTime> {
        let directory = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        directory.table.next_expiry()
    }

    fn publish(&self, directory: &mut DirectoryTable) {
        let DirectoryTable { table, usages } = directory;
        if usages.len() > MAX_UNLISTED_USAGES + table.records().count() {
            let listed: HashSet<UpstreamStart> = table.records().map(upstream_start).collect();
            usages.retain(|start, _| listed.contains(start));
        }
        let mut services = ServiceMap::new();
        for record in table.records() {
            // A new incarnation under the same name starts with fresh usage.
            let usage = usages.entry(upstream_start(record)).or_default();
            let state = UpstreamState {
                record: record.clone(),
                usage: usage.clone(),
            };
            let states = services.entry(record.service.clone()).or_default();
            states.push(Arc::new(state));
        }
        self.services.store(Arc::new(services));
    }

    /// Chooses an upstream for a request, if possible one of the preferred version.
    pub(crate) fn choose(&self, query: &UpstreamQuery<'_>) -> Option<Arc<UpstreamState>> {
        let services = self.services.load();
        let states = services.get(query.service)?;
        let version_filter = query.version_filter;
        let allowed = |state: &UpstreamState| version_filter.allows(&state.record.version);
        let preferred =
            |state: &UpstreamState| allowed(state) && version_filter.prefers(&state.record.version);
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
        let boot_now = self.boot_clock.now();
        let candidates = states.iter().map(|state| UpstreamCandidate {
            name: state.name(),
            zone: &state.record.zone,
            load: state.load(),
            refusal_permille: state.usage.refusals.permille(now),
            health: match state.is_deferred(boot_now) {
                true => state.health(now).max(UpstreamHealth::Deferred),
                false => state.health(now),
            },
        });
        let candidates: Vec<UpstreamCandidate<'_>> = candidates.collect();
        let placement = PlacementQuery {
            zone: query.zone,
            avoid: query.avoid,
            avoid_zones: query.avoid_zones,
            tie_hash: query.prompt_hash.unwrap_or_else(rand::random),
            load_step: match query.prompt_hash {
                Some(_) => PROMPT_LOAD_STEP,
                None => 1,
            },
        };
        choose_candidate(&placement, &candidates).map(|index| states[index].clone())
    }

    /// Reports whether a service has a healthy upstream of a wanted version.
    pub(crate) fn has_version(
        &self,
        service: &ServiceName,
        is_wanted: impl Fn(&VersionName) -> bool,
    ) -> bool {
        let now = self.clock.now();
        let works_normally = |state: &UpstreamState| state.health(now) == UpstreamHealth::Healthy;
        let services = self.services.load();
        let mut states = services.get(service).into_iter().flatten();
        states.any(|state| is_wanted(&state.record.version) && works_normally(state))
    }

    /// Reports whether a service has an upstream of a wanted version that is not retired.
    pub(crate) fn lists_version(
        &self,
        service: &ServiceName,
        is_wanted: impl Fn(&VersionName) -> bool,
    ) -> bool {
        let services = self.services.load();
        let mut states = services.get(service).into_iter().flatten();
        states.any(|state| is_wanted(&state.record.version) && !state.is_retired())
    }

    /// Returns the time until the first upstream of a service accepts requests again,
    /// if all that don't leave have asked for no requests for a while.
    pub(crate) fn earliest_release(
        &self,
        service: &ServiceName,
        version_filter: &VersionFilter,
        boot_now: ClockTime,
    ) -> Option<ClockTime> {
        let services = self.services.load();
        let states = services.get(service)?.iter();
        let states = states.filter(|state| !state.is_leaving() && !state.is_retired());
        let states = states.filter(|state| version_filter.allows(&state.record.version));
        let earliest = states.map(|state| state.deferred_for(boot_now)).min();
        earliest.filter(|earliest| *earliest > ClockTime::ZERO)
    }

    /// Finds an upstream by name.
    pub(crate) fn find(
        &self,
        service: &ServiceName,
        name: &UpstreamName,
    ) -> Option<Arc<UpstreamState>> {
        let services = self.services.load();
        let states = services.get(service)?;
        states.iter().find(|state| state.name() == name).cloned()
    }

    /// Returns the number of listed upstreams and how many of them are draining.
    pub(crate) fn count(&self) -> (usize, usize) {
        let services = self.services.load();
        let states = services.values().flatten();
        let leaving = states.clone().filter(|state| state.is_leaving()).count();
        (states.count(), leaving)
    }

    /// Reports whether no upstream is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.services.load().is_empty()
    }
}

fn upstream_start(record: &Arc<UpstreamRecord>) -> UpstreamStart {
    (record.name.clone(), record.started)
}
