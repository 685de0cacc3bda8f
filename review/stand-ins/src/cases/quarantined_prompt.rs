//! Two engines crash shortly after the first generations of the day have begun.

use crate::client::{Answer, Connection};
use crate::config::{config, APP, MODEL};
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::replica::Replica;
use crate::store::Store;
use crate::{Outcome, Run};
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const ENGINES: usize = 12;
/// How many engines crash: a share of 0.17 of them.
const CRASHED: usize = 2;
/// The generations, and the time between two of them.
const STREAMS: usize = 30;
const PAUSE: Duration = Duration::from_millis(50);
/// From the first generation to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(1_440);
/// How often a connection may be closed without an answer.
const MAX_LOST: usize = 3;

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
    for (number, zone) in ZONES.iter().enumerate() {
        let address = IpAddr::from([127, 0, 0, 11 + number as u8]);
        let id = format!("i-app-{number}");
        let work = Duration::from_millis(10);
        let replica = Replica::start(record, APP, &id, zone, address, work, Arc::new(|_| 200));
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
    // All machines are in touch, and the VMs know each other.
    std::thread::sleep(Duration::from_secs(8));

    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, answers) = (record.clone(), answers.clone());
            let to = gateways[number % gateways.len()].callers;
            std::thread::spawn(move || {
                let mut connection = Connection::open(&record, to);
                // The connection is kept from a lookup.
                connection.send("GET", "/find/7", "", 3_000);
                std::thread::sleep(PAUSE * number as u32 + Duration::from_millis(200));
                let headers = format!(
                    "X-Model: m\r\nX-Token-Usage: 8200,1120\r\n\
                     X-Prompt-Prefix: 5c1e07a2:200,e4402b{number:02x}:8000\r\n"
                );
                let answer = connection.send("POST", "/write/7", &headers, 25_000);
                answers.lock().unwrap().push(answer);
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(200) + CRASH_AFTER);
    if run.has_trouble {
        let mut by_streams: Vec<&Engine> = engines.iter().collect();
        by_streams.sort_by_key(|engine| std::cmp::Reverse(engine.begun("5c1e07a2")));
        by_streams[..CRASHED].iter().for_each(|engine| {
            engine.crash();
        });
    }
    for consumer in consumers {
        let _ = consumer.join();
    }

    let answers = answers.lock().unwrap();
    let is_at_sound = |answer: &&Answer| {
        let mut seen = engines.iter().filter(|engine| engine.has_seen(&answer.id));
        let is_known = seen.clone().next().is_some();
        is_known && seen.all(|engine| !engine.has_crashed())
    };
    let lost: Vec<&Answer> = answers
        .iter()
        .filter(|answer| !answer.is_complete)
        .filter(is_at_sound)
        .collect();
    for answer in &lost {
        let body = answer
            .response
            .as_ref()
            .map_or(&[][..], |response| &response.body);
        let events = String::from_utf8_lossy(body).matches("id: ").count();
        record.note(&format!(
            "LOST: {} was at a sound replica only; its connection was closed after {events} events",
            answer.id
        ));
    }
    let with_status = |status| {
        answers
            .iter()
            .filter(|answer| answer.status() == status)
            .count()
    };
    let complete = answers
        .iter()
        .filter(|answer| answer.is_complete && answer.status() == 200);
    record.note(&format!(
        "of {STREAMS} generations {} were complete, {} were closed at sound replicas; 502: {}, 503: {}",
        complete.count(),
        lost.len(),
        with_status(502),
        with_status(503)
    ));
    match lost.len() > MAX_LOST {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
