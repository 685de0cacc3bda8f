//! Starts all parts of a process and serves until it is told to end.

use crate::admission::AdmissionController;
use crate::claim_writer::ClaimWriter;
use crate::clients::{Application, Engine, Platform};
use crate::configuration::ConfigurationStore;
use crate::counters;
use crate::drain::drain;
use crate::evidence_registry::EvidenceRegistry;
use crate::front::make_router;
use crate::load_poll_task::run_watch;
use crate::membership_task::{drop_reason, run_membership};
use crate::move_task::run_moves;
use crate::operators::OperatorService;
use crate::peer_service::PeerService;
use crate::registry::UpstreamRegistry;
use crate::sent_keys::SentKeys;
use crate::shared::NodeShared;
use crate::sync_task::run_sync;
use arc_swap::ArcSwap;
use metrics_exporter_prometheus::PrometheusBuilder;
use skylarkshed_core::{ClockTime, IncarnationId, MonotonicClock, NodeSettings};
use skylarkshed_operator::schema::OperatorServer;
use skylarkshed_peer::{serve_peers, PeerClient, PeerError, PeerKey};
use skylarkshed_policy::{
    MemberRecord, MemberState, MembershipSettings, MembershipTable, MintedKeys, WorkBudget,
};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use volo::net::incoming::DefaultIncoming;
use volo_grpc::server::ServiceBuilder;

const RETRY_RESERVE: u32 = 100;

/// Why a process could not serve.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The peers' key can't be used.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The metrics can't be recorded.
    #[error("the metrics can't be recorded: {0}")]
    Metrics(String),
    /// The callers' service ended with an error.
    #[error("the callers' service ended: {0}")]
    Serve(String),
}

/// The addresses that a process listens on.
struct NodeListeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    datagrams: Arc<UdpSocket>,
}

/// Serves with these settings until the process gets a termination signal.
///
/// Prints one JSON line with its addresses when it listens.
///
/// # Errors
///
/// Fails if an address can't be listened on or the peers' key is malformed.
pub async fn run_node(settings: NodeSettings) -> Result<(), NodeError> {
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| NodeError::Metrics(error.to_string()))?;
    let listeners = NodeListeners::bind(&settings).await?;
    let addresses = listeners.addresses()?;
    let shared = make_shared(settings, addresses.peers)?;
    announce(&addresses);
    tokio::spawn(run_sync(shared.clone()));
    tokio::spawn(run_watch(shared.clone()));
    tokio::spawn(run_moves(shared.clone()));
    tokio::spawn(run_membership(shared.clone(), listeners.datagrams.clone()));
    let peer_service = PeerService {
        shared: shared.clone(),
    };
    let key = shared.peer_key.clone();
    tokio::spawn(serve_peers(listeners.peers, key, peer_service, |error| {
        counters::count_peer_drop(drop_reason(error));
    }));
    let operators = OperatorServer::new(OperatorService {
        shared: shared.clone(),
    });
    let operators = volo_grpc::server::Server::new()
        .add_service(ServiceBuilder::new(operators).build())
        .run_with_shutdown(
            DefaultIncoming::from(listeners.operators),
            std::future::pending(),
        );
    tokio::spawn(operators);
    let router = make_router(&shared, metrics);
    let datagrams = listeners.datagrams;
    let mut server = volo_http::server::Server::new(router);
    // The limit of our own answers with a problem document before this one is reached.
    server
        .http1_config()
        .set_max_headers(shared.settings.limits.headers * 2 + 64);
    let server = server.register_shutdown_hook(move || Box::pin(drain(shared, datagrams)));
    let served = server.run(DefaultIncoming::from(listeners.callers)).await;
    served.map_err(|error| NodeError::Serve(error.to_string()))
}

fn make_shared(
    settings: NodeSettings,
    listening: SocketAddr,
) -> Result<Arc<NodeShared>, NodeError> {
    let clock = MonotonicClock::start();
    let incarnation = IncarnationId(ClockTime::wall_clock_now().as_millis());
    let peer_key = PeerKey::parse(&settings.peer_key)?;
    let platform = Platform::new(settings.platform.address, settings.platform.timeout);
    let own = MemberRecord {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address: NodeShared::advertised(&settings, listening),
        incarnation,
        counter: 0,
        state: MemberState::Alive,
        suspected_for: ClockTime::ZERO,
    };
    let times = MembershipSettings::default();
    let membership = MembershipTable::new(own, settings.seeds.clone(), times, incarnation.0);
    let limits = &settings.limits;
    let resume = &settings.resume;
    Ok(Arc::new(NodeShared {
        clock,
        incarnation,
        peers: PeerClient::new(peer_key.clone(), settings.listen.peers.ip()),
        claims: ClaimWriter::start(platform.clone(), settings.calls.claim_window),
        peer_key,
        platform,
        engine: Engine::default(),
        application: Application::default(),
        configuration: ConfigurationStore::new(),
        registry: UpstreamRegistry::new(clock),
        membership: Mutex::new(membership),
        admission: AdmissionController::new(limits.in_progress, clock, limits.queue_time),
        race_budget: WorkBudget::new(resume.race_percent, resume.race_reserve),
        retry_budget: WorkBudget::new(settings.calls.retry_percent, RETRY_RESERVE),
        claim_serial: AtomicU64::new(1),
        sent_keys: SentKeys::default(),
        minted: Mutex::new(MintedKeys::new(settings.calls.minted_keys)),
        stopped: ArcSwap::default(),
        evidence: EvidenceRegistry::default(),
        ready: AtomicBool::new(false),
        draining: AtomicBool::new(false),
        refusing: AtomicBool::new(false),
        behind: Notify::new(),
        settings,
    }))
}

/// The addresses as they are after free ports were taken.
struct NodeAddresses {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

impl NodeListeners {
    async fn bind(settings: &NodeSettings) -> Result<Self, NodeError> {
        let listen = &settings.listen;
        let callers = bind_stream(listen.callers).await?;
        let operators = bind_stream(listen.operators).await?;
        let peers = bind_stream(listen.peers).await?;
        let address = local(&peers, listen.peers)?;
        let datagrams = UdpSocket::bind(address).await;
        let datagrams = datagrams.map_err(|source| NodeError::Listen { address, source })?;
        Ok(NodeListeners {
            callers,
            operators,
            peers,
            datagrams: Arc::new(datagrams),
        })
    }

    fn addresses(&self) -> Result<NodeAddresses, NodeError> {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        Ok(NodeAddresses {
            callers: local(&self.callers, unspecified)?,
            operators: local(&self.operators, unspecified)?,
            peers: local(&self.peers, unspecified)?,
        })
    }
}

async fn bind_stream(address: SocketAddr) -> Result<TcpListener, NodeError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| NodeError::Listen { address, source })
}

fn local(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, NodeError> {
    listener
        .local_addr()
        .map_err(|source| NodeError::Listen { address, source })
}

fn announce(addresses: &NodeAddresses) {
    let line = serde_json::json!({
        "callers": addresses.callers,
        "operators": addresses.operators,
        "peers": addresses.peers,
    });
    let mut out = std::io::stdout().lock();
    // Whoever started the process may not read its output.
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}
