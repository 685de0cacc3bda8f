//! Fault injection in the fakes and proxies of a fleet.

use super::control;
use super::handles::UpstreamHandle;
use super::process::{FleetError, ProcessHandle};
use super::running::Fleet;
use skylarkshed_platform::wire::{ListedVm, VmKind, VmState};
use skylarkshed_stand_ins::{
    ApplicationFaults, EngineFaults, PlatformControl, PlatformFaults, ProxyFaults,
};

impl Fleet {
    /// Publishes the VM list of the platform with the current VMs and upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if the request to the platform fails.
    pub async fn publish_listing(&self) -> Result<(), FleetError> {
        self.publish_listing_with_leaving(&[]).await
    }

    /// Publishes the VM list with some upstreams in the state `leaving`.
    ///
    /// # Errors
    ///
    /// Returns an error if the request to the platform fails.
    pub async fn publish_listing_with_leaving(&self, leaving: &[&str]) -> Result<(), FleetError> {
        let entry_vms = self.vms.iter().map(|vm| ListedVm {
            name: vm.name.as_str().into(),
            kind: VmKind::Entry,
            zone: vm.zone.as_str().into(),
            address: vm.peer_address,
            state: VmState::Live,
        });
        let upstreams = self
            .engines
            .iter()
            .chain(&self.applications)
            .map(|upstream| ListedVm {
                name: upstream.name.as_str().into(),
                kind: VmKind::Upstream,
                zone: upstream.zone.as_str().into(),
                address: upstream.advertised_address(),
                state: match leaving.contains(&upstream.name.as_str()) {
                    true => VmState::Leaving,
                    false => VmState::Live,
                },
            });
        let vms = Some(entry_vms.chain(upstreams).collect());
        self.control_platform(PlatformControl { faults: None, vms })
            .await
    }

    /// Sets the faults of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the request to the platform fails.
    pub async fn set_platform_faults(&self, faults: PlatformFaults) -> Result<(), FleetError> {
        self.control_platform(PlatformControl {
            faults: Some(faults),
            vms: None,
        })
        .await
    }

    /// Sets the faults of an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the request to the engine fails.
    pub async fn set_engine_faults(
        &self,
        engine: &UpstreamHandle,
        faults: &EngineFaults,
    ) -> Result<(), FleetError> {
        control::post(&self.client, engine.address, "/control", faults).await
    }

    /// Sets the faults of an application.
    ///
    /// # Errors
    ///
    /// Returns an error if the request to the application fails.
    pub async fn set_application_faults(
        &self,
        application: &UpstreamHandle,
        faults: &ApplicationFaults,
    ) -> Result<(), FleetError> {
        control::post(&self.client, application.address, "/control", faults).await
    }

    /// Sets the faults of a proxy.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no proxy or the request to it fails.
    pub async fn set_proxy_faults(
        &self,
        proxy: Option<&ProcessHandle>,
        faults: &ProxyFaults,
    ) -> Result<(), FleetError> {
        let proxy = proxy.ok_or_else(|| FleetError::Request("there is no proxy".to_owned()))?;
        control::post(&self.client, proxy.address("address"), "/control", faults).await
    }

    async fn control_platform(&self, request: PlatformControl) -> Result<(), FleetError> {
        control::post(&self.client, self.platform_address(), "/control", &request).await
    }
}
