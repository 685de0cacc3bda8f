//! Consumers that read their answers slowly.
//!
//! Each consumer keeps its connection, is served once, and then asks for an answer that is
//! larger than its window. It does not read for a while, and then reads on, within its time
//! limit and the route's.

use super::{problem, CaseContext, Verdict};
use crate::application::{Application, Reply, Run};
use crate::client::{connect_with_window, post};
use crate::config::Config;
use crate::fleet::{Fleet, ZONES};
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::time::Duration;

const CONSUMERS: usize = 8;
/// The consumers' time limit.
const TIME_LIMIT_MS: u64 = 4_000;
const ROUTE_TIMEOUT_MS: u64 = 2_000;
/// The gateways and the replicas have been in touch for longer than the settle window.
const SETTLE_TIME: Duration = Duration::from_millis(5_000);
const PAUSE: Duration = Duration::from_millis(2_600);
/// The largest answer of the site.
const ANSWER_BYTES: usize = 4_800;
/// A window of less than an answer.
const WINDOW_BYTES: i32 = 2_304;
/// More connections than these closed without an answer break the rule.
const MAX_LOST: usize = 3;

pub fn play(context: &CaseContext) -> Result<Verdict, String> {
    let record = &context.record;
    let store = Store::start().map_err(problem)?;
    let config = Config {
        timeout_ms: ROUTE_TIMEOUT_MS,
        ..Config::default()
    };
    store.put("op", "config", &config.to_json());
    let reply = |run: &Run| Reply {
        status: "200 OK",
        body: match run.target.contains("large") {
            true => vec![b'x'; ANSWER_BYTES],
            false => b"small".to_vec(),
        },
    };
    let start = |zone: &&str| Application::start(&store, record, &format!("i-{zone}"), zone, reply);
    let replicas: Vec<Application> = ZONES
        .iter()
        .map(start)
        .collect::<Result<_, _>>()
        .map_err(problem)?;
    let mut fleet = Fleet::start(&context.root, store.address, record)?;
    std::thread::sleep(SETTLE_TIME);
    let pause = match context.has_trouble {
        true => PAUSE,
        false => Duration::ZERO,
    };
    let consumers = (0..CONSUMERS).map(|number| {
        let record = record.clone();
        let address = fleet.gateways[number % fleet.gateways.len()].callers;
        std::thread::spawn(move || consume(&record, address, number, pause))
    });
    let consumers: Vec<_> = consumers.collect();
    let mut lost = Vec::new();
    for (number, consumer) in consumers.into_iter().enumerate() {
        let is_lost = consumer.join().map_err(|_| "a consumer panicked")??;
        if is_lost {
            lost.push(format!("large-{number}"));
        }
    }
    let runs: Vec<Run> = replicas.iter().flat_map(Application::runs).collect();
    let has_run = |id: &&String| runs.iter().any(|run| run.id == **id);
    let lost = lost.iter().filter(has_run).count();
    if !fleet.is_running() {
        return Err("a gateway has ended".to_owned());
    }
    for line in fleet.log_lines("large-") {
        record.write(format!("log: {line}"));
    }
    record.write(format!(
        "{lost} of {CONSUMERS} requests were run and answered by a replica, and their connection \
         was closed without an answer; {MAX_LOST} are allowed"
    ));
    Ok(Verdict::from_broken(lost > MAX_LOST))
}

/// Sends two requests on one connection; reports whether the second one was lost.
fn consume(
    record: &Record,
    address: SocketAddr,
    number: usize,
    pause: Duration,
) -> Result<bool, String> {
    let mut connection = connect_with_window(address, WINDOW_BYTES).map_err(problem)?;
    let id = format!("small-{number}");
    let target = format!("/credits/small/{number}");
    connection
        .write(&post(&target, &id, TIME_LIMIT_MS, ""))
        .map_err(problem)?;
    let answer = connection.read_message().map_err(problem)?;
    let status = answer.map_or(0, |answer| answer.status());
    if status != 200 {
        return Err(format!("{id} was answered {status}"));
    }
    let id = format!("large-{number}");
    let target = format!("/credits/large/{number}");
    record.write(format!("consumer sends {id} on its kept connection"));
    connection
        .write(&post(&target, &id, TIME_LIMIT_MS, ""))
        .map_err(problem)?;
    let sent = record.now();
    std::thread::sleep(pause);
    record.write(format!("consumer of {id} reads"));
    let answer = connection.read_message();
    let took = (record.now() - sent).as_millis();
    Ok(match answer {
        Ok(Some(answer)) if answer.body.len() == ANSWER_BYTES => {
            record.write(format!(
                "consumer has the whole answer to {id} after {took} ms"
            ));
            false
        }
        Ok(Some(answer)) => {
            record.write(format!("consumer gets {} for {id}", answer.start));
            false
        }
        Ok(None) => {
            record.write(format!(
                "connection of {id} ends without a byte after {took} ms"
            ));
            true
        }
        Err(error) => {
            record.write(format!(
                "connection of {id} ends within the answer after {took} ms: {error}"
            ));
            true
        }
    })
}
