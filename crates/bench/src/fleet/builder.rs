//! Configures and starts a fleet.

use super::process::{FleetError, ProcessHandle};
use super::running::{Fleet, UpstreamHandle, VmHandle};
use serde_json::{json, Value};
use skylarkshed_core::ClockTime;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use volo_http::client::Client;

/// The program of the fakes.
const FAKES_PROGRAM: &str = "skylarkshed-stand-ins";
/// The program of the VMs.
const VM_PROGRAM: &str = "skylarkshed";
const PEER_KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// Counts the fleets of this process, so that each has its own directory.
static FLEET_COUNT: AtomicU32 = AtomicU32::new(0);

/// The composition and settings of a fleet.
///
/// # Examples
///
/// ```no_run
/// use skylarkshed_bench::FleetBuilder;
///
/// # async fn example() -> Result<(), skylarkshed_bench::FleetError> {
/// let fleet = FleetBuilder::new().engines_per_zone(2).start().await?;
/// fleet.configure().await?;
/// # Ok(())
/// # }
/// ```
#[derive(Clone)]
pub struct FleetBuilder {
    zones: Vec<String>,
    vms_per_zone: usize,
    engines_per_zone: usize,
    applications_per_zone: usize,
    engine_args: Vec<String>,
    settings: Value,
    proxy_upstreams: bool,
    proxy_platform: bool,
    proxy_peers: bool,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        FleetBuilder::new()
    }
}

impl FleetBuilder {
    /// Returns a builder with three zones of one VM, one engine and one application each.
    pub fn new() -> Self {
        FleetBuilder {
            zones: ["scot-east-a", "scot-east-b", "scot-east-c"]
                .map(str::to_owned)
                .to_vec(),
            vms_per_zone: 1,
            engines_per_zone: 1,
            applications_per_zone: 1,
            engine_args: Vec::new(),
            settings: json!({}),
            proxy_upstreams: false,
            proxy_platform: false,
            proxy_peers: false,
        }
    }

    /// Sets the number of zones.
    pub fn zones(mut self, count: usize) -> Self {
        self.zones = (0..count).map(|index| format!("zone-{index}")).collect();
        self
    }

    /// Sets the number of VMs in each zone.
    pub fn vms_per_zone(mut self, count: usize) -> Self {
        self.vms_per_zone = count;
        self
    }

    /// Sets the number of engines in each zone.
    pub fn engines_per_zone(mut self, count: usize) -> Self {
        self.engines_per_zone = count;
        self
    }

    /// Sets the number of applications in each zone.
    pub fn applications_per_zone(mut self, count: usize) -> Self {
        self.applications_per_zone = count;
        self
    }

    /// Adds command line arguments for all engines.
    pub fn engine_args(mut self, args: &[&str]) -> Self {
        self.engine_args
            .extend(args.iter().map(|&arg| arg.to_owned()));
        self
    }

    /// Adds settings for all VMs, as an object that is merged into each settings file.
    pub fn settings(mut self, settings: Value) -> Self {
        merge(&mut self.settings, settings);
        self
    }

    /// Puts a proxy in front of each engine and application.
    pub fn proxy_upstreams(mut self) -> Self {
        self.proxy_upstreams = true;
        self
    }

    /// Puts a proxy between each VM and the platform.
    pub fn proxy_platform(mut self) -> Self {
        self.proxy_platform = true;
        self
    }

    /// Puts a proxy in front of each VM's address for peers.
    pub fn proxy_peers(mut self) -> Self {
        self.proxy_peers = true;
        self
    }

    /// Starts all processes and waits until every VM is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or a VM does not become ready.
    pub async fn start(self) -> Result<Fleet, FleetError> {
        let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let platform = ProcessHandle::start(FAKES_PROGRAM, &args(&["platform"]), 1).await?;
        let mut fleet = Fleet {
            client: Client::default(),
            platform,
            vms: Vec::new(),
            engines: Vec::new(),
            applications: Vec::new(),
            directory: std::env::temp_dir()
                .join(format!("skylarkshed-{}-{number}", std::process::id())),
            builder: self.clone(),
        };
        std::fs::create_dir_all(&fleet.directory)
            .map_err(|error| FleetError::Request(error.to_string()))?;
        for (zone_index, zone) in self.zones.iter().enumerate() {
            for number in 0..self.engines_per_zone {
                let name = format!("engine-{zone_index}-{number}");
                let engine = self.start_engine(&name, zone, "v1").await?;
                fleet.engines.push(engine);
            }
            for number in 0..self.applications_per_zone {
                let name = format!("application-{zone_index}-{number}");
                let upstream = self
                    .start_upstream(&name, zone, &args(&["application"]))
                    .await?;
                fleet.applications.push(upstream);
            }
        }
        for number in 0..self.zones.len() * self.vms_per_zone {
            let vm = fleet.start_vm(number).await?;
            fleet.vms.push(vm);
        }
        fleet.publish_listing().await?;
        fleet.wait_ready().await?;
        Ok(fleet)
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
}

impl Fleet {
    /// Starts the VM with this number. A handle of an earlier start of the same VM stays
    /// in `vms` until the caller replaces it.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started.
    pub async fn start_vm(&self, number: usize) -> Result<VmHandle, FleetError> {
        self.start_vm_with_settings(number, json!({})).await
    }

    /// Starts a VM with additional settings, which override those of the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started.
    pub async fn start_vm_with_settings(
        &self,
        number: usize,
        settings: Value,
    ) -> Result<VmHandle, FleetError> {
        let zone_count = self.builder.zones.len();
        let zone = self.builder.zones[number % zone_count].clone();
        let name = format!("vm-{number}");
        let platform_proxy = match self.builder.proxy_platform {
            true => Some(start_proxy(self.platform_address(), "127.0.0.1:0").await?),
            false => None,
        };
        let platform = platform_proxy.as_ref().map(|proxy| proxy.address("proxy"));
        // Each VM has its own IP address, so that proxies can tell VMs apart.
        let ip = format!("127.0.{}.{}", 1 + number / 200, 1 + number % 200);
        let (peer_proxy, peer_listen) = match self.builder.proxy_peers {
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
            "platform": {"address": platform.unwrap_or(self.platform_address()), "poll": "500ms"},
            "peer_key": PEER_KEY,
            "limits": {"drain_grace": "200ms"},
        });
        if let Some(proxy) = &peer_proxy {
            vm_settings["listen"]["advertise_peers"] = json!(proxy.address("proxy"));
        }
        merge(&mut vm_settings, self.builder.settings.clone());
        merge(&mut vm_settings, settings);
        let path = self.directory.join(format!(
            "{name}-{}.json",
            ClockTime::wall_clock_now().as_millis()
        ));
        std::fs::write(&path, vm_settings.to_string())
            .map_err(|error| FleetError::Request(error.to_string()))?;
        let path = path.display().to_string();
        let serve_args = args(&["serve", "--settings", &path]);
        let process = ProcessHandle::start(VM_PROGRAM, &serve_args, 1).await?;
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
        })
    }
}

async fn start_proxy(target: SocketAddr, listen: &str) -> Result<ProcessHandle, FleetError> {
    let target = target.to_string();
    let proxy_args = args(&["proxy", "--listen", listen, "--target", &target]);
    ProcessHandle::start(FAKES_PROGRAM, &proxy_args, 2).await
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
fn merge(target: &mut Value, source: Value) {
    match (target, source) {
        (Value::Object(target), Value::Object(source)) => {
            for (key, value) in source {
                merge(target.entry(key).or_insert(Value::Null), value);
            }
        }
        (target, source) => *target = source,
    }
}
