//! Requests feeds from other VMs and serves their requests.

use super::feed_caches::{to_wire, FeedChanges};
use crate::engine_ledgers::{answer_query, receive_placement, receive_progress};
use crate::gateway_state::GatewayState;
use crate::platform_api::{StoreError, WireProtocol};
use crate::retry_loans::receive_request;
use bytes::Bytes;
use skylarkshed_core::ClockTime;
use skylarkshed_peer::wire::{FeedOutcome, FeedReply, FeedRequest, FeedRowWire, PeerBody};
use skylarkshed_peer::{unpack_rows, PeerError, PeerHandler};
use skylarkshed_policy::{FeedBatch, FeedError, FeedPosition, FeedRow};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};

/// How long a VM waits for changes or a newer freshness confirmation before it
/// replies. It is longer than the relay's own watch on the store lasts.
pub(crate) const REPLY_TIMEOUT: ClockTime = ClockTime::from_millis(900);
/// The longest wait that another VM may request.
const MAX_REPLY_TIMEOUT: ClockTime = ClockTime::from_millis(10_000);
/// The time for the round trip within a zone, and for a slow VM.
const MAX_TRANSIT: ClockTime = ClockTime::from_millis(300);
/// Fewer bytes are sent uncompressed; they fit in one packet.
const MIN_PACKED_BYTES: usize = 1_200;

/// The time for a whole table of thousands of rows on a slow link that serves several
/// VMs. Giving up sooner would only send the table again.
const MAX_TABLE_TRANSIT: ClockTime = ClockTime::from_millis(4_000);

/// Handles the requests of other VMs.
pub(crate) struct FeedHandler<P> {
    state: Arc<GatewayState>,
    _protocol: PhantomData<P>,
}

impl<P> FeedHandler<P> {
    pub(crate) fn new(state: Arc<GatewayState>) -> Self {
        FeedHandler {
            state,
            _protocol: PhantomData,
        }
    }
}

impl<P> Clone for FeedHandler<P> {
    fn clone(&self) -> Self {
        Self::new(self.state.clone())
    }
}

impl<P: WireProtocol> PeerHandler for FeedHandler<P> {
    async fn handle(&self, body: PeerBody) -> PeerBody {
        match body {
            PeerBody::RequestFeed(request) => {
                let quarantine = &self.state.quarantine;
                quarantine.receive_blocks(&request.blocks, request.knows_earlier_blocks);
                let reply = serve_feed(&self.state, &request).await;
                PeerBody::Feed(FeedReply {
                    blocks: quarantine.to_wire(),
                    knows_earlier_blocks: quarantine.knows_earlier_blocks(),
                    ..reply
                })
            }
            PeerBody::ReportRollout(report) => self.state.rollouts.receive_report(&report),
            PeerBody::EndRollout(end) => self.state.rollouts.receive_end(&end),
            PeerBody::RequestRetries(request) => receive_request(&self.state, &request),
            PeerBody::ReportCrash(notice) => {
                self.state.quarantine.receive_crash(&self.state, &notice)
            }
            PeerBody::ShareBlocks(shared) => {
                self.state.quarantine.receive_blocks(&shared.blocks, false);
                PeerBody::Done(true)
            }
            PeerBody::AskLedgers(query) => {
                PeerBody::LedgerViews(answer_query::<P>(&self.state, &query).await)
            }
            PeerBody::PlacePrompt(placement) => receive_placement(&self.state, &placement),
            PeerBody::PromptProgress(progress) => {
                PeerBody::Done(receive_progress(&self.state, &progress))
            }
            _ => PeerBody::Done(false),
        }
    }
}

async fn serve_feed(state: &GatewayState, request: &FeedRequest) -> FeedReply {
    let wait = ClockTime::from_millis(request.wait_ms).min(MAX_REPLY_TIMEOUT);
    let received = state.config.now();
    // A VM that doesn't know eras reads by revision alone.
    let era = request
        .era
        .unwrap_or_else(|| state.feed_caches.era(&request.source));
    let after = request.after.map(|revision| FeedPosition { era, revision });
    let changes = state
        .feed_caches
        .wait(&request.source, after, request.proof, wait);
    match changes.await {
        Ok(changes) => {
            let (rows, packed_rows) = encode_rows(state, request, after, &changes);
            if let Err(others) = admit_table(state, request, &changes, &packed_rows) {
                return FeedReply {
                    outcome: FeedOutcome::Busy.into(),
                    alternatives: others.iter().map(SocketAddr::to_string).collect(),
                    ..FeedReply::default()
                };
            }
            FeedReply {
                outcome: FeedOutcome::Rows.into(),
                rows,
                packed_rows,
                revision: changes.position.revision,
                era: Some(changes.position.era),
                age_ms: state.config.now().since(changes.fresh_at).as_millis(),
                proof: changes.confirmations,
                held_ms: state.config.now().since(received).as_millis(),
                steady_ms: state.store_outage.steady_for().as_millis(),
                ..FeedReply::default()
            }
        }
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

/// Admits the transfer if a whole table is requested.
fn admit_table(
    state: &GatewayState,
    request: &FeedRequest,
    changes: &FeedChanges,
    packed_rows: &Bytes,
) -> Result<(), Vec<SocketAddr>> {
    if request.after.is_some() {
        return Ok(());
    }
    let bytes = match packed_rows.len() {
        0 => value_bytes(&changes.rows),
        packed => packed,
    };
    // A VM without an address for others can't be named to them.
    let receiver = request.requester.parse().ok();
    // The server is consistent between calls, so a poisoned lock is usable.
    let server = state.table_server.lock();
    let mut server = server.unwrap_or_else(PoisonError::into_inner);
    server.admit(receiver, bytes as u64, state.clock.now(), rand::random())
}

/// Returns the rows of a reply, either as they are or compressed.
fn encode_rows(
    state: &GatewayState,
    request: &FeedRequest,
    after: Option<FeedPosition>,
    changes: &FeedChanges,
) -> (Vec<FeedRowWire>, Bytes) {
    let plain = || changes.rows.iter().map(to_wire).collect();
    if !request.accepts_packed || value_bytes(&changes.rows) < MIN_PACKED_BYTES {
        return (plain(), Bytes::new());
    }
    match state.feed_caches.pack(&request.source, after, changes) {
        Ok(packed) => (Vec::new(), packed),
        Err(error) => {
            log::warn!(source = request.source.as_str(); "can't compress rows, sending them as they are: {error}");
            (plain(), Bytes::new())
        }
    }
}

fn value_bytes(rows: &[FeedRow]) -> usize {
    let values = rows.iter().filter_map(|row| row.value.as_ref());
    values.map(Bytes::len).sum()
}

/// A request for a part of a table.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerQuery {
    pub(super) source: &'static str,
    /// The known position; without one, the whole table is requested.
    pub(super) after: Option<FeedPosition>,
    /// The number of freshness confirmations in the VM's last reply.
    pub(super) confirmations: u64,
    /// How long the VM waits for changes.
    pub(super) wait: ClockTime,
}

/// Requests the rows of a source from a VM; returns them with its number of
/// freshness confirmations.
///
/// The age of the rows is their age on arrival. All time beyond the other VM's wait
/// counts as transit, because it may have been spent on the way back.
pub(super) async fn query_peer(
    state: &GatewayState,
    to: SocketAddr,
    query: PeerQuery,
) -> Result<(FeedBatch, u64), StoreError> {
    let request = FeedRequest {
        source: query.source.to_owned(),
        after: query.after.map(|after| after.revision),
        era: query.after.map(|after| after.era),
        proof: query.confirmations,
        wait_ms: query.wait.as_millis(),
        accepts_packed: true,
        requester: state.settings.listen.peers.to_string(),
        blocks: state.quarantine.to_wire(),
        knows_earlier_blocks: state.quarantine.knows_earlier_blocks(),
    };
    let sent_at = state.config.now();
    let timeout = match query.after {
        None => query.wait + MAX_TABLE_TRANSIT,
        Some(_) => query.wait + MAX_TRANSIT,
    };
    let reply = state
        .peers
        .request(to, PeerBody::RequestFeed(request), timeout)
        .await;
    let reply = reply.map_err(|error| StoreError::Unreachable(format!("{to}: {error}")))?;
    let PeerBody::Feed(reply) = reply else {
        return Err(StoreError::Unreadable(format!("{to}: unexpected reply")));
    };
    state
        .quarantine
        .receive_blocks(&reply.blocks, reply.knows_earlier_blocks);
    match reply.outcome() {
        FeedOutcome::Rows => {
            let round_trip = state.config.now().since(sent_at);
            let transit = round_trip.since(ClockTime::from_millis(reply.held_ms));
            let age = ClockTime::from_millis(reply.age_ms) + transit;
            let steady = ClockTime::from_millis(reply.steady_ms);
            state.store_outage.record_word(age, steady);
            let confirmations = reply.proof;
            let batch = to_batch(reply, age);
            let batch = batch.map_err(|error| StoreError::Unreadable(format!("{to}: {error}")))?;
            Ok((batch, confirmations))
        }
        FeedOutcome::HistoryLost => Err(StoreError::HistoryLost),
        FeedOutcome::Busy => {
            let others = reply.alternatives.iter();
            let others = others.filter_map(|address| parse_alternative(to, address));
            Err(StoreError::Busy(others.collect()))
        }
        FeedOutcome::Unknown => Err(StoreError::NotKnownYet(to)),
    }
}

/// Asks a VM when the store answered it, and whether it knows of an outage.
pub(crate) async fn confirm_contact(state: &GatewayState, vm: SocketAddr, source: &'static str) {
    let query = PeerQuery {
        source,
        // No rows are needed.
        after: state.feed_caches.position(source),
        confirmations: 0,
        wait: ClockTime::ZERO,
    };
    if let Err(error) = query_peer(state, vm, query).await {
        log::debug!(vm:%; "can't ask a VM for its contact to the store: {error}");
    }
}

fn parse_alternative(from: SocketAddr, address: &str) -> Option<SocketAddr> {
    address
        .parse()
        .map_err(|error| log::warn!("{from} names the invalid address {address:?}: {error}"))
        .ok()
}

fn to_batch(reply: FeedReply, age: ClockTime) -> Result<FeedBatch, PeerError> {
    let rows = match reply.packed_rows.is_empty() {
        true => reply.rows,
        false => unpack_rows(&reply.packed_rows)?,
    };
    let rows = rows.into_iter().map(|row| FeedRow {
        key: row.key.into(),
        revision: row.revision,
        value: row.value.map(Into::into),
    });
    Ok(FeedBatch {
        rows: rows.collect(),
        position: FeedPosition {
            era: reply.era.unwrap_or(0),
            revision: reply.revision,
        },
        age,
    })
}
