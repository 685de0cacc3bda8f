//! Chooses the engines of a stream: one for the prefill, one to hold the KV cache
//! copy.

use super::ledger_selection::{
    AttemptWork, EngineSelection, HolderSearch, PlannedCopy, SelectionOutcome,
};
use super::StreamForwarder;
use crate::engine_calls::{has_cached, request_report};
use crate::engine_ledgers::uses_ledgers;
use crate::platform_api::{KvCacheCopy, WireProtocol};
use crate::upstreams::{UpstreamQuery, UpstreamState};
use skylarkshed_core::{UpstreamName, ZoneName};
use skylarkshed_policy::{
    are_all_busy, choose_engine, hash_rank, CopyKind, EngineLoad, HolderRoom, RouteTable,
    VersionFilter, WorkKind,
};
use std::sync::Arc;

/// How many engines are queried for a load report before a prompt is sent. Each costs
/// a billed call, and three nearly always include an idle one of eight.
const QUERIED_ENGINES: usize = 3;

impl<P: WireProtocol> StreamForwarder<P> {
    /// Returns the holder of a copy, unless it is known to have stopped.
    ///
    /// A suspect holder is still used: a failed attempt costs at most a refused
    /// connection, but another prefill costs a second.
    pub(super) fn usable_holder(
        &self,
        copy: KvCacheCopy,
    ) -> Option<(Arc<UpstreamState>, KvCacheCopy)> {
        let service = &self.request.service;
        let upstream = self.state.upstreams.find(service, &copy.holder)?;
        // The version under test gets only the requests that are taken for it.
        let is_preferred = self
            .request
            .version_filter
            .prefers(&upstream.record.version);
        (!upstream.is_retired() && is_preferred).then_some((upstream, copy))
    }

    /// Chooses the upstream for the prefill by the loads of a few engines. If `may_refuse`, a
    /// stream that none of them can serve in time gets none.
    pub(super) async fn choose_upstream(&self, may_refuse: bool) -> SelectionOutcome {
        match uses_ledgers(&self.state, &self.request.service) {
            true => self.choose_by_ledgers(may_refuse).await,
            false => self
                .choose_by_reports()
                .await
                .map_or(SelectionOutcome::NoUpstream, |upstream| {
                    SelectionOutcome::Selected(Box::new(EngineSelection::from(upstream)))
                }),
        }
    }

    async fn choose_by_reports(&self) -> Option<Arc<UpstreamState>> {
        let usual_prompt = self.traffic.prefill.usual_prompt();
        let mut queried = Vec::new();
        let mut reports = self.query_engines(&mut queried, &self.failed_zones).await;
        if !reports.is_empty() && are_all_busy(&reports, usual_prompt) {
            let mut avoid_zones = self.failed_zones.clone();
            avoid_zones.extend(queried.iter().map(|engine| engine.record.zone.clone()));
            reports.extend(self.query_engines(&mut queried, &avoid_zones).await);
        }
        let cached = self.find_cached_prompt(&queried).await;
        let index = choose_engine(&reports, &cached, usual_prompt).unwrap_or(0);
        let upstream = queried.into_iter().nth(index)?;
        upstream.record_prompt(self.state.clock.now());
        Some(upstream)
    }

    /// Returns which engines have the prompt of a caller that returns for the rest of a
    /// stream. Others are not asked: their prompts are new.
    pub(super) async fn find_cached_prompt(&self, engines: &[Arc<UpstreamState>]) -> Vec<bool> {
        let head = &self.request.head;
        let part = head
            .prompt_id
            .as_ref()
            .filter(|_| head.resume_after.is_some());
        let Some(part) = part.filter(|_| self.sends == 0 && engines.len() > 1) else {
            return Vec::new();
        };
        let asking = engines
            .iter()
            .map(|engine| has_cached::<P>(&self.state, engine, part));
        let cached = futures::future::join_all(asking).await;
        log::info!(
            request = self.request.id(),
            engines = cached.len(),
            cached = cached.iter().filter(|is_cached| **is_cached).count();
            "engines asked for the prompt of a caller that returns"
        );
        cached
    }

    /// Adds a few more upstreams to `queried` and returns their load reports. There
    /// are none if the service's upstreams are not engines.
    async fn query_engines(
        &self,
        queried: &mut Vec<Arc<UpstreamState>>,
        avoid_zones: &[ZoneName],
    ) -> Vec<Option<EngineLoad>> {
        let known = queried.len();
        self.add_candidates(queried, avoid_zones);
        let service = &self.request.service;
        let is_engine = |table: Arc<RouteTable>| table.engine(service).is_some();
        if !self.state.config.table().is_some_and(is_engine) {
            return Vec::new();
        }
        let reports = queried[known..]
            .iter()
            .map(|engine| request_report::<P>(&self.state, engine));
        futures::future::join_all(reports).await
    }

    /// Adds a few more upstreams to `queried`.
    pub(super) fn add_candidates(
        &self,
        queried: &mut Vec<Arc<UpstreamState>>,
        avoid_zones: &[ZoneName],
    ) {
        let known = queried.len();
        let mut avoid = self.tried.clone();
        avoid.extend(queried.iter().map(|engine| engine.name().clone()));
        while queried.len() < known + QUERIED_ENGINES {
            let filter = &self.request.version_filter;
            let Some(engine) = self.next_candidate(&avoid, avoid_zones, filter) else {
                break;
            };
            // Reports do not tell the versions apart, so one version is asked only.
            let prefers = |engine: &UpstreamState| filter.prefers(&engine.record.version);
            if !prefers(&engine) && queried.iter().any(|engine| prefers(engine)) {
                break;
            }
            avoid.push(engine.name().clone());
            queried.push(engine);
        }
    }

    /// Returns a hash that is the same for a request and for its caller's later attempts.
    fn prompt_hash(&self) -> u64 {
        let head = &self.request.head;
        hash_rank(head.prompt_id.as_ref().unwrap_or(&head.request))
    }

    pub(super) fn next_candidate(
        &self,
        avoid: &[UpstreamName],
        avoid_zones: &[ZoneName],
        version_filter: &VersionFilter,
    ) -> Option<Arc<UpstreamState>> {
        self.state.upstreams.choose(&UpstreamQuery {
            service: &self.request.service,
            zone: &self.state.settings.zone,
            avoid,
            avoid_zones,
            version_filter,
            prompt_hash: Some(self.prompt_hash()),
        })
    }

    /// Returns the engines that may hold a copy: not in the upstream's zone, and not in one
    /// where an attempt failed. A version under test holds none, if there is another. There
    /// are several only if the holder is chosen by its room.
    pub(super) fn find_holders(&self, upstream: &UpstreamState) -> HolderSearch {
        let mut avoid = vec![upstream.name().clone()];
        let mut avoid_zones = self.failed_zones.clone();
        avoid_zones.push(upstream.record.zone.clone());
        let state = &self.state;
        let service = &self.request.service;
        let filter = state.rollouts.version_filter(service, &state.upstreams);
        let uses_ledgers = uses_ledgers(state, service);
        let count = match uses_ledgers {
            true => QUERIED_ENGINES,
            false => 1,
        };
        let mut candidates: Vec<Arc<UpstreamState>> = Vec::new();
        while candidates.len() < count {
            let Some(holder) = self.next_candidate(&avoid, &avoid_zones, &filter) else {
                break;
            };
            let is_second_choice = avoid_zones.contains(&holder.record.zone)
                || !filter.prefers(&holder.record.version);
            if is_second_choice && !candidates.is_empty() {
                break;
            }
            avoid.push(holder.name().clone());
            candidates.push(holder);
        }
        let size = self.prompt_size();
        let copy = || PlannedCopy {
            work: self.placed_work(WorkKind::Copy, &size),
            size,
            room: HolderRoom::for_urgency(self.request.urgency),
        };
        HolderSearch {
            candidates,
            copy: uses_ledgers.then(copy),
        }
    }

    /// Returns the continuous copy that an upstream will make, if it can make one, and adds it
    /// to the attempt's work.
    pub(super) async fn plan_continuous_copy(
        &self,
        upstream: &UpstreamState,
        work: &mut AttemptWork,
    ) -> Option<KvCacheCopy> {
        let table = self.state.config.table()?;
        let engine = table.engine(&self.request.service)?;
        if !engine.can_back_up_cache || !self.is_resumable {
            return None;
        }
        let holder = self.find_holders(upstream).run::<P>(&self.state).await?;
        work.copy = holder.work;
        let engine = holder.engine;
        Some(KvCacheCopy {
            holder: engine.name().clone(),
            address: engine.record.address,
            handle: self.request.head.request.clone(),
            kind: CopyKind::Continuous,
        })
    }
}
