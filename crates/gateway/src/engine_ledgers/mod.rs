//! The load ledgers of engines. Each engine's ledger is kept by one VM, its owner; the others
//! ask the owner instead of the engine and tell it what they send there.
//!
//! `owned` holds the ledgers that this VM keeps, `handler` serves the requests of other VMs,
//! `client` asks the owners, and `placed_work` tells them what becomes of a prompt or copy.

mod client;
mod handler;
mod owned;
mod placed_work;

pub(crate) use client::{query_ledgers, CandidateLoad, LedgerScope};
pub(crate) use handler::{answer_query, receive_placement, receive_progress};
pub(crate) use owned::EngineLedgers;
pub(crate) use placed_work::{place_prompt, PlacedGuard};

use crate::gateway_state::GatewayState;
use crate::upstreams::UpstreamState;
use skylarkshed_core::{ClockTime, ServiceName};
use skylarkshed_peer::wire::{LedgerEngine, PeerBody};
use skylarkshed_policy::MIN_LEDGER_VMS;
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a prompt waits for the answer of an owner.
const OWNER_TIMEOUT: ClockTime = ClockTime::from_millis(40);
/// How long an owner that did not answer is not asked again. A late answer that takes this
/// long counts as lost, and the connection is opened again.
const OWNER_RETRY_DELAY: ClockTime = ClockTime::from_millis(1_000);

/// The VM that keeps the ledger of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LedgerOwner {
    /// This VM.
    Own,
    /// Another VM.
    Other(SocketAddr),
}

/// Reports whether the VMs share the loads of a service's upstreams: they are engines, and
/// so many VMs use them that each knows only a small part of the load itself.
pub(crate) fn uses_ledgers(state: &GatewayState, service: &ServiceName) -> bool {
    let vms = state.roster.count().unwrap_or(0);
    let table = state.config.table();
    vms >= MIN_LEDGER_VMS && table.is_some_and(|table| table.engine(service).is_some())
}

/// Returns the name of an engine's ledger in messages.
fn to_wire(engine: &UpstreamState) -> LedgerEngine {
    LedgerEngine {
        service: engine.record.service.to_string(),
        engine: engine.name().to_string(),
        started_ms: engine.record.started.as_millis(),
    }
}

/// Sends a request to another VM and returns its reply, or none if it does not come within
/// [`OWNER_TIMEOUT`]. The request goes on in the background, so that a reply that is a bit
/// late or a new connection is not lost to the next request.
async fn request_owner(
    state: &Arc<GatewayState>,
    owner: SocketAddr,
    body: PeerBody,
) -> Option<PeerBody> {
    let shared = state.clone();
    let request = tokio::spawn(async move {
        let reply = shared.peers.request(owner, body, OWNER_RETRY_DELAY).await;
        reply
            .map_err(|error| log::debug!(owner:%; "no answer about the load of engines: {error}"))
            .ok()
    });
    match tokio::time::timeout(OWNER_TIMEOUT.to_duration(), request).await {
        Ok(reply) => reply.ok().flatten(),
        Err(_) => None,
    }
}
