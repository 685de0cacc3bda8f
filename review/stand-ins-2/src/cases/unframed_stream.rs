//! Streams without a length whose engine crashes.

use super::{problem, CaseContext, Verdict};
use crate::config::Config;
use crate::engine;
use crate::engines::EngineProcess;
use crate::fleet::{Fleet, ZONES};
use crate::store::Store;
use crate::stream::start_consumer;
use std::time::Duration;

const STREAMS: usize = 6;
/// When the engine crashes: the streams have begun.
const CRASH_TIME: Duration = Duration::from_millis(4_000);

pub fn play(context: &CaseContext) -> Result<Verdict, String> {
    let record = &context.record;
    let store = Store::start().map_err(problem)?;
    store.put("op", "config", &Config::default().to_json());
    let start = |zone: &&str| EngineProcess::start(&store, record, &format!("i-{zone}"), zone);
    let mut engines: Vec<EngineProcess> = ZONES.iter().map(start).collect::<Result<_, _>>()?;
    let mut fleet = Fleet::start(&context.root, store.address, record)?;
    std::thread::sleep(Duration::from_millis(4_000));
    let consumers = (0..STREAMS).map(|number| {
        let gateway = fleet.gateways[number % fleet.gateways.len()].callers;
        start_consumer(record, gateway, &format!("9c41d07be2a35f{number:02}"))
    });
    let consumers: Vec<_> = consumers.collect();
    std::thread::sleep(CRASH_TIME);
    if context.has_trouble {
        let runs = |engine: &EngineProcess| {
            let lines = engine.lines();
            lines.iter().filter(|line| line.starts_with("run ")).count()
        };
        let busiest = engines.iter_mut().max_by_key(|engine| runs(engine));
        let busiest = busiest.ok_or("there is no engine")?;
        record.write(format!(
            "{}, which runs {} streams, is killed",
            busiest.id,
            runs(busiest)
        ));
        busiest.crash();
    }
    let mut short = 0;
    for consumer in consumers {
        let received = consumer.join().map_err(|_| "a consumer panicked")?;
        record.write(format!("the consumer has received {received}"));
        let is_whole = received.events.last() == Some(&engine::EVENTS);
        short += usize::from(received.is_complete() && !is_whole);
    }
    if !fleet.is_running() {
        return Err("a gateway has ended".to_owned());
    }
    for line in fleet.log_lines("9c41d07be2a35f") {
        record.write(format!("log: {line}"));
    }
    record.write(format!(
        "{short} of {STREAMS} streams ended as complete before their last piece"
    ));
    Ok(Verdict::from_broken(short > 0))
}
