//! Runs one attempt of a generation: opens its stream and reads it.

use crate::clients::Engine;
use crate::load_poll_task::note_leaving;
use crate::registry::{PrefillGuard, UpstreamState};
use crate::shared::NodeShared;
use faststr::FastStr;
use skylarkshed_core::{AttemptNumber, ClockTime, CustomerName, ServiceName, VersionName};
use skylarkshed_policy::{AttemptFailure, AttemptPhase, GenerationInput};
use skylarkshed_upstream::wire::{GenerateRequest, ResumeRequest};
use skylarkshed_upstream::{EngineClient, EngineError, EngineEvent};
use std::pin::pin;
use std::sync::Arc;
use tokio::sync::mpsc;

/// The route under which whole generations are kept as evidence.
pub(crate) const ROUTE_WHOLE: &str = "generation";
const ROUTE_FIRST_TOKEN: &str = "first_token";
const ROUTE_DECODE: &str = "decode";
/// Decoding is timed for so many tokens.
const DECODE_UNIT: u64 = 100;
/// A silent engine is asked after this part of the shortest limit, so that the
/// answer is there before the limit is.
const PROBES_PER_LIMIT: u64 = 2;
/// An engine that works answers within milliseconds.
const PROBE_WAIT: ClockTime = ClockTime::from_millis(100);
const CONNECT_WAIT: ClockTime = ClockTime::from_millis(1_000);

type EngineStream = <Engine as EngineClient>::Stream;

/// Reads one attempt's stream.
pub(crate) struct AttemptRunner {
    pub(crate) shared: Arc<NodeShared>,
    pub(crate) record: Arc<UpstreamState>,
    pub(crate) request: GenerateRequest,
    pub(crate) held: Option<AttemptNumber>,
    pub(crate) prefill_tokens: u32,
    pub(crate) customer: CustomerName,
    pub(crate) service: ServiceName,
    pub(crate) version: VersionName,
    pub(crate) inputs: mpsc::UnboundedSender<GenerationInput>,
}

impl AttemptRunner {
    /// Runs the attempt to its end and tells its generation what happens.
    pub(crate) async fn run(self, prefill: PrefillGuard) {
        let failure = match self.open().await {
            Ok(stream) => match self.read(stream, prefill).await {
                Some(error) => error,
                None => return,
            },
            Err(error) => error,
        };
        let is_held_gone = self.held.is_some() && matches!(failure, EngineError::Refused(_));
        if !is_held_gone {
            self.record.note_failure(self.shared.clock.now());
            self.note(ROUTE_WHOLE, None);
        }
        let failure = match failure {
            EngineError::Unreachable => AttemptFailure::Unreachable,
            EngineError::Refused(_) if is_held_gone => AttemptFailure::HeldGone,
            EngineError::Refused(_) => AttemptFailure::Refused,
            EngineError::Broken(_) => AttemptFailure::Broken,
            EngineError::Malformed(_) => AttemptFailure::Malformed,
        };
        let attempt = self.request.attempt;
        // The generation may have ended.
        let _ = self
            .inputs
            .send(GenerationInput::Failed { attempt, failure });
    }

    async fn open(&self) -> Result<EngineStream, EngineError> {
        let address = self.record.entry.address;
        let Some(held_attempt) = self.held else {
            return self.shared.engine.generate(address, &self.request).await;
        };
        let request = ResumeRequest {
            generation: self.request.generation,
            held_attempt,
            attempt: self.request.attempt,
            version: self.request.version.clone(),
            from_index: self.request.emitted.len() as u32,
        };
        let resume = self.shared.engine.resume(address, &request);
        let resumed = tokio::time::timeout(CONNECT_WAIT.to_duration(), resume).await;
        resumed.unwrap_or(Err(EngineError::Unreachable))
    }

    /// Keeps evidence of the version.
    fn note(&self, route: &str, time: Option<ClockTime>) {
        let catalog = self.shared.configuration.current();
        let (service, version) = (&self.service, &self.version);
        let evidence = &self.shared.evidence;
        evidence.record(&catalog, service, version, route, &self.customer, time);
    }

    /// Keeps evidence of an attempt that brought the end of its answer.
    fn note_end(&self, first: Option<ClockTime>, last: ClockTime, tokens: u64) {
        let Some(first) = first.filter(|_| tokens > 1) else {
            return;
        };
        let unit_ms = last.since(first).as_millis() * DECODE_UNIT / (tokens - 1);
        self.note(ROUTE_DECODE, Some(ClockTime::from_millis(unit_ms)));
        self.note(ROUTE_WHOLE, Some(last.since(first)));
    }

    /// Reads an event; asks a silent engine for a sign of life meanwhile.
    async fn next_event(&self, stream: &mut EngineStream) -> EngineEvent {
        let pause = ClockTime::from_millis(
            self.shared.settings.resume.shortest_silence.as_millis() / PROBES_PER_LIMIT,
        );
        let mut event = pin!(Engine::next_event(stream));
        if let Ok(event) = tokio::time::timeout(pause.to_duration(), &mut event).await {
            return event;
        }
        if self.record.try_probe(self.shared.clock.now(), pause) {
            tokio::spawn(probe(self.shared.clone(), self.record.clone()));
        }
        event.await
    }

    /// Reads until the end; returns the error of a stream that broke.
    async fn read(&self, mut stream: EngineStream, prefill: PrefillGuard) -> Option<EngineError> {
        let mut prefill = Some(prefill);
        let mut phase = AttemptPhase::Prefill;
        let mut last = self.shared.clock.now();
        let (mut first, mut tokens) = (None, 0);
        loop {
            let event = self.next_event(&mut stream).await;
            let message = match event {
                EngineEvent::Message(message) => message,
                EngineEvent::Closed(error) => return Some(error),
            };
            let now = self.shared.clock.now();
            if message.leaving {
                note_leaving(&self.shared, &self.record, now, "stream");
            }
            let is_end = message.token.is_none();
            if !is_end {
                let gap = now.since(last);
                self.record.note_token(phase, gap, self.prefill_tokens, now);
                if phase == AttemptPhase::Prefill {
                    self.note(ROUTE_FIRST_TOKEN, Some(gap));
                }
                first.get_or_insert(now);
                tokens += 1;
                phase = AttemptPhase::Decoding;
                drop(prefill.take());
                last = now;
            }
            let (generation, echoed) = (message.generation, message.attempt);
            let (attempt, index) = (self.request.attempt, message.index);
            let input = match message.token {
                Some(token) => {
                    let token = FastStr::new(token);
                    GenerationInput::Token {
                        attempt,
                        generation,
                        message_attempt: echoed,
                        index,
                        token,
                    }
                }
                None => GenerationInput::End {
                    attempt,
                    generation,
                    message_attempt: echoed,
                    total: index,
                },
            };
            if is_end {
                self.note_end(first, last, tokens);
            }
            if self.inputs.send(input).is_err() || is_end {
                return None;
            }
        }
    }
}

/// Notes that an engine lives if it answers.
async fn probe(shared: Arc<NodeShared>, record: Arc<UpstreamState>) {
    let load = shared.engine.load(record.entry.address);
    let answer = tokio::time::timeout(PROBE_WAIT.to_duration(), load).await;
    // Without an answer the limit of the silence stands as it is.
    if let Ok(Ok(_)) = answer {
        record.note_alive(shared.clock.now());
    }
}
