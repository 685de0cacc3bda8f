//! Carries an answer of many events over any number of upstreams.

mod attempt;
mod copy_keeper;
mod engine_pick;
mod events;
mod opening;

use crate::answer::{AnswerBody, AnswerPart, CallerAnswer};
use crate::counters;
use crate::exchange::CallerRequest;
use crate::gateway_state::{GatewayState, ServiceTraffic};
use crate::platform_api::{KvCacheCopy, WireProtocol};
use crate::refusal::{fail, refuse, FailureReason, NotRunReason, RunEvidence};
use attempt::{AttemptStep, StreamAttempt};
use copy_keeper::CopyKeeper;
use events::StreamEvent;
use http::{response, Response};
use opening::OpenedStream;
use skylarkshed_core::{ClockTime, UpstreamName, ZoneName};
use skylarkshed_policy::{EventLedger, EventVerdict, LossCause};
use std::marker::PhantomData;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Events that wait for a slow caller before its upstream is slowed down too.
const WAITING_EVENTS: usize = 32;
/// When a caller is to come back after a refusal: the time in which restarted
/// engines are listed again is seconds, in which others become free less.
const RETRY_PAUSE: ClockTime = ClockTime::from_millis(300);

/// A stream and what it has spent.
struct StreamRelay<D> {
    state: Arc<GatewayState>,
    traffic: Arc<ServiceTraffic>,
    request: CallerRequest,
    is_resumable: bool,
    ledger: EventLedger,
    evidence: RunEvidence,
    sends: u32,
    unsent: u32,
    tried: Vec<UpstreamName>,
    lost_zones: Vec<ZoneName>,
    pace: StreamPace,
    _dialect: PhantomData<D>,
}

/// When events reached the caller, for the log.
#[derive(Debug, Default)]
struct StreamPace {
    first: Option<ClockTime>,
    last: ClockTime,
    longest_pause: ClockTime,
}

impl StreamPace {
    /// Notes an event by the time since the request was received.
    fn note_event(&mut self, passed: ClockTime) {
        match self.first {
            None => self.first = Some(passed),
            Some(_) => self.longest_pause = self.longest_pause.max(passed.since(self.last)),
        }
        self.last = passed;
    }
}

/// Carries a stream and returns the head of its answer.
pub(crate) async fn serve_stream<D: WireProtocol>(
    state: Arc<GatewayState>,
    request: CallerRequest,
    is_resumable: bool,
) -> CallerAnswer {
    let traffic = state.traffic(&request.service);
    traffic.budget.record_request(state.clock.now());
    let mut relay = StreamRelay::<D> {
        ledger: EventLedger::resume_after(request.head.resume_after),
        state,
        traffic,
        request,
        is_resumable,
        evidence: RunEvidence::default(),
        sends: 0,
        unsent: 0,
        tried: Vec::new(),
        lost_zones: Vec::new(),
        pace: StreamPace::default(),
        _dialect: PhantomData,
    };
    match relay.open(None).await {
        OpenedStream::Running(attempt) => {
            let (parts, body) = mpsc::channel(WAITING_EVENTS);
            let answer = begin_answer(&attempt.answer.parts, body);
            tokio::spawn(relay.run(*attempt, parts));
            answer
        }
        OpenedStream::Plain(answer) => {
            relay.log_end("passed_on");
            answer
        }
        OpenedStream::Stopped => {
            relay.log_end("not_begun");
            relay.give_up()
        }
    }
}

fn begin_answer(head: &response::Parts, body: mpsc::Receiver<AnswerPart>) -> CallerAnswer {
    let mut answer = Response::new(AnswerBody::Parts(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers.clone();
    answer.headers_mut().remove(http::header::CONTENT_LENGTH);
    answer
}

impl<D: WireProtocol> StreamRelay<D> {
    /// Relays events until the answer is whole, can't go on or its caller leaves.
    async fn run(mut self, first: StreamAttempt, parts: mpsc::Sender<AnswerPart>) {
        let mut attempt = first;
        let mut keeper = CopyKeeper::new();
        loop {
            let left = self.request.deadline.left();
            let step = tokio::select! {
                step = attempt.next(self.state.clock) => step,
                copy = keeper.next() => {
                    self.keep_copy(&mut keeper, &mut attempt, copy);
                    continue;
                }
                () = parts.closed() => {
                    keeper.release::<D>(&attempt);
                    return self.log_end("caller_left");
                }
                () = tokio::time::sleep(left.to_duration()) => return self.log_end("timeout"),
            };
            let cause = match step {
                AttemptStep::Event(event) => match self.relay(event, &parts).await {
                    Ok(()) => continue,
                    Err(cause) => cause,
                },
                AttemptStep::End => {
                    keeper.release::<D>(&attempt);
                    // A caller that left needs no end.
                    let _ = parts.send(AnswerPart::End).await;
                    return self.log_end("served");
                }
                AttemptStep::Lost(cause) => cause,
            };
            keeper.stop();
            match self.replace(attempt, cause, &parts).await {
                Some(next) => attempt = next,
                None => return,
            }
        }
    }

    /// Takes a copy that was made, and has another made if one is needed.
    fn keep_copy(
        &self,
        keeper: &mut CopyKeeper,
        attempt: &mut StreamAttempt,
        copy: Option<KvCacheCopy>,
    ) {
        if let Some(copy) = copy {
            log::info!(
                request = self.request.id(),
                upstream:% = attempt.upstream.name(),
                holder:% = copy.holder,
                events = self.ledger.accepted();
                "memory copied"
            );
            attempt.copy = Some(copy);
        }
        if !self.is_resumable {
            return;
        }
        let service = &self.request.service;
        let choose = || self.choose_holder(&attempt.upstream);
        keeper.look::<D>(&self.state, service, self.request.id(), attempt, choose);
    }

    /// Goes on at another upstream.
    async fn replace(
        &mut self,
        attempt: StreamAttempt,
        cause: LossCause,
        parts: &mpsc::Sender<AnswerPart>,
    ) -> Option<StreamAttempt> {
        let copy = attempt.copy.clone();
        let upstream = attempt.upstream.clone();
        // The old upstream stops before the next one starts.
        drop(attempt);
        self.evidence.note_may_have_run();
        self.note_lost_upstream(&upstream, cause);
        let opened = tokio::select! {
            opened = self.open(copy) => opened,
            () = parts.closed() => {
                self.log_end("caller_left");
                return None;
            }
        };
        match opened {
            OpenedStream::Running(next) => Some(*next),
            OpenedStream::Plain(_) | OpenedStream::Stopped => {
                self.log_end("broken_off");
                None
            }
        }
    }

    async fn relay(
        &mut self,
        event: StreamEvent,
        parts: &mpsc::Sender<AnswerPart>,
    ) -> Result<(), LossCause> {
        let verdict = match event.id {
            Some(id) => self.ledger.offer(id),
            None => EventVerdict::Accepted,
        };
        match verdict {
            EventVerdict::Accepted => {
                self.pace.note_event(self.request.deadline.passed());
                // The main loop notes that the caller left.
                let _ = parts.send(AnswerPart::Bytes(event.bytes)).await;
                Ok(())
            }
            EventVerdict::Duplicate => Ok(()),
            EventVerdict::Gap => Err(LossCause::WrongEvent),
        }
    }

    /// Ends a stream of which the caller has nothing.
    fn give_up(&self) -> CallerAnswer {
        match self.evidence.proof() {
            Some(proof) => refuse(proof, NotRunReason::NoUpstream, RETRY_PAUSE),
            None if self.request.deadline.is_over() => fail(FailureReason::Timeout),
            None => fail(FailureReason::UpstreamBroke),
        }
    }

    fn log_end(&self, outcome: &'static str) {
        let kind = self.request.route.kind.label();
        let lasted = self.request.deadline.passed();
        log::info!(
            request = self.request.id(),
            kind,
            route = self.request.route.name.as_str(),
            service:% = self.request.service,
            outcome,
            events = self.ledger.accepted(),
            sends = self.sends,
            first_event_ms = self.pace.first.map(ClockTime::as_millis),
            longest_pause_ms = self.pace.longest_pause.as_millis(),
            ms = lasted.as_millis();
            "request ended"
        );
        counters::count_request(kind, outcome, lasted);
    }
}
