//! Serves the requests of other VMs, and this VM's own, about ledgers that this VM keeps.

use super::owned::{LedgerSlot, LoadSource};
use crate::counters;
use crate::gateway_state::GatewayState;
use crate::platform_api::WireProtocol;
use crate::upstreams::UpstreamState;
use faststr::FastStr;
use skylarkshed_core::{ClockTime, ServiceName, UpstreamName};
use skylarkshed_peer::wire::{
    LedgerAnswer, LedgerEngine, LedgerKnowledge, LedgerQuery, LedgerViews, PeerBody,
    PlacementReply, PromptPlacement, PromptProgress,
};
use skylarkshed_policy::{LedgerView, PlacedWork, PromptEvent, WorkKind};
use std::sync::Arc;

/// The number of engines that are looked up for one request; a prompt has three candidates.
const MAX_ENGINES: usize = 16;

/// Longer identifiers of requests are not kept.
const MAX_REQUEST_BYTES: usize = 256;

/// Answers a request for the loads of engines.
pub(crate) async fn answer_query<P: WireProtocol>(
    state: &Arc<GatewayState>,
    query: &LedgerQuery,
) -> LedgerViews {
    let engines = query.engines.iter().take(MAX_ENGINES);
    let engines: Vec<_> = engines.map(|engine| find_engine(state, engine)).collect();
    let slots = engines.iter().map(|engine| async move {
        let engine = engine.as_ref()?;
        refresh::<P>(state, engine, query.is_from_memory).await
    });
    let slots = futures::future::join_all(slots).await;
    let now = state.clock.now();
    let answers = engines.iter().zip(slots).map(|(engine, slot)| {
        let Some(engine) = engine else {
            return without_load(LedgerKnowledge::Unknown);
        };
        if engine.is_retired() {
            return without_load(LedgerKnowledge::Gone);
        }
        let view = slot.and_then(|slot| slot.view(now, query.usual_prompt));
        view.map_or_else(|| without_load(LedgerKnowledge::NoReport), to_answer)
    });
    LedgerViews {
        answers: answers.collect(),
    }
}

async fn refresh<P: WireProtocol>(
    state: &Arc<GatewayState>,
    engine: &Arc<UpstreamState>,
    is_from_memory: bool,
) -> Option<Arc<LedgerSlot>> {
    if is_from_memory {
        counters::count_ledger_request("ledger");
        return state.engine_ledgers.find_slot(engine);
    }
    let slot = state.engine_ledgers.slot(state, engine);
    counters::count_ledger_request(match slot.refresh::<P>(state, engine).await {
        LoadSource::Ledger => "ledger",
        LoadSource::Report => "report",
    });
    Some(slot)
}

/// Adds work that a VM sends to an engine to the engine's ledger.
pub(crate) fn receive_placement(state: &GatewayState, placement: &PromptPlacement) -> PeerBody {
    let engine = placement.engine.as_ref();
    let engine = engine.and_then(|engine| find_engine(state, engine));
    let engine = engine.filter(|_| placement.request.len() <= MAX_REQUEST_BYTES);
    let Some(engine) = engine else {
        return PeerBody::Done(false);
    };
    let work = PlacedWork {
        placement: placement.placement,
        request: FastStr::new(&placement.request),
        kind: match placement.is_copy {
            true => WorkKind::Copy,
            false => WorkKind::Prompt,
        },
        prompt_tokens: placement.prompt_tokens,
        output_tokens: placement.output_tokens,
    };
    let slot = state.engine_ledgers.slot(state, &engine);
    let now = state.clock.now();
    let ledger = &mut slot.lock().ledger;
    let seen = placement.placed_total;
    let placed_tokens = seen.map_or(0, |seen| ledger.placed_tokens_since(seen));
    ledger.place(work, now);
    PeerBody::PlacementReply(PlacementReply { placed_tokens })
}

/// Records how placed work goes on; reports whether the engine's ledger is kept here.
pub(crate) fn receive_progress(state: &GatewayState, progress: &PromptProgress) -> bool {
    let engine = progress.engine.as_ref();
    let engine = engine.and_then(|engine| find_engine(state, engine));
    let Some(slot) = engine.and_then(|engine| state.engine_ledgers.find_slot(&engine)) else {
        return false;
    };
    let event = match progress.first_event_ms {
        Some(elapsed_ms) => PromptEvent::FirstEvent {
            elapsed: ClockTime::from_millis(elapsed_ms),
        },
        None => PromptEvent::Ended,
    };
    let now = state.clock.now();
    let ledger = &mut slot.lock().ledger;
    ledger.record_event(progress.placement, event, now);
    true
}

/// Finds an engine of which the same start is listed.
fn find_engine(state: &GatewayState, engine: &LedgerEngine) -> Option<Arc<UpstreamState>> {
    let service = ServiceName::from(engine.service.as_str());
    let name = UpstreamName::from(engine.engine.as_str());
    let found = state.upstreams.find(&service, &name);
    found.filter(|found| found.record.started.as_millis() == engine.started_ms)
}

fn without_load(knowledge: LedgerKnowledge) -> LedgerAnswer {
    LedgerAnswer {
        knowledge: knowledge.into(),
        ..LedgerAnswer::default()
    }
}

fn to_answer(view: LedgerView) -> LedgerAnswer {
    LedgerAnswer {
        knowledge: LedgerKnowledge::Known.into(),
        due_tokens: view.due_tokens,
        running: view.running,
        free_tokens: view.free_tokens,
        tokens_per_s: view.tokens_per_s,
        age_ms: view.age.as_millis(),
        is_suspect: view.is_suspect,
        placed_total: view.placed_total,
    }
}
