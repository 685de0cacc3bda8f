//! Two engines crash while the first generations of a new route begin.

use crate::client::{send, Answer};
use crate::config::{config, config_with_route, MODEL};
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::record::Record;
use crate::store::Store;
use crate::{Outcome, Run};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const ENGINES: usize = 12;
/// How many engines crash: a share of 0.17 of them.
const CRASHED: usize = 2;
/// The time between two generations of the new route, and of the old one.
const NEW_PAUSE: Duration = Duration::from_millis(60);
const OLD_PAUSE: Duration = Duration::from_millis(300);
/// From the first generation of the new route to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(1_440);
/// The time from the crash in which requests aren't counted, and the counted one.
const SETTLE: Duration = Duration::from_millis(12_000);
const COUNTED: Duration = Duration::from_millis(25_000);
const MIN_REQUESTS: usize = 20;

type Answers = Arc<Mutex<Vec<Answer>>>;

pub fn play(run: &Run) -> Outcome {
    let record = &run.record;
    let store = Store::start(record);
    store.put("op", "config", &config(1));
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|number| {
            let address = IpAddr::from([127, 0, 0, 21 + number as u8]);
            let id = format!("i-llm-{number}");
            Engine::start(record, MODEL, &id, ZONES[number % 3], address)
        })
        .collect();
    for engine in &engines {
        store.put("servers", &engine.id, &engine.entry("ready"));
    }
    let name = |zone: &str| format!("frontend-{zone}");
    let gateways: Vec<Gateway> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let address = IpAddr::from([127, 0, 0, 2 + number as u8]);
            Gateway::start(&run.folders, &name(zone), zone, address, store.address)
        })
        .collect();
    if !gateways.iter().all(Gateway::wait_for_ready) {
        return Outcome::Failed("a gateway was not ready in time".to_owned());
    }
    let (is_old_over, is_new_over) = (Arc::default(), Arc::default());
    let (old, new) = (Answers::default(), Answers::default());
    let callers: Vec<SocketAddr> = gateways.iter().map(|vm| vm.callers).collect();
    start_consumers(
        record,
        &callers,
        "/write/",
        "0a0a0a0a",
        OLD_PAUSE,
        &is_old_over,
        &old,
    );
    std::thread::sleep(Duration::from_secs(9));

    // One VM of the fleet probes a part; here the consumers of the new route are in the
    // other zones.
    let names = ZONES.map(name);
    let mut parts = (0..).map(|number: u32| format!("5c1e{number:04x}"));
    let part = parts
        .find(|part| prober(&names, part) == 2)
        .expect("a part is found");
    record.note(&format!("the prompts of the new route share part {part}"));
    store.put("op", "config", &config_with_route(2, "brief"));
    std::thread::sleep(Duration::from_secs(4));
    start_consumers(
        record,
        &callers[..2],
        "/brief/",
        &part,
        NEW_PAUSE,
        &is_new_over,
        &new,
    );
    std::thread::sleep(CRASH_AFTER);
    if run.has_trouble {
        let mut by_streams: Vec<&Engine> = engines.iter().collect();
        by_streams.sort_by_key(|engine| std::cmp::Reverse(engine.begun(&part)));
        by_streams[..CRASHED].iter().for_each(|engine| {
            engine.crash();
            store.remove("servers", &engine.id);
        });
    }
    std::thread::sleep(Duration::from_secs(4));
    // A lower rate is enough from here on.
    is_new_over.store(true, Ordering::Relaxed);
    let is_new_over = Arc::default();
    start_consumers(
        record,
        &callers[..2],
        "/brief/",
        &part,
        OLD_PAUSE,
        &is_new_over,
        &new,
    );
    std::thread::sleep(SETTLE - Duration::from_secs(4));
    let from = record.now();
    std::thread::sleep(COUNTED);
    let until = record.now();
    is_old_over.store(true, Ordering::Relaxed);
    is_new_over.store(true, Ordering::Relaxed);
    // The longest generation takes 7 s.
    std::thread::sleep(Duration::from_secs(9));

    let (old_sent, old_served) = count(&old, from, until);
    let (new_sent, new_served) = count(&new, from, until);
    record.note(&format!(
        "from {from} to {until} ms: {old_served} of {old_sent} generations of the first route were \
         served, {new_served} of {new_sent} of the added one"
    ));
    if old_sent < MIN_REQUESTS || new_sent < MIN_REQUESTS {
        return Outcome::Failed("too few generations".to_owned());
    }
    let share = |served: usize, sent: usize| served as f64 / sent as f64;
    match share(new_served, new_sent) < share(old_served, old_sent) / 4.0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// Returns how many requests were sent in a time, and how many of them were served.
fn count(answers: &Answers, from: u64, until: u64) -> (usize, usize) {
    let answers = answers.lock().unwrap();
    let sent = answers
        .iter()
        .filter(|answer| (from..until).contains(&answer.sent_at));
    let served = sent
        .clone()
        .filter(|answer| answer.is_complete && answer.status() == 200);
    (sent.count(), served.count())
}

/// Sends generations until it is told to stop.
fn start_consumers(
    record: &Record,
    callers: &[SocketAddr],
    path: &'static str,
    part: &str,
    pause: Duration,
    is_over: &Arc<AtomicBool>,
    answers: &Answers,
) {
    let (record, callers, part) = (record.clone(), callers.to_vec(), part.to_owned());
    let (is_over, answers) = (is_over.clone(), answers.clone());
    std::thread::spawn(move || {
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            let to = callers[number % callers.len()];
            let headers = format!(
                "X-Model: m\r\nX-Token-Usage: 8200,1120\r\n\
                 X-Prompt-Prefix: {part}:200,e4{number:06x}:8000\r\n"
            );
            let (record, answers) = (record.clone(), answers.clone());
            std::thread::spawn(move || {
                let answer = send(&record, to, "POST", &format!("{path}7"), &headers, 25_000);
                answers.lock().unwrap().push(answer);
            });
            number += 1;
            std::thread::sleep(pause);
        }
    });
}

/// Returns which VM the fleet chooses to probe a part: the one with the highest hash.
fn prober(names: &[String], part: &str) -> usize {
    let rank = |index: &usize| {
        let mut hasher = DefaultHasher::new();
        let subject = (MODEL, vec![part]);
        (names[*index].as_str(), &subject).hash(&mut hasher);
        hasher.finish()
    };
    (0..names.len()).max_by_key(rank).expect("there are VMs")
}
