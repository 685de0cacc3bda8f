//! The processes of the VMs and of the upstreams of a fleet.

use super::process::ProcessHandle;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// An entry VM's process.
pub struct VmHandle {
    /// The VM's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its process.
    pub process: ProcessHandle,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Its address for operators.
    pub operator_address: SocketAddr,
    /// Its address for peers; the proxy's, if there is one.
    pub peer_address: SocketAddr,
    /// The source IP address of its messages to peers.
    pub ip: IpAddr,
    /// The proxy between it and the platform.
    pub platform_proxy: Option<ProcessHandle>,
    /// The proxy in front of its address for peers.
    pub peer_proxy: Option<ProcessHandle>,
    /// Its log, if the fleet writes log files.
    pub log_file: Option<PathBuf>,
}

/// An upstream's process.
pub struct UpstreamHandle {
    /// The upstream's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its process.
    pub process: ProcessHandle,
    /// Its own address.
    pub address: SocketAddr,
    /// The proxy in front of it.
    pub proxy: Option<ProcessHandle>,
}

impl UpstreamHandle {
    /// Returns the address that VMs use: the proxy's, if there is one.
    pub fn advertised_address(&self) -> SocketAddr {
        self.proxy
            .as_ref()
            .map_or(self.address, |proxy| proxy.address("proxy"))
    }
}
