//! Tracks how long a caller's connection is idle or takes to send a request head.

use crate::caller_response::{IncompleteResponse, ResponseBody};
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

/// How often the timeouts of a busy connection are checked.
pub(crate) const BUSY_CHECK_INTERVAL: ClockTime = ClockTime::from_millis(5_000);

const IDLE: u8 = 0;
const READING_HEAD: u8 = 1;
const BUSY: u8 = 2;

/// The phase of a connection, and when it began.
pub(crate) struct ConnectionActivity {
    clock: MonotonicClock,
    phase: AtomicU8,
    since_ms: AtomicU64,
    /// The number of requests that were begun.
    requests: AtomicU64,
}

impl ConnectionActivity {
    /// Starts tracking a new connection, which is idle.
    pub(crate) fn start(clock: MonotonicClock) -> Arc<Self> {
        Arc::new(ConnectionActivity {
            clock,
            phase: AtomicU8::new(IDLE),
            since_ms: AtomicU64::new(clock.now().as_millis()),
            requests: AtomicU64::new(0),
        })
    }

    /// Marks the connection as busy until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> BusyGuard {
        self.enter(BUSY);
        self.requests.fetch_add(1, Ordering::Relaxed);
        BusyGuard(self.clone())
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.phase.load(Ordering::Relaxed) == IDLE
    }

    pub(crate) fn is_busy(&self) -> bool {
        self.phase.load(Ordering::Relaxed) == BUSY
    }

    /// Returns the number of requests that were begun.
    pub(crate) fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the phase as it is logged.
    pub(crate) fn phase_label(&self) -> &'static str {
        match self.phase.load(Ordering::Relaxed) {
            IDLE => "idle",
            READING_HEAD => "reading_head",
            _ => "busy",
        }
    }

    /// Returns the time since the phase began.
    pub(crate) fn phase_age(&self) -> ClockTime {
        let since = self.since_ms.load(Ordering::Relaxed);
        self.clock.now().since(ClockTime::from_millis(since))
    }

    fn enter(&self, phase: u8) {
        self.since_ms
            .store(self.clock.now().as_millis(), Ordering::Relaxed);
        self.phase.store(phase, Ordering::Relaxed);
    }

    fn record_bytes(&self) {
        if self.phase.load(Ordering::Relaxed) == IDLE {
            self.enter(READING_HEAD);
        }
    }

    /// Returns the time until the next check, or none if the phase has timed out.
    pub(crate) fn time_left(&self, limits: CallerLimits) -> Option<ClockTime> {
        let limit = match self.phase.load(Ordering::Relaxed) {
            IDLE => limits.idle_timeout,
            READING_HEAD => limits.head_timeout,
            _ => return Some(BUSY_CHECK_INTERVAL),
        };
        let remaining = limit.since(self.phase_age());
        (remaining > ClockTime::ZERO).then_some(remaining)
    }
}

/// Marks a connection as idle when its response ends.
pub(crate) struct BusyGuard(Arc<ConnectionActivity>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.enter(IDLE);
    }
}

/// A response body that keeps its connection marked as busy.
pub(crate) struct TrackedBody {
    pub(crate) body: ResponseBody,
    pub(crate) _busy: BusyGuard,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A stream that records when the caller starts to send a request.
pub(crate) struct TrackedStream {
    pub(crate) stream: TokioIo<TcpStream>,
    pub(crate) activity: Arc<ConnectionActivity>,
}

impl Read for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.activity.record_bytes();
        }
        result
    }
}

impl Write for TrackedStream {
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
