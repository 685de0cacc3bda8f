//! One attempt to serve a stream, at one upstream.

use super::events::{EventParser, StreamEvent};
use super::ledger_selection::AttemptWork;
use super::prefill_watch::{watch_prefill, PrefillTimeout, PrefillWatch};
use crate::counters;
use crate::exchange::{SendError, UpstreamResponse};
use crate::platform_api::{KvCacheCopy, WireProtocol};
use crate::process_check::check_engine;
use crate::rollouts::AttemptProbe;
use crate::upstreams::UpstreamState;
use skylarkshed_core::{ClockTime, MonotonicClock};
use skylarkshed_policy::{silence_limit, AttemptProgress, LossCause, ProcessCheck, StreamPhase};
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// After this time without data the upstream's liveness is checked. It is longer than
/// the gaps between events of an engine that is not prefilling another prompt.
const LIVENESS_CHECK_INTERVAL: ClockTime = ClockTime::from_millis(250);
/// A live host accepts a connection within a few milliseconds.
const LIVENESS_CHECK_TIMEOUT: ClockTime = ClockTime::from_millis(100);

/// An upstream's response that is being received.
pub(super) struct StreamAttempt {
    pub(super) upstream: Arc<UpstreamState>,
    /// The copy of the request's KV cache, if there is one.
    pub(super) copy: Option<KvCacheCopy>,
    pub(super) response: UpstreamResponse,
    pub(super) phase: StreamPhase,
    pub(super) last_event_at: ClockTime,
    first_event_at: Option<ClockTime>,
    /// Whether the response has gone on for long enough to show that its prompt is sound.
    pub(super) is_sound: bool,
    /// When the wait for the next event began; later than the last event if the
    /// upstream was waited for.
    waiting_since: ClockTime,
    pub(super) probe: AttemptProbe,
    /// What the attempt has placed at engines.
    pub(super) work: AttemptWork,
    timeout: PrefillTimeout,
    parser: EventParser,
    /// Checks the engine's process after the end of its connection. It goes on while the
    /// attempt isn't polled.
    end_check: Option<AbortOnDropHandle<ProcessCheck>>,
}

/// The next step of a response.
pub(super) enum AttemptStep {
    Event(StreamEvent),
    End,
    Lost(LossCause),
}

impl StreamAttempt {
    pub(super) fn new(
        upstream: Arc<UpstreamState>,
        copy: Option<KvCacheCopy>,
        response: UpstreamResponse,
        phase: StreamPhase,
        probe: AttemptProbe,
        now: ClockTime,
    ) -> Self {
        StreamAttempt {
            upstream,
            copy,
            response,
            phase,
            last_event_at: now,
            first_event_at: None,
            is_sound: false,
            waiting_since: now,
            probe,
            work: AttemptWork::default(),
            timeout: PrefillTimeout::start(now, silence_limit(phase, true)),
            parser: EventParser::default(),
            end_check: None,
        }
    }

    /// Adds what was placed at engines for the attempt.
    pub(super) fn with_work(self, work: AttemptWork) -> Self {
        StreamAttempt { work, ..self }
    }

    /// Waits for the next event.
    pub(super) async fn next<P: WireProtocol>(&mut self, watch: PrefillWatch<'_>) -> AttemptStep {
        let clock = watch.state.clock;
        loop {
            match self.parser.next_event() {
                Ok(Some(event)) => {
                    self.record_event(clock.now());
                    return AttemptStep::Event(event);
                }
                Ok(None) => {}
                Err(_) => return AttemptStep::Lost(LossCause::WrongEvent),
            }
            let limit = silence_limit(self.phase, self.copy.is_some());
            let address = self.upstream.record.address;
            let bytes = self.response.next_bytes();
            let bytes = match self.phase {
                StreamPhase::Decoding => {
                    watch_silence(bytes, self.waiting_since, limit, address, clock).await
                }
                StreamPhase::Prefill { .. } | StreamPhase::Resuming => {
                    watch_prefill::<P, _>(bytes, watch, &self.upstream, &mut self.timeout).await
                }
            };
            match bytes {
                Ok(Ok(Some(bytes))) => {
                    self.parser.push(&bytes);
                }
                Ok(Ok(None)) if self.parser.has_partial_event() => {
                    return AttemptStep::Lost(LossCause::Broken);
                }
                Ok(Ok(None)) => return self.judge_end::<P>(watch).await,
                Ok(Err(_)) => return AttemptStep::Lost(LossCause::Broken),
                Err(cause) => return AttemptStep::Lost(cause),
            }
        }
    }

    /// Tells the end of the response from a close by the end of its engine's process.
    async fn judge_end<P: WireProtocol>(&mut self, watch: PrefillWatch<'_>) -> AttemptStep {
        if !self.response.is_close_delimited {
            return AttemptStep::End;
        }
        let checking = self.end_check.get_or_insert_with(|| {
            let (state, engine) = (watch.state.clone(), self.upstream.clone());
            let checking = async move { check_engine::<P>(&state, &engine).await };
            AbortOnDropHandle::new(tokio::spawn(checking))
        });
        let check = checking.await.unwrap_or_else(|error| {
            log::error!("the check of an engine's process failed: {error}");
            ProcessCheck::Unknown
        });
        log::info!(
            request = watch.request.id(),
            upstream:% = self.upstream.name(),
            process = check.label(),
            after_ms = watch.request.deadline.elapsed().as_millis();
            "stream without a length closed"
        );
        counters::count_close(check.label());
        match check.confirms_close() {
            true => AttemptStep::End,
            false => AttemptStep::Lost(LossCause::Broken),
        }
    }

    /// Grants a silent upstream its time again.
    pub(super) fn wait_on(&mut self, now: ClockTime) {
        self.waiting_since = now;
        self.timeout = PrefillTimeout::start(now, silence_limit(self.phase, true));
    }

    /// Reports whether an event has arrived.
    pub(super) fn has_events(&self) -> bool {
        self.first_event_at.is_some()
    }

    /// Returns how far the upstream has come with the response.
    pub(super) fn progress(&self, now: ClockTime) -> AttemptProgress {
        AttemptProgress::after_head(self.first_event_at, now)
    }

    /// Reports whether the upstream was silent for too long since its last event, and was
    /// waited for.
    pub(super) fn was_waited_for(&self) -> bool {
        self.waiting_since > self.last_event_at
    }

    /// Records a sign of life. Parts of an event are none: a stalled engine may send a
    /// byte now and then.
    fn record_event(&mut self, now: ClockTime) {
        self.phase = StreamPhase::Decoding;
        self.first_event_at.get_or_insert(now);
        self.last_event_at = now;
        self.waiting_since = now;
        self.probe.record_event();
        if let Some(prompt) = &mut self.work.prompt {
            prompt.record_event(now);
        }
    }
}

/// Waits for `future`, but at most until `limit` has passed since `since`; returns how the
/// upstream is silent.
///
/// The wait ends early if the upstream's host does not accept a connection: a host
/// without power sends nothing, and a prefill of more than a second would hide
/// that. The function may be cancelled and called again with the same `since`.
pub(super) async fn watch_silence<F: Future>(
    future: F,
    since: ClockTime,
    limit: ClockTime,
    address: SocketAddr,
    clock: MonotonicClock,
) -> Result<F::Output, LossCause> {
    let mut future = pin!(future);
    let mut checked_at = since;
    loop {
        let remaining = limit.since(clock.now().since(since));
        let unchecked = clock.now().since(checked_at);
        let wait = remaining.min(LIVENESS_CHECK_INTERVAL.since(unchecked));
        if let Ok(output) = tokio::time::timeout(wait.to_duration(), &mut future).await {
            return Ok(output);
        }
        if clock.now().since(since) >= limit {
            return Err(LossCause::Silence);
        }
        tokio::select! {
            output = &mut future => return Ok(output),
            is_alive = is_alive(address) => {
                if !is_alive {
                    return Err(LossCause::Unreachable);
                }
                checked_at = clock.now();
            }
        }
    }
}

/// Reports whether an upstream's host accepts a connection.
pub(super) async fn accepts_connections(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(LIVENESS_CHECK_TIMEOUT.to_duration(), connecting).await;
    matches!(connected, Ok(Ok(_)))
}

async fn is_alive(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(LIVENESS_CHECK_TIMEOUT.to_duration(), connecting).await;
    match connected {
        Ok(Ok(_)) => true,
        // The host is up. A draining upstream may close its listener before its last
        // response ends, and one that has exited has reset the connection.
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Err(_) => false,
    }
}

impl From<SendError> for AttemptFailure {
    fn from(error: SendError) -> Self {
        AttemptFailure(match error {
            SendError::Unsent => LossCause::Unsent,
            SendError::Broken => LossCause::Broken,
        })
    }
}

/// Why an attempt to open a stream failed.
pub(super) struct AttemptFailure(pub(super) LossCause);
