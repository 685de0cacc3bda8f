//! Requests feeds from other VMs and serves theirs.

use crate::gateway_state::GatewayState;
use crate::platform_api::StoreError;
use skylarkshed_core::ClockTime;
use skylarkshed_peer::wire::{FeedOutcome, FeedReply, FeedRequest, FeedRowWire, PeerBody};
use skylarkshed_peer::PeerHandler;
use skylarkshed_policy::{FeedBatch, FeedError, FeedRow};
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a VM waits for changes or a newer freshness confirmation before it
/// replies. It is longer than the relay's own watch on the store lasts.
const REPLY_TIMEOUT: ClockTime = ClockTime::from_millis(900);
/// The time for the round trip within a zone, and for a slow VM.
const MAX_TRANSIT: ClockTime = ClockTime::from_millis(300);

/// Handles the requests of other VMs.
#[derive(Clone)]
pub(crate) struct FeedHandler {
    pub(crate) state: Arc<GatewayState>,
}

impl PeerHandler for FeedHandler {
    async fn handle(&self, body: PeerBody) -> PeerBody {
        match body {
            PeerBody::RequestFeed(request) => {
                PeerBody::Feed(serve_feed(&self.state, &request).await)
            }
            _ => PeerBody::Done(false),
        }
    }
}

async fn serve_feed(state: &GatewayState, request: &FeedRequest) -> FeedReply {
    let wait = ClockTime::from_millis(request.wait_ms).min(REPLY_TIMEOUT);
    let received = state.config.now();
    let changes = state
        .feed_caches
        .wait(&request.source, request.after, request.proof, wait);
    match changes.await {
        Ok(changes) => FeedReply {
            outcome: FeedOutcome::Rows.into(),
            rows: changes.rows.into_iter().map(to_wire).collect(),
            revision: changes.revision,
            age_ms: state.config.now().since(changes.fresh_at).as_millis(),
            proof: changes.confirmations,
            held_ms: state.config.now().since(received).as_millis(),
        },
        Err(error) => FeedReply {
            outcome: match error {
                FeedError::Unknown => FeedOutcome::Unknown,
                FeedError::HistoryLost => FeedOutcome::HistoryLost,
            }
            .into(),
            ..FeedReply::default()
        },
    }
}

/// Requests the rows of a source from a VM; returns them with its number of
/// freshness confirmations.
///
/// The age of the rows is their age on arrival. All time beyond the other VM's wait
/// counts as transit, because it may have been spent on the way back.
pub(super) async fn query_peer(
    state: &GatewayState,
    to: SocketAddr,
    source: &str,
    after: Option<u64>,
    confirmations: u64,
) -> Result<(FeedBatch, u64), StoreError> {
    let request = FeedRequest {
        source: source.to_owned(),
        after,
        proof: confirmations,
        wait_ms: REPLY_TIMEOUT.as_millis(),
    };
    let sent_at = state.config.now();
    let timeout = REPLY_TIMEOUT + MAX_TRANSIT;
    let reply = state
        .peers
        .request(to, PeerBody::RequestFeed(request), timeout)
        .await;
    let reply = reply.map_err(|error| StoreError::Unreachable(format!("{to}: {error}")))?;
    let PeerBody::Feed(reply) = reply else {
        return Err(StoreError::Unreadable(format!("{to}: unexpected reply")));
    };
    match reply.outcome() {
        FeedOutcome::Rows => {
            let round_trip = state.config.now().since(sent_at);
            let transit = round_trip.since(ClockTime::from_millis(reply.held_ms));
            let age = ClockTime::from_millis(reply.age_ms) + transit;
            let confirmations = reply.proof;
            Ok((to_batch(reply, age), confirmations))
        }
        FeedOutcome::HistoryLost => Err(StoreError::HistoryLost),
        FeedOutcome::Unknown => Err(StoreError::NotKnownYet(to)),
    }
}

fn to_batch(reply: FeedReply, age: ClockTime) -> FeedBatch {
    let rows = reply.rows.into_iter().map(|row| FeedRow {
        key: row.key.into(),
        revision: row.revision,
        value: row.value.map(Into::into),
    });
    FeedBatch {
        rows: rows.collect(),
        revision: reply.revision,
        age,
    }
}

fn to_wire(row: FeedRow) -> FeedRowWire {
    FeedRowWire {
        key: row.key.to_string(),
        revision: row.revision,
        value: row.value.map(|value| value.to_vec()),
    }
}
