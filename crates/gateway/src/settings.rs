//! The settings of one gateway process.

use skylarkshed_core::{ClockTime, VmName, ZoneName};
use skylarkshed_policy::RetryLimits;
use std::net::SocketAddr;

/// The addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's readiness checks.
    pub readiness: SocketAddr,
    /// For the metrics.
    pub metrics: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
}

/// The times that a gateway's promises depend on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayTimes {
    /// A key that was taken away works for this long at most.
    pub revocation: ClockTime,
    /// From a termination signal to the kill.
    pub shutdown_grace: ClockTime,
    /// How long entries that lapsed while the store was away may take to come back.
    pub entry_grace: ClockTime,
}

/// The settings of one gateway process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewaySettings {
    /// The VM's name.
    pub name: VmName,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub listen: GatewayListen,
    /// The times of its promises.
    pub times: GatewayTimes,
    /// File descriptors that the process may use.
    pub descriptors: usize,
    /// The sends beyond the first that all VMs together may make.
    pub retries: RetryLimits,
    /// The key with which the VMs authenticate to each other, in hexadecimal digits.
    pub peer_key: String,
}
