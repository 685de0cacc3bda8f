//! The messages and records of [`crate::MembershipTable`].

use skylarkshed_core::{ClockTime, IncarnationId, RevisionNumber, UpstreamName, VmName, ZoneName};
use std::net::SocketAddr;

/// Whether a VM is there.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer and has a short time to do so.
    Suspect,
    /// It did not answer in time.
    Dead,
    /// It said that it leaves; for this incarnation that is final.
    Left,
}

/// What is known of one VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberRecord {
    /// The VM's name.
    pub name: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// The run of its process; a later one is higher.
    pub incarnation: IncarnationId,
    /// Grows each time the VM contradicts a suspicion.
    pub counter: u32,
    /// Whether it is there.
    pub state: MemberState,
    /// How long it had been suspect when the record was sent.
    pub suspected_for: ClockTime,
}

impl MemberRecord {
    /// Tells whether this record replaces `other`.
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
    /// let contradicted = MemberRecord { counter: 1, ..alive.clone() };
    /// assert!(suspect.replaces(&alive) && contradicted.replaces(&suspect));
    /// ```
    pub fn replaces(&self, other: &MemberRecord) -> bool {
        self.rank() > other.rank()
    }

    fn rank(&self) -> (IncarnationId, bool, u32, MemberState) {
        let has_left = self.state == MemberState::Left;
        (self.incarnation, has_left, self.counter, self.state)
    }
}

/// Word that an upstream is about to leave.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeavingNotice {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its address, which tells it from a successor of the same name.
    pub address: SocketAddr,
}

/// What a gossip message is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipKind {
    /// Asks for an acknowledgement.
    Ping,
    /// Answers a ping; `subject` is the VM that answered.
    Ack {
        /// The VM that answered.
        subject: VmName,
    },
    /// Asks the receiver to ping somebody.
    PingRequest {
        /// Whom to ping.
        target: VmName,
    },
}

/// A message between two VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipMessage {
    /// What it is for.
    pub kind: GossipKind,
    /// Names the probe that the message belongs to.
    pub sequence: u64,
    /// The sender's own record.
    pub sender: MemberRecord,
    /// Records of others.
    pub updates: Vec<MemberRecord>,
    /// The revision that the sender holds.
    pub revision: RevisionNumber,
    /// Upstreams that are about to leave.
    pub notices: Vec<LeavingNotice>,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Send a message.
    Send {
        /// To whom.
        to: SocketAddr,
        /// What.
        message: GossipMessage,
    },
    /// A VM's state changed.
    Changed(MemberRecord),
    /// An upstream is about to leave.
    Leaving(LeavingNotice),
    /// A VM holds a higher revision than this one.
    RevisionBehind {
        /// Where to pull from.
        from: SocketAddr,
        /// The revision it holds.
        revision: RevisionNumber,
    },
}

/// The times and numbers of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// The time between two probes.
    pub probe_period: ClockTime,
    /// How long a direct probe may take.
    pub direct_timeout: ClockTime,
    /// How long an indirect probe may take.
    pub indirect_timeout: ClockTime,
    /// How long a suspect VM has to answer.
    pub suspicion_timeout: ClockTime,
    /// How many VMs are asked for an indirect probe.
    pub indirect_probes: usize,
    /// How many VMs probe a suspect one in each period.
    pub confirmers: usize,
    /// The most records in one message.
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
