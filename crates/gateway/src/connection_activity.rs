//! Tracks how long a caller's connection is idle or takes to send a request head.

use crate::caller_response::{IncompleteResponse, ResponseBody};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use skylarkshed_core::{CallerLimits, ClockTime, MonotonicClock};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// How often the timeouts of a busy connection are checked.
const BUSY_CHECK_INTERVAL: ClockTime = ClockTime::from_millis(5_000);
/// How long the rest of the last response may make no progress, unless its caller waits
/// longer for it.
const CLOSE_TIMEOUT: ClockTime = ClockTime::from_millis(2_000);

const IDLE: u8 = 0;
const READING_HEAD: u8 = 1;
const BUSY: u8 = 2;

/// How a connection is to be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionMode {
    /// When it times out.
    Open,
    /// As soon as no request may be on it, because the process is draining.
    Leaving,
    /// After its last response.
    Closing,
}

/// The phase of a connection, and when it began.
pub(crate) struct ConnectionActivity {
    clock: MonotonicClock,
    phase: AtomicU8,
    since_ms: AtomicU64,
    /// The number of requests that were begun.
    requests: AtomicU64,
    /// The number of bytes that arrived after the connection was closed for writing.
    discarded_bytes: AtomicU64,
    /// The longest timeouts that were in force during the connection: a caller may learn
    /// later than this VM that they have become shorter.
    head_timeout_ms: AtomicU64,
    idle_timeout_ms: AtomicU64,
    /// The limit on heads that the connection reads with.
    max_head_bytes: AtomicUsize,
    /// Until when callers of the requests wait for their responses, as far as they say.
    awaited_until_ms: AtomicU64,
    /// Whether the rest of a response waits until its caller reads on.
    is_write_blocked: AtomicBool,
    /// Whether the end of the connection is the end of a response.
    is_close_delimited: AtomicBool,
}

impl ConnectionActivity {
    /// Starts tracking a new connection, which is idle.
    pub(crate) fn start(clock: MonotonicClock) -> Arc<Self> {
        Arc::new(ConnectionActivity {
            clock,
            phase: AtomicU8::new(IDLE),
            since_ms: AtomicU64::new(clock.now().as_millis()),
            requests: AtomicU64::new(0),
            discarded_bytes: AtomicU64::new(0),
            head_timeout_ms: AtomicU64::new(0),
            idle_timeout_ms: AtomicU64::new(0),
            max_head_bytes: AtomicUsize::new(0),
            awaited_until_ms: AtomicU64::new(0),
            is_write_blocked: AtomicBool::new(false),
            is_close_delimited: AtomicBool::new(false),
        })
    }

    /// Records that the caller knows no chunks, so that the end of the connection tells
    /// that a response is complete.
    pub(crate) fn mark_close_delimited(&self) {
        self.is_close_delimited.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_close_delimited(&self) -> bool {
        self.is_close_delimited.load(Ordering::Relaxed)
    }

    /// Extends the timeouts to those of the limits in force.
    pub(crate) fn extend_timeouts(&self, limits: CallerLimits) {
        self.head_timeout_ms
            .fetch_max(limits.head_timeout.as_millis(), Ordering::Relaxed);
        self.idle_timeout_ms
            .fetch_max(limits.idle_timeout.as_millis(), Ordering::Relaxed);
    }

    /// Raises the limit on heads to the one in force, and returns it.
    pub(crate) fn raise_head_limit(&self, limits: CallerLimits) -> usize {
        let limit = limits.max_head_bytes;
        self.max_head_bytes
            .fetch_max(limit, Ordering::Relaxed)
            .max(limit)
    }

    /// Keeps the limit that the connection reads with until its end, because it reads no
    /// other head.
    pub(crate) fn keep_head_limit(&self) {
        self.max_head_bytes.store(usize::MAX, Ordering::Relaxed);
    }

    /// Reports whether the next head may exceed the limit that the connection reads with.
    pub(crate) fn has_outgrown_head_limit(&self, limits: CallerLimits) -> bool {
        !self.is_busy() && limits.max_head_bytes > self.max_head_bytes.load(Ordering::Relaxed)
    }

    /// Reports whether the rest of a response waits until its caller reads on.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.load(Ordering::Relaxed)
    }

    fn head_timeout(&self) -> ClockTime {
        ClockTime::from_millis(self.head_timeout_ms.load(Ordering::Relaxed))
    }

    fn idle_timeout(&self) -> ClockTime {
        ClockTime::from_millis(self.idle_timeout_ms.load(Ordering::Relaxed))
    }

    /// Marks the connection as busy until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> BusyGuard {
        self.enter(BUSY);
        self.requests.fetch_add(1, Ordering::Relaxed);
        BusyGuard(self.clone())
    }

    /// Returns how much may be read at once. During a request this is less than a head may
    /// have: a part of the next head that fills the buffer is refused before the limit can
    /// be raised.
    pub(crate) fn max_read_bytes(&self) -> usize {
        match self.is_busy() {
            true => self.max_head_bytes.load(Ordering::Relaxed) / 2,
            false => usize::MAX,
        }
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

    pub(crate) fn record_discard(&self, count: usize) {
        self.discarded_bytes
            .fetch_add(count as u64, Ordering::Relaxed);
    }

    pub(crate) fn discarded_bytes(&self) -> u64 {
        self.discarded_bytes.load(Ordering::Relaxed)
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

    /// Records that bytes of the caller were read.
    pub(crate) fn record_read(&self) {
        if self.is_idle() {
            self.enter(READING_HEAD);
        }
    }

    /// Records that bytes were written, which may be the rest of a response whose body
    /// has ended.
    pub(crate) fn record_write(&self) {
        self.is_write_blocked.store(false, Ordering::Relaxed);
        self.restart_idle_time();
    }

    /// Counts the idle time of an idle connection from now on.
    pub(crate) fn restart_idle_time(&self) {
        if self.is_idle() {
            self.enter(IDLE);
        }
    }

    /// Records that the caller has to read before more bytes can be written.
    pub(crate) fn record_blocked_write(&self) {
        self.is_write_blocked.store(true, Ordering::Relaxed);
    }

    /// Records until when the caller of a request waits for its response.
    pub(crate) fn extend_wait(&self, until: ClockTime) {
        self.awaited_until_ms
            .fetch_max(until.as_millis(), Ordering::Relaxed);
    }

    /// Returns how long the caller may still read the rest of a response that is ready.
    fn unread_time_left(&self) -> ClockTime {
        if !self.is_write_blocked() {
            return ClockTime::ZERO;
        }
        let until = self.awaited_until_ms.load(Ordering::Relaxed);
        ClockTime::from_millis(until).since(self.clock.now())
    }

    /// Returns the time until the next check, or none if the phase has timed out.
    pub(crate) fn time_left(&self, mode: ConnectionMode) -> Option<ClockTime> {
        let limit = match self.phase.load(Ordering::Relaxed) {
            IDLE => self.idle_limit(mode),
            READING_HEAD => self.head_timeout(),
            _ => return Some(BUSY_CHECK_INTERVAL),
        };
        let mut remaining = limit.since(self.phase_age());
        // A leaving connection is closed gracefully first, which cuts off nothing.
        if self.is_idle() && mode != ConnectionMode::Leaving {
            remaining = remaining.max(self.unread_time_left());
        }
        (remaining > ClockTime::ZERO).then_some(remaining)
    }

    fn idle_limit(&self, mode: ConnectionMode) -> ClockTime {
        match mode {
            ConnectionMode::Open => self.idle_timeout(),
            ConnectionMode::Leaving if self.requests() > 0 => ClockTime::ZERO,
            // The first request of a new connection is on its way.
            ConnectionMode::Leaving => self.head_timeout(),
            ConnectionMode::Closing => CLOSE_TIMEOUT,
        }
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
