//! A store that returns from an older copy, with VMs that read it directly, through a
//! relay, or not at all for a while.

use proptest::prelude::*;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{FeedBatch, FeedCache, FeedError, FeedPosition, FeedRow};

const NOW: ClockTime = ClockTime::from_millis(50);
const VMS: usize = 4;

fn at(era: u64, revision: u64) -> FeedPosition {
    FeedPosition { era, revision }
}

/// A configuration row, whose value is its version.
fn config(revision: u64, version: u64) -> FeedRow {
    FeedRow {
        key: "config".into(),
        revision,
        value: Some(version.to_string().into()),
    }
}

fn version(row: &FeedRow) -> Option<u64> {
    let value = row.value.as_ref()?;
    std::str::from_utf8(value).ok()?.parse().ok()
}

fn table(rows: Vec<FeedRow>, position: FeedPosition) -> FeedBatch {
    FeedBatch {
        rows,
        position,
        age: ClockTime::ZERO,
    }
}

#[test]
fn a_table_of_a_later_era_replaces_one_with_a_higher_revision() {
    let mut cache = FeedCache::default();
    cache.replace(&table(vec![], at(1, 900)), NOW, version);
    let row = FeedRow {
        key: "a".into(),
        revision: 850,
        value: Some("x".into()),
    };
    cache.replace(&table(vec![row.clone()], at(2, 850)), NOW, version);
    assert_eq!(cache.position(), at(2, 850));
    assert_eq!(cache.changes(None), Ok(vec![row]));
    cache.replace(&table(vec![], at(1, 901)), NOW, version);
    assert_eq!(cache.position(), at(2, 850));
}

#[test]
fn changes_of_another_era_are_not_mixed_in() {
    let mut cache = FeedCache::default();
    cache.replace(&table(vec![], at(2, 5)), NOW, version);
    cache.apply(&table(vec![config(9, 3)], at(1, 9)), NOW);
    cache.apply(&table(vec![config(9, 3)], at(3, 9)), NOW);
    assert_eq!(cache.changes(None), Ok(vec![]));
}

#[test]
fn a_reader_of_an_older_era_reads_the_whole_table_and_one_of_a_later_era_elsewhere() {
    let mut cache = FeedCache::default();
    cache.replace(&table(vec![], at(2, 5)), NOW, version);
    assert_eq!(cache.changes(Some(at(1, 7))), Err(FeedError::HistoryLost));
    assert_eq!(cache.changes(Some(at(3, 1))), Err(FeedError::Unknown));
}

#[test]
fn a_newer_configuration_is_passed_on_until_the_operators_have_written_it_again() {
    let mut cache = FeedCache::default();
    cache.replace(&table(vec![config(8, 12)], at(1, 9)), NOW, version);
    cache.replace(&table(vec![config(4, 11)], at(2, 5)), NOW, version);
    let versions = |cache: &FeedCache| {
        let rows = cache.changes(None).unwrap();
        rows.iter().filter_map(version).collect::<Vec<u64>>()
    };
    assert_eq!(versions(&cache), [12]);
    cache.apply(&table(vec![config(7, 13)], at(2, 7)), NOW);
    assert_eq!(versions(&cache), [13]);
}

/// A step of the simulated fleet.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The operators write the next version.
    Write,
    /// The store returns from the copy of so many changes ago.
    Restore(u64),
    /// A VM reads the store; the reply may be lost.
    ReadStore { vm: usize, is_lost: bool },
    /// A VM reads from another VM.
    ReadPeer { vm: usize, from: usize },
    /// A VM restarts and knows nothing.
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => Just(Step::Write),
        1 => (1..5_u64).prop_map(Step::Restore),
        4 => (0..VMS, any::<bool>()).prop_map(|(vm, is_lost)| Step::ReadStore { vm, is_lost }),
        4 => (0..VMS, 0..VMS).prop_map(|(vm, from)| Step::ReadPeer { vm, from }),
        1 => (0..VMS).prop_map(Step::Restart),
    ];
    proptest::collection::vec(step, 1..80)
}

/// The store: one row that changes, of which all earlier values are known.
struct Store {
    era: u64,
    /// The version written by each revision.
    versions: Vec<u64>,
    last_version: u64,
}

impl Store {
    fn position(&self) -> FeedPosition {
        at(self.era, self.versions.len() as u64)
    }

    fn row(&self) -> Vec<FeedRow> {
        let revision = self.versions.len() as u64;
        let version = self.versions.last();
        version
            .map(|version| config(revision, *version))
            .into_iter()
            .collect()
    }

    fn write(&mut self) {
        self.last_version += 1;
        self.versions.push(self.last_version);
    }
}

/// A VM: its cache, the position that it reads on from, and the version in force.
#[derive(Default)]
struct Vm {
    cache: FeedCache,
    known: Option<FeedPosition>,
    era: u64,
    in_force: u64,
}

impl Vm {
    /// Applies a reply as the feed reader does; returns whether it was accepted.
    fn accept(&mut self, batch: &FeedBatch, is_complete: bool) -> bool {
        if batch.position.era < self.era {
            return false;
        }
        self.era = batch.position.era;
        let is_other_history = !is_complete
            && self
                .known
                .is_some_and(|known| batch.position.is_in_later_era(known));
        if is_other_history {
            self.known = None;
            return false;
        }
        match is_complete {
            true => self.cache.replace(batch, NOW, version),
            false => self.cache.apply(batch, NOW),
        }
        let versions = batch.rows.iter().filter_map(version);
        self.in_force = versions.fold(self.in_force, u64::max);
        self.known = Some(batch.position);
        true
    }

    fn read_store(&mut self, store: &Store) {
        let position = store.position();
        match self.known {
            // The store no longer has the position: 410.
            Some(known) if known.revision > position.revision => self.known = None,
            Some(known) => {
                let rows = store.row().into_iter();
                let rows = rows.filter(|row| row.revision > known.revision);
                self.accept(&table(rows.collect(), position), false);
            }
            None => {
                self.accept(&table(store.row(), position), true);
            }
        }
    }

    fn read_peer(&mut self, from: &FeedCache) {
        match from.changes(self.known) {
            Ok(rows) => {
                let is_complete = self.known.is_none();
                self.accept(&table(rows, from.position()), is_complete);
            }
            Err(FeedError::HistoryLost) => self.known = None,
            Err(FeedError::Unknown) => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(21),
        ..ProptestConfig::default()
    })]

    /// The version in force never falls within one start of a VM, and after the
    /// operators have written again, all VMs have the same version, whichever way they
    /// read.
    #[test]
    fn no_version_falls_and_all_vms_converge(steps in steps(), relay in 0..VMS) {
        let mut store = Store { era: 1, versions: Vec::new(), last_version: 0 };
        let mut vms: Vec<Vm> = (0..VMS).map(|_| Vm::default()).collect();
        for step in steps {
            let before: Vec<u64> = vms.iter().map(|vm| vm.in_force).collect();
            let mut restarted = None;
            match step {
                Step::Write => store.write(),
                Step::Restore(back) => {
                    let kept = store.versions.len().saturating_sub(back as usize);
                    store.versions.truncate(kept);
                    store.era += 1;
                }
                Step::ReadStore { is_lost: true, .. } => {}
                Step::ReadStore { vm, .. } => vms[vm].read_store(&store),
                Step::ReadPeer { vm, from } if vm != from => {
                    let cache = vms[from].cache.clone();
                    vms[vm].read_peer(&cache);
                }
                Step::ReadPeer { .. } => {}
                Step::Restart(vm) => {
                    vms[vm] = Vm::default();
                    restarted = Some(vm);
                }
            }
            for (number, vm) in vms.iter().enumerate() {
                prop_assert!(restarted == Some(number) || vm.in_force >= before[number]);
                prop_assert!(vm.cache.position().era <= store.era);
            }
        }
        store.write();
        // A read can end with the news that the history is lost, which the next one
        // follows up.
        for _ in 0..3 {
            vms[relay].read_store(&store);
        }
        let cache = vms[relay].cache.clone();
        for number in (0..VMS).filter(|number| *number != relay) {
            for _ in 0..3 {
                vms[number].read_peer(&cache);
            }
        }
        for vm in &vms {
            prop_assert_eq!(vm.in_force, store.last_version);
            prop_assert_eq!(vm.cache.position(), store.position());
        }
    }
}
