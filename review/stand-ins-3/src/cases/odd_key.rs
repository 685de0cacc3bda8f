//! Another writer's rows fill more than one page of the replicas' table; then all gateway
//! processes are killed and start again.

use super::{pause, ZONES};
use crate::callers::{Answer, Callers};
use crate::fleet::{config, free_address, Bench};
use std::time::Duration;

/// The other writer's rows; each has at most `row_bytes`.
const ROWS: usize = 20;
const ROW_BYTES: usize = 60_000;
const RECOVERY_MS: u64 = 12_000;
const SPAN_MS: u64 = 4_000;

/// Returns how many of the requests were served, in percent.
fn served_percent(answers: &[Answer]) -> usize {
    let served = answers
        .iter()
        .filter(|(_, answer)| answer.as_ref().is_some_and(|answer| answer.status() == 200));
    served.count() * 100 / answers.len().max(1)
}

pub fn play(bench: &Bench, has_trouble: bool) -> Option<u32> {
    let (record, store) = (&bench.record, &bench.store);
    store.put("op", "", "config", Some(&config(7)));
    let mut replicas = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("i-counter-{number}");
        let replica = bench.start_replica(&id, "counter", free_address(), &[]);
        let entry = replica.entry(replica.address, zone, "ready", 1);
        store.put("servers", "", &id, Some(&entry));
        replicas.push(replica);
    }
    let gateway = bench.start_gateway("frontend-chag-1", "chag");
    let callers = Callers::start(record, gateway.callers, "/post/credit", 3);
    pause(SPAN_MS);
    if has_trouble {
        for number in 1..=ROWS {
            let key = format!("backup {number:02}");
            store.put("servers", "", &key, Some(&"\u{fe}".repeat(ROW_BYTES / 2)));
        }
        record.note(&format!(
            "another writer puts {ROWS} rows of {ROW_BYTES} bytes that can't be read, servers/backup 01 \
             to servers/backup {ROWS}"
        ));
    }
    pause(SPAN_MS);
    let before = callers.join();
    let before_percent = served_percent(&before);
    record.note(&format!(
        "before the fault: {before_percent} of 100 requests served"
    ));
    drop(gateway);
    record.note("the gateway is killed");
    pause(550);
    let gateway = bench.launch_gateway("frontend-chag-1", "chag");
    record.note("the gateway has started again");
    let is_ready = gateway.is_ready_within(Duration::from_millis(RECOVERY_MS));
    record.note(&format!("ready within {RECOVERY_MS} ms: {is_ready}"));
    if is_ready {
        pause(RECOVERY_MS);
    }
    let callers = Callers::start(record, gateway.callers, "/post/credit", 3);
    pause(SPAN_MS);
    let after = callers.join();
    let after_percent = served_percent(&after);
    record.note(&format!(
        "later than {RECOVERY_MS} ms after the start: {after_percent} of 100 requests served, of {}",
        after.len()
    ));
    let logs: Vec<_> = replicas.iter().map(|replica| &replica.log).collect();
    bench.note_logs(&logs);
    if before_percent < 25 || after.is_empty() {
        return None;
    }
    Some(u32::from(after_percent < 25))
}
