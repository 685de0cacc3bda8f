//! Keeps the configuration and the upstreams in step with the store.

use crate::counters;
use crate::gateway_state::GatewayState;
use crate::peers::NewsChain;
use crate::platform_api::{ControlUpdate, FeedSource, RoutingStore, StoreError, UpstreamUpdate};
use skylarkshed_core::{ClockTime, UpstreamName, UpstreamRecord};
use skylarkshed_policy::{UpstreamChange, UpstreamTable};
use std::sync::Arc;

/// A watch without news is answered after this time, which bounds the age of
/// what the VM knows. Revoked keys need an age below seconds; each answer is a
/// priced call.
const CONTROL_WAIT: ClockTime = ClockTime::from_millis(700);
/// A watch of upstreams proves nothing by its silence, so it can last longer.
const UPSTREAM_WAIT: ClockTime = ClockTime::from_millis(800);
/// The pause after news of upstreams: a zone's engines go and come back within
/// a second, one by one, and one answer can tell of many. An upstream that
/// leaves may get work for 2 s.
const UPSTREAM_GATHER: ClockTime = ClockTime::from_millis(100);
/// The pause after a failed call: short against the 2 s in which changes have
/// to be in force.
const RETRY_PAUSE: ClockTime = ClockTime::from_millis(150);
/// The longest pause after many failed calls.
const LONGEST_PAUSE: ClockTime = ClockTime::from_millis(600);

/// Takes what a source tells.
trait NewsSink: Send {
    type News;

    /// How long a watch waits for news.
    const WAIT: ClockTime;
    /// How long more news are let gather after some.
    const GATHER: ClockTime;

    /// Takes news; `proved` is when they were known to be the newest.
    fn take(&mut self, news: Vec<Self::News>, is_whole: bool, proved: ClockTime);

    /// Notes that the store does not answer.
    fn note_lost(&mut self);
}

/// Keeps the configuration up to date.
pub(crate) async fn watch_control<S: RoutingStore>(state: Arc<GatewayState>, store: S) {
    let source = store.control();
    let sink = ControlSink {
        state: state.clone(),
        store,
    };
    run(&state, source, sink).await;
}

/// Keeps the upstreams up to date.
pub(crate) async fn watch_upstreams<S: RoutingStore>(state: Arc<GatewayState>, store: S) {
    let source = store.upstreams();
    let sink = UpstreamSink {
        state: state.clone(),
    };
    run(&state, source, sink).await;
}

async fn run<S, K>(state: &Arc<GatewayState>, source: S, mut sink: K)
where
    S: FeedSource,
    K: NewsSink<News = S::News>,
{
    let mut chain = NewsChain::new(state.clone(), source);
    let mut known: Option<u64> = None;
    let mut failures = 0;
    loop {
        match chain.next(known, K::WAIT).await {
            Ok(reading) => {
                if failures > 0 {
                    log::info!(source = S::NAME, failures; "the store answers again");
                }
                failures = 0;
                let proved = state.control.now().since(reading.age);
                state.board.note(S::NAME, &reading, known.is_none(), proved);
                let news = reading.rows.iter().map(S::decode).collect();
                let has_news = !reading.rows.is_empty();
                sink.take(news, known.is_none(), proved);
                known = Some(known.unwrap_or(0).max(reading.revision));
                if has_news {
                    tokio::time::sleep(K::GATHER.to_duration()).await;
                }
            }
            Err(StoreError::HistoryLost) => {
                log::info!(source = S::NAME, revision = known; "history lost; reading all again");
                known = None;
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(
                        source = S::NAME,
                        reason = error.label(),
                        config_age_ms = state.control.known_age().map(ClockTime::as_millis);
                        "the store does not answer: {error}"
                    );
                }
                failures += 1;
                sink.note_lost();
                tokio::time::sleep(pause(failures).to_duration()).await;
            }
        }
    }
}

/// Returns the pause after so many failures, spread so that VMs do not meet.
fn pause(failures: u64) -> ClockTime {
    let longest = (RETRY_PAUSE.as_millis() * failures).min(LONGEST_PAUSE.as_millis());
    ClockTime::from_millis(rand::random_range(longest / 2..=longest))
}

struct ControlSink<S> {
    state: Arc<GatewayState>,
    store: S,
}

impl<S: RoutingStore> ControlSink<S> {
    fn take_item(&self, item: ControlUpdate) {
        match item {
            ControlUpdate::Config(config) => self.accept(*config),
            ControlUpdate::Rollout(order) => {
                let rollouts = &self.state.rollouts;
                rollouts.start(&self.state, &self.store, order);
            }
            ControlUpdate::RolloutRemoved(service) => self.state.rollouts.remove(&service),
            ControlUpdate::Unreadable { row, problem } => {
                counters::count_unreadable_row();
                log::warn!(row = row.as_str(); "an operator's row can't be read: {problem}");
            }
            ControlUpdate::Ignored => {}
        }
    }

    fn accept(&self, config: skylarkshed_core::RoutingConfig) {
        let version = config.version;
        if self.state.control.accept(config) {
            counters::set_config_version(version);
            log::info!(config_version = version; "configuration in force");
        }
    }
}

impl<S: RoutingStore> NewsSink for ControlSink<S> {
    type News = ControlUpdate;

    const WAIT: ClockTime = CONTROL_WAIT;
    const GATHER: ClockTime = ClockTime::ZERO;

    fn take(&mut self, news: Vec<ControlUpdate>, _is_whole: bool, proved: ClockTime) {
        for item in news {
            self.take_item(item);
        }
        self.state.control.prove(proved);
    }

    fn note_lost(&mut self) {}
}

struct UpstreamSink {
    state: Arc<GatewayState>,
}

impl NewsSink for UpstreamSink {
    type News = UpstreamUpdate;

    const WAIT: ClockTime = UPSTREAM_WAIT;
    const GATHER: ClockTime = UPSTREAM_GATHER;

    fn take(&mut self, news: Vec<UpstreamUpdate>, is_whole: bool, _proved: ClockTime) {
        let changes = self.state.upstreams.update(|book, now| {
            book.mark_store_available(now);
            let mut changes = book.expire(now);
            match is_whole {
                true => {
                    let present = news.into_iter().filter_map(to_present);
                    changes.extend(book.replace(present.collect(), now));
                }
                false => take_changes(book, news, now, &mut changes),
            }
            changes
        });
        log_changes(&changes);
    }

    fn note_lost(&mut self) {
        self.state.upstreams.update(|book, now| {
            book.mark_store_unavailable();
            book.expire(now)
        });
    }
}

fn take_changes(
    book: &mut UpstreamTable,
    news: Vec<UpstreamUpdate>,
    now: ClockTime,
    changes: &mut Vec<UpstreamChange>,
) {
    for item in news {
        match item {
            UpstreamUpdate::Present(record) => book.put(record, changes),
            UpstreamUpdate::Gone(name) => book.remove(&name, now, changes),
            UpstreamUpdate::Unreadable { name, problem } => {
                note_unreadable(&name, &problem);
                book.remove(&name, now, changes);
            }
        }
    }
}

fn to_present(news: UpstreamUpdate) -> Option<UpstreamRecord> {
    match news {
        UpstreamUpdate::Present(record) => Some(record),
        UpstreamUpdate::Gone(_) => None,
        UpstreamUpdate::Unreadable { name, problem } => {
            note_unreadable(&name, &problem);
            None
        }
    }
}

fn note_unreadable(name: &UpstreamName, problem: &str) {
    counters::count_unreadable_row();
    log::warn!(upstream:% = name; "an upstream's entry can't be read: {problem}");
}

fn log_changes(changes: &[UpstreamChange]) {
    for change in changes {
        match change {
            UpstreamChange::Updated(record) => log::info!(
                upstream:% = record.name,
                service:% = record.service,
                zone:% = record.zone,
                address:% = record.address,
                version:% = record.version;
                "upstream present"
            ),
            UpstreamChange::Leaving(record) => {
                log::info!(upstream:% = record.name; "upstream leaving");
            }
            UpstreamChange::Lapsed(name) => {
                counters::count_lapsed_entry();
                log::info!(upstream:% = name; "upstream's entry lapsed");
            }
            UpstreamChange::Removed(name) => log::info!(upstream:% = name; "upstream gone"),
        }
    }
}
