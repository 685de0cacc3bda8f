//! Upstreams' entries that lapse, lag, come back and change hands.

use skylarkshed_core::{ClockTime, UpstreamRecord};
use skylarkshed_policy::{UpstreamChange, UpstreamTable};

const LAPSE: ClockTime = ClockTime::from_millis(2_000);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn record(name: &'static str, port: u16, started: u64) -> UpstreamRecord {
    UpstreamRecord {
        name: name.into(),
        service: "stores".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "chag".into(),
        version: "v1".into(),
        slots: 6,
        is_leaving: false,
        started: at(started),
    }
}

fn book_with(records: Vec<UpstreamRecord>) -> UpstreamTable {
    let mut book = UpstreamTable::new(LAPSE);
    book.replace(records, at(0));
    book
}

fn names(book: &UpstreamTable) -> Vec<&str> {
    book.records().map(|record| record.name.as_str()).collect()
}

#[test]
fn an_entry_that_is_removed_is_gone_at_once() {
    let mut book = book_with(vec![record("a", 1, 0)]);
    let mut changes = Vec::new();
    book.remove(&"a".into(), at(10), &mut changes);
    assert_eq!(changes, [UpstreamChange::Removed("a".into())]);
    assert!(names(&book).is_empty());
}

#[test]
fn an_entry_that_lapsed_in_an_outage_has_two_seconds_to_come_back() {
    let mut book = book_with(vec![record("a", 1, 0), record("b", 2, 0)]);
    book.mark_store_unavailable();
    book.mark_store_available(at(9_000));
    let changes = book.replace(vec![], at(9_000));
    assert_eq!(changes.len(), 2, "both lapsed");
    let mut changes = Vec::new();
    book.put(record("a", 1, 0), &mut changes);
    assert!(book.expire(at(10_999)).is_empty());
    assert_eq!(
        book.expire(at(11_000)),
        [UpstreamChange::Removed("b".into())]
    );
    assert_eq!(names(&book), ["a"]);
}

#[test]
fn a_leaving_upstream_gets_no_two_seconds() {
    let leaving = UpstreamRecord {
        is_leaving: true,
        ..record("a", 1, 0)
    };
    let mut book = book_with(vec![leaving]);
    book.mark_store_unavailable();
    book.mark_store_available(at(9_000));
    book.replace(vec![], at(9_000));
    assert!(names(&book).is_empty());
}

#[test]
fn leaving_is_final_for_one_run_but_not_for_the_next() {
    let leaving = UpstreamRecord {
        is_leaving: true,
        ..record("a", 1, 5)
    };
    let mut book = book_with(vec![leaving]);
    let mut changes = Vec::new();
    book.put(record("a", 1, 5), &mut changes);
    assert!(book.records().all(|record| record.is_leaving));
    book.put(record("a", 1, 6), &mut changes);
    assert!(book.records().all(|record| !record.is_leaving));
}

#[test]
fn a_new_upstream_ends_the_one_that_had_its_address() {
    let mut book = book_with(vec![record("old", 1, 5), record("other", 2, 5)]);
    let mut changes = Vec::new();
    book.put(record("new", 1, 6), &mut changes);
    assert!(changes.contains(&UpstreamChange::Removed("old".into())));
    assert_eq!(names(&book), ["new", "other"]);
}

#[test]
fn an_entry_that_says_the_same_is_no_change() {
    let mut book = book_with(vec![record("a", 1, 0)]);
    let mut changes = Vec::new();
    book.put(record("a", 1, 0), &mut changes);
    assert!(changes.is_empty());
}
