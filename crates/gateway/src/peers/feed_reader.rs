//! Reads a table from the relay (the VM that reads the store for its zone or for
//! all), from the store, or from any other VM that has it.

use super::peer_feed::{query_peer, PeerQuery};
use crate::counters;
use crate::gateway_state::GatewayState;
use crate::platform_api::{FeedSource, StoreError};
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{FeedBatch, FeedEndpoint, FeedPosition, FeedRoute, VmEntry};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

/// The time that rows may spend on the way from a relay. Rows are as old as the watch
/// that returned them, and get older during the next one. A peer with even older rows
/// has lost access to the store itself. Accepting its rows would let VMs without
/// access to the store pass rows around and hide that the store is unavailable.
const MAX_RELAY_DELAY: ClockTime = ClockTime::from_millis(200);
/// The number of endpoints that are asked for a whole table in one round.
const MAX_TABLE_ENDPOINTS: usize = 8;
/// The number of VMs that are asked instead of a busy one.
const MAX_ALTERNATIVES: usize = 2;

/// How long the endpoints of a feed wait for changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FeedWaits {
    /// At the store.
    pub(crate) store: ClockTime,
    /// At another VM.
    pub(crate) peer: ClockTime,
}

/// Reads one table from the endpoints of its route, in order.
pub(crate) struct FeedReader<S> {
    state: Arc<GatewayState>,
    source: S,
    waits: FeedWaits,
    route: FeedRoute,
    /// The list of VMs that `route` was made from.
    vms: Arc<Vec<VmEntry>>,
    /// The peer last read from, and its number of freshness confirmations.
    confirmations: Option<(SocketAddr, u64)>,
    /// The endpoint that no longer has the requested changes; its table is the newest.
    history_lost_at: Option<FeedEndpoint>,
    /// Whether the last call to the store failed.
    is_store_lost: bool,
    /// The newest era seen. A VM that has not heard of it yet has older rows.
    era: u64,
}

impl<S: FeedSource> FeedReader<S> {
    pub(crate) fn new(state: Arc<GatewayState>, source: S, waits: FeedWaits) -> Self {
        let settings = &state.settings;
        let own = settings.listen.seed;
        let is_own = |seed: &SocketAddr| Some(*seed) == own;
        let is_seed = settings.seeds.iter().any(is_own);
        let others = settings.seeds.iter().filter(|seed| !is_own(seed));
        let route = FeedRoute::new(settings.name.clone(), settings.zone.clone())
            .with_seeds(others.copied().collect(), is_seed);
        FeedReader {
            state,
            source,
            waits,
            route,
            vms: Arc::default(),
            confirmations: None,
            history_lost_at: None,
            is_store_lost: false,
            era: 0,
        }
    }

    /// Returns the changes after a position, or the whole table if `after` is none.
    pub(crate) async fn next(
        &mut self,
        after: Option<FeedPosition>,
    ) -> Result<FeedBatch, StoreError> {
        let vms = self.state.roster.vms();
        if !Arc::ptr_eq(&vms, &self.vms) {
            self.route.set_vms(&vms);
            self.vms = vms;
        }
        match after {
            Some(after) => self.read_changes(after).await,
            None => self.read_table().await,
        }
    }

    async fn read_changes(&mut self, after: FeedPosition) -> Result<FeedBatch, StoreError> {
        let endpoints = self.route.endpoints(self.state.clock.now());
        let mut last_error = None;
        for endpoint in endpoints {
            let is_store = endpoint == FeedEndpoint::Store;
            match self.query(endpoint, Some(after)).await {
                Ok(batch) => return Ok(batch),
                Err(StoreError::HistoryLost) if is_store => {
                    self.history_lost_at = Some(endpoint);
                    return Err(StoreError::HistoryLost);
                }
                // A peer that read the table later than this VM lacks older changes
                // that the store may still have. If no endpoint has them, the lost
                // history is reported, so that the whole table is read again.
                Err(error) => {
                    log::debug!(source = S::NAME, place:? = endpoint; "can't read the feed: {error}");
                    if matches!(error, StoreError::HistoryLost) {
                        self.history_lost_at = Some(endpoint);
                    }
                    last_error = Some(more_telling(last_error, error));
                }
            }
        }
        self.route.mark_all_failed(self.state.clock.now());
        Err(last_error.unwrap_or_else(no_endpoint))
    }

    /// Reads the whole table. A busy VM names others, which are asked next.
    async fn read_table(&mut self) -> Result<FeedBatch, StoreError> {
        let now = self.state.clock.now();
        let newest = self.history_lost_at.take();
        let endpoints = self.route.table_endpoints(now, rand::random());
        let mut endpoints: VecDeque<FeedEndpoint> = newest.into_iter().chain(endpoints).collect();
        let mut asked = Vec::new();
        let mut last_error = None;
        while let Some(endpoint) = self.next_table_endpoint(&mut endpoints, &asked) {
            if asked.contains(&endpoint) || asked.len() == MAX_TABLE_ENDPOINTS {
                continue;
            }
            asked.push(endpoint);
            match self.query(endpoint, None).await {
                Ok(batch) => {
                    self.route.mark_table_read();
                    return Ok(batch);
                }
                Err(StoreError::Busy(others)) => {
                    let others = others.iter().take(MAX_ALTERNATIVES);
                    others.for_each(|other| endpoints.push_front(FeedEndpoint::Peer(*other)));
                    last_error = Some(StoreError::Busy(Vec::new()));
                }
                Err(error) => {
                    log::debug!(source = S::NAME, place:? = endpoint; "can't read the table: {error}");
                    last_error = Some(error);
                }
            }
        }
        self.route.mark_table_failed();
        Err(last_error.unwrap_or_else(no_endpoint))
    }

    /// Returns the next endpoint of a round, or the store if VMs don't answer.
    fn next_table_endpoint(
        &self,
        endpoints: &mut VecDeque<FeedEndpoint>,
        asked: &[FeedEndpoint],
    ) -> Option<FeedEndpoint> {
        let store = FeedEndpoint::Store;
        let now = self.state.clock.now();
        match !asked.contains(&store) && self.route.asks_store_first(now) {
            true => Some(store),
            false => endpoints.pop_front(),
        }
    }

    async fn query(
        &mut self,
        endpoint: FeedEndpoint,
        after: Option<FeedPosition>,
    ) -> Result<FeedBatch, StoreError> {
        let batch = match endpoint {
            FeedEndpoint::Store => self.query_store(after).await?,
            FeedEndpoint::Peer(peer) => self.query_peer(peer, after).await?,
        };
        if batch.position.era < self.era {
            return Err(match endpoint {
                FeedEndpoint::Store => StoreError::Unreachable("an older era".to_owned()),
                FeedEndpoint::Peer(peer) => StoreError::NotKnownYet(peer),
            });
        }
        self.era = batch.position.era;
        match after {
            // The rows are changes in a history that this VM does not know.
            Some(after) if batch.position.is_in_later_era(after) => Err(StoreError::HistoryLost),
            _ => Ok(batch),
        }
    }

    async fn query_store(&mut self, after: Option<FeedPosition>) -> Result<FeedBatch, StoreError> {
        let requested = self.state.config.now();
        // After a failure the answer shows that the store is back, so it must not be held.
        let wait = match self.is_store_lost {
            true => ClockTime::ZERO,
            false => self.waits.store,
        };
        let batch = match after {
            None => {
                self.state.quarantine.restore_from_store();
                self.source.read().await
            }
            Some(after) => self.source.watch(after, wait).await,
        };
        self.is_store_lost = batch.is_err();
        if batch.is_ok() {
            self.state.store_outage.record_answer();
        }
        // The store does not report how long it held the response, so the rows may be
        // as old as the request.
        let batch = batch.map(|batch| FeedBatch {
            age: self.state.config.now().since(requested),
            ..batch
        });
        let outcome = batch
            .as_ref()
            .map_or_else(StoreError::label, |_| "answered");
        counters::count_store_call(S::NAME, outcome);
        batch
    }

    async fn query_peer(
        &mut self,
        peer: SocketAddr,
        after: Option<FeedPosition>,
    ) -> Result<FeedBatch, StoreError> {
        let confirmations = self.confirmations.filter(|(owner, _)| *owner == peer);
        let query = PeerQuery {
            source: S::NAME,
            after,
            confirmations: confirmations.map_or(0, |(_, confirmations)| confirmations),
            // A seed that starts with all others reads the store itself.
            wait: match after.is_none() && self.route.is_seed() {
                true => ClockTime::ZERO,
                false => self.waits.peer,
            },
        };
        let asked_at = self.state.clock.now();
        let batch = query_peer(&self.state, peer, query).await;
        let max_age = self.waits.store + self.waits.store + MAX_RELAY_DELAY;
        let batch = batch.and_then(|(batch, confirmations)| {
            self.confirmations = Some((peer, confirmations));
            // A VM that starts takes what there is; the rows' age is known.
            match after.is_some() && batch.age > max_age {
                true => Err(StoreError::Outdated(peer)),
                false => Ok(batch),
            }
        });
        let outcome = batch
            .as_ref()
            .map_or_else(StoreError::label, |_| "answered");
        counters::count_peer_call(S::NAME, outcome);
        match (after, batch.as_ref().err()) {
            (None, Some(StoreError::Unreachable(_))) => {
                let now = self.state.clock.now();
                self.route.mark_unreachable(peer, asked_at, now);
            }
            (_, error) => self.record_peer(peer, after, error),
        }
        batch
    }

    fn record_peer(
        &mut self,
        peer: SocketAddr,
        after: Option<FeedPosition>,
        error: Option<&StoreError>,
    ) {
        let now = self.state.clock.now();
        match error {
            None => self.route.mark_healthy(peer),
            Some(_) if after.is_none() => self.route.mark_without_table(peer, now),
            Some(StoreError::NotKnownYet(_) | StoreError::HistoryLost | StoreError::Busy(_)) => {
                self.route.mark_starting(peer, now)
            }
            Some(_) => self.route.mark_failed(peer, now),
        }
    }
}

/// Returns the error that tells more: that changes are lost, or that other VMs have not
/// reached the store either.
fn more_telling(known: Option<StoreError>, next: StoreError) -> StoreError {
    match known {
        Some(StoreError::HistoryLost) => StoreError::HistoryLost,
        Some(known @ StoreError::Outdated(_)) if !matches!(next, StoreError::HistoryLost) => known,
        _ => next,
    }
}

fn no_endpoint() -> StoreError {
    StoreError::Unreachable("no endpoint to read from".to_owned())
}
