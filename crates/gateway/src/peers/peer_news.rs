//! Asks other VMs for news, and answers them.

use crate::process::GatewayState;
use crate::seams::StoreError;
use skylarkshed_core::ClockTime;
use skylarkshed_peer::wire::{NewsAsk, NewsBatch, NewsOutcome, NewsRowWire, PeerBody};
use skylarkshed_peer::{PeerClient, PeerHandler};
use skylarkshed_policy::{NewsGap, NewsReading, NewsRow};
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
            PeerBody::AskNews(ask) => PeerBody::News(answer(&self.state, &ask).await),
            _ => PeerBody::Done(false),
        }
    }
}

async fn answer(state: &GatewayState, ask: &NewsAsk) -> NewsBatch {
    let wait = ClockTime::from_millis(ask.wait_ms).min(ANSWER_WAIT);
    let news = state.board.wait(&ask.source, ask.after, ask.proof, wait);
    match news.await {
        Ok(news) => NewsBatch {
            outcome: NewsOutcome::Rows.into(),
            rows: news.rows.into_iter().map(to_wire).collect(),
            revision: news.revision,
            age_ms: state.control.now().since(news.proved).as_millis(),
            proof: news.proofs,
        },
        Err(gap) => NewsBatch {
            outcome: match gap {
                NewsGap::Unknown => NewsOutcome::Unknown,
                NewsGap::HistoryLost => NewsOutcome::HistoryLost,
            }
            .into(),
            ..NewsBatch::default()
        },
    }
}

/// Asks a VM for the rows of a source; returns them with the proof's number.
pub(super) async fn ask_peer(
    peers: &PeerClient,
    to: SocketAddr,
    source: &str,
    after: Option<u64>,
    proof: u64,
) -> Result<(NewsReading, u64), StoreError> {
    let ask = NewsAsk {
        source: source.to_owned(),
        after,
        proof,
        wait_ms: ANSWER_WAIT.as_millis(),
    };
    let reply = peers.ask(to, PeerBody::AskNews(ask), ANSWER_WAIT + TRANSIT);
    let reply = reply.await;
    let reply = reply.map_err(|error| StoreError::Unreachable(format!("{to}: {error}")))?;
    let PeerBody::News(batch) = reply else {
        return Err(StoreError::Unreadable(format!("{to}: no news")));
    };
    match batch.outcome() {
        NewsOutcome::Rows => Ok((to_reading(batch.clone()), batch.proof)),
        NewsOutcome::HistoryLost => Err(StoreError::HistoryLost),
        NewsOutcome::Unknown => Err(StoreError::NotKnownYet(to)),
    }
}

fn to_reading(batch: NewsBatch) -> NewsReading {
    let rows = batch.rows.into_iter().map(|row| NewsRow {
        key: row.key.into(),
        revision: row.revision,
        value: row.value.map(Into::into),
    });
    NewsReading {
        rows: rows.collect(),
        revision: batch.revision,
        age: ClockTime::from_millis(batch.age_ms),
    }
}

fn to_wire(row: NewsRow) -> NewsRowWire {
    NewsRowWire {
        key: row.key.to_string(),
        revision: row.revision,
        value: row.value.map(|value| value.to_vec()),
    }
}
