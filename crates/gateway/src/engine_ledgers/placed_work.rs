//! Tells the owner of an engine's ledger what is sent to the engine and what becomes of it.

use super::client::CandidateLoad;
use super::handler::{receive_placement, receive_progress};
use super::{request_owner, to_wire, LedgerOwner, OWNER_RETRY_DELAY};
use crate::gateway_state::GatewayState;
use crate::upstreams::UpstreamState;
use skylarkshed_core::ClockTime;
use skylarkshed_peer::wire::{LedgerEngine, PeerBody, PromptPlacement, PromptProgress};
use skylarkshed_policy::{PlacedWork, WorkKind};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::runtime::Handle;

/// Work that counts in an engine's ledger until this is dropped.
pub(crate) struct PlacedGuard {
    state: Arc<GatewayState>,
    owner: LedgerOwner,
    engine: LedgerEngine,
    placement: u64,
    placed_at: ClockTime,
    has_event: bool,
}

impl PlacedGuard {
    /// Tells the owner, but does not wait for it. Returns none if the owner of the engine's
    /// ledger did not answer before.
    pub(crate) fn announce(
        state: &Arc<GatewayState>,
        engine: &UpstreamState,
        load: &CandidateLoad,
        work: &PlacedWork,
    ) -> Option<Self> {
        let guard = Self::new(state, engine, load, work)?;
        let placement = guard.placement(load, work);
        match guard.owner {
            LedgerOwner::Own => drop(receive_placement(state, &placement)),
            LedgerOwner::Other(owner) => {
                send_notice(state, owner, PeerBody::PlacePrompt(placement));
            }
        }
        Some(guard)
    }

    fn new(
        state: &Arc<GatewayState>,
        engine: &UpstreamState,
        load: &CandidateLoad,
        work: &PlacedWork,
    ) -> Option<Self> {
        Some(PlacedGuard {
            state: state.clone(),
            owner: load.owner?,
            engine: to_wire(engine),
            placement: work.placement,
            placed_at: state.clock.now(),
            has_event: false,
        })
    }

    fn placement(&self, load: &CandidateLoad, work: &PlacedWork) -> PromptPlacement {
        PromptPlacement {
            engine: Some(self.engine.clone()),
            placement: work.placement,
            request: work.request.to_string(),
            prompt_tokens: work.prompt_tokens,
            output_tokens: work.output_tokens,
            is_copy: work.kind == WorkKind::Copy,
            placed_total: load.view.map(|view| view.placed_total),
        }
    }

    /// Records that an event has arrived; the owner is told of the first one.
    pub(crate) fn record_event(&mut self, now: ClockTime) {
        if !self.has_event {
            self.has_event = true;
            self.tell(Some(now.since(self.placed_at)));
        }
    }

    /// Tells the owner of the first event, or that the work has ended.
    fn tell(&self, first_event: Option<ClockTime>) {
        let progress = PromptProgress {
            engine: Some(self.engine.clone()),
            placement: self.placement,
            first_event_ms: first_event.map(ClockTime::as_millis),
        };
        match self.owner {
            LedgerOwner::Own => {
                receive_progress(&self.state, &progress);
            }
            LedgerOwner::Other(owner) => {
                send_notice(&self.state, owner, PeerBody::PromptProgress(progress));
            }
        }
    }
}

impl Drop for PlacedGuard {
    fn drop(&mut self) {
        self.tell(None);
    }
}

/// Tells the owner of an engine's ledger of a prompt; returns the prompts that were placed
/// there since the owner was asked, in tokens.
pub(crate) async fn place_prompt(
    state: &Arc<GatewayState>,
    engine: &UpstreamState,
    load: &CandidateLoad,
    work: &PlacedWork,
) -> (Option<PlacedGuard>, u64) {
    let Some(guard) = PlacedGuard::new(state, engine, load, work) else {
        return (None, 0);
    };
    let placement = guard.placement(load, work);
    let reply = match guard.owner {
        LedgerOwner::Own => Some(receive_placement(state, &placement)),
        LedgerOwner::Other(owner) => {
            let reply = request_owner(state, owner, PeerBody::PlacePrompt(placement)).await;
            if reply.is_none() {
                state.engine_ledgers.mark_silent(owner);
            }
            reply
        }
    };
    let placed_tokens = match reply {
        Some(PeerBody::PlacementReply(reply)) => reply.placed_tokens,
        // The owner does not know the engine any more, or did not answer in time.
        Some(_) | None => 0,
    };
    (Some(guard), placed_tokens)
}

/// Sends a message to an owner for whose answer nothing waits. If too many are on their way,
/// or the owner has just not answered, it is left out: placed work lapses by itself.
fn send_notice(state: &Arc<GatewayState>, owner: SocketAddr, body: PeerBody) {
    if state.engine_ledgers.is_silent(owner) {
        log::debug!(owner:%; "a message about the load of an engine is left out: the VM is silent");
        return;
    }
    let permit = state.engine_ledgers.notices.clone().try_acquire_owned();
    // Work may be dropped after the end of the runtime, when there is nobody left to tell.
    let (Ok(permit), Ok(runtime)) = (permit, Handle::try_current()) else {
        log::debug!(owner:%; "a message about the load of an engine is left out: too many are on their way");
        return;
    };
    let state = state.clone();
    runtime.spawn(async move {
        let _permit = permit;
        if let Err(error) = state.peers.request(owner, body, OWNER_RETRY_DELAY).await {
            log::debug!(owner:%; "can't tell of the load of an engine: {error}");
            state.engine_ledgers.mark_silent(owner);
        }
    });
}
