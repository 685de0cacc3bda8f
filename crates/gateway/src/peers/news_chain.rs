//! Reads a table at the carrier, at the store, or at any VM that knows it.

use super::peer_news::ask_peer;
use crate::counters;
use crate::gateway_state::GatewayState;
use crate::platform_api::{FeedSource, StoreError};
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{FeedBatch, FeedEndpoint, FeedRoute};
use std::net::SocketAddr;
use std::sync::Arc;

/// News of another VM that were last known to be the newest so long ago prove
/// that it has lost the store as well. Taken as an answer they would pass on
/// between VMs that are all cut off, and hide that the store is lost.
const STALE_AGE: ClockTime = ClockTime::from_millis(1_600);

/// Asks the places of a route in turn.
pub(crate) struct NewsChain<S> {
    state: Arc<GatewayState>,
    store: S,
    route: FeedRoute,
    /// The proof of freshness last seen, and whose it is.
    proof: Option<(SocketAddr, u64)>,
}

impl<S: FeedSource> NewsChain<S> {
    pub(crate) fn new(state: Arc<GatewayState>, store: S) -> Self {
        let settings = &state.settings;
        let route = FeedRoute::new(settings.name.clone(), settings.zone.clone());
        NewsChain {
            state,
            store,
            route,
            proof: None,
        }
    }

    /// Returns changes after a revision, or the whole table, with their age.
    pub(crate) async fn next(
        &mut self,
        after: Option<u64>,
        wait: ClockTime,
    ) -> Result<FeedBatch, StoreError> {
        self.route.set_vms(&self.state.roster.vms());
        let now = self.state.clock.now();
        let places = match after {
            None => self.route.snapshot_endpoints(now),
            Some(_) => self.route.endpoints(now),
        };
        let mut last_error = None;
        for place in places {
            let answer = match place {
                FeedEndpoint::Store => self.ask_store(after, wait).await,
                FeedEndpoint::Peer(peer) => self.ask_peer(peer, after).await,
            };
            match answer {
                Ok(reading) => return Ok(reading),
                Err(StoreError::HistoryLost) if place == FeedEndpoint::Store => {
                    return Err(StoreError::HistoryLost);
                }
                // A peer that read all later than this VM has no older changes,
                // but the store has.
                Err(error) => {
                    log::debug!(source = S::NAME, place:? = place; "no news: {error}");
                    if !matches!(last_error, Some(StoreError::HistoryLost)) {
                        last_error = Some(error);
                    }
                }
            }
        }
        self.route.mark_all_failed(self.state.clock.now());
        Err(last_error.unwrap_or_else(|| StoreError::Unreachable("no place to ask".to_owned())))
    }

    async fn ask_store(
        &mut self,
        after: Option<u64>,
        wait: ClockTime,
    ) -> Result<FeedBatch, StoreError> {
        let asked = self.state.control.now();
        let reading = match after {
            None => self.store.read().await,
            Some(after) => self.store.watch(after, wait).await,
        };
        // A store that held the answer does not tell for how long.
        let reading = reading.map(|reading| FeedBatch {
            age: self.state.control.now().since(asked),
            ..reading
        });
        let outcome = reading
            .as_ref()
            .map_or_else(StoreError::label, |_| "answered");
        counters::count_store(S::NAME, outcome);
        reading
    }

    async fn ask_peer(
        &mut self,
        peer: SocketAddr,
        after: Option<u64>,
    ) -> Result<FeedBatch, StoreError> {
        let proof = self.proof.filter(|(of, _)| *of == peer);
        let proof = proof.map_or(0, |(_, proof)| proof);
        let reading = ask_peer(&self.state, peer, S::NAME, after, proof).await;
        let reading = reading.and_then(|(reading, proof)| {
            self.proof = Some((peer, proof));
            match reading.age > STALE_AGE {
                true => Err(StoreError::Unreachable(format!("{peer}: its news are old"))),
                false => Ok(reading),
            }
        });
        let outcome = reading
            .as_ref()
            .map_or_else(StoreError::label, |_| "answered");
        counters::count_peer(S::NAME, outcome);
        let now = self.state.clock.now();
        match &reading {
            Ok(_) => self.route.mark_healthy(peer),
            Err(StoreError::NotKnownYet(_) | StoreError::HistoryLost) => {
                self.route.mark_starting(peer, now);
            }
            Err(_) => self.route.mark_failed(peer, now),
        }
        reading
    }
}
