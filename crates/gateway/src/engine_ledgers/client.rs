//! Asks the owners of ledgers for the loads of engines.

use super::handler::answer_query;
use super::{request_owner, to_wire, LedgerOwner};
use crate::counters;
use crate::engine_calls::request_report;
use crate::gateway_state::GatewayState;
use crate::platform_api::WireProtocol;
use crate::upstreams::UpstreamState;
use skylarkshed_core::ClockTime;
use skylarkshed_peer::wire::{LedgerAnswer, LedgerKnowledge, LedgerQuery, LedgerViews, PeerBody};
use skylarkshed_policy::{find_ledger_owner, LedgerView, UpstreamHealth};
use std::sync::Arc;

/// What owners may do to answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LedgerScope {
    /// Ask engines whose last report is too old. The VM itself asks engines whose owner does
    /// not answer.
    Reports,
    /// Answer from what is known.
    Memory,
}

/// What is known of the load of a candidate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CandidateLoad {
    pub(crate) view: Option<LedgerView>,
    /// The owner that answered.
    pub(super) owner: Option<LedgerOwner>,
}

/// Returns the loads of engines, in the same order.
pub(crate) async fn query_ledgers<P: WireProtocol>(
    state: &Arc<GatewayState>,
    engines: &[Arc<UpstreamState>],
    usual_prompt: u64,
    scope: LedgerScope,
) -> Vec<CandidateLoad> {
    let groups = group_by_owner(state, engines);
    let asking = groups.iter().map(|(owner, indexes)| async move {
        let query = LedgerQuery {
            engines: indexes
                .iter()
                .map(|index| to_wire(&engines[*index]))
                .collect(),
            usual_prompt,
            is_from_memory: scope == LedgerScope::Memory,
        };
        ask_owner::<P>(state, *owner, query).await
    });
    let replies = futures::future::join_all(asking).await;
    let mut loads: Vec<Option<CandidateLoad>> = vec![None; engines.len()];
    for ((owner, indexes), reply) in groups.iter().zip(replies) {
        let Some(views) = reply else { continue };
        for (index, answer) in indexes.iter().zip(&views.answers) {
            let load = read_answer(state, &engines[*index], answer);
            loads[*index] = load.map(|view| CandidateLoad {
                view,
                owner: Some(*owner),
            });
        }
    }
    let loads = engines.iter().zip(loads).map(|(engine, load)| async move {
        match load {
            Some(load) => load,
            None if scope == LedgerScope::Memory => CandidateLoad::default(),
            None => ask_engine::<P>(state, engine, usual_prompt).await,
        }
    });
    futures::future::join_all(loads).await
}

/// Returns the owners with the indexes of their engines. Owners that did not answer lately
/// are left out.
fn group_by_owner(
    state: &GatewayState,
    engines: &[Arc<UpstreamState>],
) -> Vec<(LedgerOwner, Vec<usize>)> {
    let vms = state.roster.vms();
    let mut groups: Vec<(LedgerOwner, Vec<usize>)> = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        let Some(vm) = find_ledger_owner(&vms, engine.name(), &engine.record.zone) else {
            continue;
        };
        let owner = match vm.name == state.settings.name {
            true => LedgerOwner::Own,
            false if state.engine_ledgers.is_silent(vm.address) => continue,
            false => LedgerOwner::Other(vm.address),
        };
        match groups.iter_mut().find(|(known, _)| *known == owner) {
            Some((_, indexes)) => indexes.push(index),
            None => groups.push((owner, vec![index])),
        }
    }
    groups
}

/// Returns an owner's answers, or none if it does not answer in time.
async fn ask_owner<P: WireProtocol>(
    state: &Arc<GatewayState>,
    owner: LedgerOwner,
    query: LedgerQuery,
) -> Option<LedgerViews> {
    let address = match owner {
        LedgerOwner::Own => return Some(answer_query::<P>(state, &query).await),
        LedgerOwner::Other(address) => address,
    };
    let count = query.engines.len();
    let reply = request_owner(state, address, PeerBody::AskLedgers(query)).await;
    let views = match reply {
        Some(PeerBody::LedgerViews(views)) if views.answers.len() == count => Some(views),
        // An older build, or a VM that is slow or gone.
        Some(_) | None => None,
    };
    let is_unknown = |answer: &LedgerAnswer| answer.knowledge() == LedgerKnowledge::Unknown;
    let knows_all = |views: &LedgerViews| !views.answers.iter().any(is_unknown);
    if !views.as_ref().is_some_and(knows_all) {
        log::debug!(owner:% = address; "a VM does not tell the load of engines");
        state.engine_ledgers.mark_silent(address);
    }
    views
}

/// Returns the load in an answer, or none if the owner does not know the engine. The inner
/// value is none if the engine does not report.
fn read_answer(
    state: &GatewayState,
    engine: &UpstreamState,
    answer: &LedgerAnswer,
) -> Option<Option<LedgerView>> {
    match answer.knowledge() {
        LedgerKnowledge::Unknown => None,
        LedgerKnowledge::NoReport => Some(None),
        LedgerKnowledge::Gone => {
            if !engine.is_retired() {
                engine.retire();
                log::info!(upstream:% = engine.name(); "another VM found that the address of an engine belongs to another one");
            }
            Some(None)
        }
        LedgerKnowledge::Known => {
            let is_suspect = engine.health(state.clock.now()) == UpstreamHealth::Suspect;
            Some(Some(LedgerView {
                due_tokens: answer.due_tokens,
                running: answer.running,
                free_tokens: answer.free_tokens,
                tokens_per_s: answer.tokens_per_s,
                age: ClockTime::from_millis(answer.age_ms),
                is_suspect: answer.is_suspect || is_suspect,
                placed_total: answer.placed_total,
            }))
        }
    }
}

/// Asks an engine itself.
async fn ask_engine<P: WireProtocol>(
    state: &GatewayState,
    engine: &UpstreamState,
    usual_prompt: u64,
) -> CandidateLoad {
    counters::count_ledger_request("fallback");
    let report = request_report::<P>(state, engine).await;
    let view = report.map(|load| {
        let view = LedgerView::from_load(&load, usual_prompt);
        LedgerView {
            is_suspect: view.is_suspect || load.is_suspect,
            ..view
        }
    });
    CandidateLoad {
        view,
        ..CandidateLoad::default()
    }
}
