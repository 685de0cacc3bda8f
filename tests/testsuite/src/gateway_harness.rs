//! A gateway process with fakes of its store and its upstreams.

use crate::gateway_process::{
    config_metric, copy_output, get, peak_memory_kib, processor_ticks, resident_memory_kib,
    start_process, wait_for_metric, POLL_INTERVAL, STATE_TIMEOUT,
};
use crate::harness_builder::HarnessBuilder;
use crate::raw_client::{RawClient, RawResponse};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use skylarkshed_stand_ins::{
    default_config, upstream_row, FakeStore, FakeUpstream, APP_SERVICE, DEPOT_KEY, HOST,
    MODEL_SERVICE,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::BufReader;
use tokio::process::{Child, ChildStdout};

static NEXT_REQUEST_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Another gateway process that uses the same store.
#[derive(Debug)]
pub struct OtherVm {
    /// The process.
    pub process: Child,
    /// The address of its metrics.
    pub metrics_address: SocketAddr,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The file that its output is copied to.
    pub log_path: PathBuf,
    settings_path: PathBuf,
}

impl Drop for OtherVm {
    fn drop(&mut self) {
        // The files may have been removed already.
        let _ = std::fs::remove_file(&self.settings_path);
        let _ = std::fs::remove_file(&self.log_path);
    }
}

/// A running gateway process with its fake store and fake upstreams.
#[derive(Debug)]
pub struct GatewayHarness {
    /// The store.
    pub store: FakeStore,
    /// The applications, each in a zone of its own.
    pub applications: Vec<FakeUpstream>,
    /// The engines, each in a zone of its own.
    pub engines: Vec<FakeUpstream>,
    /// The process.
    pub process: Child,
    /// Its settings file.
    pub settings_path: PathBuf,
    /// The file that its output is copied to.
    pub log_path: PathBuf,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address of its readiness check.
    pub readiness_address: SocketAddr,
    /// The address of its metrics.
    pub metrics_address: SocketAddr,
    /// The address for VMs that know no other address.
    pub seed_address: SocketAddr,
    pub(crate) version: AtomicU64,
    pub(crate) _unread_output: Option<BufReader<ChildStdout>>,
}

impl Drop for GatewayHarness {
    fn drop(&mut self) {
        // The files may have been removed already.
        let _ = std::fs::remove_file(&self.settings_path);
        let _ = std::fs::remove_file(self.settings_path.with_extension("log"));
    }
}

impl GatewayHarness {
    /// Starts another VM in the same zone with the same store.
    pub async fn start_other(&self, name: &str) -> OtherVm {
        self.start_other_with_seeds(name, &[]).await
    }

    /// Starts another VM that knows the seed addresses of some VMs.
    pub async fn start_other_with_seeds(&self, name: &str, seeds: &[SocketAddr]) -> OtherVm {
        let builder = HarnessBuilder::default();
        self.start_other_like(&builder, name, seeds).await
    }

    /// Starts another VM with the settings of a builder.
    pub async fn start_other_like(
        &self,
        builder: &HarnessBuilder,
        name: &str,
        seeds: &[SocketAddr],
    ) -> OtherVm {
        let settings = builder.render_settings(name, self.store.address(), seeds);
        let (process, settings_path, addresses, output) = start_process(&settings, None).await;
        tokio::spawn(copy_output(output, settings_path.with_extension("log")));
        OtherVm {
            process,
            metrics_address: addresses[2],
            caller_address: addresses[0],
            log_path: settings_path.with_extension("log"),
            settings_path,
        }
    }

    /// Returns the default configuration with the next version number.
    pub fn next_config(&self) -> Value {
        default_config(self.version.fetch_add(1, Ordering::Relaxed))
    }

    /// Writes a configuration to the store.
    pub fn put_config(&self, config: &Value) {
        self.store.put("op", "config", config);
    }

    /// Writes the entries of all upstreams to the store.
    pub fn register_upstreams(&self) {
        for (number, upstream) in self.applications.iter().enumerate() {
            self.register(upstream, APP_SERVICE, number, "ready");
        }
        for (number, upstream) in self.engines.iter().enumerate() {
            self.register(upstream, MODEL_SERVICE, number, "ready");
        }
    }

    /// Writes the entry of an upstream with version `v1` to the store.
    pub fn register(&self, upstream: &FakeUpstream, service: &str, zone: usize, state: &str) {
        self.register_version(upstream, service, zone, state, "v1");
    }

    /// Writes the entry of an upstream with this version to the store.
    pub fn register_version(
        &self,
        upstream: &FakeUpstream,
        service: &str,
        zone: usize,
        state: &str,
        version: &str,
    ) {
        let zone = format!("zone-{zone}");
        let entry = upstream_row(service, upstream.address(), &zone, version, state);
        self.store.put("servers", &upstream.name(), &entry);
    }

    /// Writes the entry of a later start of an application to the store.
    pub fn register_restarted(&self, number: usize) {
        let upstream = &self.applications[number];
        let mut entry = self
            .store
            .row("servers", &upstream.name())
            .expect("it is registered");
        let started = entry["born"].as_u64().expect("the entry has a start");
        entry["born"] = json!(started + 1);
        self.store.put("servers", &upstream.name(), &entry);
    }

    /// Writes an application's entry to the store, with the state `draining`.
    pub fn register_leaving(&self, number: usize) {
        self.register(&self.applications[number], APP_SERVICE, number, "draining");
    }

    /// Waits until the process is ready.
    pub async fn wait_for_ready(&self) {
        self.wait_for_readiness(200).await;
    }

    /// Waits until the readiness check responds with this status.
    pub async fn wait_for_readiness(&self, status: u16) {
        let waiting = async {
            while get(self.readiness_address, "/-/readiness")
                .await
                .map(|response| response.status)
                != Some(status)
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(STATE_TIMEOUT, waiting)
            .await
            .expect("the readiness check responds with the status in time");
    }

    /// Waits until the metrics contain a text.
    pub async fn wait_for_metric(&self, text: &str) {
        wait_for_metric(self.metrics_address, text).await;
    }

    /// Waits until the configuration with this version is active.
    pub async fn wait_for_config_version(&self, version: u64) {
        self.wait_for_metric(&config_metric(version)).await;
    }

    /// Returns the processor time that the process has used, in clock ticks.
    pub fn processor_ticks(&self) -> u64 {
        processor_ticks(self.process.id().expect("the process runs"))
    }

    /// Returns the peak of the process's resident memory.
    pub fn peak_memory_kib(&self) -> u64 {
        peak_memory_kib(self.process.id().expect("the process runs"))
    }

    /// Returns the process's resident memory.
    pub fn resident_memory_kib(&self) -> u64 {
        resident_memory_kib(self.process.id().expect("the process runs"))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = self.process.id().expect("the process runs");
        let id = i32::try_from(id).expect("process ids fit in 32 bits");
        kill(Pid::from_raw(id), signal).expect("the process runs");
    }

    /// Connects as a caller; returns `None` if the connection is refused.
    pub async fn connect_if_listening(&self) -> Option<RawClient> {
        RawClient::try_connect(self.caller_address).await
    }

    /// Connects as a caller.
    pub async fn connect(&self) -> RawClient {
        RawClient::connect(self.caller_address).await
    }

    /// Sends a request of the customer `depot` on a new connection and returns the response.
    pub async fn send_request(&self, method: &str, path: &str, body: &str) -> RawResponse {
        let request = Self::build_request(method, path, DEPOT_KEY, body);
        self.send_raw(&request).await.expect("the gateway responds")
    }

    /// Sends raw bytes on a new connection and returns the response, or none if the
    /// connection is closed first.
    pub async fn send_raw(&self, request: &str) -> Option<RawResponse> {
        let mut client = self.connect().await;
        client.send(request.as_bytes()).await;
        client.read_response().await
    }

    /// Returns the text of a request with a unique identifier.
    pub fn build_request(method: &str, path: &str, key: &str, body: &str) -> String {
        let number = NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed);
        Self::build_request_with_id(&format!("r{number}"), method, path, key, body)
    }

    /// Returns the text of a request with this identifier.
    pub(crate) fn build_request_with_id(
        id: &str,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> String {
        let length = body.len();
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Remaining: 20000\r\nX-Token-Usage: 800,80\r\n\
             Authorization: Token {key}\r\nContent-Length: {length}\r\n\r\n{body}"
        )
    }

    /// Returns the number of requests that all applications received.
    pub fn application_request_count(&self) -> usize {
        self.applications
            .iter()
            .map(|app| app.received_requests().len())
            .sum()
    }
}
