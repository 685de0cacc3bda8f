//! The settings of a gateway process.

use crate::run::{FINAL_RESPONSE_TIME, KILL_MARGIN};
use skylarkshed_core::{ClockTime, VmName, ZoneName};
use skylarkshed_policy::{EntryTimes, ExposureLimits, RetryLimits};
use std::net::SocketAddr;

/// The addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// For the metrics.
    pub metrics: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
    /// For other VMs that know only the seeds' well-known addresses, if there is one.
    pub seed: Option<SocketAddr>,
}

/// The time limits that a gateway guarantees. The `check` command prints the field
/// names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayTimes {
    /// How long a revoked API key may still be accepted.
    pub revocation: ClockTime,
    /// The shutdown grace period: the time from a termination signal to the kill.
    pub grace: ClockTime,
    /// How long a draining upstream may still get requests.
    pub drain: ClockTime,
    /// The grace period in which upstream entries that expired while the store was
    /// unavailable may come back.
    pub lapse: ClockTime,
    /// The shortest outage of the store in which upstream entries can expire.
    pub outage: ClockTime,
    /// How long the store takes to remove the entry of an upstream that no longer exists.
    pub silence: ClockTime,
    /// The time between two heartbeats of an upstream.
    pub heartbeat: ClockTime,
    /// How long requests may be sent to a version after it was seen to be bad.
    pub rollback: ClockTime,
}

impl GatewayTimes {
    /// Returns the time from a termination signal until the last response has to be sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::ClockTime;
    /// use skylarkshed_gateway::GatewayTimes;
    ///
    /// let time = ClockTime::from_millis(8_000);
    /// let times = GatewayTimes {
    ///     revocation: time, grace: time, drain: time, lapse: time, outage: time,
    ///     silence: time, heartbeat: time, rollback: time,
    /// };
    /// assert_eq!(times.longest_response().as_millis(), 7_550);
    /// ```
    pub fn longest_response(&self) -> ClockTime {
        self.grace.since(KILL_MARGIN + FINAL_RESPONSE_TIME)
    }

    /// Returns the times by which the entries of upstreams are judged.
    pub(crate) const fn entry_times(&self) -> EntryTimes {
        EntryTimes {
            grace: self.lapse,
            silence: self.silence,
            heartbeat: self.heartbeat,
        }
    }
}

/// The settings of a gateway process. The `check` command prints the field names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewaySettings {
    /// The VM's name.
    pub name: VmName,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// The addresses to listen on.
    pub listen: GatewayListen,
    /// The time limits that it guarantees.
    pub times: GatewayTimes,
    /// The maximum number of file descriptors that the process may use.
    pub descriptors: usize,
    /// The memory that bodies of requests and responses may occupy together, in bytes.
    pub body_memory: usize,
    /// The VM's capacity to relay, in a unit that all VMs share.
    pub relay_capacity: u64,
    /// The rate at which the VM may send whole tables to others, in bytes per
    /// millisecond.
    pub transfer_rate: u64,
    /// The well-known addresses of some VMs; they may be outdated or down.
    pub seeds: Vec<SocketAddr>,
    /// The limits on retries of all VMs together.
    pub retries: RetryLimits,
    /// How many requests a bad version may receive during a rollout, over all VMs.
    pub exposure: ExposureLimits,
    /// The key with which the VMs authenticate to each other, in hexadecimal digits.
    pub peer_key: String,
}
