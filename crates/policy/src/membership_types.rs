//! The messages, records and settings of [`crate::MembershipTable`].

use skylarkshed_core::{ClockTime, IncarnationId, RevisionNumber, UpstreamName, VmName, ZoneName};
use std::net::SocketAddr;

/// The state of a VM.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MemberState {
    /// It responds to probes.
    Alive,
    /// It did not respond and has a short time left to do so.
    Suspect,
    /// It did not respond in time.
    Dead,
    /// It announced that it leaves; this is final for its incarnation.
    Left,
}

/// The last known state of one VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberRecord {
    /// The VM's name.
    pub name: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address on which it serves peers.
    pub address: SocketAddr,
    /// The incarnation of its process; a later one is higher.
    pub incarnation: IncarnationId,
    /// Grows each time the VM refutes a suspicion.
    pub counter: u32,
    /// The VM's state.
    pub state: MemberState,
    /// How long the VM had been suspect when the record was sent.
    pub suspected_for: ClockTime,
}

impl MemberRecord {
    /// Reports whether this record replaces `other`.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::{ClockTime, IncarnationId};
    /// use skylarkshed_policy::{MemberRecord, MemberState};
    ///
    /// let alive = MemberRecord {
    ///     name: "vm-1".into(),
    ///     zone: "arima".into(),
    ///     address: "127.0.0.1:7300".parse().unwrap(),
    ///     incarnation: IncarnationId(1),
    ///     counter: 0,
    ///     state: MemberState::Alive,
    ///     suspected_for: ClockTime::ZERO,
    /// };
    /// let suspect = MemberRecord { state: MemberState::Suspect, ..alive.clone() };
    /// let refuted = MemberRecord { counter: 1, ..alive.clone() };
    /// assert!(suspect.replaces(&alive) && refuted.replaces(&suspect));
    /// ```
    pub fn replaces(&self, other: &MemberRecord) -> bool {
        self.rank() > other.rank()
    }

    fn rank(&self) -> (IncarnationId, bool, u32, MemberState) {
        let has_left = self.state == MemberState::Left;
        (self.incarnation, has_left, self.counter, self.state)
    }
}

/// Announces that an upstream is about to leave: it is draining.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeavingNotice {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its address, which distinguishes it from a successor of the same name.
    pub address: SocketAddr,
}

/// The purpose of a gossip message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipKind {
    /// Asks for an acknowledgement.
    Ping,
    /// Acknowledges a ping.
    Ack {
        /// The VM that responded to the ping.
        subject: VmName,
    },
    /// Asks the receiver to ping another VM.
    PingRequest {
        /// The VM to ping.
        target: VmName,
    },
}

/// A message between two VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipMessage {
    /// The purpose of the message.
    pub kind: GossipKind,
    /// Identifies the probe that the message belongs to.
    pub sequence: u64,
    /// The sender's own record.
    pub sender: MemberRecord,
    /// Records of other VMs.
    pub updates: Vec<MemberRecord>,
    /// The configuration revision that the sender has.
    pub revision: RevisionNumber,
    /// Upstreams that are about to leave.
    pub notices: Vec<LeavingNotice>,
}

/// An action that the owner of the table carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Send a message.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The message.
        message: GossipMessage,
    },
    /// A VM's state changed.
    Changed(MemberRecord),
    /// An upstream is about to leave.
    Leaving(LeavingNotice),
    /// Another VM has a higher configuration revision than this one.
    RevisionBehind {
        /// The VM to pull the configuration from.
        from: SocketAddr,
        /// The revision that it has.
        revision: RevisionNumber,
    },
}

/// The settings of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// The time between two probes.
    pub probe_period: ClockTime,
    /// How long to wait for the reply to a direct probe.
    pub direct_timeout: ClockTime,
    /// How long to wait for the reply to an indirect probe.
    pub indirect_timeout: ClockTime,
    /// How long a suspect VM has to respond before it is considered dead.
    pub suspicion_timeout: ClockTime,
    /// The number of VMs that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// The number of VMs that probe a suspect VM in each period.
    pub confirmers: usize,
    /// The maximum number of other VMs' records in one message.
    pub max_updates: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            probe_period: ClockTime::from_millis(300),
            direct_timeout: ClockTime::from_millis(150),
            indirect_timeout: ClockTime::from_millis(300),
            suspicion_timeout: ClockTime::from_millis(1_200),
            indirect_probes: 3,
            confirmers: 8,
            max_updates: 6,
        }
    }
}
