//! Tracks which VMs are alive, by probes and gossip.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, 2002) with incarnations and
//! suspicion. As in Lifeguard (Dadgar, Phillips and Currey, 2018), a suspect VM
//! is notified at once; several VMs then probe it, so that message loss does not
//! evict a living VM.

mod probing;

use crate::membership_types::{
    GossipKind, GossipMessage, LeavingNotice, MemberRecord, MemberState, MembershipAction,
    MembershipSettings,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use skylarkshed_core::{ClockTime, RevisionNumber, VmName, ZoneName};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// The number of times that each record is sent, per doubling of the number of
/// members.
const SENDS_PER_DOUBLING: u32 = 4;
const NOTICE_SENDS: u32 = 24;
const MAX_NOTICES_PER_MESSAGE: usize = 8;

#[derive(Clone, Debug)]
struct MemberEntry {
    record: MemberRecord,
    sends_left: u32,
    suspect_until: ClockTime,
    revision: RevisionNumber,
    last_heard_at: ClockTime,
}

impl MemberEntry {
    /// Returns the record with the current age of its suspicion.
    fn current_record(&self, now: ClockTime, suspicion_timeout: ClockTime) -> MemberRecord {
        let suspected_for = match self.record.state {
            MemberState::Suspect => suspicion_timeout.since(self.suspect_until.since(now)),
            _ => ClockTime::ZERO,
        };
        MemberRecord {
            suspected_for,
            ..self.record.clone()
        }
    }
}

/// A probe that this VM sent and that has no reply yet.
#[derive(Clone, Debug)]
struct PendingProbe {
    target: VmName,
    /// Whether other VMs were asked to probe the target after a direct probe timed out.
    is_indirect: bool,
    due: ClockTime,
}

/// A probe that this VM sent on behalf of another one.
#[derive(Clone, Debug)]
struct IndirectProbe {
    requester: SocketAddr,
    request_sequence: u64,
    expires: ClockTime,
}

/// The members of the fleet as seen by one VM.
#[derive(Clone, Debug)]
pub struct MembershipTable {
    own: MemberRecord,
    settings: MembershipSettings,
    members: BTreeMap<VmName, MemberEntry>,
    listed_vms: BTreeMap<VmName, (ZoneName, SocketAddr)>,
    seeds: Vec<SocketAddr>,
    probe_round: Vec<VmName>,
    is_ring_turn: bool,
    pending_probes: HashMap<u64, PendingProbe>,
    pending_indirect_probes: HashMap<u64, IndirectProbe>,
    notices: Vec<(LeavingNotice, u32)>,
    revision: RevisionNumber,
    now: ClockTime,
    next_probe: ClockTime,
    next_sequence: u64,
    rng: SmallRng,
}

impl MembershipTable {
    /// Creates a table that knows only its own VM and the addresses of seed VMs.
    pub fn new(
        own: MemberRecord,
        seeds: Vec<SocketAddr>,
        settings: MembershipSettings,
        seed: u64,
    ) -> Self {
        MembershipTable {
            own,
            settings,
            members: BTreeMap::new(),
            listed_vms: BTreeMap::new(),
            seeds,
            probe_round: Vec::new(),
            is_ring_turn: false,
            pending_probes: HashMap::new(),
            pending_indirect_probes: HashMap::new(),
            notices: Vec::new(),
            revision: RevisionNumber(0),
            now: ClockTime::ZERO,
            next_probe: ClockTime::ZERO,
            next_sequence: 1,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns this VM's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the records of all other known VMs.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|entry| &entry.record)
    }

    /// Returns the other VMs that are alive or suspect, with the configuration
    /// revision that each of them has.
    pub fn present(&self) -> impl Iterator<Item = (&MemberRecord, RevisionNumber)> {
        let entries = self
            .members
            .values()
            .filter(|entry| is_present(&entry.record));
        entries.map(|entry| (&entry.record, entry.revision))
    }

    /// Returns the expected number of VMs, including this one.
    pub fn expected_vm_count(&self) -> usize {
        let present = self.present().count();
        let listed = self
            .listed_vms
            .keys()
            .filter(|name| **name != self.own.name)
            .count();
        1 + present.max(listed)
    }

    /// Sets the configuration revision that this VM has.
    pub fn set_revision(&mut self, revision: RevisionNumber) {
        self.revision = self.revision.max(revision);
    }

    /// Replaces the platform's list of entry VMs.
    pub fn set_listed_vms(&mut self, listing: Vec<(VmName, ZoneName, SocketAddr)>) {
        let vms = listing
            .into_iter()
            .map(|(name, zone, address)| (name, (zone, address)));
        self.listed_vms = vms.collect();
    }

    /// Gossips that an upstream is about to leave.
    pub fn announce_leaving(&mut self, notice: LeavingNotice) {
        if self.notices.iter().all(|(known, _)| *known != notice) {
            self.notices.push((notice, NOTICE_SENDS));
        }
    }

    /// Notifies all present VMs that this one leaves.
    pub fn leave(&mut self) -> Vec<MembershipAction> {
        self.own.state = MemberState::Left;
        let addresses: Vec<SocketAddr> = self.present().map(|(record, _)| record.address).collect();
        let sends = addresses.into_iter().map(|to| {
            let message = self.build_message(GossipKind::Ping, 0, None);
            MembershipAction::Send { to, message }
        });
        sends.collect()
    }

    /// Handles the timeouts that have passed and sends the next probe if it is due.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.now = now;
        self.handle_probe_timeouts(now, &mut actions);
        self.handle_suspicion_timeouts(now, &mut actions);
        self.pending_indirect_probes
            .retain(|_, probe| probe.expires > now);
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_period;
            self.probe_next(now, &mut actions);
            self.probe_suspects(&mut actions);
        }
        actions
    }

    /// Handles a message.
    pub fn on_message(&mut self, message: GossipMessage, now: ClockTime) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.now = self.now.max(now);
        let sender = message.sender.clone();
        if sender.name == self.own.name {
            return actions;
        }
        self.apply_record(sender.clone(), now, &mut actions);
        self.record_contact(&sender, message.revision, now, &mut actions);
        for record in message.updates {
            self.apply_record(record, now, &mut actions);
        }
        for notice in message.notices {
            if self.notices.iter().all(|(known, _)| *known != notice) {
                self.notices.push((notice.clone(), NOTICE_SENDS));
                actions.push(MembershipAction::Leaving(notice));
            }
        }
        match message.kind {
            GossipKind::Ping if sender.state == MemberState::Left => {}
            GossipKind::Ping => {
                let kind = GossipKind::Ack {
                    subject: self.own.name.clone(),
                };
                let reply = self.build_message(kind, message.sequence, Some(&sender.name));
                actions.push(MembershipAction::Send {
                    to: sender.address,
                    message: reply,
                });
            }
            GossipKind::Ack { subject } => self.on_ack(&subject, message.sequence, &mut actions),
            GossipKind::PingRequest { target } => {
                self.send_indirect_probe(
                    &target,
                    sender.address,
                    message.sequence,
                    now,
                    &mut actions,
                );
            }
        }
        actions
    }

    fn record_contact(
        &mut self,
        sender: &MemberRecord,
        revision: RevisionNumber,
        now: ClockTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(entry) = self.members.get_mut(&sender.name) {
            entry.last_heard_at = now;
            entry.revision = entry.revision.max(revision);
        }
        if revision > self.revision {
            actions.push(MembershipAction::RevisionBehind {
                from: sender.address,
                revision,
            });
        }
    }

    fn apply_record(
        &mut self,
        record: MemberRecord,
        now: ClockTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        if record.name == self.own.name {
            return self.refute(&record);
        }
        let known = self.members.get(&record.name);
        if known.is_some_and(|entry| !record.replaces(&entry.record)) {
            return;
        }
        let is_change = known.is_none_or(|entry| {
            entry.record.state != record.state || entry.record.incarnation != record.incarnation
        });
        let same_incarnation = known.filter(|entry| entry.record.incarnation == record.incarnation);
        let entry = MemberEntry {
            sends_left: self.sends_per_record(),
            // The age of the suspicion is subtracted so that all VMs end it at about
            // the same time as the VM that raised it.
            suspect_until: now + self.settings.suspicion_timeout.since(record.suspected_for),
            revision: same_incarnation.map_or(RevisionNumber(0), |entry| entry.revision),
            last_heard_at: same_incarnation.map_or(ClockTime::ZERO, |entry| entry.last_heard_at),
            record: record.clone(),
        };
        self.members.insert(record.name.clone(), entry);
        if is_change {
            actions.push(MembershipAction::Changed(record));
        }
    }

    /// Refutes a record that reports this VM as suspect, dead or left.
    fn refute(&mut self, record: &MemberRecord) {
        let is_own_incarnation = record.incarnation == self.own.incarnation;
        if is_own_incarnation
            && record.state != MemberState::Alive
            && record.counter >= self.own.counter
        {
            self.own.counter = record.counter + 1;
        }
    }

    fn on_ack(&mut self, subject: &VmName, sequence: u64, actions: &mut Vec<MembershipAction>) {
        self.pending_probes.remove(&sequence);
        if let Some(probe) = self.pending_indirect_probes.remove(&sequence) {
            let kind = GossipKind::Ack {
                subject: subject.clone(),
            };
            let message = self.build_message(kind, probe.request_sequence, Some(subject));
            actions.push(MembershipAction::Send {
                to: probe.requester,
                message,
            });
        }
    }

    /// Builds a message with the records that have the most sends left.
    ///
    /// The record of `about` is always included, so that the VM it describes can
    /// refute it.
    fn build_message(
        &mut self,
        kind: GossipKind,
        sequence: u64,
        about: Option<&VmName>,
    ) -> GossipMessage {
        let mut updates: Vec<MemberRecord> = Vec::new();
        let (now, suspicion_timeout) = (self.now, self.settings.suspicion_timeout);
        let known = about.and_then(|name| self.members.get(name));
        updates.extend(known.map(|entry| entry.current_record(now, suspicion_timeout)));
        let mut pending_records: Vec<&mut MemberEntry> = self
            .members
            .values_mut()
            .filter(|entry| entry.sends_left > 0)
            .collect();
        pending_records.sort_by_key(|entry| std::cmp::Reverse(entry.sends_left));
        for entry in pending_records.into_iter().take(self.settings.max_updates) {
            entry.sends_left -= 1;
            if about != Some(&entry.record.name) {
                updates.push(entry.current_record(now, suspicion_timeout));
            }
        }
        let mut notices = Vec::new();
        let unsent = self
            .notices
            .iter_mut()
            .filter(|(_, sends_left)| *sends_left > 0);
        for (notice, sends_left) in unsent.take(MAX_NOTICES_PER_MESSAGE) {
            *sends_left -= 1;
            notices.push(notice.clone());
        }
        let sender = self.own.clone();
        GossipMessage {
            kind,
            sequence,
            sender,
            updates,
            revision: self.revision,
            notices,
        }
    }

    /// Returns how often a new record is sent.
    fn sends_per_record(&self) -> u32 {
        let members = self.members.len() as u32 + 2;
        SENDS_PER_DOUBLING * (u32::BITS - members.leading_zeros())
    }

    fn next_probe_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }
}

fn is_present(record: &MemberRecord) -> bool {
    matches!(record.state, MemberState::Alive | MemberState::Suspect)
}
