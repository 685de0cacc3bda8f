//! Keeps a copy of a running answer's memory while engines come and go.

use super::attempt::StreamAttempt;
use crate::engine_calls::{copy_memory, drop_copy};
use crate::gateway_state::GatewayState;
use crate::platform_api::{KvCacheCopy, WireProtocol};
use crate::upstreams::UpstreamState;
use skylarkshed_core::{ClockTime, EngineCapabilities, ServiceName};
use skylarkshed_policy::{decide_copy, CopyDecision, CopyKind, CopyState, StreamPhase};
use std::sync::Arc;
use tokio::task::JoinHandle;
use tokio::time::{interval, Interval, MissedTickBehavior};

/// How often a copy's holder is looked at: a lost one is to be replaced well
/// before the next zone fails, seconds later.
const CHECK_PERIOD: ClockTime = ClockTime::from_millis(500);

/// Looks after the copy of one answer.
pub(super) struct CopyKeeper {
    ticks: Interval,
    copying: Option<JoinHandle<Option<KvCacheCopy>>>,
}

impl CopyKeeper {
    pub(super) fn new() -> Self {
        let mut ticks = interval(CHECK_PERIOD.to_duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        CopyKeeper {
            ticks,
            copying: None,
        }
    }

    /// Waits until a copy was made or the next look is due.
    pub(super) async fn next(&mut self) -> Option<KvCacheCopy> {
        let Some(copying) = &mut self.copying else {
            self.ticks.tick().await;
            return None;
        };
        // A task that was cancelled or panicked made no copy.
        let copy = copying.await.unwrap_or(None);
        self.copying = None;
        copy
    }

    /// Starts a copy if the attempt needs one.
    pub(super) fn look<D: WireProtocol>(
        &mut self,
        state: &Arc<GatewayState>,
        service: &ServiceName,
        request: &str,
        attempt: &StreamAttempt,
        choose: impl FnOnce() -> Option<Arc<UpstreamState>>,
    ) {
        let engine = state
            .control
            .table()
            .and_then(|table| table.engine(service));
        let Some(engine) = engine.filter(|engine| engine.can_move_cache) else {
            return;
        };
        if self.copying.is_some() || attempt.phase != StreamPhase::Decoding {
            return;
        }
        let holder = match needed_step(state, service, attempt, engine) {
            CopyDecision::Keep => return,
            CopyDecision::Renew => present_holder(state, service, attempt),
            CopyDecision::Replace => choose(),
        };
        let Some(holder) = holder else {
            return;
        };
        let (source, clock) = (attempt.upstream.clone(), state.clock);
        let request = request.to_owned();
        self.copying = Some(tokio::spawn(async move {
            copy_memory::<D>(&source, &request, &holder, clock).await
        }));
    }

    /// Has the copy dropped that was made by a call; the answer has ended. One
    /// that grows with the answer ends with it.
    pub(super) fn release<D: WireProtocol>(&mut self, attempt: &StreamAttempt) {
        self.stop();
        let is_once = |copy: &&KvCacheCopy| copy.kind != CopyKind::Continuous;
        if let Some(copy) = attempt.copy.as_ref().filter(is_once) {
            let (engine, copy) = (attempt.upstream.clone(), copy.clone());
            tokio::spawn(async move { drop_copy::<D>(&engine, &copy).await });
        }
    }

    /// Gives up what is under way; the attempt has ended.
    pub(super) fn stop(&mut self) {
        if let Some(copying) = self.copying.take() {
            copying.abort();
        }
    }
}

impl Drop for CopyKeeper {
    fn drop(&mut self) {
        self.stop();
    }
}

fn needed_step(
    state: &GatewayState,
    service: &ServiceName,
    attempt: &StreamAttempt,
    engine: EngineCapabilities,
) -> CopyDecision {
    let copy = CopyState {
        kind: attempt.copy.as_ref().map(|copy| copy.kind),
        is_holder_available: present_holder(state, service, attempt).is_some(),
        retention: engine.copy_ttl,
    };
    decide_copy(&copy, state.clock.now())
}

fn present_holder(
    state: &GatewayState,
    service: &ServiceName,
    attempt: &StreamAttempt,
) -> Option<Arc<UpstreamState>> {
    let copy = attempt.copy.as_ref()?;
    let holder = state.upstreams.find(service, &copy.holder)?;
    (!holder.is_retired() && !holder.record.is_leaving).then_some(holder)
}
