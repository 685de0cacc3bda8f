//! Starts all tasks of the process and serves until a termination signal.

use crate::caller_api::make_router;
use crate::clients::{Application, Engine, Platform};
use crate::configuration::move_task::run_moves;
use crate::configuration::operators::OperatorService;
use crate::configuration::sync_task::run_sync;
use crate::counters;
use crate::drain::drain;
use crate::load_poll_task::run_load_polling;
use crate::peers::membership_task::{drop_reason, run_membership};
use crate::peers::peer_service::PeerService;
use crate::state::{
    AdmissionController, ClaimWriter, ConfigurationStore, EvidenceRegistry, NodeShared, SentKeys,
    UpstreamRegistry,
};
use arc_swap::ArcSwap;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
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

/// The initial and maximum credit of the retry budget, in retries.
const RETRY_RESERVE: u32 = 100;
/// The size of a process's range of serials, in bits.
const SERIAL_BITS: u32 = 16;

/// Errors that end the process.
#[derive(Debug, Error)]
pub enum NodeError {
    /// Listening on an address failed.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The shared peer key is malformed.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The metrics recorder could not be installed.
    #[error("can't install the metrics recorder: {0}")]
    Metrics(String),
    /// The HTTP server for callers stopped with an error.
    #[error("the HTTP server for callers stopped: {0}")]
    Serve(String),
}

/// The sockets that the process listens on.
struct NodeListeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    gossip_socket: Arc<UdpSocket>,
}

/// How long the samples of histograms are kept one by one.
const SAMPLE_RETENTION: ClockTime = ClockTime::from_millis(5_000);

/// Serves with these settings until the process gets a termination signal.
///
/// Prints one JSON line with the bound addresses once all sockets listen.
///
/// # Errors
///
/// Fails if an address can't be listened on, the peer key is malformed, the
/// metrics recorder can't be installed, or the HTTP server for callers stops.
pub async fn run_node(settings: NodeSettings) -> Result<(), NodeError> {
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| NodeError::Metrics(error.to_string()))?;
    tokio::spawn(merge_samples(metrics.clone()));
    let listeners = NodeListeners::bind(&settings).await?;
    let addresses = listeners.addresses()?;
    let shared = make_shared(settings, addresses.peers)?;
    print_addresses(&addresses);
    tokio::spawn(run_sync(shared.clone()));
    tokio::spawn(run_load_polling(shared.clone()));
    tokio::spawn(run_moves(shared.clone()));
    tokio::spawn(run_membership(
        shared.clone(),
        listeners.gossip_socket.clone(),
    ));
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
    let gossip_socket = listeners.gossip_socket;
    let mut server = volo_http::server::Server::new(router);
    // Above the configured limit, so that a request that exceeds the limit still
    // reaches `admit`, which refuses it with a problem document.
    server
        .http1_config()
        .set_max_headers(shared.settings.limits.headers * 2 + 64);
    let server = server.register_shutdown_hook(move || Box::pin(drain(shared, gossip_socket)));
    let result = server.run(DefaultIncoming::from(listeners.callers)).await;
    result.map_err(|error| NodeError::Serve(error.to_string()))
}

/// Merges the samples of histograms, also while nobody fetches the metrics.
async fn merge_samples(metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(SAMPLE_RETENTION.to_duration()).await;
        metrics.run_upkeep();
    }
}

fn make_shared(
    settings: NodeSettings,
    listen_address: SocketAddr,
) -> Result<Arc<NodeShared>, NodeError> {
    let clock = MonotonicClock::start();
    let incarnation = IncarnationId(ClockTime::wall_clock_now().as_millis());
    let peer_key = PeerKey::parse(&settings.peer_key)?;
    let platform = Platform::new(settings.platform.address, settings.platform.timeout);
    let own_record = MemberRecord {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address: NodeShared::advertised_address(&settings, listen_address),
        incarnation,
        counter: 0,
        state: MemberState::Alive,
        suspected_for: ClockTime::ZERO,
    };
    let membership_settings = MembershipSettings::default();
    let membership = MembershipTable::new(
        own_record,
        settings.seeds.clone(),
        membership_settings,
        incarnation.0,
    );
    let limits = &settings.limits;
    let resume = &settings.resume;
    Ok(Arc::new(NodeShared {
        clock,
        incarnation,
        peers: PeerClient::new(peer_key.clone(), settings.listen.peers.ip()),
        claim_writer: ClaimWriter::start(platform.clone(), settings.calls.claim_window),
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
        claim_serial: AtomicU64::new(random_serial()),
        sent_keys: SentKeys::default(),
        minted_keys: Mutex::new(MintedKeys::new(random_serial(), settings.calls.minted_keys)),
        stopped_moves: ArcSwap::default(),
        evidence: EvidenceRegistry::default(),
        is_ready: AtomicBool::new(false),
        is_draining: AtomicBool::new(false),
        is_refusing: AtomicBool::new(false),
        outdated: Notify::new(),
        settings,
    }))
}

/// Returns the first of a range of serials that no other process is likely to use, also
/// if it has the same incarnation.
fn random_serial() -> u64 {
    u64::from(rand::random::<u32>()) << SERIAL_BITS
}

/// The bound addresses, with the ports that the system chose for port 0.
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
        let address = local_address(&peers, listen.peers)?;
        let gossip_socket = UdpSocket::bind(address).await;
        let gossip_socket =
            gossip_socket.map_err(|source| NodeError::Listen { address, source })?;
        Ok(NodeListeners {
            callers,
            operators,
            peers,
            gossip_socket: Arc::new(gossip_socket),
        })
    }

    fn addresses(&self) -> Result<NodeAddresses, NodeError> {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        Ok(NodeAddresses {
            callers: local_address(&self.callers, unspecified)?,
            operators: local_address(&self.operators, unspecified)?,
            peers: local_address(&self.peers, unspecified)?,
        })
    }
}

async fn bind_stream(address: SocketAddr) -> Result<TcpListener, NodeError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| NodeError::Listen { address, source })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, NodeError> {
    listener
        .local_addr()
        .map_err(|source| NodeError::Listen { address, source })
}

fn print_addresses(addresses: &NodeAddresses) {
    let line = serde_json::json!({
        "callers": addresses.callers,
        "operators": addresses.operators,
        "peers": addresses.peers,
    });
    let mut out = std::io::stdout().lock();
    // The parent process may have closed its end of stdout.
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}
