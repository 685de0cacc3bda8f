//! A running fleet: configuration, further processes and queries.

use super::control;
use super::handles::{UpstreamHandle, VmHandle};
use super::launcher::{FleetLauncher, PEER_KEY};
use super::process::{FleetError, ProcessHandle};
use serde_json::{json, Value};
use skylarkshed_operator::connect;
use skylarkshed_operator::schema::{
    DescribeRequest, OperatorClient, PutCustomerRequest, PutServiceRequest, PutVersionRequest,
    Route, ServiceKind, Upstream,
};
use skylarkshed_stand_ins::CallCounts;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use volo_http::client::Client;

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A fleet of processes; all are killed when it is dropped.
pub struct Fleet {
    pub(crate) client: Client,
    pub(crate) platform: ProcessHandle,
    /// The entry VMs.
    pub vms: Vec<VmHandle>,
    /// The engines.
    pub engines: Vec<UpstreamHandle>,
    /// The applications.
    pub applications: Vec<UpstreamHandle>,
    pub(crate) directory: PathBuf,
    pub(crate) launcher: FleetLauncher,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The directory contains only settings files.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Fleet {
    /// The name of the service with model engines.
    pub const MODEL_SERVICE: &'static str = "ledger-llm";
    /// The name of the service with plain applications.
    pub const PLAIN_SERVICE: &'static str = "stores-app";
    /// The bearer key of the customer that may call both services.
    pub const CUSTOMER_KEY: &'static str = "depot-key";

    /// The key that the VMs share, with which they sign messages and minted keys.
    pub const PEER_KEY: &'static str = PEER_KEY;

    /// Returns the platform's address.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.address("address")
    }

    /// Returns a client of the operators' service of a VM.
    pub fn operator_client(&self, vm: usize) -> OperatorClient {
        connect(self.vms[vm].operator_address)
    }

    /// Creates the two services, their first versions and a customer through the first
    /// VM, and waits until every VM has applied them.
    ///
    /// # Errors
    ///
    /// Returns an error if a change is rejected or does not reach every VM in time.
    pub async fn configure(&self) -> Result<(), FleetError> {
        let operator = self.operator_client(0);
        let route = |name: &'static str, idempotent: bool| Route {
            name: name.into(),
            idempotent,
        };
        let services = [
            (
                Fleet::MODEL_SERVICE,
                ServiceKind::SERVICE_KIND_MODEL,
                vec![],
            ),
            (
                Fleet::PLAIN_SERVICE,
                ServiceKind::SERVICE_KIND_PLAIN,
                vec![route("lookup", true), route("book", false)],
            ),
        ];
        for (name, kind, routes) in services {
            let request = PutServiceRequest {
                change_id: format!("service-{name}").into(),
                name: name.into(),
                kind,
                routes,
            };
            operator
                .put_service(request)
                .await
                .map_err(to_fleet_error)?;
        }
        self.put_version(Fleet::MODEL_SERVICE, "v1", &self.engines)
            .await?;
        self.put_version(Fleet::PLAIN_SERVICE, "v1", &self.applications)
            .await?;
        self.put_customer("depot", Fleet::CUSTOMER_KEY, 1, 0, 0)
            .await?;
        let revision = self.revision(0).await?;
        self.wait_for_revision(revision).await
    }

    /// Creates a version with these upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is rejected.
    pub async fn put_version(
        &self,
        service: &str,
        version: &str,
        upstreams: &[UpstreamHandle],
    ) -> Result<(), FleetError> {
        let upstreams = upstreams.iter().map(|upstream| Upstream {
            name: upstream.name.clone().into(),
            address: upstream.advertised_address().to_string().into(),
            zone: upstream.zone.clone().into(),
            checks_fencing: true,
        });
        let request = PutVersionRequest {
            change_id: format!("version-{service}-{version}").into(),
            service: service.to_owned().into(),
            name: version.to_owned().into(),
            upstreams: upstreams.collect(),
            ..PutVersionRequest::default()
        };
        self.operator_client(0)
            .put_version(request)
            .await
            .map_err(to_fleet_error)?;
        Ok(())
    }

    /// Creates a customer that may call both services.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is rejected.
    pub async fn put_customer(
        &self,
        name: &str,
        key: &str,
        weight: u32,
        requests_per_s: u32,
        concurrency: u32,
    ) -> Result<(), FleetError> {
        let request = PutCustomerRequest {
            change_id: format!("customer-{name}").into(),
            name: name.to_owned().into(),
            keys: vec![key.to_owned().into()],
            services: vec![Fleet::MODEL_SERVICE.into(), Fleet::PLAIN_SERVICE.into()],
            weight,
            requests_per_s,
            concurrency,
        };
        self.operator_client(0)
            .put_customer(request)
            .await
            .map_err(to_fleet_error)?;
        Ok(())
    }

    /// Starts more engines that run a version, spread over the zones.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started.
    pub async fn start_engines(
        &self,
        version: &str,
        count: usize,
    ) -> Result<Vec<UpstreamHandle>, FleetError> {
        let mut engines = Vec::new();
        for number in 0..count {
            let zone = self.vms[number % self.vms.len()].zone.clone();
            let name = format!("engine-{version}-{number}");
            engines.push(self.launcher.start_engine(&name, &zone, version).await?);
        }
        Ok(engines)
    }

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
        self.launcher
            .start_vm(number, settings, self.platform_address(), &self.directory)
            .await
    }

    /// Returns the revision that a VM has applied.
    ///
    /// # Errors
    ///
    /// Returns an error if the request to the VM fails.
    pub async fn revision(&self, vm: usize) -> Result<u64, FleetError> {
        let reply = self
            .operator_client(vm)
            .describe(DescribeRequest::default())
            .await;
        Ok(reply.map_err(to_fleet_error)?.into_inner().revision)
    }

    /// Waits until every VM has applied a revision.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn wait_for_revision(&self, revision: u64) -> Result<(), FleetError> {
        for vm in 0..self.vms.len() {
            self.wait_for_revision_at(vm, revision).await?;
        }
        Ok(())
    }

    /// Waits until one VM has this revision of the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn wait_for_revision_at(&self, vm: usize, revision: u64) -> Result<(), FleetError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while self.revision(vm).await.unwrap_or(0) < revision {
            check_deadline(deadline, &format!("revision {revision} at vm-{vm}"))?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until every VM is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn wait_ready(&self) -> Result<(), FleetError> {
        for vm in &self.vms {
            self.wait_for_vm_ready(vm).await?;
        }
        Ok(())
    }

    /// Waits until one VM is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn wait_for_vm_ready(&self, vm: &VmHandle) -> Result<(), FleetError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while self.readiness(vm).await != Some(200) {
            check_deadline(deadline, &format!("readiness of {}", vm.name))?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until every VM sees `others` other members.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn wait_for_members(&self, others: usize) -> Result<(), FleetError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for vm in &self.vms {
            while self.metric_sum(vm, "members_present").await? < others as f64 {
                check_deadline(deadline, &format!("{others} members at {}", vm.name))?;
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns the status of a VM's readiness endpoint, or `None` if the request fails.
    pub async fn readiness(&self, vm: &VmHandle) -> Option<u16> {
        let response = control::get(&self.client, vm.caller_address, "/readyz").await;
        response.ok().map(|(status, _)| status)
    }

    /// Returns the sum of all of a VM's metric series whose line contains `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the request to the VM fails.
    pub async fn metric_sum(&self, vm: &VmHandle, name: &str) -> Result<f64, FleetError> {
        let (_, text) = control::get(&self.client, vm.caller_address, "/metrics").await?;
        let lines = text
            .lines()
            .filter(|line| !line.starts_with('#') && line.contains(name));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        Ok(values.sum())
    }

    /// Returns how often each call ran, summed over all applications.
    ///
    /// # Errors
    ///
    /// Returns an error if the request to an application fails.
    pub async fn call_counts(&self) -> Result<CallCounts, FleetError> {
        let mut sum = CallCounts::new();
        for application in &self.applications {
            let (_, text) = control::get(&self.client, application.address, "/counts").await?;
            let counts: CallCounts = serde_json::from_str(&text)
                .map_err(|error| FleetError::Request(error.to_string()))?;
            for (key, count) in counts {
                *sum.entry(key).or_default() += count;
            }
        }
        Ok(sum)
    }

    /// Returns the tokens computed by all engines; an engine that does not respond counts 0.
    pub async fn total_computed_tokens(&self) -> u64 {
        let mut sum = 0;
        for index in 0..self.engines.len() {
            sum += self.tokens_computed_by_index(index).await;
        }
        sum
    }

    /// Returns the tokens computed by the engine with this index; 0 if it does not respond.
    pub async fn tokens_computed_by_index(&self, engine: usize) -> u64 {
        self.tokens_computed_by(&self.engines[engine]).await
    }

    /// Returns the tokens computed by an engine; 0 if it does not respond.
    pub async fn tokens_computed_by(&self, engine: &UpstreamHandle) -> u64 {
        let address = engine.address;
        let count = control::post::<Value, u64>(&self.client, address, "/computed", &Value::Null);
        let count = tokio::time::timeout(Duration::from_secs(1), count).await;
        count.ok().and_then(Result::ok).unwrap_or(0)
    }
}

fn check_deadline(deadline: Instant, condition: &str) -> Result<(), FleetError> {
    match Instant::now() < deadline {
        true => Ok(()),
        false => Err(FleetError::Timeout(condition.to_owned())),
    }
}

fn to_fleet_error(status: volo_grpc::Status) -> FleetError {
    FleetError::Request(status.to_string())
}
