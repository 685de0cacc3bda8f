//! Membership under seeded message loss, crashes and pauses, in simulated time.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshed_core::{ClockTime, IncarnationId, VmName};
use skylarkshed_policy::{
    GossipMessage, MemberRecord, MemberState, MembershipAction, MembershipSettings, MembershipTable,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const STEP: ClockTime = ClockTime::from_millis(10);
const DELAY: ClockTime = ClockTime::from_millis(2);
const MS_PER_MINUTE: u64 = 60_000;

/// A simulated network of membership tables that loses messages.
struct FakeNetwork {
    tables: Vec<MembershipTable>,
    stopped: Vec<bool>,
    in_flight: Vec<(ClockTime, SocketAddr, GossipMessage)>,
    now: ClockTime,
    loss: f64,
    rng: SmallRng,
    changes: Vec<(ClockTime, usize, MemberRecord)>,
}

impl FakeNetwork {
    fn new(size: usize, loss: f64, seed: u64) -> Self {
        let table = |number: usize| {
            let seeds = vec![address(0)];
            let settings = MembershipSettings::default();
            MembershipTable::new(record(number), seeds, settings, seed + number as u64)
        };
        FakeNetwork {
            tables: (0..size).map(table).collect(),
            stopped: vec![false; size],
            in_flight: Vec::new(),
            now: ClockTime::ZERO,
            loss,
            rng: SmallRng::seed_from_u64(seed),
            changes: Vec::new(),
        }
    }

    fn run_for(&mut self, duration: ClockTime) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for number in 0..self.tables.len() {
                if !self.stopped[number] {
                    let actions = self.tables[number].on_tick(self.now);
                    self.perform(number, actions);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition::<Vec<_>, _>(|(arrival, ..)| *arrival <= now);
        self.in_flight = later;
        for (_, to, message) in due {
            let number = usize::from(to.port()) - 1_000;
            if !self.stopped[number] {
                let actions = self.tables[number].on_message(message, now);
                self.perform(number, actions);
            }
        }
    }

    fn perform(&mut self, number: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    if self.rng.random::<f64>() >= self.loss {
                        self.in_flight.push((self.now + DELAY, to, message));
                    }
                }
                MembershipAction::Changed(record) => {
                    self.changes.push((self.now, number, record));
                }
                MembershipAction::Leaving(_) | MembershipAction::RevisionBehind { .. } => {}
            }
        }
    }

    /// Returns the state of one VM as seen by each other VM.
    fn views(&self, subject: usize) -> BTreeMap<usize, MemberState> {
        let name = name(subject);
        let others = (0..self.tables.len()).filter(|number| *number != subject);
        let views = others.filter_map(|number| {
            let mut members = self.tables[number].members();
            let seen = members.find(|record| record.name == name)?;
            Some((number, seen.state))
        });
        views.collect()
    }
}

fn name(number: usize) -> VmName {
    VmName::new(format!("vm-{number}"))
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16))
}

fn record(number: usize) -> MemberRecord {
    MemberRecord {
        name: name(number),
        zone: "chag".into(),
        address: address(number),
        incarnation: IncarnationId(1),
        counter: 0,
        state: MemberState::Alive,
        suspected_for: ClockTime::ZERO,
    }
}

#[rstest::rstest]
fn twenty_percent_loss_evicts_no_living_vm(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut network = FakeNetwork::new(9, 0.2, seed);
    network.run_for(ClockTime::from_millis(10 * MS_PER_MINUTE));
    let evicted = network
        .changes
        .iter()
        .filter(|(.., record)| record.state == MemberState::Dead);
    assert_eq!(evicted.count(), 0);
    assert!(network
        .tables
        .iter()
        .all(|table| table.present().count() == 8));
}

#[rstest::rstest]
#[case::small(9, 1)]
#[case::small_other_seed(9, 2)]
#[case::larger(60, 3)]
fn killed_vm_is_detected_within_three_seconds(#[case] size: usize, #[case] seed: u64) {
    let mut network = FakeNetwork::new(size, 0.0, seed);
    network.run_for(ClockTime::from_millis(10_000));
    for killed in 1..6 {
        network.stopped[killed] = true;
        network.run_for(ClockTime::from_millis(3_000));
        let views = network.views(killed);
        let living = views
            .iter()
            .filter(|(number, _)| !network.stopped[**number]);
        let late: Vec<_> = living
            .filter(|(_, state)| **state != MemberState::Dead)
            .collect();
        assert!(late.is_empty(), "vm-{killed} is not dead for {late:?}");
    }
}

#[rstest::rstest]
fn paused_vm_that_returns_is_seen_alive_by_all(#[values(1, 2, 3)] seed: u64) {
    let mut network = FakeNetwork::new(9, 0.0, seed);
    network.run_for(ClockTime::from_millis(10_000));
    network.stopped[4] = true;
    network.run_for(ClockTime::from_millis(10_000));
    network.stopped[4] = false;
    network.run_for(ClockTime::from_millis(5_000));
    let views = network.views(4);
    assert!(
        views.values().all(|state| *state == MemberState::Alive),
        "{views:?}"
    );
    assert_eq!(
        network.tables[4].present().count(),
        8,
        "the returned VM misses others"
    );
}

#[test]
fn leaving_is_final_for_an_incarnation() {
    let mut network = FakeNetwork::new(5, 0.0, 1);
    network.run_for(ClockTime::from_millis(5_000));
    let actions = network.tables[2].leave();
    network.perform(2, actions);
    network.stopped[2] = true;
    network.run_for(ClockTime::from_millis(3_000));
    let views = network.views(2);
    assert!(
        views.values().all(|state| *state == MemberState::Left),
        "{views:?}"
    );
}
