//! Watches one rollout: until its end is stored, and then for faults that appear later.

use super::bake::review_baking;
use super::exchange::{
    find_hubs, has_reports, record_own_report, report_to, review_reports, JudgedSamples, MAX_HUBS,
};
use super::notification::notify_vms;
use super::progress::WithdrawalScope;
use super::record::RolloutRecord;
use super::recovery::recover_report;
use super::reserve::add_reserve;
use super::summary::summarize_routes;
use crate::gateway_state::GatewayState;
use crate::jitter::add_jitter;
use crate::platform_api::{RolloutSnapshot, RolloutStatus, RoutingStore, StoreError};
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{
    compare_rollout, decide_rollout, end_delay, finish_time, ExposureLimits, RolloutDecision,
    RolloutSamples, RolloutState,
};
use std::sync::{Arc, Weak};

/// How often a hub reads the stored state. Each read is a billed call.
const STORE_INTERVAL: ClockTime = ClockTime::from_millis(1_600);

/// The rank of a VM that is no hub and hears none.
const LONE_RANK: u64 = MAX_HUBS as u64;

/// A VM's view of a rollout between two steps.
struct RolloutWatch {
    heard_at: ClockTime,
    /// This VM's rank among those that may end the rollout, from 0.
    rank: u64,
    stored_at: Option<ClockTime>,
}

/// Watches a rollout until it is removed, or rolled back and its end is stored.
pub(super) async fn watch_rollout<S: RoutingStore>(
    state: Arc<GatewayState>,
    store: S,
    record: Weak<RolloutRecord>,
) {
    let mut watch = RolloutWatch {
        heard_at: state.clock.now(),
        rank: LONE_RANK,
        stored_at: None,
    };
    while let Some(record) = record.upgrade() {
        let is_stored = record.progress().is_stored;
        match (is_stored, record.state()) {
            (true, RolloutState::RolledBack) => return,
            (true, _) => watch.step_baking(&state, &record).await,
            (false, _) => watch.step(&state, &store, &record).await,
        }
        let wait = next_step(&state, &record);
        drop(record);
        tokio::time::sleep(wait.to_duration()).await;
    }
}

/// Returns the time to the next step, which is not later than the end of the rollout.
fn next_step(state: &GatewayState, record: &RolloutRecord) -> ClockTime {
    let vms = state.roster.count().unwrap_or(1);
    let interval = add_jitter(record.times.report_interval(vms));
    match finish_time(record.spec.duration).since(record.elapsed()) {
        ClockTime::ZERO => interval,
        left => interval.min(left),
    }
}

impl RolloutWatch {
    /// Reports to the hubs, and returns the samples that this VM judges by: those of all
    /// VMs if it is a hub, its own ones if it hears no hub.
    async fn exchange(
        &mut self,
        state: &GatewayState,
        record: &RolloutRecord,
    ) -> Option<JudgedSamples> {
        let hubs = find_hubs(state, record);
        let samples = record.snapshot();
        let encoded = serde_json::to_string(&samples).expect("samples are serialisable");
        let reports = hubs
            .others
            .iter()
            .map(|hub| report_to(state, record, *hub, &encoded));
        let words = futures::future::join_all(reports).await;
        let now = state.clock.now();
        for mut word in words.into_iter().flatten() {
            self.heard_at = now;
            let earlier = word.earlier.take();
            if !word.is_withdrawn {
                record.end_own_withdrawal();
            }
            record.apply_word(word);
            if let Some(earlier) = earlier {
                recover_report(record, earlier);
            }
        }
        self.rank = hubs.own_rank.unwrap_or(LONE_RANK);
        if hubs.own_rank.is_some() {
            record_own_report(state, record, samples);
            return Some(review_reports(state, record));
        }
        self.is_alone(state, record).then_some(JudgedSamples {
            samples,
            has_quorum: false,
        })
    }

    /// Reports whether this VM hears no other hub.
    fn is_alone(&self, state: &GatewayState, record: &RolloutRecord) -> bool {
        state.clock.now().since(self.heard_at) >= record.times.hub_timeout
    }

    /// Returns for whom this VM may withdraw a version.
    fn withdrawal_scope(
        &self,
        state: &GatewayState,
        record: &RolloutRecord,
        has_quorum: bool,
    ) -> Option<WithdrawalScope> {
        match has_quorum {
            true => Some(WithdrawalScope::Fleet),
            false => self.is_alone(state, record).then_some(WithdrawalScope::Vm),
        }
    }

    /// Watches a version after its rollout is done, without the store, for as long as
    /// some VM knows an upstream of another version.
    async fn step_baking(&mut self, state: &GatewayState, record: &RolloutRecord) {
        let has_alternative = record.has_alternative(&state.upstreams);
        record.progress().has_alternative = has_alternative;
        record.drop_old_samples();
        let is_known_elsewhere = has_reports(record);
        let judged = match has_alternative {
            true => self.exchange(state, record).await,
            false => is_known_elsewhere.then(|| review_reports(state, record)),
        };
        let Some(judged) = judged else {
            return;
        };
        if let Some(scope) = self.withdrawal_scope(state, record, judged.has_quorum) {
            let has_alternative = has_alternative || is_known_elsewhere;
            review_baking(record, &judged.samples, has_alternative, scope);
        }
    }

    async fn step<S: RoutingStore>(
        &mut self,
        state: &Arc<GatewayState>,
        store: &S,
        record: &RolloutRecord,
    ) {
        add_reserve(state, record);
        if record.lists_alternative(&state.upstreams) {
            record.progress().knowledge.has_seen_other = true;
        }
        let Some(judged) = self.exchange(state, record).await else {
            return;
        };
        let now = state.clock.now();
        let was_running = record.is_running();
        let limits = state.settings.exposure;
        let end = decide_end(record, limits, &judged.samples, self.rank);
        if was_running && end == RolloutState::RolledBack {
            notify_vms(state, record);
        }
        let is_due = self
            .stored_at
            .is_none_or(|at| now.since(at) >= STORE_INTERVAL);
        if is_due || end != RolloutState::Running {
            self.stored_at = Some(now);
            if let Err(error) = synchronize(store, record, end).await {
                log_store_error(record, &error);
            }
        }
        if was_running && record.state() == RolloutState::Done {
            notify_vms(state, record);
        }
    }
}

/// Decides whether the rollout ends now. A rollback takes effect at once, the opposite
/// only when it is stored.
fn decide_end(
    record: &RolloutRecord,
    limits: ExposureLimits,
    samples: &RolloutSamples,
    rank: u64,
) -> RolloutState {
    let known = record.state();
    if known != RolloutState::Running {
        return known;
    }
    let elapsed = record.elapsed();
    let findings = compare_rollout(samples);
    let delay = end_delay(&record.spec, rank);
    let (end, verdict) = match decide_rollout(&record.spec, limits, &findings, elapsed.since(delay))
    {
        RolloutDecision::Wait => return RolloutState::Running,
        RolloutDecision::Finish => (RolloutState::Done, findings.suspicion.clone()),
        RolloutDecision::RollBack(verdict) => (RolloutState::RolledBack, verdict),
    };
    log::info!(
        service:% = record.spec.service,
        to:% = record.spec.to,
        order = record.spec.revision,
        state:? = end,
        is_proven = findings.is_proven(),
        verdict:? = verdict,
        strength = findings.strength,
        old_requests = findings.old_total,
        new_requests = findings.new_total,
        new_failed = findings.new_failed,
        routes = summarize_routes(samples),
        rank,
        elapsed_ms = elapsed.as_millis();
        "rollout decided"
    );
    if end == RolloutState::RolledBack {
        record.record_state(end);
    }
    end
}

/// Brings the stored state and the known one together.
async fn synchronize<S: RoutingStore>(
    store: &S,
    record: &RolloutRecord,
    end: RolloutState,
) -> Result<(), StoreError> {
    let spec = &record.spec;
    let snapshot = store.read_rollout(&spec.service).await?;
    let current = snapshot.status.as_ref();
    record.progress().knowledge.may_have_ended = false;
    if let Some(status) = current {
        record.learn_rejections(status);
    }
    let current = current.filter(|status| status.spec_revision == spec.revision);
    let started_at = match current {
        Some(current) if current.state != RolloutState::Running => {
            record.record_stored_end(current.state);
            return Ok(());
        }
        Some(current) => {
            let elapsed = snapshot.now.since(current.started_at);
            record.record_elapsed(elapsed);
            current.started_at
        }
        None => snapshot.now.since(record.elapsed()),
    };
    if current.is_some() && end == RolloutState::Running {
        return Ok(());
    }
    write_state(store, record, &snapshot, started_at, end).await?;
    if end != RolloutState::Running {
        record.record_stored_end(end);
    }
    Ok(())
}

/// Writes the state if the row is unchanged: one VM writes it, and the others read it.
async fn write_state<S: RoutingStore>(
    store: &S,
    record: &RolloutRecord,
    snapshot: &RolloutSnapshot,
    started_at: ClockTime,
    state: RolloutState,
) -> Result<(), StoreError> {
    let spec = &record.spec;
    let status = RolloutStatus {
        service: spec.service.clone(),
        to: spec.to.clone(),
        state,
        spec_revision: spec.revision,
        started_at,
        rejected: record.progress().rejected.rejections(),
    };
    store.write_rollout(&status, snapshot.revision).await
}

fn log_store_error(record: &RolloutRecord, error: &StoreError) {
    // Another VM has written the row first.
    if !matches!(error, StoreError::Conflict) {
        log::info!(
            service:% = record.spec.service,
            reason = error.label();
            "can't store the state of a rollout: {error}"
        );
    }
}
