//! A replica leaves without a notice, and another writer keeps its last entry in another part
//! of the table.

use super::{pause, ZONES};
use crate::callers::Callers;
use crate::fleet::{config, free_address, Bench};
use crate::record::unix_ms;

const DRAIN_MS: u64 = 2_000;
/// How long the replica serves after its entry was removed.
const SERVES_MS: u64 = 6_000;

pub fn play(bench: &Bench, has_trouble: bool) -> Option<u32> {
    let (record, store) = (&bench.record, &bench.store);
    store.put("op", "", "config", Some(&config(7)));
    let mut replicas = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("i-counter-{number}");
        let replica = bench.start_replica(&id, "counter", free_address(), &["--work-ms", "60"]);
        let entry = replica.entry(replica.address, zone, "ready", 1);
        store.put("servers", "", &id, Some(&entry));
        replicas.push((replica, entry));
    }
    let gateway = bench.start_gateway("frontend-chag-1", "chag");
    let callers = Callers::start(record, gateway.callers, "/post/credit", 12);
    // Until the machine is in touch.
    pause(4_000);
    let (replica, entry) = replicas.remove(0);
    store.put("servers", "", &replica.id, None);
    let removed_at = unix_ms();
    record.note(&format!(
        "the entry of {} is removed; it serves on",
        replica.id
    ));
    if has_trouble {
        store.put("servers", "archive", &replica.id, Some(&entry));
        record.note(&format!(
            "another writer puts its last entry into part `archive`: {entry}"
        ));
    }
    pause(SERVES_MS);
    let (id, leaving_log) = (replica.id.clone(), replica.log.clone());
    drop(replica);
    record.note(&format!("{id} has ended"));
    pause(500);
    let answers = callers.join();
    let log = bench.note_logs(&[&leaving_log, &replicas[0].0.log, &replicas[1].0.log]);
    let begun = format!(" run replica={id} ");
    let late: Vec<&str> = log
        .lines()
        .filter(|line| {
            let time = line
                .split(' ')
                .next()
                .map_or(0, |time| time.parse().unwrap_or(0));
            line.contains(&begun) && time > removed_at + DRAIN_MS
        })
        .collect();
    let lost = answers.iter().filter(|(request, answer)| {
        let is_late = late
            .iter()
            .any(|line| line.contains(&format!("request={request} ")));
        is_late && answer.as_ref().map_or(0, |answer| answer.status()) != 200
    });
    let (violations, lost) = (late.len() as u32, lost.count());
    if violations > 0 {
        record.note(&format!(
            "DRAIN: {violations} requests reached {id} later than {DRAIN_MS} ms after the store had \
             removed its entry; {lost} of them were lost when it ended"
        ));
    }
    (answers.len() > 50).then_some(violations)
}
