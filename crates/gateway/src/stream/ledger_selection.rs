//! Chooses engines by the ledgers of their loads, which VMs keep for each other.

use super::StreamForwarder;
use crate::counters;
use crate::engine_ledgers::{place_prompt, query_ledgers, CandidateLoad, LedgerScope, PlacedGuard};
use crate::gateway_state::GatewayState;
use crate::platform_api::WireProtocol;
use crate::upstreams::UpstreamState;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{
    are_ledgers_busy, choose_by_time, choose_holder, revise_choice, EngineChoice, HolderRoom,
    LedgerView, PlacedWork, PromptSize, WorkKind,
};
use std::sync::Arc;

/// What an attempt has placed at engines, as their ledgers' owners count it.
#[derive(Default)]
pub(super) struct AttemptWork {
    pub(super) prompt: Option<PlacedGuard>,
    pub(super) copy: Option<PlacedGuard>,
    /// The expected time from the choice to the first event.
    pub(super) expected_first_event: Option<ClockTime>,
}

/// The engine that is chosen for a prompt.
pub(super) struct EngineSelection {
    pub(super) upstream: Arc<UpstreamState>,
    pub(super) work: AttemptWork,
}

impl From<Arc<UpstreamState>> for EngineSelection {
    fn from(upstream: Arc<UpstreamState>) -> Self {
        EngineSelection {
            upstream,
            work: AttemptWork::default(),
        }
    }
}

/// The outcome of choosing the upstream for a prompt.
pub(super) enum SelectionOutcome {
    Selected(Box<EngineSelection>),
    /// No engine can serve the stream in time.
    EnginesFull {
        /// When its caller should return.
        retry_after: ClockTime,
    },
    /// No upstream accepts requests.
    NoUpstream,
}

/// The engines that may hold a copy, best first.
pub(super) struct HolderSearch {
    pub(super) candidates: Vec<Arc<UpstreamState>>,
    /// The copy, if the holder is chosen by the room in the ledgers.
    pub(super) copy: Option<PlannedCopy>,
}

/// A copy that is to be placed by the room in the ledgers.
pub(super) struct PlannedCopy {
    pub(super) work: PlacedWork,
    pub(super) size: PromptSize,
    pub(super) room: HolderRoom,
}

/// The engine that is to hold a copy.
pub(super) struct CopyHolder {
    pub(super) engine: Arc<UpstreamState>,
    pub(super) work: Option<PlacedGuard>,
}

impl HolderSearch {
    /// Returns the engine that holds the copy, or none if no candidate has room for it.
    pub(super) async fn run<P: WireProtocol>(
        self,
        state: &Arc<GatewayState>,
    ) -> Option<CopyHolder> {
        let mut candidates = self.candidates;
        let Some(PlannedCopy { work, size, room }) = self.copy.filter(|_| !candidates.is_empty())
        else {
            let engine = candidates.into_iter().next()?;
            return Some(CopyHolder { engine, work: None });
        };
        let scope = LedgerScope::Memory;
        let loads = query_ledgers::<P>(state, &candidates, size.usual_prompt, scope).await;
        let views = views(&loads);
        let index = match views.iter().any(Option::is_some) {
            true => choose_holder(&views, &size, room)?,
            // Without any answer the holder is chosen as in small fleets.
            false => 0,
        };
        let engine = candidates.swap_remove(index);
        let work = PlacedGuard::announce(state, &engine, &loads[index], &work);
        Some(CopyHolder { engine, work })
    }
}

impl<P: WireProtocol> StreamForwarder<P> {
    /// Chooses the upstream for the prefill by the ledgers of a few engines, and tells the
    /// chosen engine's owner. If `may_refuse`, a stream that can't be served in time is placed
    /// nowhere.
    pub(super) async fn choose_by_ledgers(&self, may_refuse: bool) -> SelectionOutcome {
        let size = self.prompt_size();
        let mut engines = Vec::new();
        self.add_candidates(&mut engines, &self.failed_zones);
        let mut loads = self.query_loads(&engines, &size).await;
        if are_ledgers_busy(&views(&loads), &size) {
            let mut avoid_zones = self.failed_zones.clone();
            avoid_zones.extend(engines.iter().map(|engine| engine.record.zone.clone()));
            let known = engines.len();
            self.add_candidates(&mut engines, &avoid_zones);
            loads.extend(self.query_loads(&engines[known..], &size).await);
        }
        let cached = self.find_cached_prompt(&engines).await;
        let selection = match choose_by_time(&views(&loads), &cached, &size) {
            Some(choice) => {
                if may_refuse {
                    if let Some(retry_after) = self.refused_for(&choice, &size) {
                        return SelectionOutcome::EnginesFull { retry_after };
                    }
                }
                self.place(&engines, &loads, choice, &size).await
            }
            // No engine reports.
            None => match engines.into_iter().next() {
                Some(engine) => EngineSelection::from(engine),
                None => return SelectionOutcome::NoUpstream,
            },
        };
        selection.upstream.record_prompt(self.state.clock.now());
        SelectionOutcome::Selected(Box::new(selection))
    }

    async fn query_loads(
        &self,
        engines: &[Arc<UpstreamState>],
        size: &PromptSize,
    ) -> Vec<CandidateLoad> {
        let scope = LedgerScope::Reports;
        query_ledgers::<P>(&self.state, engines, size.usual_prompt, scope).await
    }

    /// Places the prompt at the chosen engine; once at another one, if other VMs have placed
    /// so much there meanwhile that the other one is better.
    async fn place(
        &self,
        engines: &[Arc<UpstreamState>],
        loads: &[CandidateLoad],
        mut choice: EngineChoice,
        size: &PromptSize,
    ) -> EngineSelection {
        let state = &self.state;
        let work = self.placed_work(WorkKind::Prompt, size);
        let (engine, load) = (&engines[choice.index], &loads[choice.index]);
        let (mut guard, placed_tokens) = place_prompt(state, engine, load, &work).await;
        if let Some(other) = revise_choice(&choice, &views(loads), placed_tokens, size) {
            counters::count_revised_placement();
            choice = other;
            let (engine, load) = (&engines[choice.index], &loads[choice.index]);
            // Dropping the first guard tells the first engine's owner.
            // Another placement: the end of the first one may arrive before or after it.
            let work = self.placed_work(WorkKind::Prompt, size);
            guard = PlacedGuard::announce(state, engine, load, &work);
        }
        EngineSelection {
            upstream: engines[choice.index].clone(),
            work: AttemptWork {
                prompt: guard,
                copy: None,
                expected_first_event: Some(choice.expected),
            },
        }
    }

    pub(super) fn prompt_size(&self) -> PromptSize {
        let head = &self.request.head;
        let prefill = &self.traffic.prefill;
        let usual_prompt = prefill.usual_prompt();
        PromptSize {
            prompt_tokens: match head.prompt_tokens {
                0 => usual_prompt,
                tokens => tokens,
            },
            output_tokens: head.output_tokens,
            usual_prompt,
            usual_tokens_per_s: prefill.tokens_per_s(),
        }
    }

    pub(super) fn placed_work(&self, kind: WorkKind, size: &PromptSize) -> PlacedWork {
        PlacedWork {
            placement: rand::random(),
            request: self.request.head.request.clone(),
            kind,
            prompt_tokens: size.prompt_tokens,
            output_tokens: size.output_tokens,
        }
    }
}

fn views(loads: &[CandidateLoad]) -> Vec<Option<LedgerView>> {
    loads.iter().map(|load| load.view).collect()
}
