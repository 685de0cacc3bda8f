//! What this VM knows of the upstreams.

use skylarkshed_core::{
    ClockTime, MonotonicClock, ResumeSettings, UpstreamEntry, UpstreamName, VersionEntry, ZoneName,
};
use skylarkshed_policy::{
    choose_upstream, AttemptPhase, ConcurrencyLimiter, IntervalEstimator, LeavingNotice,
    PrefixQuery, SilenceBounds, UpstreamHealth, UpstreamView,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

const FIRST_SUSPICION: ClockTime = ClockTime::from_millis(500);
const MOST_SUSPICION: ClockTime = ClockTime::from_millis(8_000);
const LEAVING_TIME: ClockTime = ClockTime::from_millis(60_000);
/// A prefill's time is judged for this many tokens more than it has.
const PREFILL_BASE_TOKENS: u64 = 200;
/// Prefill times are kept per token, in microseconds.
const US_PER_MS: u64 = 1_000;

/// What this VM knows of one upstream.
pub(crate) struct UpstreamState {
    pub(crate) entry: Arc<UpstreamEntry>,
    in_flight: AtomicU32,
    prefills: AtomicU32,
    answered_probe_at: AtomicU64,
    probed_at: AtomicU64,
    reported_load: AtomicU32,
    suspect_until: AtomicU64,
    leaving_until: AtomicU64,
    failures: AtomicU32,
    decoding: Mutex<IntervalEstimator>,
    prefill: Mutex<IntervalEstimator>,
    calls: Mutex<ConcurrencyLimiter>,
}

impl UpstreamState {
    fn new(entry: Arc<UpstreamEntry>) -> Self {
        UpstreamState {
            entry,
            in_flight: AtomicU32::new(0),
            prefills: AtomicU32::new(0),
            answered_probe_at: AtomicU64::new(0),
            probed_at: AtomicU64::new(0),
            reported_load: AtomicU32::new(0),
            suspect_until: AtomicU64::new(0),
            leaving_until: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            decoding: Mutex::default(),
            prefill: Mutex::default(),
            calls: Mutex::default(),
        }
    }

    /// Takes a token's time after the one before, or after the start.
    pub(crate) fn note_token(
        &self,
        phase: AttemptPhase,
        gap: ClockTime,
        prefill_tokens: u32,
        now: ClockTime,
    ) {
        self.failures.store(0, Ordering::Relaxed);
        self.suspect_until.store(0, Ordering::Relaxed);
        match phase {
            AttemptPhase::Decoding => self.decoding.lock().expect("not poisoned").record(gap, now),
            AttemptPhase::Prefill => {
                let tokens = u64::from(prefill_tokens) + PREFILL_BASE_TOKENS;
                let per_token = ClockTime::from_millis(gap.as_millis() * US_PER_MS / tokens);
                self.prefill
                    .lock()
                    .expect("not poisoned")
                    .record(per_token, now);
            }
        }
    }

    /// Tells whether a silent upstream is to be asked for a sign of life.
    ///
    /// All its answers fall silent together, and one question is enough.
    pub(crate) fn try_probe(&self, now: ClockTime, period: ClockTime) -> bool {
        let last = self.probed_at.load(Ordering::Relaxed);
        let is_due = last == 0 || now.as_millis() >= last + period.as_millis();
        is_due
            && self
                .probed_at
                .compare_exchange(last, now.as_millis(), Ordering::Relaxed, Ordering::Relaxed)
                .is_ok()
    }

    /// Notes that the upstream answered a question during a silence.
    pub(crate) fn note_alive(&self, now: ClockTime) {
        self.answered_probe_at
            .fetch_max(now.as_millis(), Ordering::Relaxed);
    }

    /// Returns the silence after which the upstream is to be suspected.
    ///
    /// An upstream that has just answered a question is rather slow than lost,
    /// and gets twice the time.
    pub(crate) fn silence_limit(
        &self,
        settings: &ResumeSettings,
        phase: AttemptPhase,
        prefill_tokens: u32,
        now: ClockTime,
    ) -> ClockTime {
        let limit = self.gap_limit(settings, phase, prefill_tokens);
        let alive_at = self.answered_probe_at.load(Ordering::Relaxed);
        let is_alive = alive_at > 0 && now.as_millis() < alive_at + limit.as_millis();
        match is_alive {
            true => limit + limit,
            false => limit,
        }
    }

    fn gap_limit(
        &self,
        settings: &ResumeSettings,
        phase: AttemptPhase,
        prefill_tokens: u32,
    ) -> ClockTime {
        let bounds = SilenceBounds {
            min: settings.shortest_silence,
            max: settings.longest_silence,
        };
        match phase {
            AttemptPhase::Decoding => self.decoding.lock().expect("not poisoned").limit(bounds),
            AttemptPhase::Prefill => {
                let tokens = u64::from(prefill_tokens) + PREFILL_BASE_TOKENS;
                let scale =
                    |time: ClockTime| ClockTime::from_millis(time.as_millis() * US_PER_MS / tokens);
                let per_token = SilenceBounds {
                    min: scale(bounds.min),
                    max: scale(bounds.max),
                };
                let limit = self.prefill.lock().expect("not poisoned").limit(per_token);
                ClockTime::from_millis(limit.as_millis() * tokens / US_PER_MS + 1)
            }
        }
    }

    /// Avoids the upstream for a while, longer each time.
    pub(crate) fn note_failure(&self, now: ClockTime) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(4);
        let time = ClockTime::from_millis(FIRST_SUSPICION.as_millis() << failures);
        let until = now + time.min(MOST_SUSPICION);
        self.suspect_until
            .fetch_max(until.as_millis(), Ordering::Relaxed);
    }

    /// Ends a suspicion.
    pub(crate) fn note_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.suspect_until.store(0, Ordering::Relaxed);
    }

    /// Gives the upstream no new work from now on; tells whether that is news.
    pub(crate) fn note_leaving(&self, now: ClockTime) -> bool {
        let until = (now + LEAVING_TIME).as_millis();
        self.leaving_until.swap(until, Ordering::Relaxed) <= now.as_millis()
    }

    pub(crate) fn set_reported_load(&self, load: u32) {
        self.reported_load.store(load, Ordering::Relaxed);
    }

    pub(crate) fn health(&self, now: ClockTime) -> UpstreamHealth {
        if self.leaving_until.load(Ordering::Relaxed) > now.as_millis() {
            UpstreamHealth::Leaving
        } else if self.suspect_until.load(Ordering::Relaxed) > now.as_millis() {
            UpstreamHealth::Suspect
        } else {
            UpstreamHealth::Healthy
        }
    }

    /// Starts a quick call, or refuses it because too many are in progress.
    pub(crate) fn try_start_call(&self) -> bool {
        self.calls.lock().expect("not poisoned").try_start()
    }

    /// Ends a quick call; `latency` is none if its answer was lost.
    pub(crate) fn finish_call(&self, latency: Option<ClockTime>, now: ClockTime) {
        self.calls
            .lock()
            .expect("not poisoned")
            .finish(latency, now);
    }

    fn load(&self) -> u64 {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        u64::from(in_flight.max(self.reported_load.load(Ordering::Relaxed)))
    }
}

/// Counts a request in progress at an upstream until it is dropped.
pub(crate) struct InFlightGuard {
    pub(crate) record: Arc<UpstreamState>,
}

impl InFlightGuard {
    pub(crate) fn new(record: Arc<UpstreamState>) -> Self {
        record.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { record }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.record.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

type RecordKey = (UpstreamName, SocketAddr);

/// Counts a request whose first token is still to come until it is dropped.
pub(crate) struct PrefillGuard {
    record: Arc<UpstreamState>,
}

impl PrefillGuard {
    pub(crate) fn new(record: Arc<UpstreamState>) -> Self {
        record.prefills.fetch_add(1, Ordering::Relaxed);
        PrefillGuard { record }
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        self.record.prefills.fetch_sub(1, Ordering::Relaxed);
    }
}

/// All upstreams that this VM has seen.
pub(crate) struct UpstreamRegistry {
    clock: MonotonicClock,
    records: Mutex<HashMap<RecordKey, Arc<UpstreamState>>>,
}

impl UpstreamRegistry {
    pub(crate) fn new(clock: MonotonicClock) -> Self {
        UpstreamRegistry {
            clock,
            records: Mutex::default(),
        }
    }

    /// Returns the record of an upstream; makes it if it is new.
    pub(crate) fn record(&self, entry: &Arc<UpstreamEntry>) -> Arc<UpstreamState> {
        let mut records = self.records.lock().expect("not poisoned");
        let key = (entry.name.clone(), entry.address);
        let record = records.entry(key);
        record
            .or_insert_with(|| Arc::new(UpstreamState::new(entry.clone())))
            .clone()
    }

    /// Returns the record that a notice is about.
    pub(crate) fn find(&self, notice: &LeavingNotice) -> Option<Arc<UpstreamState>> {
        let key = (notice.upstream.clone(), notice.address);
        self.records
            .lock()
            .expect("not poisoned")
            .get(&key)
            .cloned()
    }

    /// Returns all records of upstreams with this name.
    pub(crate) fn named(&self, name: &str) -> Vec<Arc<UpstreamState>> {
        let records = self.records.lock().expect("not poisoned");
        let named = records
            .values()
            .filter(|record| record.entry.name.as_str() == name);
        named.cloned().collect()
    }

    /// Picks an upstream of a version.
    pub(crate) fn choose(
        &self,
        version: &VersionEntry,
        prefix: u64,
        zone: &ZoneName,
        avoid: &[UpstreamName],
    ) -> Option<Arc<UpstreamState>> {
        let now = self.clock.now();
        let records: Vec<_> = version
            .upstreams
            .iter()
            .map(|entry| self.record(entry))
            .collect();
        let views: Vec<UpstreamView<'_>> = records
            .iter()
            .map(|record| UpstreamView {
                name: &record.entry.name,
                zone: &record.entry.zone,
                load: record.load(),
                prefills: u64::from(record.prefills.load(Ordering::Relaxed)),
                health: record.health(now),
            })
            .collect();
        let query = PrefixQuery {
            prefix,
            zone,
            avoid,
        };
        choose_upstream(&query, &views).map(|place| records[place].clone())
    }
}
