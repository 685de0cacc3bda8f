//! A version of the configuration that allows longer heads, and consumers with kept
//! connections.

use super::{problem, CaseContext, Verdict};
use crate::application::{Application, Reply, Run};
use crate::client::{connect, post};
use crate::config::Config;
use crate::fleet::{Fleet, ZONES};
use crate::http::Connection;
use crate::store::Store;
use std::time::Duration;

const CONSUMERS: usize = 12;
const TIME_LIMIT_MS: u64 = 3_000;
const NEW_LIMIT_BYTES: usize = 65_536;
/// The configuration has to be in force after `configuration_ms`.
const CONFIGURATION_TIME: Duration = Duration::from_millis(2_000);
const MARGIN: Duration = Duration::from_millis(1_000);
/// The bytes of headers that consumers send after the change, below the new limit.
const HEADER_BYTES: usize = 40_000;
/// A header of this size, so that the number of headers stays small.
const VALUE_BYTES: usize = 4_000;

pub fn play(context: &CaseContext) -> Result<Verdict, String> {
    let record = &context.record;
    let store = Store::start().map_err(problem)?;
    let config = Config::default();
    // Without the disruption, the higher limit holds from the start.
    let first = match context.has_trouble {
        true => config.clone(),
        false => Config {
            max_header_bytes: NEW_LIMIT_BYTES,
            ..config.clone()
        },
    };
    store.put("op", "config", &first.to_json());
    let reply = |_: &Run| Reply {
        status: "200 OK",
        body: b"booked".to_vec(),
    };
    let start = |zone: &&str| Application::start(&store, record, &format!("i-{zone}"), zone, reply);
    let _replicas: Vec<Application> = ZONES
        .iter()
        .map(start)
        .collect::<Result<_, _>>()
        .map_err(problem)?;
    let mut fleet = Fleet::start(&context.root, store.address, record)?;
    std::thread::sleep(Duration::from_millis(4_000));
    let mut connections = Vec::new();
    let mut total = 0;
    for number in 0..CONSUMERS {
        let address = fleet.gateways[number % fleet.gateways.len()].callers;
        let mut connection = connect(address).map_err(problem)?;
        let status = book(&mut connection, &format!("first-{number}"), "")?;
        record.write(format!("first-{number} on a new connection: {status}"));
        if status != 200 {
            return Err(format!("first-{number} was answered {status}"));
        }
        total += 1;
        connections.push(connection);
    }
    if context.has_trouble {
        let second = Config {
            version: config.version + 4,
            max_header_bytes: NEW_LIMIT_BYTES,
            ..config
        };
        store.put("op", "config", &second.to_json());
        record.write(format!(
            "the store has acknowledged version {} with max_header_bytes {NEW_LIMIT_BYTES}",
            second.version
        ));
    }
    std::thread::sleep(CONFIGURATION_TIME + MARGIN);
    let value = "x".repeat(VALUE_BYTES);
    let headers =
        (0..HEADER_BYTES / VALUE_BYTES).map(|number| format!("X-Note-{number}: {value}\r\n"));
    let headers: String = headers.collect();
    let mut denied = 0;
    for (number, connection) in connections.iter_mut().enumerate() {
        let status = book(connection, &format!("kept-{number}"), &headers)?;
        record.write(format!(
            "kept-{number} with {} bytes of headers on its kept connection: {status}",
            headers.len()
        ));
        total += 1;
        denied += usize::from(
            matches!(status, 400..=499 if status != 408 && status != 421 && status != 429),
        );
    }
    for number in 0..3 {
        let address = fleet.gateways[number % fleet.gateways.len()].callers;
        let mut connection = connect(address).map_err(problem)?;
        let status = book(&mut connection, &format!("new-{number}"), &headers)?;
        record.write(format!(
            "new-{number} with the same headers on a new connection: {status}"
        ));
        total += 1;
    }
    if !fleet.is_running() {
        return Err("a gateway has ended".to_owned());
    }
    let allowed = 5 + total / 500;
    record.write(format!(
        "{denied} of {total} proper requests were ended with a 4xx; {allowed} are allowed"
    ));
    Ok(Verdict::from_broken(denied > allowed))
}

/// Sends a request and returns the status of its answer; 0 if there is none.
fn book(connection: &mut Connection, id: &str, headers: &str) -> Result<u16, String> {
    let request = post(&format!("/credits/{id}"), id, TIME_LIMIT_MS, headers);
    if connection.write(&request).is_err() {
        return Ok(0);
    }
    let answer = connection.read_message();
    Ok(answer.ok().flatten().map_or(0, |answer| answer.status()))
}
