//! Limits the rate at which a VM sends whole tables to VMs that start.
//!
//! Load pattern: all VMs of a zone, or of the fleet, start together and ask the few
//! VMs that have the tables. A VM whose link is busy refers the others to VMs that it
//! has served already, so the number of VMs that can serve grows with each transfer.

use crate::rendezvous::hash_rank;
use skylarkshed_core::ClockTime;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The time whose bytes may be sent at once.
const BURST: ClockTime = ClockTime::from_millis(250);
/// The number of remembered VMs that got a table.
const MAX_RECEIVERS: usize = 32;
/// The number of VMs that are named to a VM that has to ask elsewhere.
const NAMED_RECEIVERS: usize = 3;

/// Admits the transfers of whole tables.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::TableServer;
///
/// let first = ([10, 1, 0, 19], 7_201).into();
/// let mut server = TableServer::new(1_000);
/// assert_eq!(server.admit(Some(first), 400_000, ClockTime::ZERO, 7), Ok(()));
/// let busy = server.admit(None, 10, ClockTime::from_millis(100), 7);
/// assert_eq!(busy, Err(vec![first]));
/// assert_eq!(server.admit(None, 10, ClockTime::from_millis(200), 7), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct TableServer {
    bytes_per_ms: u64,
    /// The number of bytes that have been sent but are not yet covered by the rate.
    backlog_bytes: u64,
    updated_at: ClockTime,
    receivers: VecDeque<SocketAddr>,
}

impl TableServer {
    /// Creates a server with a rate in bytes per millisecond.
    pub fn new(bytes_per_ms: u64) -> Self {
        TableServer {
            bytes_per_ms: bytes_per_ms.max(1),
            backlog_bytes: 0,
            updated_at: ClockTime::ZERO,
            receivers: VecDeque::new(),
        }
    }

    /// Admits the transfer of a table to a VM, which other VMs may then be referred to.
    ///
    /// # Errors
    ///
    /// If earlier transfers still occupy the link, returns some VMs that got tables;
    /// `random` chooses among them.
    pub fn admit(
        &mut self,
        receiver: Option<SocketAddr>,
        bytes: u64,
        now: ClockTime,
        random: u64,
    ) -> Result<(), Vec<SocketAddr>> {
        let elapsed_ms = now.since(self.updated_at).as_millis();
        let covered = elapsed_ms.saturating_mul(self.bytes_per_ms);
        self.backlog_bytes = self.backlog_bytes.saturating_sub(covered);
        self.updated_at = self.updated_at.max(now);
        if self.backlog_bytes >= BURST.as_millis() * self.bytes_per_ms {
            return Err(self.name_receivers(random));
        }
        self.backlog_bytes = self.backlog_bytes.saturating_add(bytes);
        if let Some(receiver) = receiver.filter(|receiver| !self.receivers.contains(receiver)) {
            self.receivers.push_front(receiver);
            self.receivers.truncate(MAX_RECEIVERS);
        }
        Ok(())
    }

    fn name_receivers(&self, random: u64) -> Vec<SocketAddr> {
        let mut receivers: Vec<SocketAddr> = self.receivers.iter().copied().collect();
        receivers.sort_by_cached_key(|receiver| hash_rank((random, receiver)));
        receivers.truncate(NAMED_RECEIVERS);
        receivers
    }
}
