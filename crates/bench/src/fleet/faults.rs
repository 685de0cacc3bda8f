//! Faults: what goes wrong in the fakes and proxies of a fleet.

use super::control;
use super::process::{FleetError, ProcessHandle};
use super::running::{Fleet, UpstreamHandle};
use skylarkshed_platform::wire::{ListedVm, VmKind, VmState};
use skylarkshed_stand_ins::{
    ApplicationFaults, EngineFaults, PlatformControl, PlatformFaults, ProxyFaults,
};

impl Fleet {
    /// Publishes the platform's list with the VMs and upstreams of now.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be asked.
    pub async fn publish_listing(&self) -> Result<(), FleetError> {
        self.publish_listing_with_leaving(&[]).await
    }

    /// Publishes the platform's list with some upstreams leaving.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be asked.
    pub async fn publish_listing_with_leaving(&self, leaving: &[&str]) -> Result<(), FleetError> {
        let entries = self.vms.iter().map(|vm| ListedVm {
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
        let vms = Some(entries.chain(upstreams).collect());
        self.switch_platform(PlatformControl { faults: None, vms })
            .await
    }

    /// Sets what goes wrong in the platform.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be asked.
    pub async fn set_platform_faults(&self, faults: PlatformFaults) -> Result<(), FleetError> {
        self.switch_platform(PlatformControl {
            faults: Some(faults),
            vms: None,
        })
        .await
    }

    /// Sets what goes wrong in an engine.
    ///
    /// # Errors
    ///
    /// Fails if the engine can't be asked.
    pub async fn set_engine_faults(
        &self,
        engine: &UpstreamHandle,
        faults: &EngineFaults,
    ) -> Result<(), FleetError> {
        control::post(&self.client, engine.address, "/control", faults).await
    }

    /// Sets what goes wrong in an application.
    ///
    /// # Errors
    ///
    /// Fails if the application can't be asked.
    pub async fn set_application_faults(
        &self,
        application: &UpstreamHandle,
        faults: &ApplicationFaults,
    ) -> Result<(), FleetError> {
        control::post(&self.client, application.address, "/control", faults).await
    }

    /// Sets what goes wrong in a proxy.
    ///
    /// # Errors
    ///
    /// Fails if there is no proxy or it can't be asked.
    pub async fn set_proxy_faults(
        &self,
        proxy: Option<&ProcessHandle>,
        faults: &ProxyFaults,
    ) -> Result<(), FleetError> {
        let proxy = proxy.ok_or_else(|| FleetError::Request("there is no proxy".to_owned()))?;
        control::post(&self.client, proxy.address("address"), "/control", faults).await
    }

    async fn switch_platform(&self, switch: PlatformControl) -> Result<(), FleetError> {
        control::post(&self.client, self.platform_address(), "/control", &switch).await
    }
}
