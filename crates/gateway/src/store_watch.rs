//! Applies the store's change feeds to the configuration and the upstream table.

use crate::counters;
use crate::gateway_state::GatewayState;
use crate::peers::{FeedReader, FeedWaits, REPLY_TIMEOUT};
use crate::platform_api::{
    ControlUpdate, FeedSource, RoutingStore, StoreError, UpstreamUpdate, VmUpdate,
};
use crate::store_outage::resolve_missing_upstreams;
use skylarkshed_core::{ClockTime, UpstreamName};
use skylarkshed_policy::{FeedPosition, UpstreamChange, UpstreamEntry, UpstreamTable};
use std::sync::Arc;

/// A watch without changes returns after this time, which limits the age of the
/// configuration. Revoked keys have to be refused within seconds, but each response is
/// a billed call.
const CONTROL_WATCH_TIMEOUT: ClockTime = ClockTime::from_millis(700);
/// A watch of upstreams may last longer, because it does not confirm the
/// configuration.
const UPSTREAM_WATCH_TIMEOUT: ClockTime = ClockTime::from_millis(800);
/// The delay after a change of upstreams, so that one response carries many: the
/// engines of a zone disappear and reappear one by one within a second. It is this
/// part of the time for which a draining upstream may still get requests.
const UPSTREAM_BATCH_DRAIN_PART: u64 = 20;
/// The list of VMs confirms nothing, so watches of it last long.
const VM_WAITS: FeedWaits = FeedWaits {
    store: ClockTime::from_millis(20_000),
    peer: ClockTime::from_millis(5_000),
};
/// VMs that start together announce themselves within seconds.
const VM_BATCH_DELAY: ClockTime = ClockTime::from_millis(1_000);
/// The longest delay after the first failed call, which grows with each further one.
/// It is short because changes have to take effect within 2 s.
const RETRY_DELAY: ClockTime = ClockTime::from_millis(150);
/// The minimum time between two reads of a whole table after lost history. A store may
/// drop its history again at once.
const MIN_RELOAD_INTERVAL: ClockTime = ClockTime::from_millis(500);
/// The longest delay after repeated failures.
const MAX_RETRY_DELAY: ClockTime = ClockTime::from_millis(600);

/// Applies the updates of one feed source.
trait FeedSink: Send {
    type Update;

    /// How long a watch waits for changes.
    const WAITS: FeedWaits;
    /// Returns how long to wait after changes, so that more are batched.
    fn batch_delay(&self) -> ClockTime;

    /// Applies updates, which are the whole table if `is_complete`; `fresh_at` is when
    /// they were last confirmed as current.
    fn apply(&mut self, updates: Vec<Self::Update>, is_complete: bool, fresh_at: ClockTime);

    /// Records that the store is unavailable; `reason` is the last error.
    fn mark_unavailable(&mut self, reason: &StoreError);

    /// Records that the store has returned from an older copy.
    fn mark_restored(&mut self);
}

/// Keeps the configuration and the rollouts up to date.
pub(crate) async fn watch_control<S: RoutingStore>(state: Arc<GatewayState>, store: S) {
    let source = store.control();
    let sink = ControlSink {
        state: state.clone(),
        store,
    };
    run(&state, source, sink).await;
}

/// Keeps the upstream table up to date.
pub(crate) async fn watch_upstreams<S: RoutingStore>(state: Arc<GatewayState>, store: S) {
    let source = store.upstreams();
    let sink = UpstreamSink {
        state: state.clone(),
        source: S::Upstreams::NAME,
    };
    run(&state, source, sink).await;
}

/// Keeps the list of VMs up to date.
pub(crate) async fn watch_vms<S: RoutingStore>(state: Arc<GatewayState>, store: S) {
    let sink = VmSink {
        state: state.clone(),
    };
    run(&state, store.vms(), sink).await;
}

async fn run<S, K>(state: &Arc<GatewayState>, source: S, mut sink: K)
where
    S: FeedSource,
    K: FeedSink<Update = S::Update>,
{
    let mut reader = FeedReader::new(state.clone(), source, K::WAITS);
    let mut known: Option<FeedPosition> = None;
    let mut era: Option<u64> = None;
    let mut failures = 0;
    let mut reloaded_at = ClockTime::ZERO;
    loop {
        match reader.next(known).await {
            Ok(batch) => {
                if failures > 0 {
                    log::info!(source = S::NAME, failures; "the store is available again");
                }
                failures = 0;
                let fresh_at = state.config.now().since(batch.age);
                let is_complete = known.is_none();
                state
                    .feed_caches
                    .record(S::NAME, &batch, is_complete, fresh_at, S::version);
                let new_era = batch.position.era;
                if era.replace(new_era).is_some_and(|era| era < new_era) {
                    log::warn!(source = S::NAME, era = new_era; "the store has returned from an older copy");
                    sink.mark_restored();
                }
                let updates = batch.rows.iter().map(S::decode).collect();
                let has_updates = !batch.rows.is_empty();
                sink.apply(updates, is_complete, fresh_at);
                if is_complete {
                    // The list of VMs tells where changes are read from.
                    state.roster.wait_until_read().await;
                }
                let known_revision = known.map_or(0, |known| known.revision);
                known = Some(FeedPosition {
                    era: new_era,
                    revision: known_revision.max(batch.position.revision),
                });
                if has_updates {
                    tokio::time::sleep(sink.batch_delay().to_duration()).await;
                }
            }
            Err(StoreError::HistoryLost) => {
                let revision = known.map(|known| known.revision);
                log::info!(source = S::NAME, revision; "change history lost; reading the whole table again");
                known = None;
                let elapsed = state.clock.now().since(reloaded_at);
                tokio::time::sleep(MIN_RELOAD_INTERVAL.since(elapsed).to_duration()).await;
                reloaded_at = state.clock.now();
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(
                        source = S::NAME,
                        reason = error.label(),
                        config_age_ms = state.config.known_age().map(ClockTime::as_millis);
                        "the store is unavailable: {error}"
                    );
                }
                failures += 1;
                state.store_outage.record_failure();
                sink.mark_unavailable(&error);
                tokio::time::sleep(retry_delay(failures).to_duration()).await;
            }
        }
    }
}

/// Returns the delay after a number of consecutive failures, with jitter so that VMs
/// don't retry together.
fn retry_delay(failures: u64) -> ClockTime {
    let max_ms = (RETRY_DELAY.as_millis() * failures).min(MAX_RETRY_DELAY.as_millis());
    ClockTime::from_millis(rand::random_range(max_ms / 2..=max_ms))
}

struct ControlSink<S> {
    state: Arc<GatewayState>,
    store: S,
}

impl<S: RoutingStore> ControlSink<S> {
    fn apply_update(&self, update: ControlUpdate, is_complete: bool) {
        match update {
            ControlUpdate::Config(config) => self.accept(*config),
            ControlUpdate::Rollout(spec) => {
                let rollouts = &self.state.rollouts;
                rollouts.start(&self.state, &self.store, spec, is_complete);
            }
            ControlUpdate::RolloutRemoved(service) => self.state.rollouts.remove(&service),
            ControlUpdate::Unreadable { row, problem } => {
                counters::count_unreadable_row();
                log::warn!(row = row.as_str(); "can't parse an operator's row: {problem}");
            }
            ControlUpdate::Ignored => {}
        }
    }

    fn accept(&self, config: skylarkshed_core::RoutingConfig) {
        let version = config.version;
        if self.state.config.accept(config) {
            counters::set_config_version(version);
            log::info!(config_version = version; "configuration activated");
        }
    }
}

impl<S: RoutingStore> FeedSink for ControlSink<S> {
    type Update = ControlUpdate;

    const WAITS: FeedWaits = FeedWaits {
        store: CONTROL_WATCH_TIMEOUT,
        peer: REPLY_TIMEOUT,
    };

    fn batch_delay(&self) -> ClockTime {
        ClockTime::ZERO
    }

    fn apply(&mut self, updates: Vec<ControlUpdate>, is_complete: bool, fresh_at: ClockTime) {
        for update in updates {
            self.apply_update(update, is_complete);
        }
        self.state.config.mark_confirmed(fresh_at);
        self.state.config.set_fleet_stale(false);
        self.state.note_table();
    }

    fn mark_unavailable(&mut self, reason: &StoreError) {
        // Other VMs are not asked in every round, so another error tells nothing of them.
        if matches!(reason, StoreError::Outdated(_)) {
            self.state.config.set_fleet_stale(true);
        }
    }

    fn mark_restored(&mut self) {
        self.state.rollouts.mark_restored(&self.state, &self.store);
        self.state.quarantine.mark_store_restored();
    }
}

struct UpstreamSink {
    state: Arc<GatewayState>,
    /// The name of its table.
    source: &'static str,
}

impl FeedSink for UpstreamSink {
    type Update = UpstreamUpdate;

    const WAITS: FeedWaits = FeedWaits {
        store: UPSTREAM_WATCH_TIMEOUT,
        peer: REPLY_TIMEOUT,
    };

    fn batch_delay(&self) -> ClockTime {
        let drain_ms = self.state.settings.times.drain.as_millis();
        ClockTime::from_millis(drain_ms / UPSTREAM_BATCH_DRAIN_PART)
    }

    fn apply(&mut self, updates: Vec<UpstreamUpdate>, is_complete: bool, _fresh_at: ClockTime) {
        let returned_at = self.state.store_outage.returned_at();
        let is_first = self.state.upstreams.is_empty();
        let changes = self.state.upstreams.update(|table, now| {
            let mut changes = table.record_store_return(returned_at, now);
            match is_complete {
                true => {
                    let present = updates.into_iter().filter_map(present_entry);
                    changes.extend(table.replace(present.collect(), now));
                }
                false => apply_changes(table, updates, now, &mut changes),
            }
            changes
        });
        match is_first {
            true => log_first_table(&changes),
            false => log_changes(&changes),
        }
        let is_missing = |change: &UpstreamChange| matches!(change, UpstreamChange::Missing(_));
        if changes.iter().any(is_missing) {
            let state = self.state.clone();
            tokio::spawn(resolve_missing_upstreams(state, self.source));
        }
        self.state.note_table();
    }

    fn mark_unavailable(&mut self, _reason: &StoreError) {
        let changes = self.state.upstreams.update(|table, now| table.expire(now));
        log_changes(&changes);
    }

    fn mark_restored(&mut self) {
        self.state.upstreams.update(|table, now| {
            table.mark_store_restored(now);
            Vec::new()
        });
    }
}

struct VmSink {
    state: Arc<GatewayState>,
}

impl FeedSink for VmSink {
    type Update = VmUpdate;

    const WAITS: FeedWaits = VM_WAITS;

    fn batch_delay(&self) -> ClockTime {
        VM_BATCH_DELAY
    }

    fn apply(&mut self, updates: Vec<VmUpdate>, is_complete: bool, _fresh_at: ClockTime) {
        let now = self.state.clock.now();
        let is_first = !self.state.roster.is_read();
        if self.state.roster.apply(updates, is_complete, now) || is_first {
            self.state.divide_budgets();
        }
    }

    fn mark_unavailable(&mut self, _reason: &StoreError) {}

    /// A VM whose entry is missing from the copy writes it again.
    fn mark_restored(&mut self) {}
}

fn apply_changes(
    table: &mut UpstreamTable,
    updates: Vec<UpstreamUpdate>,
    now: ClockTime,
    changes: &mut Vec<UpstreamChange>,
) {
    for update in updates {
        match update {
            UpstreamUpdate::Updated(entry) => table.put(entry, now, changes),
            UpstreamUpdate::Removed(name) => table.remove(&name, now, changes),
            UpstreamUpdate::Unreadable { name, problem } => {
                log_unreadable(&name, &problem);
                table.remove_unreadable(&name, now, changes);
            }
        }
    }
}

fn present_entry(update: UpstreamUpdate) -> Option<UpstreamEntry> {
    match update {
        UpstreamUpdate::Updated(entry) => Some(entry),
        UpstreamUpdate::Removed(_) => None,
        UpstreamUpdate::Unreadable { name, problem } => {
            log_unreadable(&name, &problem);
            None
        }
    }
}

fn log_unreadable(name: &UpstreamName, problem: &str) {
    counters::count_unreadable_row();
    log::warn!(upstream:% = name; "can't parse an upstream's entry: {problem}");
}

/// Logs the first table as one line: a line for each of thousands of upstreams delays the
/// start, and the lines beyond the limit of the log are lost, others among them.
fn log_first_table(changes: &[UpstreamChange]) {
    let is_leaving = |change: &&UpstreamChange| matches!(change, UpstreamChange::Leaving(_));
    log::info!(
        upstreams = changes.len(),
        leaving = changes.iter().filter(is_leaving).count();
        "upstreams listed"
    );
}

pub(crate) fn log_changes(changes: &[UpstreamChange]) {
    for change in changes {
        match change {
            UpstreamChange::Updated(record) => log::info!(
                upstream:% = record.name,
                service:% = record.service,
                zone:% = record.zone,
                address:% = record.address,
                version:% = record.version;
                "upstream updated"
            ),
            UpstreamChange::Leaving(record) => {
                log::info!(upstream:% = record.name; "upstream leaving");
            }
            UpstreamChange::Missing(name) => {
                counters::count_missing_entry();
                log::info!(upstream:% = name; "upstream entry missing, kept for the grace period");
            }
            UpstreamChange::Removed(name) => log::info!(upstream:% = name; "upstream removed"),
            UpstreamChange::Doubted(name, doubt) => {
                counters::count_doubted_entry(doubt.label());
                log::info!(
                    upstream:% = name,
                    doubt = doubt.label();
                    "upstream entry may be old, not used yet"
                );
            }
        }
    }
}
