//! Starts all parts of a gateway process and serves until it is told to end.

use crate::caller::serve_callers;
use crate::gateway_state::GatewayState;
use crate::peers::{keep_roster, GatewayPeers};
use crate::platform_api::{RoutingStore, WireProtocol};
use crate::service_pages::{serve_metrics, serve_readiness};
use crate::settings::GatewaySettings;
use crate::store_watch::{watch_control, watch_upstreams};
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

/// Idle callers are told to leave this long after a termination signal: after
/// the balancer's two checks, so that a caller comes back to another VM.
const IDLE_CLOSE: ClockTime = ClockTime::from_millis(2_200);
/// The time before the kill in which the process ends by itself.
const KILL_MARGIN: ClockTime = ClockTime::from_millis(350);
const CHECK_PERIOD: ClockTime = ClockTime::from_millis(50);

/// Why a gateway could not serve.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The metrics can't be recorded.
    #[error("the metrics can't be recorded: {0}")]
    Metrics(String),
    /// The peers' key can't be used.
    #[error(transparent)]
    Peers(PeerError),
    /// Signals can't be received.
    #[error("signals can't be received: {0}")]
    Signals(std::io::Error),
}

/// Serves with these settings until the process gets a termination signal.
///
/// `reload` reads the settings again; it is called on each hang-up signal.
///
/// # Errors
///
/// Fails if an address can't be listened on.
pub async fn run_gateway<D, S, R>(
    settings: GatewaySettings,
    store: S,
    reload: R,
) -> Result<(), GatewayError>
where
    D: WireProtocol,
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
    let pages = bind(listen.metrics).await?;
    let peers = bind(listen.peers).await?;
    let key = PeerKey::parse(&settings.peer_key).map_err(GatewayError::Peers)?;
    let settings = with_bound_peers(settings, &peers);
    let state = Arc::new(GatewayState::new(settings, key.clone()));
    log::info!(
        vm:% = state.settings.name,
        zone:% = state.settings.zone,
        callers:% = local(&callers, listen.callers),
        readiness:% = local(&readiness, listen.readiness),
        metrics:% = local(&pages, listen.metrics);
        "the process starts"
    );
    let (close, closing) = watch::channel(false);
    let handler = GatewayPeers {
        state: state.clone(),
    };
    tokio::spawn(serve_peers(peers, key, handler, |error| {
        log::debug!("a peer's connection ended: {error}");
    }));
    tokio::spawn(keep_roster(state.clone(), store.clone()));
    tokio::spawn(watch_control(state.clone(), store.clone()));
    tokio::spawn(watch_upstreams(state.clone(), store.clone()));
    tokio::spawn(serve_callers::<D>(callers, state.clone(), closing));
    tokio::spawn(serve_readiness(readiness, D::READINESS_PATH, state.clone()));
    tokio::spawn(serve_metrics(pages, metrics, state.clone()));
    tokio::spawn(reload_on_signal(hang_up, state.clone(), reload));
    wait_for_signal(terminate).await;
    state.start_leaving();
    tokio::join!(leave(&state, &close), withdraw(&state, &store));
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| GatewayError::Listen { address, source })
}

/// Puts the port that the system chose into the settings, for other VMs.
fn with_bound_peers(mut settings: GatewaySettings, peers: &TcpListener) -> GatewaySettings {
    settings.listen.peers = local(peers, settings.listen.peers);
    settings
}

async fn withdraw<S: RoutingStore>(state: &GatewayState, store: &S) {
    if let Err(error) = store.withdraw(&state.settings.name).await {
        log::info!(reason = error.label(); "not withdrawn: {error}");
    }
}

/// Returns the address with the port that the system chose, if it did.
fn local(listener: &TcpListener, wanted: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(wanted)
}

async fn wait_for_signal(mut terminate: Signal) {
    if terminate.recv().await.is_none() {
        log::warn!("no signals are received any more");
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
                log::info!("settings read again: nothing changed");
            }
            Ok(_) => log::warn!("settings read again: changes take effect at the next start"),
            Err(error) => log::error!("settings read again: kept the old ones: {error}"),
        }
    }
}

/// Fails readiness, then closes idle connections, then waits for the last answer.
async fn leave(state: &GatewayState, close: &watch::Sender<bool>) {
    let connections = || state.connections.load(Ordering::Relaxed);
    log::info!(connections = connections(); "the process leaves: readiness fails");
    let grace = state.settings.times.shutdown_grace.since(KILL_MARGIN);
    let passed = || state.leaving_for().unwrap_or(grace);
    while passed() < grace && (connections() > 0 || passed() < IDLE_CLOSE) {
        if passed() >= IDLE_CLOSE {
            close.send_replace(true);
        }
        tokio::time::sleep(CHECK_PERIOD.to_duration()).await;
    }
    log::info!(
        connections = connections(),
        after_ms = passed().as_millis();
        "the process ends"
    );
}
