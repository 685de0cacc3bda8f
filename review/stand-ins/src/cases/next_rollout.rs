//! The next version is ordered right after a bad one was rolled back.

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
use std::sync::Arc;
use std::time::Duration;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The bounds of the settings.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
/// The time of the first order.
const DURATION_S: u64 = 12;
/// The bad version fails this many of ten requests.
const FAILED_OF_TEN: u64 = 5;
/// From `rolled_back` to the next order, and to the draining of the bad version's replicas.
const NEXT_ORDER_AFTER: Duration = Duration::from_millis(300);
const DRAIN_AFTER: Duration = Duration::from_millis(6_000);
/// Consumers of a VM, and the pause between two requests of each: 90 requests a second.
const CONSUMERS: usize = 3;
const PAUSE: Duration = Duration::from_millis(65);

pub fn play(run: &Run) -> Outcome {
    let record = &run.record;
    let store = Store::start(record);
    store.put("op", "config", &config(1));
    let v1 = start_version(run, "v1", 11, false);
    register(&store, &v1, "ready");
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
    let is_over = Arc::new(AtomicBool::new(false));
    let consumers: Vec<_> = gateways
        .iter()
        .flat_map(|vm| [vm.callers; CONSUMERS])
        .map(|to| {
            let (record, is_over) = (record.clone(), is_over.clone());
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    send(&record, to, "POST", "/book/7", "", 3_000);
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(10));

    let v2 = start_version(run, "v2", 21, true);
    let ordered_at = order(&store, "v2", DURATION_S);
    register(&store, &v2, "ready");
    let limit_at = ordered_at + DURATION_S * 1_000;
    while status(&store) != ("v2".to_owned(), "rolled_back".to_owned()) {
        if record.now() > limit_at {
            return Outcome::Failed("the bad version was not rolled back in time".to_owned());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let rolled_back_at = record.note("platform: v2 is rolled back");
    std::thread::sleep(NEXT_ORDER_AFTER);
    let next_at = record.now();
    if run.has_trouble {
        let v3 = start_version(run, "v3", 31, false);
        order(&store, "v3", DURATION_S);
        register(&store, &v3, "ready");
    }
    std::thread::sleep(DRAIN_AFTER - NEXT_ORDER_AFTER);
    register(&store, &v2, "draining");
    let left = limit_at.saturating_sub(record.now());
    std::thread::sleep(Duration::from_millis(left));
    is_over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }

    let arrivals = |replicas: &[Replica], from: u64| {
        let runs = replicas.iter().flat_map(Replica::runs);
        runs.filter(|arrival| (from..limit_at).contains(&arrival.at))
            .count()
    };
    let bad = arrivals(&v2, ordered_at);
    let later = arrivals(&v2, next_at);
    let all = started()
        .iter()
        .map(|replicas| arrivals(replicas, ordered_at))
        .sum::<usize>();
    let allowed = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    record.note(&format!(
        "v2 was rolled back {} ms after its order; it got {bad} of {all} requests, {later} of them \
         after the time of the next order; allowed are {allowed:.0}",
        rolled_back_at - ordered_at
    ));
    match bad as f64 > allowed {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// All replicas of the service, by version.
static STARTED: std::sync::Mutex<Vec<Vec<Replica>>> = std::sync::Mutex::new(Vec::new());

fn started() -> Vec<Vec<Replica>> {
    STARTED.lock().unwrap().clone()
}

/// Starts a replica of a version in each zone.
fn start_version(run: &Run, version: &str, first_address: u8, is_bad: bool) -> Vec<Replica> {
    let replicas = ZONES.iter().enumerate().map(|(number, zone)| {
        let id = format!("i-{version}-{number}");
        let address = IpAddr::from([127, 0, 0, first_address + number as u8]);
        let count = AtomicU64::new(0);
        let answering = Arc::new(move |_: &_| {
            let place = count.fetch_add(1, Ordering::Relaxed) % 10;
            match is_bad && place < FAILED_OF_TEN {
                true => 500,
                false => 200,
            }
        });
        let work = Duration::from_millis(30);
        let place = (id.as_str(), *zone, address);
        Replica::start_version(&run.record, APP, version, place, work, answering)
    });
    let replicas: Vec<Replica> = replicas.collect();
    STARTED.lock().unwrap().push(replicas.clone());
    replicas
}

fn register(store: &Store, replicas: &[Replica], state: &str) {
    for replica in replicas {
        store.put("servers", &replica.id, &replica.entry(state));
    }
}

fn order(store: &Store, target: &str, duration_s: u64) -> u64 {
    let value = format!(r#"{{"service":"{APP}","target":"{target}","duration_s":{duration_s}}}"#);
    store.put("op", &format!("rollout/{APP}"), &value)
}

/// Returns the target and the state of the roll-out's status.
fn status(store: &Store) -> (String, String) {
    let value = store.value("status", &format!("rollout/{APP}"));
    let text = value
        .map(|value| base64::decode(&value))
        .unwrap_or_default();
    let status = Json::parse(&String::from_utf8_lossy(&text));
    let field = |name| {
        status
            .as_ref()
            .map_or("", |status| status.text(name))
            .to_owned()
    };
    (field("target"), field("state"))
}
