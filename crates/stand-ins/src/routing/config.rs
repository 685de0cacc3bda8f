//! The routing configuration and the settings files of gateways in tests.

use serde_json::{json, Value};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The API key of the customer `depot`.
pub const DEPOT_KEY: &str = "depot-key";
/// The API key of the customer `vendor`.
pub const VENDOR_KEY: &str = "vendor-key";

/// The host of all routes.
pub const HOST: &str = "stock.example";
/// The service of the applications.
pub const APP_SERVICE: &str = "stores";
/// The service of the engines.
pub const MODEL_SERVICE: &str = "ledger";

/// Returns the default configuration, with this version number.
pub fn default_config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("book", "/book/", "unsafe", APP_SERVICE, 1, 1_000),
            route("find", "/find/", "safe", APP_SERVICE, 2, 1_000),
            route("longer", "/find/special/", "unsafe", APP_SERVICE, 1, 1_000),
            route("write", "/write/", "streaming", MODEL_SERVICE, 5, 20_000),
        ],
        "services": [
            {"name": APP_SERVICE, "health_path": "/h", "max_connections": 100},
            {"name": MODEL_SERVICE, "health_path": "/h", "max_connections": 100,
             "engine": {"slots": 16, "cache_capacity": 88_000, "backups": true,
                        "moves": true, "handle_s": 4.0}},
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 65_536,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 1_500,
        },
        "tenants": [
            {"name": "depot", "api_keys": [DEPOT_KEY]},
            {"name": "vendor", "api_keys": [VENDOR_KEY]},
        ],
    })
}

/// Returns a route of [`HOST`].
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    attempts: u32,
    timeout_ms: u64,
) -> Value {
    let is_stream = kind == "streaming";
    json!({
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": if is_stream { 4_500 } else { 300 },
        "priority": 1,
        "service": service,
        "attempts": attempts,
        "public_access": false,
        "session_affinity": is_stream,
        "stream_resumption": is_stream,
        "target_gap_ms": 700,
    })
}

/// The settings file of a gateway. By default all ports are free ones.
#[derive(Clone, Debug)]
pub struct GatewayFile {
    /// The VM's name.
    pub name: String,
    /// The VM's availability zone.
    pub zone: String,
    /// The VM's address.
    pub address: IpAddr,
    /// The ports for callers, readiness checks and VMs that start.
    pub ports: [u16; 3],
    /// The range of the ports for the metrics and for other VMs.
    pub internal_ports: [u16; 2],
    /// The addresses of other VMs, for a VM that starts.
    pub seeds: Vec<SocketAddr>,
    /// The address of the store.
    pub store: SocketAddr,
    /// The time from a termination signal to the kill, in seconds.
    pub grace_s: u64,
    /// The maximum time that a revoked key still works, in milliseconds.
    pub revoke_ms: u64,
    /// The retry budget's ratio and slack.
    pub retry_budget: (f64, u64),
    /// The share of requests that a bad version may get, and the number besides.
    pub exposure: (f64, usize),
    /// The maximum time until a bad version gets no more requests, in milliseconds.
    pub rollback_ms: u128,
}

impl GatewayFile {
    /// Returns the file of a VM at 127.0.0.1 with free ports.
    pub fn new(name: &str, store: SocketAddr) -> Self {
        GatewayFile {
            name: name.to_owned(),
            zone: "zone-0".to_owned(),
            address: Ipv4Addr::LOCALHOST.into(),
            ports: [0; 3],
            internal_ports: [0; 2],
            seeds: Vec::new(),
            store,
            grace_s: 8,
            revoke_ms: 5_000,
            retry_budget: (0.8, 150),
            exposure: (0.1, 50),
            rollback_ms: 5_000,
        }
    }

    /// Returns the text. It contains an unknown key, which the process has to accept.
    pub fn render(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let [callers, readiness, control] = self
            .ports
            .map(|port| SocketAddr::new(self.address, port).to_string());
        let GatewayFile {
            name,
            zone,
            address,
            internal_ports,
            store,
            grace_s,
            revoke_ms,
            retry_budget: (ratio, slack),
            exposure: (exposure_share, exposure_slack),
            rollback_ms,
            ..
        } = self;
        format!(
            r#"
node_name = "{name}"
role = "gateway"
ip_address = "{address}"
zone = "{zone}"
region = "region"
internal_port_range = {internal_ports:?}
heartbeat_interval_ms = 1200
unknown_to_us = ["later"]
seed_nodes = {seeds:?}
[listen_addresses]
frontend = "{callers}"
ready = "{readiness}"
control = "{control}"
[limits]
file_descriptors = 4100
memory_mb = 88
[bounds]
grace_s = {grace_s}
revoke_ms = {revoke_ms}
retry_budget_ratio = {ratio:?}
retry_budget_slack = {slack}
retry_window_s = 10
exposure_share = {exposure_share:?}
exposure_slack = {exposure_slack}
rollback_ms = {rollback_ms}
[platform]
address = "{store}"
"#
        )
    }
}

/// When upstreams started, in Unix milliseconds, unless a test says otherwise.
pub(super) const UPSTREAM_START_MS: u64 = 1_000;

/// Returns the entry that an upstream writes to the store.
pub fn upstream_row(
    service: &str,
    address: SocketAddr,
    zone: &str,
    version: &str,
    state: &str,
) -> Value {
    json!({
        "service": service,
        "address": address,
        "zone": zone,
        "version": version,
        "slots": 6,
        "state": state,
        "cold_remaining_ms": 0,
        "born": UPSTREAM_START_MS,
        "sequence": 1,
    })
}
