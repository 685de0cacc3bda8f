//! Starts the processes of a fleet.

use super::handles::{UpstreamHandle, VmHandle};
use super::process::{log_target, FleetError, ProcessHandle};
use serde_json::{json, Value};
use skylarkshed_core::ClockTime;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;

/// The program of the fakes.
const FAKES_PROGRAM: &str = "skylarkshed-stand-ins";
/// The program of the VMs.
const VM_PROGRAM: &str = "skylarkshed";
/// The key that the VMs share.
pub(crate) const PEER_KEY: &str =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// The zones of a fleet and how its processes are started.
#[derive(Clone)]
pub(crate) struct FleetLauncher {
    pub(crate) zones: Vec<String>,
    pub(crate) engine_args: Vec<String>,
    pub(crate) settings: Value,
    pub(crate) proxy_upstreams: bool,
    pub(crate) proxy_platform: bool,
    pub(crate) proxy_peers: bool,
    pub(crate) log_files: bool,
}

impl FleetLauncher {
    /// Starts the platform.
    pub(crate) async fn start_platform(&self) -> Result<ProcessHandle, FleetError> {
        ProcessHandle::start(FAKES_PROGRAM, &args(&["platform"]), 1).await
    }

    /// Starts an application.
    pub(crate) async fn start_application(
        &self,
        name: &str,
        zone: &str,
    ) -> Result<UpstreamHandle, FleetError> {
        self.start_upstream(name, zone, &args(&["application"]))
            .await
    }

    /// Starts an engine that runs a version.
    pub(crate) async fn start_engine(
        &self,
        name: &str,
        zone: &str,
        version: &str,
    ) -> Result<UpstreamHandle, FleetError> {
        let mut engine_args = args(&["engine", "--model-version", version]);
        engine_args.extend(self.engine_args.iter().cloned());
        self.start_upstream(name, zone, &engine_args).await
    }

    async fn start_upstream(
        &self,
        name: &str,
        zone: &str,
        process_args: &[String],
    ) -> Result<UpstreamHandle, FleetError> {
        let process = ProcessHandle::start(FAKES_PROGRAM, process_args, 1).await?;
        let address = process.address("address");
        let proxy = match self.proxy_upstreams {
            true => Some(start_proxy(address, "127.0.0.1:0").await?),
            false => None,
        };
        let (name, zone) = (name.to_owned(), zone.to_owned());
        Ok(UpstreamHandle {
            name,
            zone,
            process,
            address,
            proxy,
        })
    }

    /// Starts the VM with this number. `settings` override those of the fleet; the
    /// settings file is written to `directory`.
    pub(crate) async fn start_vm(
        &self,
        number: usize,
        settings: Value,
        platform: SocketAddr,
        directory: &Path,
    ) -> Result<VmHandle, FleetError> {
        let zone_count = self.zones.len();
        let zone = self.zones[number % zone_count].clone();
        let name = format!("vm-{number}");
        let platform_proxy = match self.proxy_platform {
            true => Some(start_proxy(platform, "127.0.0.1:0").await?),
            false => None,
        };
        let platform_address = platform_proxy
            .as_ref()
            .map_or(platform, |proxy| proxy.address("proxy"));
        // Each VM has its own IP address, so that proxies can tell VMs apart.
        let ip = format!("127.0.{}.{}", 1 + number / 200, 1 + number % 200);
        let (peer_proxy, peer_listen) = match self.proxy_peers {
            true => {
                let listen = free_address(&ip)?;
                (
                    Some(start_proxy(listen, "127.0.0.1:0").await?),
                    listen.to_string(),
                )
            }
            false => (None, format!("{ip}:0")),
        };
        let mut vm_settings = json!({
            "name": name,
            "zone": zone,
            "region": "scot-east",
            "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": peer_listen},
            "platform": {"address": platform_address, "poll": "500ms"},
            "peer_key": PEER_KEY,
            "limits": {"drain_grace": "200ms"},
        });
        if let Some(proxy) = &peer_proxy {
            vm_settings["listen"]["advertise_peers"] = json!(proxy.address("proxy"));
        }
        merge(&mut vm_settings, self.settings.clone());
        merge(&mut vm_settings, settings);
        let path = directory.join(format!(
            "{name}-{}.json",
            ClockTime::wall_clock_now().as_millis()
        ));
        std::fs::write(&path, vm_settings.to_string())
            .map_err(|error| FleetError::Request(error.to_string()))?;
        let path = path.display().to_string();
        let serve_args = args(&["serve", "--settings", &path]);
        let log_file = self.log_files.then(|| PathBuf::from(path + ".log"));
        let log = match &log_file {
            Some(file) => create_log(file)?,
            None => log_target(&serve_args),
        };
        let process = ProcessHandle::start_with_log(VM_PROGRAM, &serve_args, 1, log).await?;
        Ok(VmHandle {
            caller_address: process.address("callers"),
            operator_address: process.address("operators"),
            peer_address: match &peer_proxy {
                Some(proxy) => proxy.address("proxy"),
                None => process.address("peers"),
            },
            ip: ip.parse().map_err(|_| FleetError::Request(ip))?,
            name,
            zone,
            process,
            platform_proxy,
            peer_proxy,
            log_file,
        })
    }
}

async fn start_proxy(target: SocketAddr, listen: &str) -> Result<ProcessHandle, FleetError> {
    let target = target.to_string();
    let proxy_args = args(&["proxy", "--listen", listen, "--target", &target]);
    ProcessHandle::start(FAKES_PROGRAM, &proxy_args, 2).await
}

fn create_log(file: &Path) -> Result<Stdio, FleetError> {
    let log = std::fs::File::create(file);
    log.map(Stdio::from)
        .map_err(|error| FleetError::Request(error.to_string()))
}

/// Returns an address with a port that is free at this moment.
fn free_address(ip: &str) -> Result<SocketAddr, FleetError> {
    let listener = std::net::TcpListener::bind(format!("{ip}:0"));
    let address = listener.and_then(|listener| listener.local_addr());
    address.map_err(|error| FleetError::Request(error.to_string()))
}

fn args(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|&text| text.to_owned()).collect()
}

/// Merges `source` into `target` recursively.
pub(crate) fn merge(target: &mut Value, source: Value) {
    match (target, source) {
        (Value::Object(target), Value::Object(source)) => {
            for (key, value) in source {
                merge(target.entry(key).or_insert(Value::Null), value);
            }
        }
        (target, source) => *target = source,
    }
}
