//! News of an upstream that arrives after newer news of it, from each source that tells of
//! upstreams.

use rstest::rstest;
use skylarkshed_core::{ClockTime, UpstreamRecord};
use skylarkshed_policy::{EntryTimes, UpstreamEntry, UpstreamTable};

const HEARTBEAT_MS: u64 = 1_200;
/// After three heartbeats of silence the store removes an entry.
const EXPIRY_MS: u64 = 3 * HEARTBEAT_MS;
const SILENCE_MS: u64 = 4 * HEARTBEAT_MS;
/// When the upstream under test starts, with its first heartbeat.
const START_MS: u64 = 10_000;
const TIMES: EntryTimes = EntryTimes {
    grace: ClockTime::from_millis(2_000),
    silence: ClockTime::from_millis(SILENCE_MS),
    heartbeat: ClockTime::from_millis(HEARTBEAT_MS),
};

/// The starts of the upstream, by its wall clock.
const FIRST: u64 = 1_000_000;
const SECOND: u64 = 1_005_000;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn record(started_ms: u64) -> UpstreamRecord {
    UpstreamRecord {
        name: "a".into(),
        service: "stores".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "chag".into(),
        version: "v1".into(),
        slots: 6,
        is_leaving: false,
        started: at(started_ms),
    }
}

fn leaving(started_ms: u64) -> UpstreamRecord {
    UpstreamRecord {
        is_leaving: true,
        ..record(started_ms)
    }
}

/// A VM's table, and the news that reach it.
struct Vm(UpstreamTable);

impl Vm {
    fn new() -> Self {
        let mut table = UpstreamTable::new(TIMES);
        table.replace(Vec::new(), at(0));
        Vm(table)
    }

    /// A change from the store or another VM: a heartbeat with this number.
    fn put(&mut self, record: UpstreamRecord, heartbeats: u64, now_ms: u64) {
        let entry = UpstreamEntry { record, heartbeats };
        self.0.put(entry, at(now_ms), &mut Vec::new());
    }

    /// A heartbeat that arrives as it is sent by an upstream that started at [`START_MS`].
    fn put_on_time(&mut self, record: UpstreamRecord, now_ms: u64) {
        self.put(record, heartbeats_until(now_ms), now_ms);
    }

    /// A tombstone.
    fn remove(&mut self, now_ms: u64) {
        self.0.remove(&"a".into(), at(now_ms), &mut Vec::new());
    }

    /// An entry of another writer.
    fn overwrite(&mut self, now_ms: u64) {
        let mut changes = Vec::new();
        self.0
            .remove_unreadable(&"a".into(), at(now_ms), &mut changes);
    }

    /// The whole table, from the store or another VM.
    fn list(&mut self, records: Vec<(UpstreamRecord, u64)>, now_ms: u64) {
        let entries = records.into_iter();
        let entries = entries.map(|(record, heartbeats)| UpstreamEntry { record, heartbeats });
        self.0.replace(entries.collect(), at(now_ms));
    }

    /// The start of the upstream, if it is used for new work.
    fn used_start(&mut self, now_ms: u64) -> Option<u64> {
        self.0.expire(at(now_ms));
        let mut records = self
            .0
            .records()
            .filter(|record| record.name.as_str() == "a");
        let record = records.next()?;
        (!record.is_leaving).then(|| record.started.as_millis())
    }
}

fn heartbeats_until(now_ms: u64) -> u64 {
    1 + (now_ms - START_MS) / HEARTBEAT_MS
}

/// How an upstream leaves.
#[derive(Clone, Copy)]
enum Leave {
    /// Its entry is removed, and it serves on.
    Removed,
    /// It reports that it is draining.
    Draining,
    /// It reports that, and then its entry is removed.
    DrainedAndRemoved,
}

impl Leave {
    fn apply(self, vm: &mut Vm, started_ms: u64, now_ms: u64) {
        if !matches!(self, Leave::Removed) {
            vm.put_on_time(leaving(started_ms), now_ms);
        }
        if !matches!(self, Leave::Draining) {
            vm.remove(now_ms + 10);
        }
    }
}

/// Guards against requests to an upstream that has left, because a heartbeat of its earlier
/// start arrives after that.
#[rstest]
#[case::removed(Leave::Removed)]
#[case::draining(Leave::Draining)]
#[case::drained(Leave::DrainedAndRemoved)]
fn a_heartbeat_of_an_earlier_start_brings_nothing_back(
    #[case] leave: Leave,
    #[values(100, 1_900, 30_000)] delay_ms: u64,
    #[values(false, true)] is_leaving: bool,
) {
    let mut vm = Vm::new();
    vm.put(record(FIRST), 1, 2_000);
    vm.put_on_time(record(SECOND), START_MS);
    leave.apply(&mut vm, SECOND, 20_000);
    let late_ms = 20_000 + delay_ms;
    let late = match is_leaving {
        true => leaving(FIRST),
        false => record(FIRST),
    };
    vm.put(late, 5, late_ms);
    assert_eq!(vm.used_start(late_ms), None);
    assert_eq!(vm.used_start(late_ms + EXPIRY_MS), None);
    vm.remove(late_ms + EXPIRY_MS);
    assert_eq!(vm.used_start(late_ms + 60_000), None);
}

/// Guards against a later start that is replaced by an earlier one while it serves.
#[test]
fn a_heartbeat_of_an_earlier_start_does_not_replace_a_later_one() {
    let mut vm = Vm::new();
    vm.put_on_time(record(SECOND), START_MS);
    vm.put(record(FIRST), 5, 20_000);
    assert_eq!(vm.used_start(20_500), Some(SECOND));
    vm.put_on_time(record(SECOND), 21_000);
    assert_eq!(vm.used_start(60_000), Some(SECOND));
}

/// Guards against an upstream that is never used again because its wall clock was set back
/// before it started again.
#[test]
fn an_earlier_start_that_stays_listed_is_used() {
    let mut vm = Vm::new();
    vm.put_on_time(record(SECOND), START_MS);
    vm.remove(20_000);
    vm.put(record(FIRST), 1, 21_000);
    assert_eq!(vm.used_start(21_000 + 2 * SILENCE_MS), None);
    assert_eq!(vm.used_start(21_000 + 3 * SILENCE_MS), Some(FIRST));
}

/// Guards against requests to an upstream that has left, because a heartbeat that it sent
/// before arrives after that.
#[rstest]
#[case::removed(Leave::Removed)]
#[case::drained(Leave::DrainedAndRemoved)]
#[case::draining(Leave::Draining)]
fn a_heartbeat_from_before_the_removal_brings_nothing_back(
    #[case] leave: Leave,
    #[values(100, 1_900, 30_000)] delay_ms: u64,
    #[values(10, 4_000)] held_up_ms: u64,
) {
    let mut vm = Vm::new();
    vm.put_on_time(record(SECOND), START_MS);
    leave.apply(&mut vm, SECOND, 20_000);
    let late_ms = 20_000 + delay_ms;
    vm.put(
        record(SECOND),
        heartbeats_until(20_000 - held_up_ms),
        late_ms,
    );
    assert_eq!(vm.used_start(late_ms), None);
    assert_eq!(vm.used_start(late_ms + EXPIRY_MS), None);
    vm.remove(late_ms + EXPIRY_MS);
    assert_eq!(vm.used_start(late_ms + 60_000), None);
}

/// Guards against an upstream that was only cut off from the store, and isn't used after it
/// has come back.
#[test]
fn a_heartbeat_from_after_the_removal_is_used_at_once() {
    let mut vm = Vm::new();
    vm.put_on_time(record(SECOND), START_MS);
    vm.remove(20_000);
    vm.put_on_time(record(SECOND), 23_000);
    assert_eq!(vm.used_start(23_000), Some(SECOND));
    // It is still known how its heartbeats are timed.
    vm.remove(40_000);
    vm.put(record(SECOND), heartbeats_until(38_000), 42_000);
    assert_eq!(vm.used_start(42_000), None);
}

/// Guards against a heartbeat that arrives late, by which later ones are judged.
#[test]
fn the_least_delayed_heartbeat_counts() {
    let mut vm = Vm::new();
    vm.put(record(SECOND), 1, START_MS + 6_000);
    vm.put_on_time(record(SECOND), START_MS + 7_200);
    vm.remove(30_000);
    vm.put(record(SECOND), heartbeats_until(28_000), 33_000);
    assert_eq!(vm.used_start(33_000), None);
}

/// Guards against an upstream that isn't used after it has come back, at a VM that started
/// after it and can't tell when its heartbeats are sent.
#[test]
fn an_upstream_that_stays_listed_after_its_removal_is_used() {
    let mut vm = Vm::new();
    vm.list(vec![(record(SECOND), 1)], 15_000);
    vm.remove(20_000);
    vm.put_on_time(record(SECOND), 23_000);
    assert_eq!(vm.used_start(23_000 + EXPIRY_MS), None);
    // A store that loses its history again and again has the table read each time.
    vm.list(vec![(record(SECOND), 11)], 27_000);
    assert_eq!(vm.used_start(23_000 + SILENCE_MS), Some(SECOND));
}

/// Guards against an upstream that isn't used for seconds because its entry was dropped just
/// before its heartbeat arrived, when a cut of a zone has ended.
#[test]
fn a_heartbeat_from_after_the_entry_was_missing_is_used_at_once() {
    let mut vm = Vm::new();
    vm.put_on_time(record(SECOND), START_MS);
    vm.0.record_store_return(Some(at(21_000)), at(21_000));
    vm.remove(21_100);
    assert_eq!(vm.used_start(21_100), Some(SECOND));
    // Another VM tells that the store was not away.
    vm.0.record_store_return(None, at(22_100));
    assert_eq!(vm.used_start(22_100), None);
    vm.put(record(SECOND), heartbeats_until(22_000), 22_200);
    assert_eq!(vm.used_start(22_200), Some(SECOND));
}

/// Guards against an upstream that has left and of which several heartbeats arrive late, one
/// after the other.
#[test]
fn each_late_heartbeat_is_waited_for() {
    let mut vm = Vm::new();
    vm.put_on_time(record(SECOND), START_MS);
    vm.remove(20_000);
    vm.put(record(SECOND), 3, 21_000);
    vm.put(record(SECOND), 4, 21_000 + EXPIRY_MS - 100);
    assert_eq!(vm.used_start(21_000 + 2 * EXPIRY_MS - 200), None);
    vm.remove(21_000 + 2 * EXPIRY_MS - 100);
    assert_eq!(vm.used_start(60_000), None);
}

/// Guards against requests to an upstream that has left, because the whole table is read
/// from a VM that doesn't know that yet.
#[rstest]
#[case::same_start(SECOND)]
#[case::earlier_start(FIRST)]
fn a_table_that_is_behind_brings_nothing_back(#[case] listed: u64) {
    let mut vm = Vm::new();
    vm.put_on_time(record(SECOND), START_MS);
    vm.remove(20_000);
    vm.list(vec![(record(listed), 1)], 20_500);
    assert_eq!(vm.used_start(20_500), None);
    vm.remove(20_800);
    assert_eq!(vm.used_start(60_000), None);
}

/// Guards against requests to an upstream that has left while a VM could not read changes,
/// because the table has an entry of its earlier start.
#[test]
fn a_table_with_an_earlier_start_removes_the_later_one() {
    let mut vm = Vm::new();
    vm.put_on_time(record(SECOND), START_MS);
    vm.list(vec![(record(FIRST), 5)], 20_000);
    assert_eq!(vm.used_start(20_000), None);
    vm.list(vec![], 20_000 + EXPIRY_MS);
    assert_eq!(vm.used_start(60_000), None);
}

/// Guards against an upstream that isn't used for seconds because another writer replaced
/// its entry once.
#[test]
fn an_upstream_with_an_overwritten_entry_is_used_with_its_next_heartbeat() {
    let mut vm = Vm::new();
    vm.put_on_time(record(SECOND), START_MS);
    vm.overwrite(20_000);
    assert_eq!(vm.used_start(20_000), None);
    vm.put_on_time(record(SECOND), 20_800);
    assert_eq!(vm.used_start(20_800), Some(SECOND));
}

/// Guards against the same after an entry of another service with a later start.
#[test]
fn an_entry_of_another_service_does_not_make_heartbeats_old() {
    let mut vm = Vm::new();
    vm.put_on_time(record(SECOND), START_MS);
    let other = UpstreamRecord {
        service: "archive".into(),
        ..record(SECOND * 1_000)
    };
    vm.put(other, 1, 20_000);
    vm.put_on_time(record(SECOND), 20_800);
    assert_eq!(vm.used_start(20_800), Some(SECOND));
}

/// Guards against requests to an upstream that has left while its entry was overwritten.
#[test]
fn an_overwritten_entry_that_is_removed_is_not_brought_back() {
    let mut vm = Vm::new();
    vm.put_on_time(record(SECOND), START_MS);
    vm.overwrite(20_000);
    vm.remove(20_500);
    vm.put(record(SECOND), heartbeats_until(19_000), 22_000);
    assert_eq!(vm.used_start(22_000), None);
}

/// Guards against requests to an upstream whose address another one has got, because a late
/// heartbeat arrives.
#[test]
fn an_upstream_that_lost_its_address_is_not_brought_back() {
    let mut vm = Vm::new();
    vm.put_on_time(record(FIRST), START_MS);
    let successor = UpstreamRecord {
        name: "b".into(),
        ..record(SECOND)
    };
    vm.put(successor, 1, 20_000);
    assert_eq!(vm.used_start(20_000), None);
    vm.put(record(FIRST), heartbeats_until(18_000), 21_000);
    assert_eq!(vm.used_start(21_000), None);
}

/// Guards against upstreams that are forgotten all at once when many have left.
#[test]
fn the_last_upstreams_that_left_are_remembered() {
    let mut vm = Vm::new();
    vm.put_on_time(record(SECOND), START_MS);
    for number in 0..4_096_u64 {
        let other = UpstreamRecord {
            name: format!("other-{number}").as_str().into(),
            address: ([127, 0, 1, 1], number as u16).into(),
            ..record(FIRST)
        };
        let name = other.name.clone();
        vm.put(other, 1, START_MS + number);
        vm.0.remove(&name, at(START_MS + number), &mut Vec::new());
        if number == 4_000 {
            vm.remove(START_MS + number);
        }
    }
    vm.put(record(SECOND), 1, 30_000);
    assert_eq!(vm.used_start(30_000), None);
}
