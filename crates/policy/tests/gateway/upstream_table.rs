//! Upstream entries that expire, arrive late, reappear or reuse an address.

use skylarkshed_core::{ClockTime, UpstreamRecord};
use skylarkshed_policy::{EntryTimes, UpstreamChange, UpstreamEntry, UpstreamTable};

const TIMES: EntryTimes = EntryTimes {
    grace: ClockTime::from_millis(2_000),
    silence: ClockTime::from_millis(5_000),
    heartbeat: ClockTime::from_millis(1_200),
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn record(name: &'static str, port: u16, started_ms: u64) -> UpstreamRecord {
    UpstreamRecord {
        name: name.into(),
        service: "stores".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "chag".into(),
        version: "v1".into(),
        slots: 6,
        is_leaving: false,
        started: at(started_ms),
    }
}

fn entry(record: UpstreamRecord) -> UpstreamEntry {
    UpstreamEntry {
        record,
        heartbeats: 1,
    }
}

fn entries(records: Vec<UpstreamRecord>) -> Vec<UpstreamEntry> {
    records.into_iter().map(entry).collect()
}

fn table_with(records: Vec<UpstreamRecord>) -> UpstreamTable {
    let mut table = UpstreamTable::new(TIMES);
    table.replace(entries(records), at(0));
    table
}

fn names(table: &UpstreamTable) -> Vec<&str> {
    table.records().map(|record| record.name.as_str()).collect()
}

#[test]
fn a_removed_entry_is_dropped_at_once() {
    let mut table = table_with(vec![record("a", 1, 0)]);
    let mut changes = Vec::new();
    table.remove(&"a".into(), at(10), &mut changes);
    assert_eq!(changes, [UpstreamChange::Removed("a".into())]);
    assert!(names(&table).is_empty());
}

#[test]
fn an_entry_that_expired_in_an_outage_has_a_grace_period() {
    let mut table = table_with(vec![record("a", 1, 0), record("b", 2, 0)]);
    table.record_store_return(Some(at(9_000)), at(9_000));
    let changes = table.replace(entries(vec![]), at(9_000));
    assert_eq!(changes.len(), 2, "both entries expired");
    let mut changes = Vec::new();
    table.put(entry(record("a", 1, 0)), at(10), &mut changes);
    assert!(table.expire(at(10_999)).is_empty());
    assert_eq!(
        table.expire(at(11_000)),
        [UpstreamChange::Removed("b".into())]
    );
    assert_eq!(names(&table), ["a"]);
}

/// Guards against requests to an upstream that left, because its missing entry is taken for
/// one that expired while the store was away.
#[test]
fn an_entry_is_dropped_once_it_is_known_that_the_store_was_not_away() {
    let mut table = table_with(vec![record("a", 1, 0)]);
    table.record_store_return(Some(at(9_000)), at(9_000));
    table.replace(entries(vec![]), at(9_000));
    assert_eq!(names(&table), ["a"]);
    assert_eq!(
        table.record_store_return(None, at(9_100)),
        [UpstreamChange::Removed("a".into())]
    );
    // It is gone at once if it is removed after the VM has learned that.
    let mut changes = Vec::new();
    table.put(entry(record("b", 2, 0)), at(9_200), &mut changes);
    table.remove(&"b".into(), at(9_300), &mut changes);
    assert!(names(&table).is_empty());
}

#[test]
fn the_grace_period_after_an_older_copy_needs_no_outage() {
    let mut table = table_with(vec![record("a", 1, 0)]);
    table.mark_store_restored(at(9_000));
    assert!(table.record_store_return(None, at(9_000)).is_empty());
    table.replace(entries(vec![]), at(9_000));
    assert_eq!(names(&table), ["a"]);
    assert_eq!(table.expire(at(11_000)).len(), 1);
}

#[test]
fn a_leaving_upstream_gets_no_grace_period() {
    let leaving = UpstreamRecord {
        is_leaving: true,
        ..record("a", 1, 0)
    };
    let mut table = table_with(vec![leaving]);
    table.record_store_return(Some(at(9_000)), at(9_000));
    table.replace(entries(vec![]), at(9_000));
    assert!(names(&table).is_empty());
}

#[test]
fn leaving_is_final_for_one_incarnation_but_not_for_the_next() {
    let leaving = UpstreamRecord {
        is_leaving: true,
        ..record("a", 1, 5)
    };
    let mut table = table_with(vec![leaving]);
    let mut changes = Vec::new();
    table.put(entry(record("a", 1, 5)), at(10), &mut changes);
    assert!(table.records().all(|record| record.is_leaving));
    table.put(entry(record("a", 1, 6)), at(10), &mut changes);
    assert!(table.records().all(|record| !record.is_leaving));
}

#[test]
fn a_new_upstream_removes_the_previous_one_at_its_address() {
    let mut table = table_with(vec![record("old", 1, 5), record("other", 2, 5)]);
    let mut changes = Vec::new();
    table.put(entry(record("new", 1, 6)), at(10), &mut changes);
    assert!(changes.contains(&UpstreamChange::Removed("old".into())));
    assert_eq!(names(&table), ["new", "other"]);
}

#[test]
fn an_identical_entry_is_no_change() {
    let mut table = table_with(vec![record("a", 1, 0)]);
    let mut changes = Vec::new();
    table.put(entry(record("a", 1, 0)), at(10), &mut changes);
    assert!(changes.is_empty());
}

#[test]
fn entries_that_the_older_copy_lacks_have_a_grace_period() {
    let mut table = table_with(vec![record("a", 1, 0), record("b", 2, 0)]);
    table.mark_store_restored(at(9_000));
    table.replace(entries(vec![record("b", 2, 0)]), at(9_000));
    assert_eq!(names(&table), ["a", "b"]);
    table.expire(at(11_000));
    assert_eq!(names(&table), ["b"]);
}

/// Guards against requests to an upstream that left before the store returned from a
/// copy in which it was still ready.
#[test]
fn an_upstream_that_had_left_is_not_used_again_because_of_an_older_copy() {
    let leaving = UpstreamRecord {
        is_leaving: true,
        ..record("a", 1, 5)
    };
    let mut table = table_with(vec![leaving]);
    table.remove(&"a".into(), at(20), &mut Vec::new());
    table.mark_store_restored(at(9_000));
    table.replace(entries(vec![record("a", 1, 5)]), at(9_000));
    assert!(names(&table).is_empty());
    // Even if the copy is never corrected, leaving is final for this incarnation.
    table.expire(at(14_000));
    assert!(table.records().all(|record| record.is_leaving));
}

#[test]
fn an_upstream_that_was_only_silent_is_used_again_after_the_quarantine() {
    let mut table = table_with(vec![record("a", 1, 5)]);
    table.remove(&"a".into(), at(20), &mut Vec::new());
    table.mark_store_restored(at(9_000));
    table.replace(entries(vec![record("a", 1, 5)]), at(9_000));
    table.expire(at(13_999));
    assert!(names(&table).is_empty());
    table.expire(at(14_000));
    assert_eq!(names(&table), ["a"]);
    assert!(table.records().all(|record| !record.is_leaving));
}

#[test]
fn a_removal_within_the_quarantine_is_final() {
    let mut table = table_with(vec![record("a", 1, 5)]);
    table.remove(&"a".into(), at(20), &mut Vec::new());
    table.mark_store_restored(at(9_000));
    table.replace(entries(vec![record("a", 1, 5)]), at(9_000));
    table.remove(&"a".into(), at(10_000), &mut Vec::new());
    table.expire(at(14_000));
    assert!(names(&table).is_empty());
}

#[test]
fn a_new_start_is_used_at_once_after_a_restore() {
    let mut table = table_with(vec![record("a", 1, 5)]);
    table.remove(&"a".into(), at(20), &mut Vec::new());
    table.mark_store_restored(at(9_000));
    table.replace(entries(vec![record("a", 1, 6)]), at(9_000));
    assert_eq!(names(&table), ["a"]);
}
