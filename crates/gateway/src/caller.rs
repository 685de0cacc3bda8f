//! Callers' connections: how long they may stay idle, and how they end.

use crate::connection_watch::{ConnectionWatch, WatchedBody, WatchedStream, BUSY_CHECK};
use crate::dispatch::handle;
use crate::gateway_state::GatewayState;
use crate::platform_api::WireProtocol;
use http_body::Body;
use hyper::rt::{Read, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use skylarkshed_core::{CallerLimits, ClockTime};
use skylarkshed_http_link::set_options;
use std::pin::{pin, Pin};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The most headers of a request; the configuration bounds their bytes.
const MOST_HEADERS: usize = 100;
/// The least buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8 * 1024;
/// The part of the descriptors that callers may hold, in hundredths; each
/// request needs another for its upstream.
const CALLER_DESCRIPTORS_PERCENT: usize = 45;
/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: ClockTime = ClockTime::from_millis(20);

/// Accepts callers' connections until the process ends.
pub(crate) async fn serve_callers<D: WireProtocol>(
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

async fn serve_connection<D: WireProtocol>(
    stream: TcpStream,
    state: Arc<GatewayState>,
    closing: watch::Receiver<bool>,
) {
    let _count = ConnectionCount(state.clone());
    if let Err(error) = set_options(&stream) {
        log::debug!("a caller's connection ended at once: {error}");
        return;
    }
    let watch = ConnectionWatch::start(state.clock);
    let limits = current_limits(&state);
    let io = WatchedStream {
        stream: TokioIo::new(stream),
        watch: watch.clone(),
    };
    let serving = {
        let (state, watch) = (state.clone(), watch.clone());
        service_fn(move |request| {
            let guard = watch.serve();
            let handling = handle::<D>(state.clone(), request);
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
        .max_header_size(limits.max_head_bytes)
        .max_buf_size(limits.max_head_bytes.max(LEAST_BUFFER))
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
            None if watch.is_idle() && !is_closing => {
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
