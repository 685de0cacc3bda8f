//! Callers' connections: how long they may stay idle, and how they end.

use crate::front::handle;
use crate::process::GatewayState;
use crate::seams::WireDialect;
use http_body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use skylarkshed_core::{CallerLimits, ClockTime, MonotonicClock};
use skylarkshed_http_link::set_options;
use std::pin::{pin, Pin};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::answer::{AnswerBody, BrokenAnswer};
use bytes::Bytes;

/// The most headers of a request; the configuration bounds their bytes.
const MOST_HEADERS: usize = 100;
/// The least buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8 * 1024;
/// How often a busy connection is looked at.
const BUSY_CHECK: ClockTime = ClockTime::from_millis(5_000);
/// The part of the descriptors that callers may hold, in hundredths; each
/// request needs another for its upstream.
const CALLER_DESCRIPTORS_PERCENT: usize = 45;
/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: ClockTime = ClockTime::from_millis(20);

const IDLE: u8 = 0;
const READING_HEAD: u8 = 1;
const BUSY: u8 = 2;

/// What a connection does, and since when.
struct ConnectionWatch {
    clock: MonotonicClock,
    phase: AtomicU8,
    since: AtomicU64,
}

impl ConnectionWatch {
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
    fn time_left(&self, limits: CallerLimits) -> Option<ClockTime> {
        let passed = self
            .clock
            .now()
            .since(ClockTime::from_millis(self.since.load(Ordering::Relaxed)));
        let limit = match self.phase.load(Ordering::Relaxed) {
            IDLE => limits.idle_time,
            READING_HEAD => limits.head_time,
            _ => return Some(BUSY_CHECK),
        };
        let left = limit.since(passed);
        (left > ClockTime::ZERO).then_some(left)
    }
}

/// Accepts callers' connections until the process ends.
pub(crate) async fn serve_callers<D: WireDialect>(
    listener: TcpListener,
    state: Arc<GatewayState>,
    closing: watch::Receiver<bool>,
) {
    let most = state.settings.descriptors * CALLER_DESCRIPTORS_PERCENT / 100;
    loop {
        if state.connections.load(Ordering::Relaxed) >= most {
            tokio::time::sleep(ACCEPT_PAUSE.to_duration()).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                state.connections.fetch_add(1, Ordering::Relaxed);
                let serving = serve_connection::<D>(stream, state.clone(), closing.clone());
                tokio::spawn(serving);
            }
            Err(error) => {
                log::warn!("a caller's connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE.to_duration()).await;
            }
        }
    }
}

async fn serve_connection<D: WireDialect>(
    stream: TcpStream,
    state: Arc<GatewayState>,
    closing: watch::Receiver<bool>,
) {
    let _count = ConnectionCount(state.clone());
    if let Err(error) = set_options(&stream) {
        log::debug!("a caller's connection ended at once: {error}");
        return;
    }
    let watch = Arc::new(ConnectionWatch {
        clock: state.clock,
        phase: AtomicU8::new(IDLE),
        since: AtomicU64::new(state.clock.now().as_millis()),
    });
    let limits = current_limits(&state);
    let io = WatchedStream {
        stream: TokioIo::new(stream),
        watch: watch.clone(),
    };
    let serving = {
        let (state, watch) = (state.clone(), watch.clone());
        service_fn(move |request| {
            watch.enter(BUSY);
            let handling = handle::<D>(state.clone(), request);
            let guard = BusyGuard(watch.clone());
            async move {
                let answer = handling.await?;
                Ok::<_, std::convert::Infallible>(
                    answer.map(|body| WatchedBody { body, _busy: guard }),
                )
            }
        })
    };
    let connection = http1::Builder::new()
        .max_headers(MOST_HEADERS)
        .max_header_size(limits.head_bytes)
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
        .serve_connection(io, serving);
    drive(pin!(connection), &state, &watch, closing).await;
}

/// Runs a connection until it ends, is idle for too long or the process leaves.
async fn drive<C>(
    mut connection: Pin<&mut C>,
    state: &GatewayState,
    watch: &ConnectionWatch,
    mut closing: watch::Receiver<bool>,
) where
    C: GracefulConnection,
{
    let mut is_closing = false;
    loop {
        let left = match watch.time_left(current_limits(state)) {
            Some(left) => left,
            // Hyper closes an idle connection at once, and cuts off a slow head.
            None if watch.phase.load(Ordering::Relaxed) == IDLE && !is_closing => {
                connection.as_mut().close_gracefully();
                is_closing = true;
                BUSY_CHECK
            }
            None => return,
        };
        tokio::select! {
            _ = connection.as_mut() => return,
            () = tokio::time::sleep(left.to_duration()) => {}
            changed = closing.wait_for(|closing| *closing), if !is_closing => {
                // Without a sender the process is at its end.
                if changed.is_ok() {
                    connection.as_mut().close_gracefully();
                }
                is_closing = true;
            }
        }
    }
}

fn current_limits(state: &GatewayState) -> CallerLimits {
    let table = state.control.table();
    table.map_or_else(CallerLimits::default, |table| table.limits())
}

/// A connection that can be told to end after its current answer.
trait GracefulConnection: std::future::Future {
    fn close_gracefully(self: Pin<&mut Self>);
}

impl<I, S, B> GracefulConnection for http1::Connection<I, S>
where
    S: hyper::service::HttpService<hyper::body::Incoming, ResBody = B>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    I: Read + Write + Unpin,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    fn close_gracefully(self: Pin<&mut Self>) {
        self.graceful_shutdown();
    }
}

/// Counts a connection while it lives.
struct ConnectionCount(Arc<GatewayState>);

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Marks a connection as idle when its answer ends.
struct BusyGuard(Arc<ConnectionWatch>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.enter(IDLE);
    }
}

/// A body that keeps its connection busy.
struct WatchedBody {
    body: AnswerBody,
    _busy: BusyGuard,
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
struct WatchedStream {
    stream: TokioIo<TcpStream>,
    watch: Arc<ConnectionWatch>,
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
