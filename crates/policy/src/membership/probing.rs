//! Probes: whom to ask for a sign of life, and what silence means.

use super::{is_present, MembershipTable, PendingProbe, RelayedProbe};
use crate::membership_types::{GossipKind, MemberRecord, MemberState, MembershipAction};
use crate::rendezvous::{hash_rank, is_top_ranked};
use rand::seq::{IndexedRandom, SliceRandom};
use skylarkshed_core::{ClockTime, VmName};
use std::net::SocketAddr;

/// One probe in this many goes to a VM that is thought dead.
const DEAD_PROBE_EVERY: u64 = 4;

impl MembershipTable {
    pub(super) fn relay_probe(
        &mut self,
        target: &VmName,
        asker: SocketAddr,
        asked: u64,
        now: ClockTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(to) = self.members.get(target).map(|entry| entry.record.address) else {
            return;
        };
        let sequence = self.take_sequence();
        let expires = now + self.times.indirect_timeout;
        self.relays.insert(
            sequence,
            RelayedProbe {
                asker,
                sequence: asked,
                expires,
            },
        );
        let message = self.message(GossipKind::Ping, sequence, Some(target));
        actions.push(MembershipAction::Send { to, message });
    }

    pub(super) fn end_probes(&mut self, now: ClockTime, actions: &mut Vec<MembershipAction>) {
        let due = self.probes.iter().filter(|(_, probe)| probe.due <= now);
        let mut due: Vec<u64> = due.map(|(&sequence, _)| sequence).collect();
        due.sort_unstable();
        for sequence in due {
            let Some(mut probe) = self.probes.remove(&sequence) else {
                continue;
            };
            if probe.asked_others {
                self.suspect(&probe.target, now, actions);
                continue;
            }
            probe.asked_others = true;
            probe.due = now + self.times.indirect_timeout;
            self.ask_others(&probe.target, sequence, actions);
            self.probes.insert(sequence, probe);
        }
    }

    fn ask_others(&mut self, target: &VmName, sequence: u64, actions: &mut Vec<MembershipAction>) {
        let alive = self
            .members
            .values()
            .map(|entry| &entry.record)
            .filter(|record| record.state == MemberState::Alive && record.name != *target);
        let addresses: Vec<SocketAddr> = alive.map(|record| record.address).collect();
        let count = self.times.indirect_probes;
        let chosen: Vec<SocketAddr> = addresses
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        for to in chosen {
            let kind = GossipKind::PingRequest {
                target: target.clone(),
            };
            let message = self.message(kind, sequence, Some(target));
            actions.push(MembershipAction::Send { to, message });
        }
    }

    fn suspect(&mut self, target: &VmName, now: ClockTime, actions: &mut Vec<MembershipAction>) {
        let Some(entry) = self.members.get(target) else {
            return;
        };
        if entry.record.state != MemberState::Alive {
            return;
        }
        let record = MemberRecord {
            state: MemberState::Suspect,
            ..entry.record.clone()
        };
        self.learn(record, now, actions);
        self.probe(target, None, actions);
    }

    pub(super) fn end_suspicions(&mut self, now: ClockTime, actions: &mut Vec<MembershipAction>) {
        let overdue = self.members.values().filter(|entry| {
            entry.record.state == MemberState::Suspect && entry.suspect_until <= now
        });
        let records: Vec<MemberRecord> = overdue.map(|entry| entry.record.clone()).collect();
        for record in records {
            self.learn(
                MemberRecord {
                    state: MemberState::Dead,
                    ..record
                },
                now,
                actions,
            );
        }
    }

    /// Probes the next VM of the round; now and then one that is not there.
    pub(super) fn probe_next(&mut self, now: ClockTime, actions: &mut Vec<MembershipAction>) {
        if self.next_sequence.is_multiple_of(DEAD_PROBE_EVERY) || self.members.is_empty() {
            self.probe_absent(actions);
        }
        self.ring_turn = !self.ring_turn;
        if self.ring_turn {
            return self.probe_successor(now, actions);
        }
        if self.round.is_empty() {
            let present = self.present().map(|(record, _)| record.name.clone());
            self.round = present.collect();
            self.round.shuffle(&mut self.rng);
        }
        if let Some(target) = self.round.pop() {
            self.probe(&target, Some(now), actions);
        }
    }

    /// Probes the next present VM of the ring.
    ///
    /// Random probes alone leave a dead VM without a probe for several periods
    /// now and then; the ring bounds that time.
    fn probe_successor(&mut self, now: ClockTime, actions: &mut Vec<MembershipAction>) {
        let own = ring_place(&self.own.name);
        let present = self.present().map(|(record, _)| &record.name);
        let successor = present.min_by_key(|name| ring_place(name).wrapping_sub(own));
        if let Some(target) = successor.cloned() {
            self.probe(&target, Some(now), actions);
        }
    }

    fn probe_absent(&mut self, actions: &mut Vec<MembershipAction>) {
        let is_absent = |name: &VmName| {
            *name != self.own.name
                && self
                    .members
                    .get(name)
                    .is_none_or(|entry| !is_present(&entry.record))
        };
        let listed = self.listed.iter().filter(|(name, _)| is_absent(name));
        let mut addresses: Vec<SocketAddr> = listed.map(|(_, (_, address))| *address).collect();
        let dead = self
            .members
            .values()
            .filter(|entry| entry.record.state == MemberState::Dead);
        addresses.extend(dead.map(|entry| entry.record.address));
        if addresses.is_empty() && self.members.is_empty() {
            addresses.clone_from(&self.seeds);
        }
        if let Some(&to) = addresses.choose(&mut self.rng) {
            let sequence = self.take_sequence();
            let message = self.message(GossipKind::Ping, sequence, None);
            actions.push(MembershipAction::Send { to, message });
        } else {
            self.take_sequence();
        }
    }

    fn probe(
        &mut self,
        target: &VmName,
        now: Option<ClockTime>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(to) = self.members.get(target).map(|entry| entry.record.address) else {
            return;
        };
        let sequence = self.take_sequence();
        if let Some(now) = now {
            let due = now + self.times.direct_timeout;
            let probe = PendingProbe {
                target: target.clone(),
                asked_others: false,
                due,
            };
            self.probes.insert(sequence, probe);
        }
        let message = self.message(GossipKind::Ping, sequence, Some(target));
        actions.push(MembershipAction::Send { to, message });
    }

    /// Probes each suspect VM that this VM is one of the confirmers of.
    pub(super) fn probe_suspects(&mut self, actions: &mut Vec<MembershipAction>) {
        let suspects = self
            .members
            .values()
            .filter(|e| e.record.state == MemberState::Suspect);
        let suspects: Vec<VmName> = suspects.map(|entry| entry.record.name.clone()).collect();
        for target in suspects {
            if self.is_confirmer(&target) {
                self.probe(&target, None, actions);
            }
        }
    }

    fn is_confirmer(&self, target: &VmName) -> bool {
        let others = self.present().map(|(record, _)| &record.name);
        let others = others.filter(|name| *name != target);
        is_top_ranked(&self.own.name, others, target, self.times.confirmers)
    }
}

/// The place of a VM in the ring; VMs of one rack are spread over it.
fn ring_place(name: &VmName) -> u64 {
    hash_rank(name)
}
