//! Upstream entries that expire, arrive late, reappear or reuse an address.

use skylarkshed_core::{ClockTime, UpstreamRecord};
use skylarkshed_policy::{UpstreamChange, UpstreamTable};

const GRACE: ClockTime = ClockTime::from_millis(2_000);

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

fn table_with(records: Vec<UpstreamRecord>) -> UpstreamTable {
    let mut table = UpstreamTable::new(GRACE);
    table.replace(records, at(0));
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
    table.mark_store_unavailable();
    table.mark_store_available(at(9_000));
    let changes = table.replace(vec![], at(9_000));
    assert_eq!(changes.len(), 2, "both entries expired");
    let mut changes = Vec::new();
    table.put(record("a", 1, 0), &mut changes);
    assert!(table.expire(at(10_999)).is_empty());
    assert_eq!(
        table.expire(at(11_000)),
        [UpstreamChange::Removed("b".into())]
    );
    assert_eq!(names(&table), ["a"]);
}

#[test]
fn a_leaving_upstream_gets_no_grace_period() {
    let leaving = UpstreamRecord {
        is_leaving: true,
        ..record("a", 1, 0)
    };
    let mut table = table_with(vec![leaving]);
    table.mark_store_unavailable();
    table.mark_store_available(at(9_000));
    table.replace(vec![], at(9_000));
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
    table.put(record("a", 1, 5), &mut changes);
    assert!(table.records().all(|record| record.is_leaving));
    table.put(record("a", 1, 6), &mut changes);
    assert!(table.records().all(|record| !record.is_leaving));
}

#[test]
fn a_new_upstream_removes_the_previous_one_at_its_address() {
    let mut table = table_with(vec![record("old", 1, 5), record("other", 2, 5)]);
    let mut changes = Vec::new();
    table.put(record("new", 1, 6), &mut changes);
    assert!(changes.contains(&UpstreamChange::Removed("old".into())));
    assert_eq!(names(&table), ["new", "other"]);
}

#[test]
fn an_identical_entry_is_no_change() {
    let mut table = table_with(vec![record("a", 1, 0)]);
    let mut changes = Vec::new();
    table.put(record("a", 1, 0), &mut changes);
    assert!(changes.is_empty());
}
