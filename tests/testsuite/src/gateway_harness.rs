//! A gateway process between stand-ins of its store and its upstreams.

use crate::gateway_config::{usual_config, APP_SERVICE, HOST, KEY, MODEL_SERVICE};
use crate::gateway_process::{
    config_metric, get, keep_output, start_process, wait_metric, POLL_PAUSE, STATE_WAIT,
};
use crate::raw_caller::{RawAnswer, RawCaller};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use skylarkshed_stand_ins::{FakeStore, FakeUpstream};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::BufReader;
use tokio::process::{Child, ChildStdout};

static NUMBERS: AtomicU64 = AtomicU64::new(1);

/// Builds a rig.
#[derive(Debug)]
pub struct HarnessBuilder {
    applications: usize,
    engines: usize,
    grace_s: u64,
    revoke_ms: u64,
    reads_output: bool,
}

impl Default for HarnessBuilder {
    fn default() -> Self {
        HarnessBuilder {
            applications: 2,
            engines: 2,
            grace_s: 8,
            revoke_ms: 5_000,
            reads_output: true,
        }
    }
}

impl HarnessBuilder {
    /// Sets how many applications there are.
    pub fn applications(mut self, count: usize) -> Self {
        self.applications = count;
        self
    }

    /// Sets how many engines there are.
    pub fn engines(mut self, count: usize) -> Self {
        self.engines = count;
        self
    }

    /// Sets how long a revoked key may work.
    pub fn revoke_ms(mut self, time: u64) -> Self {
        self.revoke_ms = time;
        self
    }

    /// Sets the time from a termination signal to the kill.
    pub fn grace_s(mut self, time: u64) -> Self {
        self.grace_s = time;
        self
    }

    /// Leaves the process's output unread after its first line.
    pub fn unread_output(mut self) -> Self {
        self.reads_output = false;
        self
    }

    /// Starts everything and waits until the process is ready.
    pub async fn start(self) -> GatewayHarness {
        let rig = self.start_unready().await;
        rig.wait_ready().await;
        rig
    }

    /// Starts everything, the store without any configuration.
    pub async fn start_empty(self) -> GatewayHarness {
        self.launch(false).await
    }

    async fn start_unready(self) -> GatewayHarness {
        self.launch(true).await
    }

    async fn launch(self, is_configured: bool) -> GatewayHarness {
        let store = FakeStore::start().await;
        let mut applications = Vec::new();
        for number in 0..self.applications {
            applications.push(FakeUpstream::start(&format!("app-{number}")).await);
        }
        let mut engines = Vec::new();
        for number in 0..self.engines {
            engines.push(FakeUpstream::start(&format!("engine-{number}")).await);
        }
        let text = self.settings("vm-1", store.address());
        let (process, settings, addresses, output) = start_process(&text).await;
        let kept_output = match self.reads_output {
            true => {
                tokio::spawn(keep_output(output, settings.with_extension("log")));
                None
            }
            false => Some(output),
        };
        let rig = GatewayHarness {
            store,
            applications,
            engines,
            process,
            log: settings.with_extension("log"),
            settings,
            callers: addresses[0],
            readiness: addresses[1],
            metrics: addresses[2],
            version: AtomicU64::new(1),
            _kept_output: kept_output,
        };
        if is_configured {
            rig.put_config(&rig.config());
            rig.list_upstreams();
        }
        rig
    }

    fn settings(&self, name: &str, store: SocketAddr) -> String {
        let (grace, revoke) = (self.grace_s, self.revoke_ms);
        format!(
            r#"
node_name = "{name}"
role = "gateway"
ip_address = "127.0.0.1"
zone = "zone-0"
region = "region"
internal_port_range = [0, 0]
heartbeat_interval_ms = 1200
unknown_to_us = ["later"]
[listen_addresses]
frontend = "127.0.0.1:0"
ready = "127.0.0.1:0"
[limits]
file_descriptors = 4100
[bounds]
grace_s = {grace}
revoke_ms = {revoke}
retry_budget_ratio = 0.8
retry_budget_slack = 150
retry_window_s = 10
[platform]
address = "{store}"
"#
        )
    }
}

/// Another gateway process at the same store.
#[derive(Debug)]
pub struct OtherVm {
    /// The process.
    pub process: Child,
    /// Where it shows its metrics.
    pub metrics: SocketAddr,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    settings: PathBuf,
}

impl Drop for OtherVm {
    fn drop(&mut self) {
        // The files may be gone already.
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(self.settings.with_extension("log"));
    }
}

/// A running gateway with its surroundings.
#[derive(Debug)]
pub struct GatewayHarness {
    /// The store.
    pub store: FakeStore,
    /// The applications, one a zone.
    pub applications: Vec<FakeUpstream>,
    /// The engines, one a zone.
    pub engines: Vec<FakeUpstream>,
    /// The process.
    pub process: Child,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its log, as far as it is read.
    pub log: PathBuf,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it answers readiness checks.
    pub readiness: SocketAddr,
    /// Where it shows its metrics.
    pub metrics: SocketAddr,
    version: AtomicU64,
    _kept_output: Option<BufReader<ChildStdout>>,
}

impl Drop for GatewayHarness {
    fn drop(&mut self) {
        // The files may be gone already.
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(self.settings.with_extension("log"));
    }
}

impl GatewayHarness {
    /// Starts another VM of the same zone at the same store.
    pub async fn start_other(&self, name: &str) -> OtherVm {
        let text = HarnessBuilder::default().settings(name, self.store.address());
        let (process, settings, addresses, output) = start_process(&text).await;
        tokio::spawn(keep_output(output, settings.with_extension("log")));
        OtherVm {
            process,
            metrics: addresses[2],
            callers: addresses[0],
            settings,
        }
    }

    /// Returns the usual configuration, with the next version.
    pub fn config(&self) -> Value {
        usual_config(self.version.fetch_add(1, Ordering::Relaxed))
    }

    /// Writes a configuration.
    pub fn put_config(&self, config: &Value) {
        self.store.put("op", "config", config);
    }

    /// Writes the entries of all upstreams.
    pub fn list_upstreams(&self) {
        for (number, upstream) in self.applications.iter().enumerate() {
            self.list(upstream, APP_SERVICE, number, "ready");
        }
        for (number, upstream) in self.engines.iter().enumerate() {
            self.list(upstream, MODEL_SERVICE, number, "ready");
        }
    }

    /// Writes an upstream's entry.
    pub fn list(&self, upstream: &FakeUpstream, service: &str, zone: usize, state: &str) {
        self.list_version(upstream, service, zone, state, "v1");
    }

    /// Writes the entry of an upstream with a version.
    pub fn list_version(
        &self,
        upstream: &FakeUpstream,
        service: &str,
        zone: usize,
        state: &str,
        version: &str,
    ) {
        let entry = json!({
            "service": service,
            "address": upstream.address(),
            "zone": format!("zone-{zone}"),
            "version": version,
            "slots": 6,
            "state": state,
            "born": 1_000,
            "sequence": 1,
        });
        self.store.put("servers", &upstream.name(), &entry);
    }

    /// Writes an application's entry as that of a leaving one.
    pub fn list_leaving(&self, number: usize) {
        self.list(&self.applications[number], APP_SERVICE, number, "draining");
    }

    /// Waits until the process is ready.
    pub async fn wait_ready(&self) {
        self.wait_readiness(200).await;
    }

    /// Waits until the readiness check has a status.
    pub async fn wait_readiness(&self, status: u16) {
        let waiting = async {
            while get(self.readiness, "/-/readiness")
                .await
                .map(|answer| answer.status)
                != Some(status)
            {
                tokio::time::sleep(POLL_PAUSE).await;
            }
        };
        tokio::time::timeout(STATE_WAIT, waiting)
            .await
            .expect("the readiness is reached");
    }

    /// Waits until the metrics contain some text.
    pub async fn wait_metric(&self, text: &str) {
        wait_metric(self.metrics, text).await;
    }

    /// Waits until the configuration with a version is in force.
    pub async fn wait_version(&self, version: u64) {
        self.wait_metric(&config_metric(version)).await;
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        let id = self.process.id().expect("it runs");
        let id = i32::try_from(id).expect("process ids are small");
        kill(Pid::from_raw(id), signal).expect("it runs");
    }

    /// Connects as a caller.
    pub async fn connect(&self) -> RawCaller {
        RawCaller::connect(self.callers).await
    }

    /// Sends a request on a new connection and returns its answer.
    pub async fn ask(&self, method: &str, path: &str, body: &str) -> RawAnswer {
        let request = Self::request(method, path, KEY, body);
        self.ask_raw(&request).await.expect("an answer")
    }

    /// Sends bytes on a new connection and returns the answer.
    pub async fn ask_raw(&self, request: &str) -> Option<RawAnswer> {
        let mut caller = self.connect().await;
        caller.send(request.as_bytes()).await;
        caller.answer().await
    }

    /// Writes a request with an identifier of its own.
    pub fn request(method: &str, path: &str, key: &str, body: &str) -> String {
        let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
        let length = body.len();
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: r{number}\r\n\
             X-Deadline-Remaining: 20000\r\nX-Token-Usage: 800,80\r\n\
             Authorization: Token {key}\r\nContent-Length: {length}\r\n\r\n{body}"
        )
    }

    /// Returns the requests that all applications heard.
    pub fn heard_by_applications(&self) -> usize {
        self.applications
            .iter()
            .map(|app| app.received_requests().len())
            .sum()
    }
}
