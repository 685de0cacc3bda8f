//! Watches how long a caller's connection is idle or takes for a head.

use crate::answer::{AnswerBody, BrokenAnswer};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use skylarkshed_core::{CallerLimits, ClockTime, MonotonicClock};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// How often a busy connection is looked at.
pub(crate) const BUSY_CHECK: ClockTime = ClockTime::from_millis(5_000);

const IDLE: u8 = 0;
const READING_HEAD: u8 = 1;
const BUSY: u8 = 2;

/// What a connection does, and since when.
pub(crate) struct ConnectionWatch {
    clock: MonotonicClock,
    phase: AtomicU8,
    since: AtomicU64,
}

impl ConnectionWatch {
    /// Starts to watch a connection, which is idle.
    pub(crate) fn start(clock: MonotonicClock) -> Arc<Self> {
        Arc::new(ConnectionWatch {
            clock,
            phase: AtomicU8::new(IDLE),
            since: AtomicU64::new(clock.now().as_millis()),
        })
    }

    /// Notes that a request is being served, until the guard is dropped.
    pub(crate) fn serve(self: &Arc<Self>) -> BusyGuard {
        self.enter(BUSY);
        BusyGuard(self.clone())
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.phase.load(Ordering::Relaxed) == IDLE
    }

    fn enter(&self, phase: u8) {
        self.since
            .store(self.clock.now().as_millis(), Ordering::Relaxed);
        self.phase.store(phase, Ordering::Relaxed);
    }

    fn note_bytes(&self) {
        if self.phase.load(Ordering::Relaxed) == IDLE {
            self.enter(READING_HEAD);
        }
    }

    /// Returns when the connection has to be looked at again, or none if its
    /// time is over.
    pub(crate) fn time_left(&self, limits: CallerLimits) -> Option<ClockTime> {
        let passed = self
            .clock
            .now()
            .since(ClockTime::from_millis(self.since.load(Ordering::Relaxed)));
        let limit = match self.phase.load(Ordering::Relaxed) {
            IDLE => limits.idle_timeout,
            READING_HEAD => limits.head_timeout,
            _ => return Some(BUSY_CHECK),
        };
        let left = limit.since(passed);
        (left > ClockTime::ZERO).then_some(left)
    }
}

/// Marks a connection as idle when its answer ends.
pub(crate) struct BusyGuard(Arc<ConnectionWatch>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.enter(IDLE);
    }
}

/// A body that keeps its connection busy.
pub(crate) struct WatchedBody {
    pub(crate) body: AnswerBody,
    pub(crate) _busy: BusyGuard,
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A stream that notes when its peer begins to send.
pub(crate) struct WatchedStream {
    pub(crate) stream: TokioIo<TcpStream>,
    pub(crate) watch: Arc<ConnectionWatch>,
}

impl Read for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.watch.note_bytes();
        }
        result
    }
}

impl Write for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
