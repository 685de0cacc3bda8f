//! The engine that holds the copy of a stream leaves; then the engine of the stream ends.

use super::{pause, ZONES};
use crate::fleet::{config, free_address, Bench, HOST, KEY};
use crate::http::{send, Message};
use crate::record::unix_ms;
use std::time::{Duration, Instant};

const DRAIN_MS: u64 = 2_000;
/// When the engine of the stream ends, after the store has accepted that the holder leaves.
const CRASH_MS: u64 = 3_000;
const EVENTS: u64 = 140;
const REQUEST: &str = "9c41d07be2a35f68";

/// Returns the value of a field in a line of a replica's log.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let mut fields = line.split(' ').filter_map(|field| field.split_once('='));
    fields
        .find(|(known, _)| *known == name)
        .map_or("", |(_, value)| value)
}

pub fn play(bench: &Bench, has_trouble: bool) -> Option<u32> {
    let (record, store) = (&bench.record, &bench.store);
    store.put("op", "", "config", Some(&config(7)));
    let mut engines = Vec::new();
    for number in 0..6 {
        let id = format!("i-scribe-{number}");
        let extra = ["--events", "140", "--interval-ms", "60", "--work-ms", "500"];
        let engine = bench.start_replica(&id, "scribe", free_address(), &extra);
        let zone = ZONES[number % 3];
        let entry = engine.entry(engine.address, zone, "ready", 1);
        store.put("servers", "", &id, Some(&entry));
        engines.push((engine, zone));
    }
    let gateway = bench.start_gateway("frontend-chag-1", "chag");
    pause(3_500);
    let address = gateway.callers;
    let caller = std::thread::spawn(move || {
        let text = format!(
            "POST /write/letter HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {REQUEST}\r\n\
             X-Deadline-Remaining: 25000\r\nAuthorization: Token {KEY}\r\nX-Model: m\r\n\
             X-Token-Usage: 8200,1120\r\nX-Prompt-Prefix: 5c1e07a2:200,e4402b7d:8000\r\n\
             Connection: close\r\nContent-Length: 4\r\n\r\ntext"
        );
        send(address, &text, Duration::from_secs(26)).ok()
    });
    record.note(&format!("sent: POST /write/letter, request {REQUEST}"));
    let logs: Vec<_> = engines
        .iter()
        .map(|(engine, _)| engine.log.clone())
        .collect();
    let deadline = Instant::now() + Duration::from_secs(5);
    let first = loop {
        let texts = logs
            .iter()
            .filter_map(|log| std::fs::read_to_string(log).ok());
        let lines: Vec<String> = texts
            .flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>())
            .collect();
        if let Some(line) = lines.into_iter().find(|line| line.contains(" run ")) {
            break line;
        }
        if Instant::now() > deadline {
            return None;
        }
        pause(5);
    };
    let (source, backup) = (field(&first, "replica"), field(&first, "backup"));
    record.note(&format!(
        "{source} runs the request, with X-Cache-Backup: {backup}"
    ));
    pause(700);
    let (holder, zone) = engines
        .iter()
        .find(|(engine, _)| engine.address.to_string() == backup)?;
    let entry = holder.entry(holder.address, zone, "draining", 2);
    store.put("servers", "", &holder.id, Some(&entry));
    let leaving_at = unix_ms();
    let holder_id = holder.id.clone();
    record.note(&format!(
        "the store has accepted that {holder_id} is draining"
    ));
    pause(CRASH_MS);
    if has_trouble {
        let index = engines.iter().position(|(engine, _)| engine.id == source)?;
        record.note(&format!("{source} is killed"));
        drop(engines.remove(index));
    }
    let answer: Option<Message> = caller.join().ok()?;
    let body = answer.as_ref().map_or(String::new(), Message::text);
    let events = body.matches("data:").count();
    record.note(&format!(
        "answered: status {}, {events} of {EVENTS} events, complete: {}",
        answer.as_ref().map_or(0, Message::status),
        answer.as_ref().is_some_and(|answer| answer.is_complete),
    ));
    let log = bench.note_logs(&logs.iter().collect::<Vec<_>>());
    let late = log.lines().filter(|line| {
        let time: u64 = line
            .split(' ')
            .next()
            .map_or(0, |time| time.parse().unwrap_or(0));
        line.contains(&format!(" run replica={holder_id} ")) && time > leaving_at + DRAIN_MS
    });
    let mut violations = 0;
    for line in late {
        record.note(&format!("DRAIN: later than {DRAIN_MS} ms: {line}"));
        violations += 1;
    }
    Some(violations)
}
