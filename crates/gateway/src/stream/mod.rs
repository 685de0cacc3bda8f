//! Carries an answer of many events over any number of upstreams.

mod attempt;
mod copy_keeper;
mod events;

use crate::answer::{AnswerBody, AnswerPart, CallerAnswer};
use crate::counters;
use crate::engine_calls::ask_report;
use crate::exchange::{send, CallerRequest};
use crate::process::GatewayState;
use crate::refusal::{fail, refuse, FailureReason, NotRunReason, RunEvidence};
use crate::seams::{MemoryCopy, SendOrder, WireDialect};
use crate::upstreams::{UpstreamQuery, UpstreamState};
use attempt::{watch_silence, AttemptStep, FailedSend, StreamAttempt};
use copy_keeper::CopyKeeper;
use events::StreamEvent;
use http::{response, Response};
use skylarkshed_core::{ClockTime, UpstreamName, ZoneName};
use skylarkshed_policy::{
    are_all_busy, choose_engine, recover_stream, silence_limit, CopyKind, EngineLoad, EventLedger,
    EventVerdict, LossCause, RecoveryStep, RouteTable, StreamPhase, StreamState,
};
use std::marker::PhantomData;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Events that wait for a slow caller before its upstream is slowed down too.
const WAITING_EVENTS: usize = 32;
/// Upstreams that may refuse a connection before the caller is told so.
const MOST_UNSENT: u32 = 6;
/// Engines that are asked for a report before a prompt is sent: each more costs
/// a priced call, and three find an idle one of eight nearly always.
const ASKED_ENGINES: usize = 3;
/// When a caller is to come back after a refusal: the time in which restarted
/// engines are listed again is seconds, in which others become free less.
const RETRY_PAUSE: ClockTime = ClockTime::from_millis(300);

/// A stream and what it has spent.
struct StreamRelay<D> {
    state: Arc<GatewayState>,
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

/// What the relay does at the end of a stream's attempts.
enum OpenedStream {
    Running(Box<StreamAttempt>),
    /// An answer of the upstream that is no stream of events.
    Plain(CallerAnswer),
    Stopped,
}

/// Carries a stream and returns the head of its answer.
pub(crate) async fn serve_stream<D: WireDialect>(
    state: Arc<GatewayState>,
    request: CallerRequest,
    is_resumable: bool,
) -> CallerAnswer {
    state.budget(&request.service).note_request();
    let mut relay = StreamRelay::<D> {
        ledger: EventLedger::after(request.head.resume_after),
        state,
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

impl<D: WireDialect> StreamRelay<D> {
    /// Finds an upstream that answers; `copy` is where the answer's memory stands.
    async fn open(&mut self, mut copy: Option<MemoryCopy>) -> OpenedStream {
        loop {
            let holder = copy.take().and_then(|copy| self.usable_holder(copy));
            let step = recover_stream(&StreamState {
                sends: self.sends,
                attempts: self.request.route.attempts,
                is_resumable: self.is_resumable,
                may_have_run: self.evidence.may_have_run(),
                has_copy: holder.is_some(),
            });
            let has_tries = self.unsent < MOST_UNSENT && !self.request.deadline.is_over();
            if step == RecoveryStep::Stop || !has_tries || !self.may_send() {
                return OpenedStream::Stopped;
            }
            let (upstream, from) = match holder {
                Some((upstream, copy)) => (upstream, Some(copy)),
                None => match self.choose_upstream().await {
                    Some(upstream) => (upstream, None),
                    None => return OpenedStream::Stopped,
                },
            };
            let ordered = self.order_copy(&upstream);
            match self.start(upstream.clone(), from.as_ref(), ordered).await {
                Ok(opened) => return opened,
                Err(FailedSend(cause)) => self.note_loss(&upstream, cause),
            }
        }
    }

    /// Takes a send beyond the first from the budget.
    fn may_send(&self) -> bool {
        let budget = self.state.budget(&self.request.service);
        match (self.sends, self.ledger.accepted()) {
            (0, _) => true,
            (_, 0) => budget.try_retry(),
            (_, _) => budget.try_recover(),
        }
    }

    /// Returns the upstream that holds a copy, unless it is known to be gone.
    ///
    /// A suspicion is no reason to give the copy up: a try there costs a refused
    /// connection at most, reading the prompt again a second.
    fn usable_holder(&self, copy: MemoryCopy) -> Option<(Arc<UpstreamState>, MemoryCopy)> {
        let service = &self.request.service;
        let upstream = self.state.upstreams.find(service, &copy.holder)?;
        (!upstream.is_retired()).then_some((upstream, copy))
    }

    /// Picks the upstream that is to read the prompt, among a few that report.
    async fn choose_upstream(&self) -> Option<Arc<UpstreamState>> {
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
    fn choose_holder(&self, upstream: &UpstreamState) -> Option<Arc<UpstreamState>> {
        let avoid = [upstream.name().clone()];
        let mut avoid_zones = self.lost_zones.clone();
        avoid_zones.push(upstream.record.zone.clone());
        self.state.upstreams.choose(&UpstreamQuery {
            service: &self.request.service,
            zone: &self.state.settings.zone,
            avoid: &avoid,
            avoid_zones: &avoid_zones,
            versions: &self.request.versions,
        })
    }

    /// Returns the copy that an upstream is to make while the answer runs.
    fn order_copy(&self, upstream: &UpstreamState) -> Option<MemoryCopy> {
        let table = self.state.control.table()?;
        let engine = table.engine(&self.request.service)?;
        if !engine.has_backups || !self.is_resumable {
            return None;
        }
        let holder = self.choose_holder(upstream)?;
        Some(MemoryCopy {
            holder: holder.name().clone(),
            address: holder.record.address,
            handle: self.request.head.request.clone(),
            kind: CopyKind::Continuous,
        })
    }

    /// Sends the request to an upstream and waits for the head of its answer.
    async fn start(
        &mut self,
        upstream: Arc<UpstreamState>,
        from: Option<&MemoryCopy>,
        copy: Option<MemoryCopy>,
    ) -> Result<OpenedStream, FailedSend> {
        self.tried.push(upstream.name().clone());
        let phase = match from {
            Some(_) => StreamPhase::Resuming,
            None => StreamPhase::Prefill {
                tokens: self.request.head.prompt_tokens,
                objective_left: self.objective_left(),
            },
        };
        let order = SendOrder {
            resume_after: self.ledger.last(),
            copy_from: from,
            copy_to: copy.as_ref().map(|copy| copy.address),
            ..self.request.order(&upstream)
        };
        log::info!(
            request = self.request.id(),
            upstream:% = upstream.name(),
            zone:% = upstream.record.zone,
            sends = self.sends,
            resume_after = self.ledger.last(),
            is_from_copy = from.is_some(),
            holder = copy.as_ref().map(|copy| copy.holder.to_string()),
            after_ms = self.request.deadline.passed().as_millis();
            "stream sent"
        );
        let sending = send::<D>(&self.state, &self.request, &upstream, &order);
        let limit = silence_limit(phase, true).min(self.request.deadline.left());
        let clock = self.state.clock;
        let address = upstream.record.address;
        let answer = watch_silence(sending, clock.now(), limit, address, clock).await;
        let answer = answer.ok_or(FailedSend(LossCause::Silence))??;
        if answer.head.is_misdirected {
            return Err(FailedSend(LossCause::Replaced));
        }
        if answer.head.is_not_run {
            return Err(FailedSend(LossCause::NotRun));
        }
        if !answer.is_success() {
            return self.judge_failure(answer).await;
        }
        self.sends += 1;
        if from.is_none() {
            self.note_version(&upstream, Some(self.request.deadline.passed()));
        }
        let now = clock.now();
        let attempt = StreamAttempt::new(upstream, copy, answer, phase, now);
        Ok(OpenedStream::Running(Box::new(attempt)))
    }

    /// Notes how a send ended as evidence of its upstream's version.
    fn note_version(&self, upstream: &UpstreamState, time: Option<ClockTime>) {
        self.state.rollouts.record(
            &self.request.service,
            &upstream.record.version,
            &self.request.route.name,
            self.request.customer.as_ref(),
            time,
        );
    }

    /// Returns the time in which a first event is in time.
    fn objective_left(&self) -> ClockTime {
        match self.ledger.accepted() {
            0 => {
                let objective = self.request.route.objective;
                objective.since(self.request.deadline.passed())
            }
            _ => ClockTime::ZERO,
        }
    }

    /// Passes on a failure that the upstream means, and retries any other.
    async fn judge_failure(
        &mut self,
        mut answer: crate::exchange::LiveAnswer,
    ) -> Result<OpenedStream, FailedSend> {
        let status = answer.parts.status;
        let is_meant = answer.head.is_signed && status.is_client_error();
        if !is_meant || self.ledger.accepted() > 0 {
            return Err(FailedSend(LossCause::Broken));
        }
        let body = answer.collect().await?;
        let answer = Response::from_parts(answer.parts, AnswerBody::whole(body));
        Ok(OpenedStream::Plain(answer))
    }

    fn note_loss(&mut self, upstream: &UpstreamState, cause: LossCause) {
        match cause {
            LossCause::Unsent => {
                self.unsent += 1;
                self.state.budget(&self.request.service).refund();
            }
            LossCause::NotRun | LossCause::Replaced => self.sends += 1,
            _ => {
                self.sends += 1;
                self.evidence.note_may_have_run();
            }
        }
        self.note_lost_upstream(upstream, cause);
    }

    fn note_lost_upstream(&mut self, upstream: &UpstreamState, cause: LossCause) {
        if cause != LossCause::NotRun {
            upstream.suspect(self.state.clock.now());
            if !self.lost_zones.contains(&upstream.record.zone) {
                self.lost_zones.push(upstream.record.zone.clone());
            }
        }
        if !cause.is_not_run() {
            self.note_version(upstream, None);
        }
        counters::count_retry(cause.label());
        log::info!(
            request = self.request.id(),
            upstream:% = upstream.name(),
            zone:% = upstream.record.zone,
            cause = cause.label(),
            events = self.ledger.accepted(),
            after_ms = self.request.deadline.passed().as_millis();
            "stream lost its upstream"
        );
    }

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
        copy: Option<MemoryCopy>,
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
            EventVerdict::Repeated => Ok(()),
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
