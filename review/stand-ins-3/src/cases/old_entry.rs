//! A replica's check-in is held up by a cut between the replica and the store. Behind the cut
//! the replica crashes and starts again under its id; after the cut it checks in and then leaves
//! without a notice. Only now the check-in of its first start reaches the store.

use super::{pause, ZONES};
use crate::callers::Callers;
use crate::fleet::{config, free_address, signal, Bench};
use crate::record::unix_ms;

const DRAIN_MS: u64 = 2_000;
/// The time between two check-ins.
const HEARTBEAT_MS: u64 = 1_200;

// All times from here on count from the start of the cut.

/// When the check-in that the cut holds up is sent; the one before came 1 s before the cut.
const SENT_MS: u64 = 100;
const CRASHES_MS: u64 = 300;
/// When the replica starts again.
const STARTS_MS: u64 = 1_300;
/// When the store removes the replica's entry, after three check-in intervals of silence.
const EXPIRES_MS: u64 = 3 * HEARTBEAT_MS - 1_000;
/// When the cut heals.
const HEALS_MS: u64 = 3_200;
/// When the entry of the second start is removed, as the replica is taken away.
const LEAVES_MS: u64 = 4_400;
/// When TCP sends the check-in that was held up again, with success: it repeats a segment
/// after 200 ms and then after twice as long each time, so 200, 600, 1,400, 3,000 and 6,200 ms
/// after it was sent first.
const ARRIVES_MS: u64 = SENT_MS + 6_200;
/// How long the replica serves after its entry was removed.
const SERVES_MS: u64 = 5_300;

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
    let (id, address, zone) = (replica.id.clone(), replica.address, ZONES[0]);
    let entry = replica.entry(address, zone, "ready", 2);
    store.put("servers", "", &id, Some(&entry));
    pause(1_000);
    let begun_at = unix_ms();
    let pause_until = |after_ms: u64| pause((begun_at + after_ms).saturating_sub(unix_ms()));
    let held_entry = replica.entry(address, zone, "ready", 3);
    if has_trouble {
        record.note(&format!("{id} is cut off from the store"));
        pause_until(SENT_MS);
        record.note(&format!(
            "{id} checks in; the cut holds it up: {held_entry}"
        ));
        pause_until(CRASHES_MS);
        signal(&replica.process.0, "KILL");
        drop(replica);
        record.note(&format!("{id} crashes behind the cut"));
        pause_until(STARTS_MS);
        replica = bench.start_replica(&id, "counter", address, &["--work-ms", "60"]);
        record.note(&format!("{id} has started again"));
        pause_until(EXPIRES_MS);
        store.put("servers", "", &id, None);
        record.note(&format!("the entry of {id} expires"));
        pause_until(HEALS_MS);
        let entry = replica.entry(address, zone, "ready", 1);
        store.put("servers", "", &id, Some(&entry));
        record.note(&format!("the cut heals, {id} checks in: {entry}"));
    }
    pause_until(LEAVES_MS);
    store.put("servers", "", &id, None);
    let removed_at = unix_ms();
    record.note(&format!("the entry of {id} is removed; it serves on"));
    pause_until(ARRIVES_MS);
    if has_trouble {
        store.put("servers", "", &id, Some(&held_entry));
        record.note(&format!(
            "the check-in that was held up arrives: {held_entry}"
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
