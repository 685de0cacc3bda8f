//! A replica leaves shortly after the open connections to the store went silent.

use crate::client::send;
use crate::config::{config, APP};
use crate::gateway::Gateway;
use crate::replica::Replica;
use crate::store::Store;
use crate::{Outcome, Run};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The bounds of the settings.
const DRAIN_MS: u64 = 2_000;
const SETTLE_WINDOW_MS: u64 = 3_000;
/// From the silence to the removal of the replica's entry.
const LEAVE_AFTER_MS: u64 = 300;
/// How long the replica serves after its entry was removed: `drain_ms` and a few seconds.
const SERVED_MS: u64 = 7_000;

pub fn play(run: &Run) -> Outcome {
    let record = &run.record;
    let store = Store::start(record);
    store.put("op", "config", &config(1));
    let replicas: Vec<Replica> = (0..6)
        .map(|number| {
            let address = IpAddr::from([127, 0, 0, 11 + number as u8]);
            Replica::start(
                record,
                APP,
                &format!("i-{number}"),
                ZONES[number % 3],
                address,
                Duration::from_millis(30),
                Arc::new(|_| 200),
            )
        })
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, &replica.entry("ready"));
    }
    let gateways: Vec<Gateway> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let address = IpAddr::from([127, 0, 0, 2 + number as u8]);
            let name = format!("frontend-{zone}");
            Gateway::start(&run.folders, &name, zone, address, store.address)
        })
        .collect();
    if !gateways.iter().all(Gateway::wait_for_ready) {
        return Outcome::Failed("a gateway was not ready in time".to_owned());
    }
    // The VMs announce themselves and choose the one that reads the store for all.
    std::thread::sleep(Duration::from_secs(8));
    let before: Vec<u64> = gateways
        .iter()
        .map(|vm| vm.store_reads("upstreams"))
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let reads = gateways.iter().zip(&before);
    let reads: Vec<u64> = reads
        .map(|(vm, before)| vm.store_reads("upstreams") - before)
        .collect();
    record.note(&format!(
        "reads of the list of replicas in 3 s, by VM: {reads:?}"
    ));
    let reader = (0..ZONES.len())
        .max_by_key(|number| reads[*number])
        .unwrap();
    let leaving = replicas[reader].clone();

    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let consumers: Vec<_> = gateways
        .iter()
        .flat_map(|vm| [vm.callers; 3])
        .map(|to| {
            let (record, is_over, sent) = (record.clone(), is_over.clone(), sent.clone());
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let answer = send(&record, to, "POST", "/book/7", "", 3_000);
                    sent.lock().unwrap().push((answer.id, answer.sent_at));
                    std::thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    store.wait_for_watch("servers");
    let settled_at = match run.has_trouble {
        true => store.silence() + SETTLE_WINDOW_MS,
        false => record.note("no disruption"),
    };
    std::thread::sleep(Duration::from_millis(LEAVE_AFTER_MS));
    let left_at = store.remove("servers", &leaving.id);
    record.note(&format!(
        "replica {} leaves; it serves for {SERVED_MS} ms more",
        leaving.id
    ));
    std::thread::sleep(Duration::from_millis(SERVED_MS));
    is_over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }

    // Only requests that were sent when the machines were in touch again.
    let sent = sent.lock().unwrap();
    let late: Vec<_> = leaving
        .runs()
        .into_iter()
        .filter(|arrival| arrival.at > left_at + DRAIN_MS)
        .filter(|arrival| {
            let own = sent.iter().find(|(id, _)| *id == arrival.id);
            own.is_some_and(|(_, sent_at)| *sent_at > settled_at)
        })
        .collect();
    for arrival in &late {
        record.note(&format!(
            "DRAIN: {} reached {} {} ms after the store had acknowledged that it is gone",
            arrival.id,
            leaving.id,
            arrival.at - left_at
        ));
    }
    match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
