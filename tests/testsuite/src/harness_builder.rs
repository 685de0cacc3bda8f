//! Starts a gateway process with the settings of a test.

use crate::gateway_harness::GatewayHarness;
use crate::gateway_process::{copy_output, start_process};
use crate::rollout_trial::{EXPOSURE_SHARE, EXPOSURE_SLACK, ROLLBACK_TIME};
use skylarkshed_stand_ins::{FakeStore, FakeUpstream, GatewayFile};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// Builds a [`GatewayHarness`].
#[derive(Debug)]
pub struct HarnessBuilder {
    applications: usize,
    engines: usize,
    grace_s: u64,
    revoke_ms: u64,
    is_output_read: bool,
    max_files: Option<u64>,
    retry_ratio: f64,
    retry_slack: u64,
    rollback_time: Duration,
}

impl Default for HarnessBuilder {
    fn default() -> Self {
        HarnessBuilder {
            applications: 2,
            engines: 2,
            grace_s: 8,
            revoke_ms: 5_000,
            is_output_read: true,
            max_files: None,
            retry_ratio: 0.8,
            retry_slack: 150,
            rollback_time: ROLLBACK_TIME,
        }
    }
}

impl HarnessBuilder {
    /// Sets the number of applications.
    pub fn applications(mut self, count: usize) -> Self {
        self.applications = count;
        self
    }

    /// Sets the number of engines.
    pub fn engines(mut self, count: usize) -> Self {
        self.engines = count;
        self
    }

    /// Sets `revoke_ms`, the maximum time that a revoked key still works.
    pub fn revoke_ms(mut self, millis: u64) -> Self {
        self.revoke_ms = millis;
        self
    }

    /// Sets `grace_s`, the time from a termination signal to the kill.
    pub fn grace_s(mut self, seconds: u64) -> Self {
        self.grace_s = seconds;
        self
    }

    /// Sets the retries per request, and those allowed besides.
    pub fn retry_budget(mut self, ratio: f64, slack: u64) -> Self {
        self.retry_ratio = ratio;
        self.retry_slack = slack;
        self
    }

    /// Sets the time within which no VM sends to a version after its 50th bad response.
    pub fn rollback_time(mut self, time: Duration) -> Self {
        self.rollback_time = time;
        self
    }

    /// Limits the files that the process may have open, connections included.
    pub fn max_files(mut self, count: u64) -> Self {
        self.max_files = Some(count);
        self
    }

    /// Stops reading the process's output after the line with its addresses.
    pub fn unread_output(mut self) -> Self {
        self.is_output_read = false;
        self
    }

    /// Starts everything and waits until the process is ready.
    pub async fn start(self) -> GatewayHarness {
        let harness = self.start_unready().await;
        harness.wait_for_ready().await;
        harness
    }

    /// Starts everything with a store that contains no configuration.
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
        let settings = self.render_settings("vm-1", store.address(), &[]);
        let (process, settings_path, addresses, output) =
            start_process(&settings, self.max_files).await;
        let unread_output = match self.is_output_read {
            true => {
                tokio::spawn(copy_output(output, settings_path.with_extension("log")));
                None
            }
            false => Some(output),
        };
        let harness = GatewayHarness {
            store,
            applications,
            engines,
            process,
            log_path: settings_path.with_extension("log"),
            settings_path,
            caller_address: addresses[0],
            readiness_address: addresses[1],
            metrics_address: addresses[2],
            seed_address: addresses[3],
            version: AtomicU64::new(1),
            _unread_output: unread_output,
        };
        if is_configured {
            harness.put_config(&harness.next_config());
            harness.register_upstreams();
        }
        harness
    }

    /// Returns the text of the settings file.
    pub(crate) fn render_settings(
        &self,
        name: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> String {
        let file = GatewayFile {
            grace_s: self.grace_s,
            revoke_ms: self.revoke_ms,
            seeds: seeds.to_vec(),
            retry_budget: (self.retry_ratio, self.retry_slack),
            exposure: (EXPOSURE_SHARE, EXPOSURE_SLACK),
            rollback_ms: self.rollback_time.as_millis(),
            ..GatewayFile::new(name, store)
        };
        file.render()
    }
}
