//! Runs one generation: passes inputs to its state machine and performs the actions.

use crate::counters;
use crate::generations::attempt_runner::{AttemptRunner, ROUTE_GENERATION};
use crate::generations::generation_environment::{AttemptHandle, TaskEnvironment};
use crate::generations::prompt::prefix_hash;
use crate::generations::reason_texts::{notice_label, start_reason_label};
use crate::state::{InFlightGuard, NodeShared, PrefillGuard, UpstreamState};
use faststr::FastStr;
use skylarkshed_core::{
    AttemptNumber, ClockTime, CustomerName, GenerationId, ServiceName, ServiceState, UpstreamName,
    VersionEntry, VersionName,
};
use skylarkshed_policy::{
    choose_by_share, FailReason, GenerationAction, GenerationInput, GenerationMachine,
    GenerationPlan, HeldAttempt, NoUpstreamReason, NoticeReason, StartReason,
};
use skylarkshed_upstream::wire::{CancelRequest, GenerateRequest};
use skylarkshed_upstream::EngineClient;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::mpsc;

/// The state machine gets a tick after this time without an input, even if none is due.
const MAX_TICK_WAIT_MS: u64 = 60_000;
const CANCEL_TIMEOUT: ClockTime = ClockTime::from_millis(2_000);

/// The parameters of a generation, as the caller sent them.
#[derive(Clone, Debug)]
pub(crate) struct GenerationParams {
    pub(crate) customer: CustomerName,
    pub(crate) service: ServiceName,
    pub(crate) prompt: FastStr,
    pub(crate) max_tokens: u32,
    pub(crate) priority: u32,
}

/// An event for the caller.
#[derive(Clone, Debug)]
pub(crate) enum CallerEvent {
    /// A token, and the attempt that produced it.
    Token {
        index: u32,
        token: FastStr,
        version: VersionName,
        upstream: UpstreamName,
        attempt: AttemptNumber,
    },
    /// The answer is complete.
    End { total: u32 },
    /// The answer can't be finished.
    Failed { reason: FailReason },
}

/// A running generation.
pub(crate) struct GenerationTask {
    shared: Arc<NodeShared>,
    params: GenerationParams,
    generation: GenerationId,
    machine: GenerationMachine,
    attempts: HashMap<AttemptNumber, AttemptHandle>,
    input_tx: mpsc::UnboundedSender<GenerationInput>,
    caller_tx: mpsc::UnboundedSender<CallerEvent>,
    prefix_hash: u64,
    prompt_tokens: u32,
    is_ended: bool,
}

/// Starts a generation; its events arrive through the channel.
pub(crate) fn start_generation(
    shared: Arc<NodeShared>,
    params: GenerationParams,
    plan: GenerationPlan,
) -> mpsc::UnboundedReceiver<CallerEvent> {
    let (caller_tx, events) = mpsc::unbounded_channel();
    let (input_tx, inputs) = mpsc::unbounded_channel();
    let (generation, prompt_tokens) = (plan.generation, plan.prompt_tokens);
    let settings = shared.settings.resume.clone();
    let (machine, actions) = GenerationMachine::start(plan, settings, shared.clock.now());
    let task = GenerationTask {
        prefix_hash: prefix_hash(&params.prompt),
        prompt_tokens,
        shared,
        params,
        generation,
        machine,
        attempts: HashMap::new(),
        input_tx,
        caller_tx,
        is_ended: false,
    };
    tokio::spawn(task.run(inputs, actions));
    events
}

impl GenerationTask {
    async fn run(
        mut self,
        mut inputs: mpsc::UnboundedReceiver<GenerationInput>,
        actions: Vec<GenerationAction>,
    ) {
        self.perform(actions);
        while !self.is_ended {
            let environment = TaskEnvironment {
                shared: &self.shared,
                attempts: &self.attempts,
            };
            let due = self.machine.next_tick(&environment);
            let wait = due
                .since(self.shared.clock.now())
                .as_millis()
                .min(MAX_TICK_WAIT_MS);
            let input = tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => input,
                    None => break,
                },
                () = tokio::time::sleep(ClockTime::from_millis(wait).to_duration()) => {
                    GenerationInput::Tick
                }
                // No cancellation: the engine retains the generation for a while, in
                // case the caller returns to resume it.
                () = self.caller_tx.closed() => break,
            };
            self.handle(input);
        }
        self.attempts
            .values()
            .for_each(|attempt| attempt.task.abort());
    }

    fn handle(&mut self, input: GenerationInput) {
        let now = self.shared.clock.now();
        let failed_attempt = match &input {
            GenerationInput::Failed { attempt, .. } => Some(*attempt),
            _ => None,
        };
        let environment = TaskEnvironment {
            shared: &self.shared,
            attempts: &self.attempts,
        };
        let actions = self.machine.handle(input, now, &environment);
        if let Some(attempt) = failed_attempt {
            self.attempts.remove(&attempt);
        }
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<GenerationAction>) {
        for action in actions {
            match action {
                GenerationAction::Start {
                    attempt,
                    reason,
                    held,
                    avoid,
                } => {
                    self.start_attempt(attempt, reason, held, &avoid);
                }
                GenerationAction::Cancel { attempt } => self.cancel(attempt),
                GenerationAction::Deliver {
                    attempt,
                    index,
                    token,
                } => {
                    self.deliver(attempt, index, token);
                }
                GenerationAction::Finish { total } => {
                    counters::count_finished("generation");
                    self.send_event(CallerEvent::End { total });
                    self.is_ended = true;
                }
                GenerationAction::Fail { reason } => {
                    self.send_event(CallerEvent::Failed { reason });
                    self.is_ended = true;
                }
                GenerationAction::Notice { reason, upstream } => {
                    self.handle_notice(reason, &upstream)
                }
            }
        }
    }

    fn start_attempt(
        &mut self,
        attempt: AttemptNumber,
        reason: StartReason,
        held: Option<HeldAttempt>,
        avoid: &[UpstreamName],
    ) {
        if let Some(reason) = start_reason_label(reason) {
            counters::count_retry(reason);
        }
        let target = match &held {
            Some(held) => self.held_target(held),
            None => self.choose_target(avoid),
        };
        let (state, version) = match target {
            Ok(target) => target,
            Err(reason) => return self.handle(GenerationInput::NoUpstream { attempt, reason }),
        };
        log::info!(
            generation = self.generation.to_string().as_str(),
            attempt = attempt.0,
            customer = self.params.customer.as_str(),
            service = self.params.service.as_str(),
            upstream = state.entry.name.as_str(),
            reason = format!("{reason:?}").as_str();
            "starting an attempt"
        );
        let upstream = state.entry.name.clone();
        let runner = self.make_runner(attempt, &state, &version, held);
        let task = tokio::spawn(runner.run(PrefillGuard::new(state.clone()))).abort_handle();
        let name = version.name.clone();
        let guard = InFlightGuard::new(state);
        self.attempts.insert(
            attempt,
            AttemptHandle {
                guard,
                version: name.clone(),
                task,
            },
        );
        self.handle(GenerationInput::Sent {
            attempt,
            upstream,
            version: name,
        });
    }

    fn make_runner(
        &self,
        attempt: AttemptNumber,
        state: &Arc<UpstreamState>,
        version: &VersionEntry,
        held: Option<HeldAttempt>,
    ) -> AttemptRunner {
        let tokens = self.machine.ledger().tokens();
        let request = GenerateRequest {
            generation: self.generation,
            attempt,
            version: version.name.to_string(),
            adapter: version.adapter.clone(),
            prompt: self.params.prompt.to_string(),
            emitted: tokens.iter().map(FastStr::to_string).collect(),
            max_tokens: self.params.max_tokens,
            priority: self.params.priority,
        };
        AttemptRunner {
            shared: self.shared.clone(),
            state: state.clone(),
            request,
            held: held.map(|held| held.attempt),
            prefill_tokens: self.prompt_tokens + tokens.len() as u32,
            customer: self.params.customer.clone(),
            service: self.params.service.clone(),
            version: version.name.clone(),
            input_tx: self.input_tx.clone(),
        }
    }

    /// Chooses an engine; once the answer has begun, one of the same version.
    fn choose_target(
        &self,
        avoid: &[UpstreamName],
    ) -> Result<(Arc<UpstreamState>, Arc<VersionEntry>), NoUpstreamReason> {
        let catalog = self.shared.configuration.current();
        let service = catalog.services.get(&self.params.service);
        let service = service.ok_or(NoUpstreamReason::VersionGone)?;
        let version = match self.machine.version() {
            Some(name) => self.pinned_version(service, name)?,
            None => {
                let shares = self.shared.usable_shares(service);
                let version = choose_by_share(&shares, rand::random());
                version.ok_or(NoUpstreamReason::NoneFree)?
            }
        };
        let zone = &self.shared.settings.zone;
        let state = self
            .shared
            .registry
            .choose(version, self.prefix_hash, zone, avoid);
        Ok((state.ok_or(NoUpstreamReason::NoneFree)?, version.clone()))
    }

    /// Returns the version that computed the answer so far, unless it was withdrawn.
    fn pinned_version<'a>(
        &self,
        service: &'a ServiceState,
        name: &VersionName,
    ) -> Result<&'a Arc<VersionEntry>, NoUpstreamReason> {
        if self.shared.is_withdrawn(service, name) {
            return Err(NoUpstreamReason::VersionWithdrawn);
        }
        let version = service.versions.get(name);
        version.ok_or(NoUpstreamReason::VersionGone)
    }

    /// Returns the engine that may still retain the generation.
    fn held_target(
        &self,
        held: &HeldAttempt,
    ) -> Result<(Arc<UpstreamState>, Arc<VersionEntry>), NoUpstreamReason> {
        let catalog = self.shared.configuration.current();
        let service = catalog.services.get(&self.params.service);
        let service = service.ok_or(NoUpstreamReason::VersionGone)?;
        let name = self
            .machine
            .version()
            .ok_or(NoUpstreamReason::VersionGone)?;
        let version = self.pinned_version(service, name)?;
        let entry = version
            .upstreams
            .iter()
            .find(|entry| entry.name == held.upstream);
        let entry = entry.ok_or(NoUpstreamReason::VersionGone)?;
        Ok((self.shared.registry.state(entry), version.clone()))
    }

    fn cancel(&mut self, attempt: AttemptNumber) {
        let Some(handle) = self.attempts.remove(&attempt) else {
            return;
        };
        handle.task.abort();
        let (shared, generation) = (self.shared.clone(), self.generation);
        let address = handle.guard.state.entry.address;
        tokio::spawn(async move {
            let request = CancelRequest {
                generation,
                attempt,
            };
            let cancel = shared.engine.cancel(address, &request);
            // An engine that doesn't receive it drops the generation after a while.
            let _ = tokio::time::timeout(CANCEL_TIMEOUT.to_duration(), cancel).await;
        });
    }

    fn deliver(&mut self, attempt: AttemptNumber, index: u32, token: FastStr) {
        let Some(handle) = self.attempts.get(&attempt) else {
            return;
        };
        let version = handle.version.clone();
        let upstream = handle.guard.state.entry.name.clone();
        self.shared.race_budget.earn(1);
        self.send_event(CallerEvent::Token {
            index,
            token,
            version,
            upstream,
            attempt,
        });
    }

    fn send_event(&self, event: CallerEvent) {
        // If the caller has disconnected, the loop in `run` ends.
        let _ = self.caller_tx.send(event);
    }

    fn handle_notice(&self, reason: NoticeReason, upstream: &UpstreamName) {
        counters::count_notice(notice_label(reason));
        let mut attempts = self.attempts.values();
        let attempt = attempts.find(|attempt| attempt.guard.state.entry.name == *upstream);
        let Some(attempt) = attempt else { return };
        match reason {
            NoticeReason::SilentAttempt => {
                attempt.guard.state.mark_suspect(self.shared.clock.now());
                self.record_failure(&attempt.version);
            }
            NoticeReason::ConflictingToken | NoticeReason::MissingToken => {
                self.record_failure(&attempt.version);
            }
            _ => {}
        }
    }

    fn record_failure(&self, version: &VersionName) {
        let catalog = self.shared.configuration.current();
        let GenerationParams {
            customer, service, ..
        } = &self.params;
        let evidence = &self.shared.evidence;
        evidence.record(&catalog, service, version, ROUTE_GENERATION, customer, None);
    }
}
