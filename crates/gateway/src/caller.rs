//! Accepts callers' connections, enforces their timeouts and closes them.

use crate::connection_activity::{ConnectionActivity, ConnectionMode, TrackedBody};
use crate::counters;
use crate::dispatch::handle;
use crate::gateway_state::GatewayState;
use crate::platform_api::WireProtocol;
use crate::tracked_stream::TrackedStream;
use http::{Request, Version};
use http_body::Body;
use hyper::body::Incoming;
use hyper::rt::{Read, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use skylarkshed_core::ClockTime;
use skylarkshed_http_link::set_options;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Poll;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The maximum number of request headers; the configuration limits their bytes.
const MAX_HEADERS: usize = 100;
/// The smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// The percentage of file descriptors that callers' connections may use; each
/// request needs another one for its upstream.
const CALLER_DESCRIPTORS_PERCENT: usize = 45;
/// How long a connection that has timed out is read again, and the listener is accepted
/// from, before it is closed. In a process that was suspended, timers may fire before what
/// has arrived meanwhile is noticed.
pub(crate) const CLOSE_DELAY: ClockTime = ClockTime::from_millis(10);
/// The delay after a connection could not be accepted.
pub(crate) const ACCEPT_RETRY_DELAY: ClockTime = ClockTime::from_millis(20);

/// Accepts callers' connections until `stopping` is set; those that the kernel has
/// accepted by then are still served.
pub(crate) async fn serve_callers<P: WireProtocol>(
    listener: TcpListener,
    state: Arc<GatewayState>,
    closing: watch::Receiver<bool>,
    mut stopping: watch::Receiver<bool>,
) {
    let max_connections = state.settings.descriptors * CALLER_DESCRIPTORS_PERCENT / 100;
    // One future for all iterations, so that its delay does not start again after each
    // connection.
    let mut stop = pin!(async move {
        // Without a sender the process is about to exit.
        let _ = stopping.wait_for(|stopping| *stopping).await;
        tokio::time::sleep(CLOSE_DELAY.to_duration()).await;
    });
    loop {
        if state.connections.load(Ordering::Relaxed) >= max_connections {
            tokio::time::sleep(ACCEPT_RETRY_DELAY.to_duration()).await;
            continue;
        }
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = stop.as_mut() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                state.connections.fetch_add(1, Ordering::Relaxed);
                let serving = serve_connection::<P>(stream, state.clone(), closing.clone());
                tokio::spawn(serving);
            }
            Err(error) => {
                log::warn!("can't accept a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY.to_duration()).await;
            }
        }
    }
}

async fn serve_connection<P: WireProtocol>(
    stream: TcpStream,
    state: Arc<GatewayState>,
    closing: watch::Receiver<bool>,
) {
    let _guard = ConnectionGuard(state.clone());
    if let Err(error) = set_options(&stream) {
        log::debug!("can't set the options of a caller's connection: {error}");
        return;
    }
    let activity = ConnectionActivity::start(state.clock);
    let mut service = {
        let (state, activity) = (state.clone(), activity.clone());
        service_fn(move |request: Request<Incoming>| {
            activity.extend_timeouts(state.caller_limits());
            let guard = activity.begin_request();
            if request.version() < Version::HTTP_11 {
                activity.mark_close_delimited();
            }
            let has_body = !request.body().is_end_stream();
            let handling = handle::<P>(state.clone(), activity.clone(), request);
            async move {
                let response = handling.await?;
                if has_body && !response.status().is_success() {
                    // Hyper either reads the rest of the body or announces in the
                    // response that it closes the connection.
                    tokio::task::yield_now().await;
                }
                Ok::<_, std::convert::Infallible>(
                    response.map(|body| TrackedBody { body, _busy: guard }),
                )
            }
        })
    };
    let mut stream = TrackedStream::new(stream, activity.clone(), state.clone());
    loop {
        let max_head_bytes = activity.raise_head_limit(state.caller_limits());
        let mut connection = http1::Builder::new()
            .max_headers(MAX_HEADERS)
            .max_header_size(max_head_bytes)
            .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        // It is dropped before the connection, whose requests it reports.
        let mut outcome = ConnectionOutcome::new(activity.clone());
        outcome.end = drive(
            Pin::new(&mut connection),
            &state,
            &activity,
            closing.clone(),
        )
        .await;
        if !matches!(outcome.end, ConnectionEnd::Outgrown) {
            return;
        }
        let parts = connection.into_parts();
        stream = parts.io.into_inner().with_unparsed(parts.read_buf);
        service = parts.service;
    }
}

/// Why a caller's connection ended.
enum ConnectionEnd {
    /// Hyper closed it: the caller left, or a response announced the close.
    Closed,
    /// It was closed while no request was on it.
    ClosedIdle(IdleClose),
    /// Reading or writing failed, or a response ended early.
    Failed(hyper::Error),
    /// The phase timed out, or the graceful close took too long.
    TimedOut,
    /// The process ended first.
    Exited,
    /// The limit on heads was raised; the connection goes on with another parser.
    Outgrown,
}

/// Why a connection without a request is closed.
#[derive(Clone, Copy)]
enum IdleClose {
    TimedOut,
    Draining,
}

impl ConnectionEnd {
    const fn label(&self) -> &'static str {
        match self {
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::ClosedIdle(IdleClose::TimedOut) => "idle_timeout",
            ConnectionEnd::ClosedIdle(IdleClose::Draining) => "draining",
            ConnectionEnd::Failed(_) => "failed",
            ConnectionEnd::TimedOut => "timed_out",
            ConnectionEnd::Exited => "exited",
            ConnectionEnd::Outgrown => "outgrown",
        }
    }
}

/// How a connection ended. Dropping it logs and counts a connection that was cut: by an
/// error, by a timeout, during a response, or while a request was on its way.
struct ConnectionOutcome {
    activity: Arc<ConnectionActivity>,
    end: ConnectionEnd,
}

impl ConnectionOutcome {
    fn new(activity: Arc<ConnectionActivity>) -> Self {
        ConnectionOutcome {
            activity,
            end: ConnectionEnd::Exited,
        }
    }

    fn is_cut(&self) -> bool {
        match self.end {
            ConnectionEnd::Closed => self.activity.is_busy(),
            ConnectionEnd::ClosedIdle(_) => self.activity.discarded_bytes() > 0,
            ConnectionEnd::Failed(_) | ConnectionEnd::TimedOut => true,
            ConnectionEnd::Exited => !self.activity.is_idle(),
            ConnectionEnd::Outgrown => false,
        }
    }
}

impl Drop for ConnectionOutcome {
    fn drop(&mut self) {
        if !self.is_cut() {
            return;
        }
        let error = match &self.end {
            ConnectionEnd::Failed(error) => Some(error.to_string()),
            _ => None,
        };
        let activity = &self.activity;
        log::info!(
            end = self.end.label(),
            error = error.as_deref(),
            phase = activity.phase_label(),
            phase_ms = activity.phase_age().as_millis(),
            requests = activity.requests(),
            discarded_bytes = activity.discarded_bytes();
            "caller's connection ended"
        );
        counters::count_cut_connection(self.end.label(), activity.phase_label());
    }
}

/// Runs a connection until it ends, times out, or is closed because the process
/// is draining.
async fn drive<C>(
    mut connection: Pin<&mut C>,
    state: &GatewayState,
    activity: &ConnectionActivity,
    mut closing: watch::Receiver<bool>,
) -> ConnectionEnd
where
    C: GracefulConnection + Future<Output = hyper::Result<()>>,
{
    let mut mode = ConnectionMode::Open;
    let mut idle_close = None;
    let mut has_timed_out = false;
    loop {
        activity.extend_timeouts(state.caller_limits());
        let remaining = match activity.time_left(mode) {
            Some(remaining) => {
                has_timed_out = false;
                remaining
            }
            None if !has_timed_out => {
                has_timed_out = true;
                CLOSE_DELAY
            }
            // A connection that is slow to send its head is dropped below.
            None if activity.is_idle() && mode != ConnectionMode::Closing => {
                close_gracefully(connection.as_mut(), activity);
                activity.restart_idle_time();
                idle_close = Some(match mode {
                    ConnectionMode::Leaving => IdleClose::Draining,
                    ConnectionMode::Open | ConnectionMode::Closing => IdleClose::TimedOut,
                });
                mode = ConnectionMode::Closing;
                continue;
            }
            None => return ConnectionEnd::TimedOut,
        };
        tokio::select! {
            // A request that has arrived is read before a timeout closes its connection.
            biased;
            result = connection.as_mut() => {
                return match result {
                    Ok(()) => idle_close.map_or(ConnectionEnd::Closed, ConnectionEnd::ClosedIdle),
                    Err(error) => ConnectionEnd::Failed(error),
                };
            }
            () = wait_until_outgrown(state, activity) => return ConnectionEnd::Outgrown,
            changed = closing.wait_for(|closing| *closing), if mode == ConnectionMode::Open => {
                // Without a sender the process is about to exit.
                mode = match changed.is_ok() && activity.is_busy() {
                    true => {
                        close_gracefully(connection.as_mut(), activity);
                        ConnectionMode::Closing
                    }
                    false => ConnectionMode::Leaving,
                };
            }
            () = tokio::time::sleep(remaining.to_duration()) => {}
        }
    }
}

/// Waits until the limit on heads is higher than the one that a connection reads with, and
/// no request or response is under way. It is polled after the connection, which stops
/// reading for the same reason.
async fn wait_until_outgrown(state: &GatewayState, activity: &ConnectionActivity) {
    poll_fn(|_| {
        let is_outgrown = activity.has_outgrown_head_limit(state.caller_limits());
        match is_outgrown && !activity.is_write_blocked() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    })
    .await;
}

/// Lets a connection end after its current response; it reads no other head.
fn close_gracefully<C: GracefulConnection>(connection: Pin<&mut C>, activity: &ConnectionActivity) {
    activity.keep_head_limit();
    connection.close_gracefully();
}

/// A connection that can be closed after its current response.
trait GracefulConnection {
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

/// Decrements the number of open connections when dropped; [`serve_callers`]
/// increments it.
struct ConnectionGuard(Arc<GatewayState>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
