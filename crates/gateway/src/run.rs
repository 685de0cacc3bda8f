//! Starts the tasks of a gateway process and serves until it is told to stop.

use crate::caller::{serve_callers, CLOSE_DELAY};
use crate::gateway_state::GatewayState;
use crate::peers::{announce_vm, FeedHandler};
use crate::platform_api::{RoutingStore, WireProtocol};
use crate::quarantine::keep_blocks;
use crate::settings::GatewaySettings;
use crate::status_endpoints::{merge_samples, serve_metrics, serve_readiness};
use crate::store_watch::{watch_control, watch_upstreams, watch_vms};
use metrics_exporter_prometheus::PrometheusBuilder;
use skylarkshed_core::ClockTime;
use skylarkshed_peer::{serve_peers, PeerError, PeerKey};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Idle connections are closed this long after a termination signal. By then the
/// load balancer has made two checks, so that callers reconnect to another VM.
const IDLE_CLOSE_DELAY: ClockTime = ClockTime::from_millis(2_200);
/// How long before the kill the process exits by itself.
pub(crate) const KILL_MARGIN: ClockTime = ClockTime::from_millis(350);
/// The time in which a draining process sends its last responses.
pub(crate) const FINAL_RESPONSE_TIME: ClockTime = ClockTime::from_millis(100);
const CHECK_INTERVAL: ClockTime = ClockTime::from_millis(50);
/// The time in which the listener is closed even if the grace time is over, as it is
/// after the process was suspended: twice the delay of the close.
const MIN_CLOSE_TIME: ClockTime = ClockTime::from_millis(2 * CLOSE_DELAY.as_millis());

/// An error that keeps a gateway from serving.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address can't be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The metrics recorder can't be installed.
    #[error("can't install the metrics recorder: {0}")]
    Metrics(String),
    /// The peer key is invalid.
    #[error(transparent)]
    Peers(PeerError),
    /// A signal handler can't be installed.
    #[error("can't install a signal handler: {0}")]
    Signals(std::io::Error),
}

/// Serves until the process receives a termination signal.
///
/// `reload` reads the settings again; it is called on each hang-up signal (SIGHUP).
///
/// # Errors
///
/// Fails if an address can't be bound, the peer key is invalid, or the metrics
/// recorder or a signal handler can't be installed.
pub async fn run_gateway<P, S, R>(
    settings: GatewaySettings,
    store: S,
    reload: R,
) -> Result<(), GatewayError>
where
    P: WireProtocol,
    S: RoutingStore,
    R: Fn() -> Result<GatewaySettings, String> + Send + 'static,
{
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| GatewayError::Metrics(error.to_string()))?;
    let terminate = signal(SignalKind::terminate()).map_err(GatewayError::Signals)?;
    let hang_up = signal(SignalKind::hangup()).map_err(GatewayError::Signals)?;
    let listen = settings.listen;
    let callers = bind(listen.callers).await?;
    let readiness = bind(listen.readiness).await?;
    let metrics_listener = bind(listen.metrics).await?;
    let peers = bind(listen.peers).await?;
    let seed = match listen.seed {
        Some(address) => Some(bind(address).await?),
        None => None,
    };
    let key = PeerKey::parse(&settings.peer_key).map_err(GatewayError::Peers)?;
    let settings = with_bound_peer_ports(settings, &peers, seed.as_ref());
    let state = Arc::new(GatewayState::new(settings, key.clone()));
    log::info!(
        vm:% = state.settings.name,
        zone:% = state.settings.zone,
        callers:% = bound_address(&callers, listen.callers),
        readiness:% = bound_address(&readiness, listen.readiness),
        metrics:% = bound_address(&metrics_listener, listen.metrics),
        seed = state.settings.listen.seed.map(|seed| seed.to_string());
        "the process starts"
    );
    let (close, closing) = watch::channel(false);
    let handler = FeedHandler::<P>::new(state.clone());
    for listener in std::iter::once(peers).chain(seed) {
        let serving = serve_peers(listener, key.clone(), handler.clone(), |error| {
            log::debug!("peer connection ended: {error}");
        });
        tokio::spawn(serving);
    }
    tokio::spawn(announce_vm(state.clone(), store.clone()));
    tokio::spawn(state.clone().keep_budgets_divided());
    tokio::spawn(keep_blocks(state.clone(), store.clone()));
    tokio::spawn(watch_vms(state.clone(), store.clone()));
    tokio::spawn(watch_control(state.clone(), store.clone()));
    tokio::spawn(watch_upstreams(state.clone(), store.clone()));
    let (stop, stopping) = watch::channel(false);
    let accepting = serve_callers::<P>(callers, state.clone(), closing, stopping);
    let callers = CallerTask {
        stop,
        task: tokio::spawn(accepting),
    };
    tokio::spawn(serve_readiness(readiness, P::READINESS_PATH, state.clone()));
    tokio::spawn(merge_samples(metrics.clone()));
    tokio::spawn(serve_metrics(metrics_listener, metrics, state.clone()));
    tokio::spawn(reload_on_signal(hang_up, state.clone(), reload));
    wait_for_signal(terminate).await;
    state.start_leaving();
    tokio::spawn(end_requests(state.clone()));
    tokio::join!(drain(&state, &close, callers), withdraw(&state, &store));
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| GatewayError::Listen { address, source })
}

/// Replaces the ports for other VMs in the settings by the bound ones.
fn with_bound_peer_ports(
    mut settings: GatewaySettings,
    peers: &TcpListener,
    seed: Option<&TcpListener>,
) -> GatewaySettings {
    let listen = &mut settings.listen;
    listen.peers = bound_address(peers, listen.peers);
    listen.seed = seed
        .zip(listen.seed)
        .map(|(bound, wanted)| bound_address(bound, wanted));
    settings
}

/// Lets the requests that have no response yet be answered before the process ends.
async fn end_requests(state: Arc<GatewayState>) {
    let wait = state.settings.times.longest_response();
    tokio::time::sleep(wait.to_duration()).await;
    state.start_ending();
}

async fn withdraw<S: RoutingStore>(state: &GatewayState, store: &S) {
    if let Err(error) = store.withdraw(&state.settings.name).await {
        log::info!(reason = error.label(); "can't remove this VM's entry: {error}");
    }
}

/// Returns the bound address, which has the actual port if `wanted` has port 0.
fn bound_address(listener: &TcpListener, wanted: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(wanted)
}

async fn wait_for_signal(mut terminate: Signal) {
    if terminate.recv().await.is_none() {
        log::warn!("the signal stream ended, no termination signal can be received");
        std::future::pending::<()>().await;
    }
}

async fn reload_on_signal<R>(mut hang_up: Signal, state: Arc<GatewayState>, reload: R)
where
    R: Fn() -> Result<GatewaySettings, String> + Send + 'static,
{
    while hang_up.recv().await.is_some() {
        match reload() {
            Ok(settings) if settings == state.settings => {
                log::info!("settings reloaded: nothing changed");
            }
            Ok(_) => log::warn!("settings reloaded: changes take effect at the next start"),
            Err(error) => log::error!("settings not reloaded, the old ones stay: {error}"),
        }
    }
}

/// Fails the readiness check, then closes idle connections and waits for the requests in
/// progress. The listener is closed before the connections are counted for the last time,
/// so that none is accepted unseen.
async fn drain(state: &GatewayState, close: &watch::Sender<bool>, callers: CallerTask) {
    let connections = || state.connections.load(Ordering::Relaxed);
    log::info!(connections = connections(); "the process shuts down: the readiness check fails from now on");
    let grace = state.settings.times.grace.since(KILL_MARGIN);
    let elapsed = || state.leaving_for().unwrap_or(grace);
    while elapsed() < grace && (connections() > 0 || elapsed() < IDLE_CLOSE_DELAY) {
        if elapsed() >= IDLE_CLOSE_DELAY {
            close.send_replace(true);
        }
        tokio::time::sleep(CHECK_INTERVAL.to_duration()).await;
    }
    close.send_replace(true);
    callers
        .stop(grace.since(elapsed()).max(MIN_CLOSE_TIME))
        .await;
    while elapsed() < grace && connections() > 0 {
        tokio::time::sleep(CHECK_INTERVAL.to_duration()).await;
    }
    log::info!(
        connections = connections(),
        after_ms = elapsed().as_millis();
        "the process ends"
    );
}

/// The task that accepts callers' connections.
struct CallerTask {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl CallerTask {
    /// Closes the listener, at most within a time; connections stay open.
    async fn stop(self, limit: ClockTime) {
        self.stop.send_replace(true);
        if tokio::time::timeout(limit.to_duration(), self.task)
            .await
            .is_err()
        {
            log::info!("the listener for callers was not closed in time");
        }
    }
}
