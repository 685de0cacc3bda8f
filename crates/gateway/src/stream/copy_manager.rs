//! Maintains a KV cache copy of a running request while engines come and go.

use super::attempt::StreamAttempt;
use super::ledger_selection::HolderSearch;
use crate::engine_calls::{copy_kv_cache, drop_copy};
use crate::engine_ledgers::PlacedGuard;
use crate::gateway_state::GatewayState;
use crate::platform_api::{KvCacheCopy, WireProtocol};
use crate::upstreams::UpstreamState;
use skylarkshed_core::{ClockTime, EngineCapabilities, ServiceName};
use skylarkshed_policy::{decide_copy, CopyDecision, CopyKind, CopyState, StreamPhase};
use std::sync::Arc;
use tokio::task::JoinHandle;
use tokio::time::{interval, Interval, MissedTickBehavior};

/// How often a copy's holder is checked. A failed one has to be replaced well before
/// the next zone fails, which can be seconds later.
const CHECK_INTERVAL: ClockTime = ClockTime::from_millis(500);

/// Maintains the KV cache copy of one request.
pub(super) struct CopyManager {
    ticks: Interval,
    copying: Option<JoinHandle<Option<MadeCopy>>>,
}

/// A copy that was made.
pub(super) struct MadeCopy {
    pub(super) copy: KvCacheCopy,
    /// What counts in the ledger of its holder.
    pub(super) work: Option<PlacedGuard>,
}

impl CopyManager {
    pub(super) fn new() -> Self {
        let mut ticks = interval(CHECK_INTERVAL.to_duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        CopyManager {
            ticks,
            copying: None,
        }
    }

    /// Waits until a copy has been made or the next check is due.
    pub(super) async fn next(&mut self) -> Option<MadeCopy> {
        if let Some(copying) = &mut self.copying {
            // A task that was cancelled or panicked made no copy.
            let copy = copying.await.unwrap_or(None);
            self.copying = None;
            if copy.is_some() {
                return copy;
            }
            // An engine that can't copy fails at once.
            self.ticks.reset();
        }
        self.ticks.tick().await;
        None
    }

    /// Starts making a copy if the attempt needs one.
    pub(super) fn check<P: WireProtocol>(
        &mut self,
        state: &Arc<GatewayState>,
        service: &ServiceName,
        request: &str,
        attempt: &StreamAttempt,
        choose: impl FnOnce() -> HolderSearch,
    ) {
        let capabilities = state.config.table().and_then(|table| table.engine(service));
        let Some(capabilities) = capabilities.filter(|capabilities| capabilities.can_move_cache)
        else {
            return;
        };
        if self.copying.is_some() || attempt.phase != StreamPhase::Decoding {
            return;
        }
        let search = match copy_decision(state, service, attempt, capabilities) {
            CopyDecision::Keep => return,
            CopyDecision::Renew => HolderSearch {
                candidates: available_holder(state, service, attempt)
                    .into_iter()
                    .collect(),
                copy: None,
            },
            CopyDecision::Replace => choose(),
        };
        if search.candidates.is_empty() {
            return;
        }
        let (state, source) = (state.clone(), attempt.upstream.clone());
        let request = request.to_owned();
        self.copying = Some(tokio::spawn(async move {
            let holder = search.run::<P>(&state).await?;
            let copy = copy_kv_cache::<P>(&state, &source, &request, &holder.engine).await?;
            let work = holder.work;
            Some(MadeCopy { copy, work })
        }));
    }

    /// Drops the snapshot of an ended request. The upstream ends a continuous copy
    /// by itself.
    pub(super) fn release<P: WireProtocol>(
        &mut self,
        state: &Arc<GatewayState>,
        attempt: &StreamAttempt,
    ) {
        self.stop();
        let is_snapshot = |copy: &&KvCacheCopy| copy.kind != CopyKind::Continuous;
        if let Some(copy) = attempt.copy.as_ref().filter(is_snapshot) {
            let (state, engine) = (state.clone(), attempt.upstream.clone());
            let copy = copy.clone();
            tokio::spawn(async move { drop_copy::<P>(&state, &engine, &copy).await });
        }
    }

    /// Cancels the copy being made, because the attempt has ended.
    pub(super) fn stop(&mut self) {
        if let Some(copying) = self.copying.take() {
            copying.abort();
        }
    }
}

impl Drop for CopyManager {
    fn drop(&mut self) {
        self.stop();
    }
}

fn copy_decision(
    state: &GatewayState,
    service: &ServiceName,
    attempt: &StreamAttempt,
    capabilities: EngineCapabilities,
) -> CopyDecision {
    let copy = CopyState {
        kind: attempt.copy.as_ref().map(|copy| copy.kind),
        is_holder_available: available_holder(state, service, attempt).is_some(),
        retention: capabilities.copy_ttl,
    };
    decide_copy(&copy, state.clock.now())
}

fn available_holder(
    state: &GatewayState,
    service: &ServiceName,
    attempt: &StreamAttempt,
) -> Option<Arc<UpstreamState>> {
    let copy = attempt.copy.as_ref()?;
    let holder = state.upstreams.find(service, &copy.holder)?;
    (!holder.is_retired() && !holder.is_leaving()).then_some(holder)
}
