//! Forwards an event stream, which may continue at other upstreams after a failure.

mod admission;
mod attempt;
mod copy_manager;
mod engine_selection;
mod events;
mod ledger_selection;
mod opening;
mod prefill_watch;
mod quarantine_check;
mod replacement;
mod retry_wait;

use crate::caller_response::{BodyPart, CallerResponse, ResponseBody};
use crate::counters;
use crate::exchange::CallerRequest;
use crate::gateway_state::{GatewayState, ServiceTraffic};
use crate::platform_api::{KvCacheCopy, WireProtocol};
use crate::quarantine::ProbeTicket;
use crate::refusal::{fail, refuse, FailureReason, NotRunProof, NotRunReason, RunTracker};
use crate::retry_loans::BegunStream;
use attempt::{AttemptStep, StreamAttempt};
use copy_manager::{CopyManager, MadeCopy};
use events::StreamEvent;
use http::{response, Response};
use opening::OpenedStream;
use prefill_watch::PrefillWatch;
use replacement::MIN_RETRY_PAUSE;
use retry_wait::StreamRetries;
use skylarkshed_core::{ClockTime, UpstreamName, ZoneName};
use skylarkshed_policy::{EventLedger, EventVerdict, LossCause};
use std::marker::PhantomData;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;

/// How many events are buffered for a slow caller before the upstream is slowed
/// down by backpressure.
const MAX_BUFFERED_EVENTS: usize = 32;
/// The `Retry-After` time of a refusal. Restarted engines are listed again within
/// seconds; others become free sooner.
const RETRY_AFTER: ClockTime = ClockTime::from_millis(300);

/// A stream and the attempts made for it.
struct StreamForwarder<P> {
    state: Arc<GatewayState>,
    traffic: Arc<ServiceTraffic>,
    request: CallerRequest,
    is_resumable: bool,
    ledger: EventLedger,
    run_tracker: RunTracker,
    sends: u32,
    /// Whether no attempt was sent before the current one.
    is_first_send: bool,
    unsent: u32,
    tried: Vec<UpstreamName>,
    failed_zones: Vec<ZoneName>,
    /// The number of engines that ended as they began to respond.
    ended_engines: u32,
    /// Whether the caller has received the head of the response.
    is_begun: bool,
    /// Counts the stream as a begun one.
    begun_stream: Option<BegunStream>,
    /// What the stream has of the retry budget.
    retries: Mutex<StreamRetries>,
    /// Whether it stopped waiting for a retry because it can't be served in time.
    has_given_up: bool,
    /// The next pause before another upstream is looked for.
    retry_pause: ClockTime,
    timings: EventTimings,
    /// Set if the request probes a blocked part of its prompt.
    probe_ticket: Option<ProbeTicket>,
    /// Set once the request is blocked: the time until the next probe.
    blocked_for: Option<ClockTime>,
    /// Set if no engine can serve the stream in time: when its caller should return.
    full_for: Option<ClockTime>,
    _protocol: PhantomData<P>,
}

/// When events were sent to the caller, for the log.
#[derive(Debug, Default)]
struct EventTimings {
    first: Option<ClockTime>,
    last: ClockTime,
    longest_pause: ClockTime,
}

impl EventTimings {
    /// Records an event by the time since the request was received.
    fn record_event(&mut self, elapsed: ClockTime) {
        match self.first {
            None => self.first = Some(elapsed),
            Some(_) => self.longest_pause = self.longest_pause.max(elapsed.since(self.last)),
        }
        self.last = elapsed;
    }
}

/// Starts a stream and returns its response, whose body is sent by a task.
pub(crate) async fn serve_stream<P: WireProtocol>(
    state: Arc<GatewayState>,
    request: CallerRequest,
    is_resumable: bool,
) -> CallerResponse {
    let traffic = state.traffic(&request.service);
    traffic.budget.record_request(state.clock.now());
    traffic.prefill.record_prompt(request.head.prompt_tokens);
    let mut forwarder = StreamForwarder::<P> {
        ledger: EventLedger::resume_after(request.head.resume_after),
        state,
        traffic,
        request,
        is_resumable,
        run_tracker: RunTracker::default(),
        sends: 0,
        is_first_send: true,
        unsent: 0,
        tried: Vec::new(),
        failed_zones: Vec::new(),
        ended_engines: 0,
        is_begun: false,
        begun_stream: None,
        retries: Mutex::default(),
        has_given_up: false,
        retry_pause: MIN_RETRY_PAUSE,
        timings: EventTimings::default(),
        probe_ticket: None,
        blocked_for: None,
        full_for: None,
        _protocol: PhantomData,
    };
    forwarder.record_demand();
    match forwarder.open(None).await {
        OpenedStream::Running(attempt) => {
            let (parts, body) = mpsc::channel(MAX_BUFFERED_EVENTS);
            let response = begin_response(&attempt.response.parts, body);
            forwarder.is_begun = true;
            forwarder.begun_stream = Some(BegunStream::start(&forwarder.traffic));
            tokio::spawn(forwarder.run(*attempt, parts));
            response
        }
        OpenedStream::Plain(response) => {
            forwarder.log_end("passed_on");
            response
        }
        OpenedStream::Stopped => {
            forwarder.log_end(match (forwarder.blocked_for, forwarder.full_for) {
                (Some(_), _) => "prompt_blocked",
                (None, Some(_)) => "engines_full",
                (None, None) => "not_begun",
            });
            forwarder.finish_unserved()
        }
    }
}

fn begin_response(head: &response::Parts, body: mpsc::Receiver<BodyPart>) -> CallerResponse {
    let mut response = Response::new(ResponseBody::Parts(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers.clone();
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    response
}

impl<P: WireProtocol> StreamForwarder<P> {
    /// Forwards events until the response is complete, can't be continued or the
    /// caller disconnects. It goes on if the parts of its prompt are blocked meanwhile: if
    /// its engine does not end, the block is a mistake.
    async fn run(mut self, first: StreamAttempt, parts: mpsc::Sender<BodyPart>) {
        let mut attempt = first;
        let mut copies = CopyManager::new();
        loop {
            let remaining = self.request.deadline.remaining();
            let step = tokio::select! {
                step = attempt.next::<P>(self.prefill_watch()) => step,
                copy = copies.next() => {
                    self.update_copy(&mut copies, &mut attempt, copy);
                    match self.is_resumable && attempt.probe.should_leave() {
                        true => AttemptStep::Lost(LossCause::Overdue),
                        false => continue,
                    }
                }
                () = parts.closed() => {
                    copies.release::<P>(&self.state, &attempt);
                    return self.log_end("caller_left");
                }
                () = self.wait_for_loan() => match attempt.was_waited_for() {
                    true => AttemptStep::Lost(LossCause::Silence),
                    // It is not silent any more.
                    false => continue,
                },
                () = tokio::time::sleep(remaining.to_duration()) => return self.log_end("timeout"),
            };
            let cause = match step {
                AttemptStep::Event(event) => match self.forward_event(event, &parts).await {
                    Ok(()) => {
                        self.record_sound_parts(&mut attempt, false);
                        continue;
                    }
                    Err(cause) => cause,
                },
                AttemptStep::End => {
                    self.record_sound_parts(&mut attempt, true);
                    copies.release::<P>(&self.state, &attempt);
                    // A caller that has disconnected needs no end.
                    let _ = parts.send(BodyPart::End).await;
                    if self.request.head.resume_after.is_none() {
                        let duration = self.request.deadline.elapsed();
                        self.state.stream_time.record(duration);
                        self.record_pace();
                    }
                    return self.log_end("served");
                }
                AttemptStep::Lost(cause) => cause,
            };
            if cause == LossCause::Silence && self.has_lost_copy(&mut attempt).await {
                // Without the copy, the upstream is granted a longer silence.
                continue;
            }
            if cause.may_go_on() && self.waits_for(&attempt, cause) {
                if cause != LossCause::Overdue {
                    attempt.wait_on(self.state.clock.now());
                }
                continue;
            }
            copies.stop();
            match self.replace(attempt, cause, &parts).await {
                Some(next) => attempt = next,
                None => return,
            }
        }
    }

    fn prefill_watch(&self) -> PrefillWatch<'_> {
        PrefillWatch {
            state: &self.state,
            traffic: &self.traffic,
            request: &self.request,
        }
    }

    /// Records a finished copy, and starts another if one is needed.
    fn update_copy(
        &self,
        copies: &mut CopyManager,
        attempt: &mut StreamAttempt,
        copy: Option<MadeCopy>,
    ) {
        if let Some(MadeCopy { copy, work }) = copy {
            log::info!(
                request = self.request.id(),
                upstream:% = attempt.upstream.name(),
                holder:% = copy.holder,
                events = self.ledger.accepted();
                "KV cache copied"
            );
            let is_held_by = |old: &KvCacheCopy| old.holder == copy.holder;
            // A renewed copy stays counted at its holder.
            if work.is_some() || !attempt.copy.as_ref().is_some_and(is_held_by) {
                attempt.work.copy = work;
            }
            attempt.copy = Some(copy);
        }
        if !self.is_resumable {
            return;
        }
        let service = &self.request.service;
        let choose = || self.find_holders(&attempt.upstream);
        copies.check::<P>(&self.state, service, self.request.id(), attempt, choose);
    }

    async fn forward_event(
        &mut self,
        event: StreamEvent,
        parts: &mpsc::Sender<BodyPart>,
    ) -> Result<(), LossCause> {
        let verdict = match event.id {
            Some(id) => self.ledger.offer(id),
            None => EventVerdict::Accepted,
        };
        match verdict {
            EventVerdict::Accepted => {
                self.record_event();
                // The main loop detects that the caller has disconnected.
                let _ = parts.send(BodyPart::Bytes(event.bytes)).await;
                Ok(())
            }
            EventVerdict::Duplicate => Ok(()),
            EventVerdict::Gap => Err(LossCause::WrongEvent),
        }
    }

    fn record_event(&mut self) {
        let elapsed = self.request.deadline.elapsed();
        // Later attempts and resumed streams tell little of the rate of prefills.
        let is_first_prefill = self.sends == 1 && self.request.head.resume_after.is_none();
        if self.timings.first.is_none() && is_first_prefill {
            let tokens = self.request.head.prompt_tokens;
            self.traffic.prefill.record_first_event(tokens, elapsed);
        }
        self.timings.record_event(elapsed);
    }

    /// Returns the response for a stream of which the caller received nothing.
    fn finish_unserved(&self) -> CallerResponse {
        if let Some(retry_after) = self.blocked_for {
            return self.refuse_blocked(self.run_tracker.proof(), retry_after);
        }
        match self.run_tracker.proof() {
            Some(proof) => self.refuse(proof),
            None if self.has_given_up || self.request.deadline.is_expired() => {
                fail(FailureReason::Timeout)
            }
            None => fail(FailureReason::UpstreamBroke),
        }
    }

    fn refuse(&self, proof: NotRunProof) -> CallerResponse {
        if let Some(retry_after) = self.full_for {
            return refuse(proof, NotRunReason::EnginesFull, retry_after);
        }
        match self.state.deferral_of(&self.request) {
            Some(delay) => refuse(proof, NotRunReason::UpstreamsDeferred, delay),
            None => refuse(proof, NotRunReason::NoUpstream, RETRY_AFTER),
        }
    }

    fn log_end(&self, outcome: &'static str) {
        let kind = self.request.route.kind.label();
        let duration = self.request.deadline.elapsed();
        log::info!(
            request = self.request.id(),
            kind,
            route = self.request.route.name.as_str(),
            service:% = self.request.service,
            outcome,
            events = self.ledger.accepted(),
            sends = self.sends,
            first_event_ms = self.timings.first.map(ClockTime::as_millis),
            longest_pause_ms = self.timings.longest_pause.as_millis(),
            ms = duration.as_millis();
            "request ended"
        );
        counters::count_request(kind, outcome, duration);
    }
}
