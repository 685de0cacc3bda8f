//! A stream whose engine crashes after the engine with its backup has begun to leave.

use super::{problem, CaseContext, Verdict};
use crate::client::{connect, request};
use crate::config::{Config, KEY};
use crate::engine;
use crate::engines::EngineProcess;
use crate::fleet::{Fleet, ZONES};
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const TIME_LIMIT_MS: u64 = 25_000;
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// How long after the bound the running engine crashes.
const CRASH_DELAY: Duration = Duration::from_millis(700);
/// The events after which the holder begins to leave.
const BEGUN_TIME: Duration = Duration::from_millis(1_200);
const START_TIMEOUT: Duration = Duration::from_secs(10);
const STREAM: &str = "9c41d07be2a35f68";

pub fn play(context: &CaseContext) -> Result<Verdict, String> {
    let record = &context.record;
    let store = Store::start().map_err(problem)?;
    store.put("op", "config", &Config::default().to_json());
    let start = |zone: &&str| EngineProcess::start(&store, record, &format!("i-{zone}"), zone);
    let mut engines: Vec<EngineProcess> = ZONES.iter().map(start).collect::<Result<_, _>>()?;
    let mut fleet = Fleet::start(&context.root, store.address, record)?;
    std::thread::sleep(Duration::from_millis(4_000));
    let consumer = start_consumer(record, fleet.gateways[0].callers);
    let (runner, holder) = find_engines(&engines)?;
    record.write(format!(
        "{} runs the stream, {} holds its backup",
        engines[runner].id, engines[holder].id
    ));
    for engine in &engines {
        if engine.id != engines[runner].id && engine.id != engines[holder].id {
            record.write(format!("other prompts fill the memory of {}", engine.id));
            engine::send(engine.address, engine::FILL_PATH, "");
        }
    }
    std::thread::sleep(BEGUN_TIME);
    let mut drained_at = None;
    if context.has_trouble {
        drained_at = Some(engines[holder].drain());
        record.write(format!(
            "the store has accepted that {} drains",
            engines[holder].id
        ));
        std::thread::sleep(DRAIN_TIME + CRASH_DELAY);
        record.write(format!("{} is killed", engines[runner].id));
        engines[runner].crash();
    }
    let events = consumer.join().map_err(|_| "the consumer panicked")?;
    record.write(format!("the consumer has received: {events}"));
    if !fleet.is_running() {
        return Err("a gateway has ended".to_owned());
    }
    for line in fleet.log_lines(STREAM) {
        record.write(format!("log: {line}"));
    }
    let bound = drained_at.map(|at| at + DRAIN_TIME);
    let is_late = |at: Instant| bound.is_some_and(|bound| at > bound);
    let lines = engines[holder].lines();
    let late = lines
        .iter()
        .filter(|line| line.text.starts_with("arrival") && is_late(line.at));
    let late = late.count();
    record.write(format!(
        "{late} requests reached the leaving engine later than {} ms after the store had accepted \
         that it drains",
        DRAIN_TIME.as_millis()
    ));
    Ok(Verdict::from_broken(late > 0))
}

/// Finds the engine that runs the stream and the one that holds its backup.
fn find_engines(engines: &[EngineProcess]) -> Result<(usize, usize), String> {
    let deadline = Instant::now() + START_TIMEOUT;
    while Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(20));
        for (runner, engine) in engines.iter().enumerate() {
            let lines = engine.lines();
            if !lines.iter().any(|line| line.text.starts_with("run ")) {
                continue;
            }
            let arrival = lines.iter().find(|line| line.text.starts_with("arrival"));
            let backup = arrival.and_then(|line| line.text.split("backup=").nth(1));
            let holder = engines
                .iter()
                .position(|engine| Some(engine.address.to_string().as_str()) == backup);
            return holder
                .map(|holder| (runner, holder))
                .ok_or_else(|| "the stream has no backup".to_owned());
        }
    }
    Err("no engine runs the stream".to_owned())
}

/// Sends a stream's request; the thread returns what was received.
fn start_consumer(record: &Record, gateway: SocketAddr) -> JoinHandle<String> {
    let record = record.clone();
    std::thread::spawn(move || {
        let headers = "X-Model: m\r\nX-Token-Usage: 8200,1120\r\n\
                       X-Prompt-Prefix: 5c1e07a2:200,91bd3f06:8000\r\n";
        let message = request("POST", "/letters/2f", STREAM, TIME_LIMIT_MS, KEY, headers);
        let opened = connect(gateway).and_then(|mut connection| {
            record.write(format!("the consumer sends {STREAM}"));
            connection.write(&message)?;
            let head = connection.read_head()?;
            Ok((connection, head.map_or(0, |head| head.status())))
        });
        let Ok((mut connection, status)) = opened else {
            return "no answer".to_owned();
        };
        let mut ids = Vec::new();
        let end = loop {
            match connection.read_chunk() {
                Ok(Some(chunk)) => {
                    let text = String::from_utf8_lossy(&chunk).into_owned();
                    let lines = text.lines().filter_map(|line| line.strip_prefix("id: "));
                    ids.extend(lines.filter_map(|id| id.parse::<u64>().ok()));
                }
                Ok(None) => break "complete".to_owned(),
                Err(error) => break format!("broken off: {error}"),
            }
        };
        let is_in_order = ids.windows(2).all(|pair| pair[1] == pair[0] + 1);
        format!(
            "status {status}, {} events, in order: {is_in_order}, {end}",
            ids.len()
        )
    })
}
