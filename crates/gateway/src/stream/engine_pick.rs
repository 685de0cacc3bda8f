//! Picks the engines of a stream: one that reads its prompt, one that holds a copy.

use super::StreamRelay;
use crate::engine_calls::ask_report;
use crate::platform_api::{KvCacheCopy, WireProtocol};
use crate::upstreams::{UpstreamQuery, UpstreamState};
use skylarkshed_core::{UpstreamName, ZoneName};
use skylarkshed_policy::{are_all_busy, choose_engine, CopyKind, EngineLoad, RouteTable};
use std::sync::Arc;

/// Engines that are asked for a report before a prompt is sent: each more costs
/// a priced call, and three find an idle one of eight nearly always.
const ASKED_ENGINES: usize = 3;

impl<D: WireProtocol> StreamRelay<D> {
    /// Returns the upstream that holds a copy, unless it is known to be gone.
    ///
    /// A suspicion is no reason to give the copy up: a try there costs a refused
    /// connection at most, reading the prompt again a second.
    pub(super) fn usable_holder(
        &self,
        copy: KvCacheCopy,
    ) -> Option<(Arc<UpstreamState>, KvCacheCopy)> {
        let service = &self.request.service;
        let upstream = self.state.upstreams.find(service, &copy.holder)?;
        (!upstream.is_retired()).then_some((upstream, copy))
    }

    /// Picks the upstream that is to read the prompt, among a few that report.
    pub(super) async fn choose_upstream(&self) -> Option<Arc<UpstreamState>> {
        let mut asked = Vec::new();
        let mut reports = self.ask_engines(&mut asked, &self.lost_zones).await;
        if !reports.is_empty() && are_all_busy(&reports) {
            let mut avoid_zones = self.lost_zones.clone();
            avoid_zones.extend(asked.iter().map(|engine| engine.record.zone.clone()));
            reports.extend(self.ask_engines(&mut asked, &avoid_zones).await);
        }
        let place = choose_engine(&reports).unwrap_or(0);
        let upstream = asked.into_iter().nth(place)?;
        upstream.note_prompt(self.state.clock.now());
        Some(upstream)
    }

    /// Asks a few more engines for their reports; services without engines
    /// report nothing.
    async fn ask_engines(
        &self,
        asked: &mut Vec<Arc<UpstreamState>>,
        avoid_zones: &[ZoneName],
    ) -> Vec<Option<EngineLoad>> {
        let known = asked.len();
        let mut avoid = self.tried.clone();
        avoid.extend(asked.iter().map(|engine| engine.name().clone()));
        while asked.len() < known + ASKED_ENGINES {
            let Some(engine) = self.next_candidate(&avoid, avoid_zones) else {
                break;
            };
            avoid.push(engine.name().clone());
            asked.push(engine);
        }
        let service = &self.request.service;
        let is_engine = |table: Arc<RouteTable>| table.engine(service).is_some();
        if !self.state.control.table().is_some_and(is_engine) {
            return Vec::new();
        }
        let clock = self.state.clock;
        let asking = asked[known..]
            .iter()
            .map(|engine| ask_report::<D>(engine, clock));
        futures::future::join_all(asking).await
    }

    fn next_candidate(
        &self,
        avoid: &[UpstreamName],
        avoid_zones: &[ZoneName],
    ) -> Option<Arc<UpstreamState>> {
        self.state.upstreams.choose(&UpstreamQuery {
            service: &self.request.service,
            zone: &self.state.settings.zone,
            avoid,
            avoid_zones,
            versions: &self.request.versions,
        })
    }

    /// Picks the engine that is to hold a copy: in another zone than the
    /// upstream, and not in one that was just lost.
    pub(super) fn choose_holder(&self, upstream: &UpstreamState) -> Option<Arc<UpstreamState>> {
        let avoid = [upstream.name().clone()];
        let mut avoid_zones = self.lost_zones.clone();
        avoid_zones.push(upstream.record.zone.clone());
        self.next_candidate(&avoid, &avoid_zones)
    }

    /// Returns the copy that an upstream is to make while the answer runs.
    pub(super) fn order_copy(&self, upstream: &UpstreamState) -> Option<KvCacheCopy> {
        let table = self.state.control.table()?;
        let engine = table.engine(&self.request.service)?;
        if !engine.can_back_up_cache || !self.is_resumable {
            return None;
        }
        let holder = self.choose_holder(upstream)?;
        Some(KvCacheCopy {
            holder: holder.name().clone(),
            address: holder.record.address,
            handle: self.request.head.request.clone(),
            kind: CopyKind::Continuous,
        })
    }
}
