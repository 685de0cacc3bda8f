//! Tells which VMs are there, from probes and gossip.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, 2002) with incarnations and
//! suspicion. As in Lifeguard (Dadgar, Phillips and Currey, 2018) a suspect VM
//! is told at once; several VMs then probe it, so that a lossy network evicts
//! no living VM.

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

/// Each record is sent this often, times the binary logarithm of the members.
const SENDS_PER_DOUBLING: u32 = 4;
const NOTICE_SENDS: u32 = 24;
const NOTICES_PER_MESSAGE: usize = 8;

#[derive(Clone, Debug)]
struct MemberEntry {
    record: MemberRecord,
    sends_left: u32,
    suspect_until: ClockTime,
    revision: RevisionNumber,
    heard: ClockTime,
}

impl MemberEntry {
    /// Returns the record with the age of its suspicion.
    fn to_send(&self, now: ClockTime, suspicion: ClockTime) -> MemberRecord {
        let suspected = match self.record.state {
            MemberState::Suspect => suspicion.since(self.suspect_until.since(now)),
            _ => ClockTime::ZERO,
        };
        MemberRecord {
            suspected_for: suspected,
            ..self.record.clone()
        }
    }
}

#[derive(Clone, Debug)]
struct PendingProbe {
    target: VmName,
    asked_others: bool,
    due: ClockTime,
}

#[derive(Clone, Debug)]
struct RelayedProbe {
    asker: SocketAddr,
    sequence: u64,
    expires: ClockTime,
}

/// The members as one VM sees them.
#[derive(Clone, Debug)]
pub struct MembershipTable {
    own: MemberRecord,
    times: MembershipSettings,
    members: BTreeMap<VmName, MemberEntry>,
    listed: BTreeMap<VmName, (ZoneName, SocketAddr)>,
    seeds: Vec<SocketAddr>,
    round: Vec<VmName>,
    ring_turn: bool,
    probes: HashMap<u64, PendingProbe>,
    relays: HashMap<u64, RelayedProbe>,
    notices: Vec<(LeavingNotice, u32)>,
    revision: RevisionNumber,
    now: ClockTime,
    next_probe: ClockTime,
    next_sequence: u64,
    rng: SmallRng,
}

impl MembershipTable {
    /// Makes a table that knows only its own VM and addresses to start from.
    pub fn new(
        own: MemberRecord,
        seeds: Vec<SocketAddr>,
        times: MembershipSettings,
        seed: u64,
    ) -> Self {
        MembershipTable {
            own,
            times,
            members: BTreeMap::new(),
            listed: BTreeMap::new(),
            seeds,
            round: Vec::new(),
            ring_turn: false,
            probes: HashMap::new(),
            relays: HashMap::new(),
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

    /// Returns the records of all other VMs that have been heard of.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|entry| &entry.record)
    }

    /// Returns the VMs that are alive or suspect, with the revision each holds.
    pub fn present(&self) -> impl Iterator<Item = (&MemberRecord, RevisionNumber)> {
        let entries = self
            .members
            .values()
            .filter(|entry| is_present(&entry.record));
        entries.map(|entry| (&entry.record, entry.revision))
    }

    /// Returns how many VMs there should be, this one included.
    pub fn expected_vm_count(&self) -> usize {
        let present = self.present().count();
        let listed = self
            .listed
            .keys()
            .filter(|name| **name != self.own.name)
            .count();
        1 + present.max(listed)
    }

    /// Notes the revision that this VM holds.
    pub fn set_revision(&mut self, revision: RevisionNumber) {
        self.revision = self.revision.max(revision);
    }

    /// Takes the platform's list of entry VMs.
    pub fn set_listed_vms(&mut self, listing: Vec<(VmName, ZoneName, SocketAddr)>) {
        let vms = listing
            .into_iter()
            .map(|(name, zone, address)| (name, (zone, address)));
        self.listed = vms.collect();
    }

    /// Spreads the word that an upstream is about to leave.
    pub fn announce_leaving(&mut self, notice: LeavingNotice) {
        if self.notices.iter().all(|(known, _)| *known != notice) {
            self.notices.push((notice, NOTICE_SENDS));
        }
    }

    /// Tells all present VMs that this one leaves.
    pub fn leave(&mut self) -> Vec<MembershipAction> {
        self.own.state = MemberState::Left;
        let addresses: Vec<SocketAddr> = self.present().map(|(record, _)| record.address).collect();
        let sends = addresses.into_iter().map(|to| {
            let message = self.message(GossipKind::Ping, 0, None);
            MembershipAction::Send { to, message }
        });
        sends.collect()
    }

    /// Does what is due.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.now = now;
        self.end_probes(now, &mut actions);
        self.end_suspicions(now, &mut actions);
        self.relays.retain(|_, relay| relay.expires > now);
        if now >= self.next_probe {
            self.next_probe = now + self.times.probe_period;
            self.probe_next(now, &mut actions);
            self.probe_suspects(&mut actions);
        }
        actions
    }

    /// Takes a message.
    pub fn on_message(&mut self, message: GossipMessage, now: ClockTime) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.now = self.now.max(now);
        let sender = message.sender.clone();
        if sender.name == self.own.name {
            return actions;
        }
        self.learn(sender.clone(), now, &mut actions);
        self.note_heard(&sender, message.revision, now, &mut actions);
        for record in message.updates {
            self.learn(record, now, &mut actions);
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
                let reply = self.message(kind, message.sequence, Some(&sender.name));
                actions.push(MembershipAction::Send {
                    to: sender.address,
                    message: reply,
                });
            }
            GossipKind::Ack { subject } => self.on_ack(&subject, message.sequence, &mut actions),
            GossipKind::PingRequest { target } => {
                self.relay_probe(&target, sender.address, message.sequence, now, &mut actions);
            }
        }
        actions
    }

    fn note_heard(
        &mut self,
        sender: &MemberRecord,
        revision: RevisionNumber,
        now: ClockTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(entry) = self.members.get_mut(&sender.name) {
            entry.heard = now;
            entry.revision = entry.revision.max(revision);
        }
        if revision > self.revision {
            actions.push(MembershipAction::RevisionBehind {
                from: sender.address,
                revision,
            });
        }
    }

    fn learn(&mut self, record: MemberRecord, now: ClockTime, actions: &mut Vec<MembershipAction>) {
        if record.name == self.own.name {
            return self.contradict(&record);
        }
        let known = self.members.get(&record.name);
        if known.is_some_and(|entry| !record.replaces(&entry.record)) {
            return;
        }
        let is_change = known.is_none_or(|entry| {
            entry.record.state != record.state || entry.record.incarnation != record.incarnation
        });
        let same_run = known.filter(|entry| entry.record.incarnation == record.incarnation);
        let entry = MemberEntry {
            sends_left: self.sends(),
            // All VMs end a suspicion at about the time its first VM does.
            suspect_until: now + self.times.suspicion_timeout.since(record.suspected_for),
            revision: same_run.map_or(RevisionNumber(0), |entry| entry.revision),
            heard: same_run.map_or(ClockTime::ZERO, |entry| entry.heard),
            record: record.clone(),
        };
        self.members.insert(record.name.clone(), entry);
        if is_change {
            actions.push(MembershipAction::Changed(record));
        }
    }

    /// Contradicts a record that says this VM is not there.
    fn contradict(&mut self, record: &MemberRecord) {
        let is_own_run = record.incarnation == self.own.incarnation;
        if is_own_run && record.state != MemberState::Alive && record.counter >= self.own.counter {
            self.own.counter = record.counter + 1;
        }
    }

    fn on_ack(&mut self, subject: &VmName, sequence: u64, actions: &mut Vec<MembershipAction>) {
        self.probes.remove(&sequence);
        if let Some(relay) = self.relays.remove(&sequence) {
            let kind = GossipKind::Ack {
                subject: subject.clone(),
            };
            let message = self.message(kind, relay.sequence, Some(subject));
            actions.push(MembershipAction::Send {
                to: relay.asker,
                message,
            });
        }
    }

    /// Makes a message with the records that most need spreading.
    ///
    /// What is known of `about` is always included, so that it can contradict.
    fn message(
        &mut self,
        kind: GossipKind,
        sequence: u64,
        about: Option<&VmName>,
    ) -> GossipMessage {
        let mut updates: Vec<MemberRecord> = Vec::new();
        let (now, suspicion) = (self.now, self.times.suspicion_timeout);
        let known = about.and_then(|name| self.members.get(name));
        updates.extend(known.map(|entry| entry.to_send(now, suspicion)));
        let mut fresh: Vec<&mut MemberEntry> = self
            .members
            .values_mut()
            .filter(|entry| entry.sends_left > 0)
            .collect();
        fresh.sort_by_key(|entry| std::cmp::Reverse(entry.sends_left));
        for entry in fresh.into_iter().take(self.times.max_updates) {
            entry.sends_left -= 1;
            if about != Some(&entry.record.name) {
                updates.push(entry.to_send(now, suspicion));
            }
        }
        let mut notices = Vec::new();
        let unsent = self.notices.iter_mut().filter(|(_, left)| *left > 0);
        for (notice, left) in unsent.take(NOTICES_PER_MESSAGE) {
            *left -= 1;
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

    fn sends(&self) -> u32 {
        let members = self.members.len() as u32 + 2;
        SENDS_PER_DOUBLING * (u32::BITS - members.leading_zeros())
    }

    fn take_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }
}

fn is_present(record: &MemberRecord) -> bool {
    matches!(record.state, MemberState::Alive | MemberState::Suspect)
}
