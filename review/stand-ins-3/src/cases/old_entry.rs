//! A replica's check-in gets no answer and is performed seconds later. By then the replica has
//! crashed, has started again under its id, and has left without a notice.

use super::{pause, ZONES};
use crate::callers::Callers;
use crate::fleet::{config, free_address, signal, Bench};
use crate::record::unix_ms;

const DRAIN_MS: u64 = 2_000;
/// The time between two check-ins.
const HEARTBEAT_MS: u64 = 1_200;
/// How long the replica is down.
const DOWN_MS: u64 = 1_000;
/// How long after its sending the check-in is performed; at most 6 s.
const LATE_MS: u64 = 5_800;
/// How long after its sending the replica's entry is removed: the store is stable again.
const LEAVES_MS: u64 = 3_400;
/// How long the replica serves after its entry was removed.
const SERVES_MS: u64 = 5_500;

pub fn play(bench: &Bench, has_trouble: bool) -> Option<u32> {
    let (record, store) = (&bench.record, &bench.store);
    store.put("op", "", "config", Some(&config(7)));
    let mut replicas = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("i-counter-{number}");
        let replica = bench.start_replica(&id, "counter", free_address(), &["--work-ms", "60"]);
        let entry = replica.entry(replica.address, zone, "ready", 1);
        store.put("servers", "", &id, Some(&entry));
        replicas.push(replica);
    }
    let gateway = bench.start_gateway("frontend-chag-1", "chag");
    let callers = Callers::start(record, gateway.callers, "/post/credit", 12);
    // Until the machine is in touch.
    pause(4_000);
    let mut replica = replicas.remove(0);
    let id = replica.id.clone();
    let begun_at = unix_ms();
    let pause_until = |after_ms: u64| pause((begun_at + after_ms).saturating_sub(unix_ms()));
    let late_entry = replica.entry(replica.address, ZONES[0], "ready", 2);
    if has_trouble {
        record.note(&format!("{id} checks in and gets no answer: {late_entry}"));
        pause(100);
        signal(&replica.process.0, "KILL");
        let address = replica.address;
        drop(replica);
        record.note(&format!("{id} crashes"));
        pause(DOWN_MS);
        replica = bench.start_replica(&id, "counter", address, &["--work-ms", "60"]);
        record.note(&format!("{id} has started again"));
        let entry = replica.entry(address, ZONES[0], "ready", 1);
        store.put("servers", "", &id, Some(&entry));
        record.note(&format!("{id} checks in: {entry}"));
        pause(HEARTBEAT_MS);
        let entry = replica.entry(address, ZONES[0], "ready", 2);
        store.put("servers", "", &id, Some(&entry));
    }
    pause_until(LEAVES_MS);
    store.put("servers", "", &id, None);
    let removed_at = unix_ms();
    record.note(&format!("the entry of {id} is removed; it serves on"));
    pause_until(LATE_MS);
    if has_trouble {
        store.put("servers", "", &id, Some(&late_entry));
        record.note(&format!(
            "the store performs the check-in that it has not answered: {late_entry}"
        ));
    }
    pause_until(LEAVES_MS + SERVES_MS);
    let leaving_log = replica.log.clone();
    drop(replica);
    record.note(&format!("{id} has ended"));
    pause(500);
    let answers = callers.join();
    let log = bench.note_logs(&[&leaving_log, &replicas[0].log, &replicas[1].log]);
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
