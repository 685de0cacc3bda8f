//! Reads a table from the relay (the VM that reads the store for its zone or for
//! all), from the store, or from any other VM that has it.

use super::peer_feed::query_peer;
use crate::counters;
use crate::gateway_state::GatewayState;
use crate::platform_api::{FeedSource, StoreError};
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{FeedBatch, FeedEndpoint, FeedRoute};
use std::net::SocketAddr;
use std::sync::Arc;

/// A peer whose rows were last confirmed longer ago has lost the store as well.
/// Accepting them would let VMs without access to the store pass rows around and
/// hide that the store is unavailable.
const MAX_PEER_AGE: ClockTime = ClockTime::from_millis(1_600);

/// Reads one table from the endpoints of its route, in order.
pub(crate) struct FeedReader<S> {
    state: Arc<GatewayState>,
    source: S,
    route: FeedRoute,
    /// The peer last read from, and its number of freshness confirmations.
    confirmations: Option<(SocketAddr, u64)>,
}

impl<S: FeedSource> FeedReader<S> {
    pub(crate) fn new(state: Arc<GatewayState>, source: S) -> Self {
        let settings = &state.settings;
        let route = FeedRoute::new(settings.name.clone(), settings.zone.clone());
        FeedReader {
            state,
            source,
            route,
            confirmations: None,
        }
    }

    /// Returns the changes after a revision, or the whole table if `after` is none.
    pub(crate) async fn next(
        &mut self,
        after: Option<u64>,
        wait: ClockTime,
    ) -> Result<FeedBatch, StoreError> {
        self.route.set_vms(&self.state.roster.vms());
        let now = self.state.clock.now();
        let endpoints = match after {
            None => self.route.snapshot_endpoints(now),
            Some(_) => self.route.endpoints(now),
        };
        let mut last_error = None;
        for endpoint in endpoints {
            let result = match endpoint {
                FeedEndpoint::Store => self.query_store(after, wait).await,
                FeedEndpoint::Peer(peer) => self.query_peer(peer, after).await,
            };
            match result {
                Ok(batch) => return Ok(batch),
                Err(StoreError::HistoryLost) if endpoint == FeedEndpoint::Store => {
                    return Err(StoreError::HistoryLost);
                }
                // A peer that read the table later than this VM lacks older changes
                // that the store may still have.
                Err(error) => {
                    log::debug!(source = S::NAME, place:? = endpoint; "can't read the feed: {error}");
                    if !matches!(last_error, Some(StoreError::HistoryLost)) {
                        last_error = Some(error);
                    }
                }
            }
        }
        self.route.mark_all_failed(self.state.clock.now());
        Err(last_error
            .unwrap_or_else(|| StoreError::Unreachable("no endpoint to read from".to_owned())))
    }

    async fn query_store(
        &mut self,
        after: Option<u64>,
        wait: ClockTime,
    ) -> Result<FeedBatch, StoreError> {
        let requested = self.state.config.now();
        let batch = match after {
            None => self.source.read().await,
            Some(after) => self.source.watch(after, wait).await,
        };
        // The store does not report how long it held the response.
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
        after: Option<u64>,
    ) -> Result<FeedBatch, StoreError> {
        let confirmations = self.confirmations.filter(|(owner, _)| *owner == peer);
        let confirmations = confirmations.map_or(0, |(_, confirmations)| confirmations);
        let batch = query_peer(&self.state, peer, S::NAME, after, confirmations).await;
        let batch = batch.and_then(|(batch, confirmations)| {
            self.confirmations = Some((peer, confirmations));
            match batch.age > MAX_PEER_AGE {
                true => Err(StoreError::Unreachable(format!(
                    "{peer}: its rows are outdated"
                ))),
                false => Ok(batch),
            }
        });
        let outcome = batch
            .as_ref()
            .map_or_else(StoreError::label, |_| "answered");
        counters::count_peer_call(S::NAME, outcome);
        let now = self.state.clock.now();
        match &batch {
            Ok(_) => self.route.mark_healthy(peer),
            Err(StoreError::NotKnownYet(_) | StoreError::HistoryLost) => {
                self.route.mark_starting(peer, now);
            }
            Err(_) => self.route.mark_failed(peer, now),
        }
        batch
    }
}
