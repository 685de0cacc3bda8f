//! An engine is cut off for a moment while it sends a stream without a length, ends behind the
//! cut, and starts again, cold.

use super::{pause, ZONES};
use crate::fleet::{config, free_address, signal, Bench, HOST, KEY};
use crate::http::{send, Message};
use crate::proxy::Path;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const EVENTS: usize = 140;
/// A gateway takes an engine for unreachable after 350 ms.
const CUT: Duration = Duration::from_millis(250);
const STREAM: [&str; 8] = [
    "--events",
    "140",
    "--interval-ms",
    "30",
    "--work-ms",
    "300",
    "--unframed-streams",
    "1",
];
/// An engine that has just started is slow for a while.
const COLD: [&str; 10] = [
    "--events",
    "140",
    "--interval-ms",
    "30",
    "--work-ms",
    "300",
    "--unframed-streams",
    "1",
    "--report-ms",
    "100",
];

fn start_stream(address: SocketAddr, id: String) -> std::thread::JoinHandle<Option<Message>> {
    std::thread::spawn(move || {
        let text = format!(
            "POST /write/letter HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Remaining: 25000\r\nAuthorization: Token {KEY}\r\nX-Model: m\r\n\
             X-Token-Usage: 8200,1120\r\nX-Prompt-Prefix: 5c1e07a2:200,{id}:8000\r\n\
             Connection: close\r\nContent-Length: 4\r\n\r\ntext"
        );
        send(address, &text, Duration::from_secs(26)).ok()
    })
}

pub fn play(bench: &Bench, has_trouble: bool) -> Option<u32> {
    let (record, store) = (&bench.record, &bench.store);
    store.put("op", "", "config", Some(&config(7)));
    let mut engines = Vec::new();
    for number in 0..6 {
        let id = format!("i-scribe-{number}");
        let engine = bench.start_replica(&id, "scribe", free_address(), &STREAM);
        let path = Path::start(engine.address);
        let zone = ZONES[number % 3];
        let entry = engine.entry(path.address, zone, "ready", 1);
        store.put("servers", "", &id, Some(&entry));
        engines.push((engine, path, zone));
    }
    let gateway = bench.start_gateway("frontend-chag-1", "chag");
    pause(3_500);
    let streams: Vec<_> = (0..6)
        .map(|number| {
            let id = format!("9c41d07be2a35f{number:02}");
            record.note(&format!("sent: POST /write/letter, request {id}"));
            (id.clone(), start_stream(gateway.callers, id))
        })
        .collect();
    pause(1_500);
    if has_trouble {
        let deadline = Instant::now() + Duration::from_secs(2);
        let index = loop {
            let has_run = |log: &std::path::PathBuf| {
                std::fs::read_to_string(log).is_ok_and(|text| text.contains(" run "))
            };
            match engines
                .iter()
                .position(|(engine, _, _)| has_run(&engine.log))
            {
                Some(index) => break index,
                None if Instant::now() > deadline => return None,
                None => pause(5),
            }
        };
        let (engine, path, zone) = engines.remove(index);
        path.set_cut(true);
        let cut_at = Instant::now();
        record.note(&format!("{} is cut off", engine.id));
        pause(20);
        signal(&engine.process.0, "KILL");
        let (id, address) = (engine.id.clone(), engine.address);
        drop(engine);
        record.note(&format!("{id} is killed behind the cut"));
        pause(80);
        let engine = bench.start_replica(&id, "scribe", address, &COLD);
        record.note(&format!("{id} has started again"));
        std::thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
        path.set_cut(false);
        record.note(&format!("{id} is no longer cut off"));
        let entry = engine.entry(path.address, zone, "ready", 1);
        let entry = entry.replace("\"cold_remaining_ms\":0", "\"cold_remaining_ms\":3000");
        store.put("servers", "", &id, Some(&entry));
        engines.push((engine, path, zone));
    }
    let mut violations = 0;
    let mut whole = 0;
    for (id, stream) in streams {
        let Some(answer) = stream.join().ok()? else {
            record.note(&format!("answered: request {id}: none"));
            continue;
        };
        let events = answer.text().matches("data:").count();
        record.note(&format!(
            "answered: request {id}: status {}, {events} of {EVENTS} events, complete by its framing: {}",
            answer.status(),
            answer.is_complete
        ));
        let is_success = answer.status() == 200 && answer.is_complete;
        whole += usize::from(is_success && events == EVENTS);
        if is_success && events < EVENTS {
            record.note(&format!(
                "ORDER: the stream of request {id} ends as complete without its last events"
            ));
            violations += 1;
        }
    }
    let logs: Vec<_> = engines.iter().map(|(engine, _, _)| &engine.log).collect();
    bench.note_logs(&logs);
    (whole + violations > 0).then_some(violations as u32)
}
