//! All gateways are killed while a bad version is under test.

use crate::base64;
use crate::client::send;
use crate::config::{config, APP};
use crate::gateway::Gateway;
use crate::json::Json;
use crate::replica::Replica;
use crate::store::Store;
use crate::{Outcome, Run};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The bounds of the settings.
const ROLLBACK_MS: u64 = 5_000;
/// How many bad answers show a bad version.
const MAX_BAD: usize = 50;
const DURATION_S: u64 = 12;
/// The bad version fails one of this many requests.
const FAILS_ONE_OF: u64 = 17;
/// From the order to the kill of all processes, and until they are started again.
const KILL_AFTER: Duration = Duration::from_millis(6_000);
const DOWN: Duration = Duration::from_millis(700);
/// From the time limit of the order to the end of the traffic.
const OBSERVED: Duration = Duration::from_millis(22_000);
/// Consumers of a VM, and the pause between two requests of each: 90 requests a second.
const CONSUMERS: usize = 3;
const PAUSE: Duration = Duration::from_millis(65);

pub fn play(run: &Run) -> Outcome {
    let record = &run.record;
    let store = Store::start(record);
    store.put("op", "config", &config(1));
    let v1 = start_version(run, "v1", 11, None);
    register(&store, &v1);
    let mut gateways: Vec<Gateway> = ZONES
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
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let consumers: Vec<_> = gateways
        .iter()
        .flat_map(|vm| [vm.callers; CONSUMERS])
        .map(|to| {
            let (record, is_over, sent) = (record.clone(), is_over.clone(), sent.clone());
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let answer = send(&record, to, "POST", "/book/7", "", 3_000);
                    sent.lock().unwrap().push((answer.id, answer.sent_at));
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(10));

    let bad_answers: Arc<Mutex<Vec<u64>>> = Arc::default();
    let v2 = start_version(run, "v2", 21, Some(&bad_answers));
    let order = format!(r#"{{"service":"{APP}","target":"v2","duration_s":{DURATION_S}}}"#);
    let ordered_at = store.put("op", &format!("rollout/{APP}"), &order);
    register(&store, &v2);
    std::thread::sleep(KILL_AFTER);
    if state(&store) == "rolled_back" {
        record.note("platform: v2 was rolled back before the disruption");
    }
    if run.has_trouble {
        record.note("all gateways are killed");
        gateways.iter().for_each(Gateway::kill);
        std::thread::sleep(DOWN);
        gateways.iter_mut().for_each(Gateway::restart);
        record.note("all gateways are started again");
    }
    let limit_at = ordered_at + DURATION_S * 1_000;
    let mut end = String::new();
    while record.now() < limit_at + OBSERVED.as_millis() as u64 {
        let known = state(&store);
        if known != end && known != "running" {
            record.note(&format!("platform: v2 is {known}"));
            let stopped = if known == "done" { &v1 } else { &v2 };
            for replica in stopped {
                store.remove("servers", &replica.id);
                replica.stop();
            }
            end = known;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }

    let bad_answers = bad_answers.lock().unwrap();
    let shown_at = bad_answers.get(MAX_BAD - 1).copied();
    let sent = sent.lock().unwrap();
    let late = shown_at.map_or(0, |shown_at| {
        let runs = v2.iter().flat_map(Replica::runs);
        runs.filter(|arrival| {
            let own = sent.iter().find(|(id, _)| *id == arrival.id);
            own.is_some_and(|(_, sent_at)| *sent_at > shown_at + ROLLBACK_MS)
        })
        .count()
    });
    record.note(&format!(
        "v2 ended as {end:?}; its bad answers: {}, the 50th at {shown_at:?} ms; {late} requests sent \
         later than {ROLLBACK_MS} ms after that reached it",
        bad_answers.len()
    ));
    match late {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// Starts a replica of a version in each zone; a bad one records its bad answers.
fn start_version(
    run: &Run,
    version: &str,
    first_address: u8,
    bad_answers: Option<&Arc<Mutex<Vec<u64>>>>,
) -> Vec<Replica> {
    let replicas = ZONES.iter().enumerate().map(|(number, zone)| {
        let id = format!("i-{version}-{number}");
        let address = IpAddr::from([127, 0, 0, first_address + number as u8]);
        let count = AtomicU64::new(FAILS_ONE_OF / 3 * number as u64);
        let (bad_answers, record) = (bad_answers.cloned(), run.record.clone());
        let answering = Arc::new(move |_: &_| {
            let place = count.fetch_add(1, Ordering::Relaxed) % FAILS_ONE_OF;
            match bad_answers.as_ref().filter(|_| place == FAILS_ONE_OF - 1) {
                Some(bad_answers) => {
                    bad_answers.lock().unwrap().push(record.now());
                    500
                }
                None => 200,
            }
        });
        let work = Duration::from_millis(30);
        let place = (id.as_str(), *zone, address);
        Replica::start_version(&run.record, APP, version, place, work, answering)
    });
    replicas.collect()
}

fn register(store: &Store, replicas: &[Replica]) {
    for replica in replicas {
        store.put("servers", &replica.id, &replica.entry("ready"));
    }
}

/// Returns the state of the roll-out's status.
fn state(store: &Store) -> String {
    let value = store.value("status", &format!("rollout/{APP}"));
    let text = value
        .map(|value| base64::decode(&value))
        .unwrap_or_default();
    let status = Json::parse(&String::from_utf8_lossy(&text));
    status.map_or(String::new(), |status| status.text("state").to_owned())
}
