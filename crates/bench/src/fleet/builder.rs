//! Configures and starts a fleet.

use super::launcher::{merge, FleetLauncher};
use super::process::FleetError;
use super::running::Fleet;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicU32, Ordering};
use volo_http::client::Client;

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
    launcher: FleetLauncher,
    vms_per_zone: usize,
    engines_per_zone: usize,
    applications_per_zone: usize,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        FleetBuilder::new()
    }
}

impl FleetBuilder {
    /// Returns a builder with three zones of one VM, one engine and one application each.
    pub fn new() -> Self {
        let zones = ["scot-east-a", "scot-east-b", "scot-east-c"];
        FleetBuilder {
            launcher: FleetLauncher {
                zones: zones.map(str::to_owned).to_vec(),
                engine_args: Vec::new(),
                settings: json!({}),
                proxy_upstreams: false,
                proxy_platform: false,
                proxy_peers: false,
                log_files: false,
            },
            vms_per_zone: 1,
            engines_per_zone: 1,
            applications_per_zone: 1,
        }
    }

    /// Sets the number of zones.
    pub fn zones(mut self, count: usize) -> Self {
        self.launcher.zones = (0..count).map(|index| format!("zone-{index}")).collect();
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
        self.launcher
            .engine_args
            .extend(args.iter().map(|&arg| arg.to_owned()));
        self
    }

    /// Adds settings for all VMs, as an object that is merged into each settings file.
    pub fn settings(mut self, settings: Value) -> Self {
        merge(&mut self.launcher.settings, settings);
        self
    }

    /// Puts a proxy in front of each engine and application.
    pub fn proxy_upstreams(mut self) -> Self {
        self.launcher.proxy_upstreams = true;
        self
    }

    /// Puts a proxy between each VM and the platform.
    pub fn proxy_platform(mut self) -> Self {
        self.launcher.proxy_platform = true;
        self
    }

    /// Puts a proxy in front of each VM's address for peers.
    pub fn proxy_peers(mut self) -> Self {
        self.launcher.proxy_peers = true;
        self
    }

    /// Writes the log of each VM to a file, which is removed with the fleet.
    pub fn log_files(mut self) -> Self {
        self.launcher.log_files = true;
        self
    }

    /// Starts all processes and waits until every VM is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or a VM does not become ready.
    pub async fn start(self) -> Result<Fleet, FleetError> {
        let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let platform = self.launcher.start_platform().await?;
        let mut fleet = Fleet {
            client: Client::default(),
            platform,
            vms: Vec::new(),
            engines: Vec::new(),
            applications: Vec::new(),
            directory: std::env::temp_dir()
                .join(format!("skylarkshed-{}-{number}", std::process::id())),
            launcher: self.launcher.clone(),
        };
        std::fs::create_dir_all(&fleet.directory)
            .map_err(|error| FleetError::Request(error.to_string()))?;
        for (zone_index, zone) in self.launcher.zones.iter().enumerate() {
            for number in 0..self.engines_per_zone {
                let name = format!("engine-{zone_index}-{number}");
                let engine = self.launcher.start_engine(&name, zone, "v1").await?;
                fleet.engines.push(engine);
            }
            for number in 0..self.applications_per_zone {
                let name = format!("application-{zone_index}-{number}");
                let upstream = self.launcher.start_application(&name, zone).await?;
                fleet.applications.push(upstream);
            }
        }
        for number in 0..self.launcher.zones.len() * self.vms_per_zone {
            let vm = fleet.start_vm(number).await?;
            fleet.vms.push(vm);
        }
        fleet.publish_listing().await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }
}
