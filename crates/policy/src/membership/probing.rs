//! Probing of other VMs, and the suspicion that follows a probe without a reply.

use super::{is_present, IndirectProbe, MembershipTable, PendingProbe};
use crate::membership_types::{GossipKind, MemberRecord, MemberState, MembershipAction};
use crate::rendezvous::{hash_rank, is_top_ranked};
use rand::seq::{IndexedRandom, SliceRandom};
use skylarkshed_core::{ClockTime, VmName};
use std::net::SocketAddr;

/// One in this many probes goes to a VM that is not present: one that is considered
/// dead or has not been seen yet.
const ABSENT_PROBE_INTERVAL: u64 = 4;

impl MembershipTable {
    /// Probes a VM on behalf of another one.
    pub(super) fn send_indirect_probe(
        &mut self,
        target: &VmName,
        requester: SocketAddr,
        request_sequence: u64,
        now: ClockTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(to) = self.members.get(target).map(|entry| entry.record.address) else {
            return;
        };
        let sequence = self.next_probe_sequence();
        let expires = now + self.settings.indirect_timeout;
        self.pending_indirect_probes.insert(
            sequence,
            IndirectProbe {
                requester,
                request_sequence,
                expires,
            },
        );
        let message = self.build_message(GossipKind::Ping, sequence, Some(target));
        actions.push(MembershipAction::Send { to, message });
    }

    pub(super) fn handle_probe_timeouts(
        &mut self,
        now: ClockTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        let due = self
            .pending_probes
            .iter()
            .filter(|(_, probe)| probe.due <= now);
        let mut due: Vec<u64> = due.map(|(&sequence, _)| sequence).collect();
        due.sort_unstable();
        for sequence in due {
            let Some(mut probe) = self.pending_probes.remove(&sequence) else {
                continue;
            };
            if probe.is_indirect {
                self.mark_suspect(&probe.target, now, actions);
                continue;
            }
            probe.is_indirect = true;
            probe.due = now + self.settings.indirect_timeout;
            self.request_indirect_probes(&probe.target, sequence, actions);
            self.pending_probes.insert(sequence, probe);
        }
    }

    fn request_indirect_probes(
        &mut self,
        target: &VmName,
        sequence: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        let alive = self
            .members
            .values()
            .map(|entry| &entry.record)
            .filter(|record| record.state == MemberState::Alive && record.name != *target);
        let addresses: Vec<SocketAddr> = alive.map(|record| record.address).collect();
        let count = self.settings.indirect_probes;
        let chosen: Vec<SocketAddr> = addresses
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        for to in chosen {
            let kind = GossipKind::PingRequest {
                target: target.clone(),
            };
            let message = self.build_message(kind, sequence, Some(target));
            actions.push(MembershipAction::Send { to, message });
        }
    }

    fn mark_suspect(
        &mut self,
        target: &VmName,
        now: ClockTime,
        actions: &mut Vec<MembershipAction>,
    ) {
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
        self.apply_record(record, now, actions);
        self.probe(target, None, actions);
    }

    pub(super) fn handle_suspicion_timeouts(
        &mut self,
        now: ClockTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        let overdue = self.members.values().filter(|entry| {
            entry.record.state == MemberState::Suspect && entry.suspect_until <= now
        });
        let records: Vec<MemberRecord> = overdue.map(|entry| entry.record.clone()).collect();
        for record in records {
            self.apply_record(
                MemberRecord {
                    state: MemberState::Dead,
                    ..record
                },
                now,
                actions,
            );
        }
    }

    /// Probes, in turn, the successor in the ring and the next VM of a shuffled round,
    /// and occasionally also a VM that is not present.
    pub(super) fn probe_next(&mut self, now: ClockTime, actions: &mut Vec<MembershipAction>) {
        if self.next_sequence.is_multiple_of(ABSENT_PROBE_INTERVAL) || self.members.is_empty() {
            self.probe_absent(actions);
        }
        self.is_ring_turn = !self.is_ring_turn;
        if self.is_ring_turn {
            return self.probe_successor(now, actions);
        }
        if self.probe_round.is_empty() {
            let present = self.present().map(|(record, _)| record.name.clone());
            self.probe_round = present.collect();
            self.probe_round.shuffle(&mut self.rng);
        }
        if let Some(target) = self.probe_round.pop() {
            self.probe(&target, Some(now), actions);
        }
    }

    /// Probes the next present VM of the ring.
    ///
    /// With random probes alone, a dead VM is sometimes not probed for several
    /// periods; the ring bounds that time.
    fn probe_successor(&mut self, now: ClockTime, actions: &mut Vec<MembershipAction>) {
        let own = ring_position(&self.own.name);
        let present = self.present().map(|(record, _)| &record.name);
        let successor = present.min_by_key(|name| ring_position(name).wrapping_sub(own));
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
        let listed = self.listed_vms.iter().filter(|(name, _)| is_absent(name));
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
            let sequence = self.next_probe_sequence();
            let message = self.build_message(GossipKind::Ping, sequence, None);
            actions.push(MembershipAction::Send { to, message });
        } else {
            self.next_probe_sequence();
        }
    }

    /// Sends a probe. If `now` is given, a missing reply leads to indirect probes and
    /// then to suspicion; otherwise it is ignored.
    fn probe(
        &mut self,
        target: &VmName,
        now: Option<ClockTime>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(to) = self.members.get(target).map(|entry| entry.record.address) else {
            return;
        };
        let sequence = self.next_probe_sequence();
        if let Some(now) = now {
            let due = now + self.settings.direct_timeout;
            let probe = PendingProbe {
                target: target.clone(),
                is_indirect: false,
                due,
            };
            self.pending_probes.insert(sequence, probe);
        }
        let message = self.build_message(GossipKind::Ping, sequence, Some(target));
        actions.push(MembershipAction::Send { to, message });
    }

    /// Probes each suspect VM for which this VM is a confirmer.
    pub(super) fn probe_suspects(&mut self, actions: &mut Vec<MembershipAction>) {
        let suspects = self
            .members
            .values()
            .filter(|entry| entry.record.state == MemberState::Suspect);
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
        is_top_ranked(&self.own.name, others, target, self.settings.confirmers)
    }
}

/// Returns the position of a VM in the ring. The hash spreads the VMs of one rack
/// over the ring.
fn ring_position(name: &VmName) -> u64 {
    hash_rank(name)
}
