//! Runs one generation: feeds its state machine and does what it says.

use crate::attempt_runner::{AttemptRunner, ROUTE_WHOLE};
use crate::counters;
use crate::generation_environment::{AttemptHandle, TaskEnvironment};
use crate::prompt::prefix_hash;
use crate::reason_texts::{notice_text, start_reason};
use crate::registry::{InFlightGuard, PrefillGuard, UpstreamState};
use crate::shared::NodeShared;
use faststr::FastStr;
use skylarkshed_core::{
    AttemptNumber, ClockTime, CustomerName, GenerationId, ServiceName, UpstreamName, VersionEntry,
    VersionName,
};
use skylarkshed_policy::{
    FailReason, GenerationAction, GenerationInput, GenerationMachine, GenerationPlan, HeldAttempt,
    NoUpstreamReason, NoticeReason, StartReason,
};
use skylarkshed_upstream::wire::{CancelRequest, GenerateRequest};
use skylarkshed_upstream::EngineClient;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::mpsc;

const CANCEL_WAIT: ClockTime = ClockTime::from_millis(2_000);

/// What a caller asks for.
#[derive(Clone, Debug)]
pub(crate) struct GenerationParams {
    pub(crate) customer: CustomerName,
    pub(crate) service: ServiceName,
    pub(crate) prompt: FastStr,
    pub(crate) max_tokens: u32,
    pub(crate) priority: u32,
}

/// What a caller is told.
#[derive(Clone, Debug)]
pub(crate) enum CallerEvent {
    /// A token, and where it came from.
    Token {
        index: u32,
        token: FastStr,
        version: VersionName,
        upstream: UpstreamName,
        attempt: AttemptNumber,
    },
    /// The answer is whole.
    End { total: u32 },
    /// The answer can't be finished.
    Failed { reason: FailReason },
}

/// One generation under way.
pub(crate) struct GenerationTask {
    shared: Arc<NodeShared>,
    order: GenerationParams,
    generation: GenerationId,
    machine: GenerationMachine,
    attempts: HashMap<AttemptNumber, AttemptHandle>,
    inputs: mpsc::UnboundedSender<GenerationInput>,
    caller: mpsc::UnboundedSender<CallerEvent>,
    prefix: u64,
    prompt_tokens: u32,
    ended: bool,
}

/// Starts a generation; its events come through the channel.
pub(crate) fn start_generation(
    shared: Arc<NodeShared>,
    order: GenerationParams,
    plan: GenerationPlan,
) -> mpsc::UnboundedReceiver<CallerEvent> {
    let (caller, events) = mpsc::unbounded_channel();
    let (inputs, received) = mpsc::unbounded_channel();
    let (generation, prompt_tokens) = (plan.generation, plan.prompt_tokens);
    let settings = shared.settings.resume.clone();
    let (machine, actions) = GenerationMachine::start(plan, settings, shared.clock.now());
    let task = GenerationTask {
        prefix: prefix_hash(&order.prompt),
        prompt_tokens,
        shared,
        order,
        generation,
        machine,
        attempts: HashMap::new(),
        inputs,
        caller,
        ended: false,
    };
    tokio::spawn(task.run(received, actions));
    events
}

impl GenerationTask {
    async fn run(
        mut self,
        mut inputs: mpsc::UnboundedReceiver<GenerationInput>,
        actions: Vec<GenerationAction>,
    ) {
        self.perform(actions);
        while !self.ended {
            let environment = TaskEnvironment {
                shared: &self.shared,
                attempts: &self.attempts,
            };
            let due = self.machine.next_tick(&environment);
            let wait = due.since(self.shared.clock.now()).as_millis().min(60_000);
            let input = tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => input,
                    None => break,
                },
                () = tokio::time::sleep(ClockTime::from_millis(wait).to_duration()) => {
                    GenerationInput::Tick
                }
                // The engine keeps the generation for a while; the caller may come back.
                () = self.caller.closed() => break,
            };
            self.handle(input);
        }
        self.attempts
            .values()
            .for_each(|attempt| attempt.task.abort());
    }

    fn handle(&mut self, input: GenerationInput) {
        let now = self.shared.clock.now();
        let ended = match &input {
            GenerationInput::Failed { attempt, .. } => Some(*attempt),
            _ => None,
        };
        let environment = TaskEnvironment {
            shared: &self.shared,
            attempts: &self.attempts,
        };
        let actions = self.machine.handle(input, now, &environment);
        if let Some(attempt) = ended {
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
                    self.tell(CallerEvent::End { total });
                    self.ended = true;
                }
                GenerationAction::Fail { reason } => {
                    self.tell(CallerEvent::Failed { reason });
                    self.ended = true;
                }
                GenerationAction::Notice { reason, upstream } => self.notice(reason, &upstream),
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
        if let Some(reason) = start_reason(reason) {
            counters::count_retry(reason);
        }
        let target = match &held {
            Some(held) => self.held_target(held),
            None => self.choose_target(avoid),
        };
        let (record, version) = match target {
            Ok(target) => target,
            Err(reason) => return self.handle(GenerationInput::NoUpstream { attempt, reason }),
        };
        log::info!(
            generation = self.generation.to_string().as_str(),
            attempt = attempt.0,
            customer = self.order.customer.as_str(),
            service = self.order.service.as_str(),
            upstream = record.entry.name.as_str(),
            reason = format!("{reason:?}").as_str();
            "an attempt starts"
        );
        let upstream = record.entry.name.clone();
        let runner = self.runner(attempt, &record, &version, held);
        let task = tokio::spawn(runner.run(PrefillGuard::new(record.clone()))).abort_handle();
        let name = version.name.clone();
        let guard = InFlightGuard::new(record);
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

    fn runner(
        &self,
        attempt: AttemptNumber,
        record: &Arc<UpstreamState>,
        version: &VersionEntry,
        held: Option<HeldAttempt>,
    ) -> AttemptRunner {
        let tokens = self.machine.ledger().tokens();
        let request = GenerateRequest {
            generation: self.generation,
            attempt,
            version: version.name.to_string(),
            adapter: version.adapter.clone(),
            prompt: self.order.prompt.to_string(),
            emitted: tokens.iter().map(FastStr::to_string).collect(),
            max_tokens: self.order.max_tokens,
            priority: self.order.priority,
        };
        AttemptRunner {
            shared: self.shared.clone(),
            record: record.clone(),
            request,
            held: held.map(|held| held.attempt),
            prefill_tokens: self.prompt_tokens + tokens.len() as u32,
            customer: self.order.customer.clone(),
            service: self.order.service.clone(),
            version: version.name.clone(),
            inputs: self.inputs.clone(),
        }
    }

    /// Picks an engine; once the answer has begun, one of its version.
    fn choose_target(
        &self,
        avoid: &[UpstreamName],
    ) -> Result<(Arc<UpstreamState>, Arc<VersionEntry>), NoUpstreamReason> {
        let catalog = self.shared.configuration.current();
        let service = catalog.services.get(&self.order.service);
        let service = service.ok_or(NoUpstreamReason::VersionGone)?;
        let version = match self.machine.version() {
            Some(name) if self.shared.is_withdrawn(service, name) => {
                return Err(NoUpstreamReason::VersionWithdrawn);
            }
            Some(name) => service
                .versions
                .get(name)
                .ok_or(NoUpstreamReason::VersionGone)?,
            None => {
                let shares = self.shared.usable_shares(service);
                let version = crate::call_path::pick_share(&shares, rand::random());
                version.ok_or(NoUpstreamReason::NoneFree)?
            }
        };
        let zone = &self.shared.settings.zone;
        let record = self
            .shared
            .registry
            .choose(version, self.prefix, zone, avoid);
        Ok((record.ok_or(NoUpstreamReason::NoneFree)?, version.clone()))
    }

    /// Finds the engine that may still hold the generation.
    fn held_target(
        &self,
        held: &HeldAttempt,
    ) -> Result<(Arc<UpstreamState>, Arc<VersionEntry>), NoUpstreamReason> {
        let catalog = self.shared.configuration.current();
        let service = catalog.services.get(&self.order.service);
        let service = service.ok_or(NoUpstreamReason::VersionGone)?;
        let name = self
            .machine
            .version()
            .ok_or(NoUpstreamReason::VersionGone)?;
        let version = service
            .versions
            .get(name)
            .ok_or(NoUpstreamReason::VersionGone)?;
        let entry = version
            .upstreams
            .iter()
            .find(|entry| entry.name == held.upstream);
        let entry = entry.ok_or(NoUpstreamReason::VersionGone)?;
        Ok((self.shared.registry.record(entry), version.clone()))
    }

    fn cancel(&mut self, attempt: AttemptNumber) {
        let Some(handle) = self.attempts.remove(&attempt) else {
            return;
        };
        handle.task.abort();
        let (shared, generation) = (self.shared.clone(), self.generation);
        let address = handle.guard.record.entry.address;
        tokio::spawn(async move {
            let request = CancelRequest {
                generation,
                attempt,
            };
            let cancel = shared.engine.cancel(address, &request);
            // An engine that does not hear it drops the generation by itself.
            let _ = tokio::time::timeout(CANCEL_WAIT.to_duration(), cancel).await;
        });
    }

    fn deliver(&mut self, attempt: AttemptNumber, index: u32, token: FastStr) {
        let Some(handle) = self.attempts.get(&attempt) else {
            return;
        };
        let version = handle.version.clone();
        let upstream = handle.guard.record.entry.name.clone();
        self.shared.race_budget.earn(1);
        self.tell(CallerEvent::Token {
            index,
            token,
            version,
            upstream,
            attempt,
        });
    }

    fn tell(&self, event: CallerEvent) {
        // The loop ends by itself when the caller has gone.
        let _ = self.caller.send(event);
    }

    fn notice(&self, reason: NoticeReason, upstream: &UpstreamName) {
        counters::count_notice(notice_text(reason));
        let mut attempts = self.attempts.values();
        let attempt = attempts.find(|attempt| attempt.guard.record.entry.name == *upstream);
        let Some(attempt) = attempt else { return };
        match reason {
            NoticeReason::SilentAttempt => {
                attempt.guard.record.note_failure(self.shared.clock.now());
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
        } = &self.order;
        let evidence = &self.shared.evidence;
        evidence.record(&catalog, service, version, ROUTE_WHOLE, customer, None);
    }
}
