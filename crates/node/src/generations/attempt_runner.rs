//! Runs one attempt of a generation: opens its stream and reads its events.

use crate::clients::Engine;
use crate::load_poll_task::handle_leaving;
use crate::state::{NodeShared, PrefillGuard, UpstreamState};
use faststr::FastStr;
use skylarkshed_core::{AttemptNumber, ClockTime, CustomerName, ServiceName, VersionName};
use skylarkshed_policy::{AttemptFailure, AttemptPhase, GenerationInput};
use skylarkshed_upstream::wire::{GenerateRequest, ResumeRequest};
use skylarkshed_upstream::{EngineClient, EngineError, EngineEvent};
use std::pin::pin;
use std::sync::Arc;
use tokio::sync::mpsc;

/// The route under which the evidence counts completed and failed attempts.
pub(crate) const ROUTE_GENERATION: &str = "generation";
const ROUTE_FIRST_TOKEN: &str = "first_token";
const ROUTE_DECODE: &str = "decode";
/// Decode times are recorded per this many tokens.
const DECODE_UNIT_TOKENS: u64 = 100;
/// A silent engine is probed after the shortest silence limit divided by this, so
/// that its reply arrives before the limit is reached.
const PROBE_DELAY_DIVISOR: u64 = 2;
/// A working engine replies to a probe within milliseconds.
const PROBE_TIMEOUT: ClockTime = ClockTime::from_millis(100);
const RESUME_TIMEOUT: ClockTime = ClockTime::from_millis(1_000);

type EngineStream = <Engine as EngineClient>::Stream;

/// Runs one attempt and sends its events to its generation.
pub(crate) struct AttemptRunner {
    pub(crate) shared: Arc<NodeShared>,
    pub(crate) state: Arc<UpstreamState>,
    pub(crate) request: GenerateRequest,
    pub(crate) held: Option<AttemptNumber>,
    pub(crate) prefill_tokens: u32,
    pub(crate) customer: CustomerName,
    pub(crate) service: ServiceName,
    pub(crate) version: VersionName,
    pub(crate) input_tx: mpsc::UnboundedSender<GenerationInput>,
}

impl AttemptRunner {
    /// Runs the attempt to its end and sends its events to its generation.
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
            self.state.mark_suspect(self.shared.clock.now());
            self.record_evidence(ROUTE_GENERATION, None);
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
            .input_tx
            .send(GenerationInput::Failed { attempt, failure });
    }

    async fn open(&self) -> Result<EngineStream, EngineError> {
        let address = self.state.entry.address;
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
        let resumed = tokio::time::timeout(RESUME_TIMEOUT.to_duration(), resume).await;
        resumed.unwrap_or(Err(EngineError::Unreachable))
    }

    /// Records evidence of the version; `time` is `None` for a failure.
    fn record_evidence(&self, route: &str, time: Option<ClockTime>) {
        let catalog = self.shared.configuration.current();
        let (service, version) = (&self.service, &self.version);
        let evidence = &self.shared.evidence;
        evidence.record(&catalog, service, version, route, &self.customer, time);
    }

    /// Records evidence of a completed attempt. The time between tokens takes two of them.
    fn record_completion(
        &self,
        first_token_at: Option<ClockTime>,
        last_token_at: ClockTime,
        tokens: u64,
    ) {
        let Some(first_token_at) = first_token_at else {
            return;
        };
        let duration = last_token_at.since(first_token_at);
        if tokens > 1 {
            let unit_ms = duration.as_millis() * DECODE_UNIT_TOKENS / (tokens - 1);
            self.record_evidence(ROUTE_DECODE, Some(ClockTime::from_millis(unit_ms)));
        }
        self.record_evidence(ROUTE_GENERATION, Some(duration));
    }

    /// Reads an event; probes the engine if none arrives in time.
    async fn next_event(&self, stream: &mut EngineStream) -> EngineEvent {
        let probe_delay = ClockTime::from_millis(
            self.shared.settings.resume.shortest_silence.as_millis() / PROBE_DELAY_DIVISOR,
        );
        let mut event = pin!(Engine::next_event(stream));
        if let Ok(event) = tokio::time::timeout(probe_delay.to_duration(), &mut event).await {
            return event;
        }
        if self.state.try_probe(self.shared.clock.now(), probe_delay) {
            tokio::spawn(probe(self.shared.clone(), self.state.clone()));
        }
        event.await
    }

    /// Reads the stream to its end; returns an error if the stream broke.
    async fn read(&self, mut stream: EngineStream, prefill: PrefillGuard) -> Option<EngineError> {
        let mut prefill = Some(prefill);
        let mut phase = AttemptPhase::Prefill;
        let mut last = self.shared.clock.now();
        let (mut first_token_at, mut tokens) = (None, 0);
        loop {
            let event = self.next_event(&mut stream).await;
            let message = match event {
                EngineEvent::Message(message) => message,
                EngineEvent::Closed(error) => return Some(error),
            };
            let now = self.shared.clock.now();
            if message.leaving {
                handle_leaving(&self.shared, &self.state, now, "stream");
            }
            let is_end = message.token.is_none();
            if !is_end {
                let gap = now.since(last);
                self.state
                    .record_token(phase, gap, self.prefill_tokens, now);
                if phase == AttemptPhase::Prefill {
                    self.record_evidence(ROUTE_FIRST_TOKEN, Some(gap));
                }
                first_token_at.get_or_insert(now);
                tokens += 1;
                phase = AttemptPhase::Decoding;
                drop(prefill.take());
                last = now;
            }
            let (generation, message_attempt) = (message.generation, message.attempt);
            let (attempt, index) = (self.request.attempt, message.index);
            let input = match message.token {
                Some(token) => {
                    let token = FastStr::new(token);
                    GenerationInput::Token {
                        attempt,
                        generation,
                        message_attempt,
                        index,
                        token,
                    }
                }
                None => GenerationInput::End {
                    attempt,
                    generation,
                    message_attempt,
                    total: index,
                },
            };
            if is_end {
                self.record_completion(first_token_at, last, tokens);
            }
            if self.input_tx.send(input).is_err() || is_end {
                return None;
            }
        }
    }
}

/// Probes an engine and records its reply.
async fn probe(shared: Arc<NodeShared>, state: Arc<UpstreamState>) {
    let load = shared.engine.load(state.entry.address);
    let reply = tokio::time::timeout(PROBE_TIMEOUT.to_duration(), load).await;
    // Without a reply the silence limit stays as it is.
    if let Ok(Ok(_)) = reply {
        state.record_probe_reply(shared.clock.now());
    }
}
