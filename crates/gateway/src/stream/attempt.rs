//! One upstream's part of a stream.

use super::events::{EventReader, StreamEvent};
use crate::exchange::{LiveAnswer, SendFailure};
use crate::platform_api::KvCacheCopy;
use crate::upstreams::UpstreamState;
use skylarkshed_core::{ClockTime, MonotonicClock};
use skylarkshed_policy::{silence_limit, LossCause, StreamPhase};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use tokio::net::TcpStream;

/// A silent upstream is asked for a sign of life after this time: above the
/// pauses of an engine that is not reading another prompt.
const LIFE_CHECK_PERIOD: ClockTime = ClockTime::from_millis(250);
/// A living machine accepts a connection within a few milliseconds.
const LIFE_CHECK_LIMIT: ClockTime = ClockTime::from_millis(100);

/// An upstream's answer under way.
pub(super) struct StreamAttempt {
    pub(super) upstream: Arc<UpstreamState>,
    /// Where the answer's memory is being copied.
    pub(super) copy: Option<KvCacheCopy>,
    pub(super) answer: LiveAnswer,
    pub(super) phase: StreamPhase,
    pub(super) last_heard: ClockTime,
    reader: EventReader,
}

/// What comes next of an answer.
pub(super) enum AttemptStep {
    Event(StreamEvent),
    End,
    Lost(LossCause),
}

impl StreamAttempt {
    pub(super) fn new(
        upstream: Arc<UpstreamState>,
        copy: Option<KvCacheCopy>,
        answer: LiveAnswer,
        phase: StreamPhase,
        now: ClockTime,
    ) -> Self {
        StreamAttempt {
            upstream,
            copy,
            answer,
            phase,
            last_heard: now,
            reader: EventReader::default(),
        }
    }

    /// Waits for the next event.
    pub(super) async fn next(&mut self, clock: MonotonicClock) -> AttemptStep {
        loop {
            match self.reader.next_event() {
                Ok(Some(event)) => return AttemptStep::Event(event),
                Ok(None) => {}
                Err(_) => return AttemptStep::Lost(LossCause::WrongEvent),
            }
            let limit = silence_limit(self.phase, self.copy.is_some());
            let address = self.upstream.record.address;
            let bytes = self.answer.next_bytes();
            match watch_silence(bytes, self.last_heard, limit, address, clock).await {
                Some(Ok(Some(bytes))) => {
                    self.note_bytes(clock.now());
                    self.reader.push(&bytes);
                }
                Some(Ok(None)) if self.reader.is_amid_event() => {
                    return AttemptStep::Lost(LossCause::Broken);
                }
                Some(Ok(None)) => return AttemptStep::End,
                Some(Err(_)) => return AttemptStep::Lost(LossCause::Broken),
                None => return AttemptStep::Lost(LossCause::Silence),
            }
        }
    }

    fn note_bytes(&mut self, now: ClockTime) {
        self.phase = StreamPhase::Decoding;
        self.last_heard = now;
    }
}

/// Waits for `work` until it has been silent for too long since `since`.
///
/// A long wait is cut short if the upstream's machine does not even accept a
/// connection: engines without power say nothing, and a prompt's prefill hides
/// them for more than a second. The wait may be given up and taken up again.
pub(super) async fn watch_silence<F: Future>(
    work: F,
    since: ClockTime,
    limit: ClockTime,
    address: SocketAddr,
    clock: MonotonicClock,
) -> Option<F::Output> {
    let mut work = pin!(work);
    let mut checked = since;
    loop {
        let left = limit.since(clock.now().since(since));
        let unchecked = clock.now().since(checked);
        let wait = left.min(LIFE_CHECK_PERIOD.since(unchecked));
        if let Ok(output) = tokio::time::timeout(wait.to_duration(), &mut work).await {
            return Some(output);
        }
        if clock.now().since(since) >= limit {
            return None;
        }
        tokio::select! {
            output = &mut work => return Some(output),
            is_alive = is_alive(address) => {
                if !is_alive {
                    return None;
                }
                checked = clock.now();
            }
        }
    }
}

async fn is_alive(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(LIFE_CHECK_LIMIT.to_duration(), connecting).await;
    matches!(connected, Ok(Ok(_)))
}

impl From<SendFailure> for FailedSend {
    fn from(failure: SendFailure) -> Self {
        FailedSend(match failure {
            SendFailure::Unsent => LossCause::Unsent,
            SendFailure::Broken => LossCause::Broken,
        })
    }
}

/// A send that brought no answer to read.
pub(super) struct FailedSend(pub(super) LossCause);
