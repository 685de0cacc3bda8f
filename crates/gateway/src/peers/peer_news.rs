//! Asks other VMs for news, and answers them.

use crate::gateway_state::GatewayState;
use crate::platform_api::StoreError;
use skylarkshed_core::ClockTime;
use skylarkshed_peer::wire::{FeedOutcome, FeedReply, FeedRequest, FeedRowWire, PeerBody};
use skylarkshed_peer::PeerHandler;
use skylarkshed_policy::{FeedBatch, FeedError, FeedRow};
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a VM waits with its answer for news or a newer proof: above the
/// time in which the carrier's own watch is answered.
const ANSWER_WAIT: ClockTime = ClockTime::from_millis(900);
/// The time for the way there and back within a zone, and for a slow VM.
const TRANSIT: ClockTime = ClockTime::from_millis(300);

/// Answers the questions of other VMs.
#[derive(Clone)]
pub(crate) struct GatewayPeers {
    pub(crate) state: Arc<GatewayState>,
}

impl PeerHandler for GatewayPeers {
    async fn handle(&self, body: PeerBody) -> PeerBody {
        match body {
            PeerBody::RequestFeed(ask) => PeerBody::Feed(answer(&self.state, &ask).await),
            _ => PeerBody::Done(false),
        }
    }
}

async fn answer(state: &GatewayState, ask: &FeedRequest) -> FeedReply {
    let wait = ClockTime::from_millis(ask.wait_ms).min(ANSWER_WAIT);
    let asked = state.control.now();
    let news = state.board.wait(&ask.source, ask.after, ask.proof, wait);
    match news.await {
        Ok(news) => FeedReply {
            outcome: FeedOutcome::Rows.into(),
            rows: news.rows.into_iter().map(to_wire).collect(),
            revision: news.revision,
            age_ms: state.control.now().since(news.proved).as_millis(),
            proof: news.proofs,
            held_ms: state.control.now().since(asked).as_millis(),
        },
        Err(gap) => FeedReply {
            outcome: match gap {
                FeedError::Unknown => FeedOutcome::Unknown,
                FeedError::HistoryLost => FeedOutcome::HistoryLost,
            }
            .into(),
            ..FeedReply::default()
        },
    }
}

/// Asks a VM for the rows of a source; returns them with the proof's number.
///
/// The age of the rows is that at their arrival: the time that the answer took
/// beyond the other VM's wait may all have been the way back.
pub(super) async fn ask_peer(
    state: &GatewayState,
    to: SocketAddr,
    source: &str,
    after: Option<u64>,
    proof: u64,
) -> Result<(FeedBatch, u64), StoreError> {
    let ask = FeedRequest {
        source: source.to_owned(),
        after,
        proof,
        wait_ms: ANSWER_WAIT.as_millis(),
    };
    let asked = state.control.now();
    let limit = ANSWER_WAIT + TRANSIT;
    let reply = state
        .peers
        .request(to, PeerBody::RequestFeed(ask), limit)
        .await;
    let reply = reply.map_err(|error| StoreError::Unreachable(format!("{to}: {error}")))?;
    let PeerBody::Feed(batch) = reply else {
        return Err(StoreError::Unreadable(format!("{to}: no news")));
    };
    match batch.outcome() {
        FeedOutcome::Rows => {
            let taken = state.control.now().since(asked);
            let way = taken.since(ClockTime::from_millis(batch.held_ms));
            let age = ClockTime::from_millis(batch.age_ms) + way;
            let proof = batch.proof;
            Ok((to_reading(batch, age), proof))
        }
        FeedOutcome::HistoryLost => Err(StoreError::HistoryLost),
        FeedOutcome::Unknown => Err(StoreError::NotKnownYet(to)),
    }
}

fn to_reading(batch: FeedReply, age: ClockTime) -> FeedBatch {
    let rows = batch.rows.into_iter().map(|row| FeedRow {
        key: row.key.into(),
        revision: row.revision,
        value: row.value.map(Into::into),
    });
    FeedBatch {
        rows: rows.collect(),
        revision: batch.revision,
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
