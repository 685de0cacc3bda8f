//! State of the upstreams as this VM measures it: load, latency and failures.

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

const MIN_SUSPECT_TIME: ClockTime = ClockTime::from_millis(500);
const MAX_SUSPECT_TIME: ClockTime = ClockTime::from_millis(8_000);
/// How long an upstream stays marked as leaving after the last report that it leaves.
const LEAVING_TIME: ClockTime = ClockTime::from_millis(60_000);
/// Added to a prefill's tokens when its time is converted to a time per token.
const PREFILL_BASE_TOKENS: u64 = 200;
/// Prefill times per token are stored in microseconds: the `ClockTime`s of the
/// prefill estimator count microseconds, not milliseconds.
const US_PER_MS: u64 = 1_000;

/// State of one upstream as this VM measures it.
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
    decode_intervals: Mutex<IntervalEstimator>,
    prefill_intervals: Mutex<IntervalEstimator>,
    call_limiter: Mutex<ConcurrencyLimiter>,
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
            decode_intervals: Mutex::default(),
            prefill_intervals: Mutex::default(),
            call_limiter: Mutex::default(),
        }
    }

    /// Records the time between a token and the one before it, or the attempt's start.
    ///
    /// A token also ends a suspicion.
    pub(crate) fn record_token(
        &self,
        phase: AttemptPhase,
        gap: ClockTime,
        prefill_tokens: u32,
        now: ClockTime,
    ) {
        self.failures.store(0, Ordering::Relaxed);
        self.suspect_until.store(0, Ordering::Relaxed);
        match phase {
            AttemptPhase::Decoding => self
                .decode_intervals
                .lock()
                .expect("not poisoned")
                .record(gap, now),
            AttemptPhase::Prefill => {
                let tokens = u64::from(prefill_tokens) + PREFILL_BASE_TOKENS;
                let per_token = ClockTime::from_millis(gap.as_millis() * US_PER_MS / tokens);
                self.prefill_intervals
                    .lock()
                    .expect("not poisoned")
                    .record(per_token, now);
            }
        }
    }

    /// Reports whether a probe of the upstream is due; true at most once per period.
    ///
    /// All streams of a failed upstream stop together, and one probe is enough.
    pub(crate) fn try_probe(&self, now: ClockTime, period: ClockTime) -> bool {
        let last = self.probed_at.load(Ordering::Relaxed);
        let is_due = last == 0 || now.as_millis() >= last + period.as_millis();
        is_due
            && self
                .probed_at
                .compare_exchange(last, now.as_millis(), Ordering::Relaxed, Ordering::Relaxed)
                .is_ok()
    }

    /// Records that the upstream replied to a probe while a stream was silent.
    pub(crate) fn record_probe_reply(&self, now: ClockTime) {
        self.answered_probe_at
            .fetch_max(now.as_millis(), Ordering::Relaxed);
    }

    /// Returns the time without a token after which the upstream is suspected.
    ///
    /// An upstream that has just replied to a probe is more likely slow than
    /// failed, and gets twice the time.
    pub(crate) fn silence_limit(
        &self,
        settings: &ResumeSettings,
        phase: AttemptPhase,
        prefill_tokens: u32,
        now: ClockTime,
    ) -> ClockTime {
        let limit = self.interval_limit(settings, phase, prefill_tokens);
        let alive_at = self.answered_probe_at.load(Ordering::Relaxed);
        let is_alive = alive_at > 0 && now.as_millis() < alive_at + limit.as_millis();
        match is_alive {
            true => limit + limit,
            false => limit,
        }
    }

    fn interval_limit(
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
            AttemptPhase::Decoding => self
                .decode_intervals
                .lock()
                .expect("not poisoned")
                .limit(bounds),
            AttemptPhase::Prefill => {
                let tokens = u64::from(prefill_tokens) + PREFILL_BASE_TOKENS;
                let scale =
                    |time: ClockTime| ClockTime::from_millis(time.as_millis() * US_PER_MS / tokens);
                let per_token = SilenceBounds {
                    min: scale(bounds.min),
                    max: scale(bounds.max),
                };
                let limit = self
                    .prefill_intervals
                    .lock()
                    .expect("not poisoned")
                    .limit(per_token);
                ClockTime::from_millis(limit.as_millis() * tokens / US_PER_MS + 1)
            }
        }
    }

    /// Marks the upstream suspect, for longer after each further failure.
    pub(crate) fn mark_suspect(&self, now: ClockTime) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(4);
        let time = ClockTime::from_millis(MIN_SUSPECT_TIME.as_millis() << failures);
        let until = now + time.min(MAX_SUSPECT_TIME);
        self.suspect_until
            .fetch_max(until.as_millis(), Ordering::Relaxed);
    }

    /// Ends a suspicion and resets its duration.
    pub(crate) fn mark_healthy(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.suspect_until.store(0, Ordering::Relaxed);
    }

    /// Marks the upstream as leaving, so that it gets no new requests.
    ///
    /// Returns false if it was marked already.
    pub(crate) fn mark_leaving(&self, now: ClockTime) -> bool {
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

    /// Starts an application call; returns false if too many are in progress.
    pub(crate) fn try_start_call(&self) -> bool {
        self.call_limiter.lock().expect("not poisoned").try_start()
    }

    /// Ends an application call; `latency` is `None` if its response was lost.
    pub(crate) fn finish_call(&self, latency: Option<ClockTime>, now: ClockTime) {
        self.call_limiter
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
    pub(crate) state: Arc<UpstreamState>,
}

impl InFlightGuard {
    pub(crate) fn new(state: Arc<UpstreamState>) -> Self {
        state.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { state }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

type StateKey = (UpstreamName, SocketAddr);

/// Counts an attempt in its prefill phase until it is dropped.
pub(crate) struct PrefillGuard {
    state: Arc<UpstreamState>,
}

impl PrefillGuard {
    pub(crate) fn new(state: Arc<UpstreamState>) -> Self {
        state.prefills.fetch_add(1, Ordering::Relaxed);
        PrefillGuard { state }
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        self.state.prefills.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The states of all upstreams that this VM has used or polled.
pub(crate) struct UpstreamRegistry {
    clock: MonotonicClock,
    states: Mutex<HashMap<StateKey, Arc<UpstreamState>>>,
}

impl UpstreamRegistry {
    pub(crate) fn new(clock: MonotonicClock) -> Self {
        UpstreamRegistry {
            clock,
            states: Mutex::default(),
        }
    }

    /// Returns the state of an upstream; creates it if it is new.
    pub(crate) fn state(&self, entry: &Arc<UpstreamEntry>) -> Arc<UpstreamState> {
        let mut states = self.states.lock().expect("not poisoned");
        let key = (entry.name.clone(), entry.address);
        let state = states.entry(key);
        state
            .or_insert_with(|| Arc::new(UpstreamState::new(entry.clone())))
            .clone()
    }

    /// Returns the state of the upstream that a notice names.
    pub(crate) fn find(&self, notice: &LeavingNotice) -> Option<Arc<UpstreamState>> {
        let key = (notice.upstream.clone(), notice.address);
        self.states.lock().expect("not poisoned").get(&key).cloned()
    }

    /// Returns the states of all upstreams with this name.
    pub(crate) fn find_by_name(&self, name: &str) -> Vec<Arc<UpstreamState>> {
        let states = self.states.lock().expect("not poisoned");
        let found = states
            .values()
            .filter(|state| state.entry.name.as_str() == name);
        found.cloned().collect()
    }

    /// Chooses an upstream of a version.
    pub(crate) fn choose(
        &self,
        version: &VersionEntry,
        prefix: u64,
        zone: &ZoneName,
        avoid: &[UpstreamName],
    ) -> Option<Arc<UpstreamState>> {
        let now = self.clock.now();
        let states: Vec<_> = version
            .upstreams
            .iter()
            .map(|entry| self.state(entry))
            .collect();
        let views: Vec<UpstreamView<'_>> = states
            .iter()
            .map(|state| UpstreamView {
                name: &state.entry.name,
                zone: &state.entry.zone,
                load: state.load(),
                prefills: u64::from(state.prefills.load(Ordering::Relaxed)),
                health: state.health(now),
            })
            .collect();
        let query = PrefixQuery {
            prefix,
            zone,
            avoid,
        };
        choose_upstream(&query, &views).map(|index| states[index].clone())
    }
}
