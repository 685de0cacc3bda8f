//! Replicas that fail part of their calls with a 503 of their own, after they have run them.

use super::{problem, CaseContext, Verdict};
use crate::application::{Application, Reply, Run};
use crate::client::{connect, post};
use crate::config::Config;
use crate::fleet::{Fleet, ZONES};
use crate::store::Store;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

const BOOKINGS: usize = 30;
const TIME_LIMIT_MS: u64 = 3_000;
/// A consumer retries once.
const ATTEMPTS: usize = 2;

pub fn play(context: &CaseContext) -> Result<Verdict, String> {
    let record = &context.record;
    let store = Store::start().map_err(problem)?;
    store.put("op", "config", &Config::default().to_json());
    let has_trouble = context.has_trouble;
    let start = |zone: &&str| {
        let is_grey = has_trouble && *zone == ZONES[0];
        let reply = move |run: &Run| {
            let number: usize = run
                .target
                .rsplit('/')
                .next()
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            match is_grey && number % 5 < 2 {
                true => Reply {
                    status: "503 Service Unavailable",
                    body: b"the ledger did not confirm in time".to_vec(),
                },
                false => Reply {
                    status: "200 OK",
                    body: b"booked".to_vec(),
                },
            }
        };
        Application::start(&store, record, &format!("i-{zone}"), zone, reply)
    };
    let replicas: Vec<Application> = ZONES
        .iter()
        .map(start)
        .collect::<Result<_, _>>()
        .map_err(problem)?;
    let mut fleet = Fleet::start(&context.root, store.address, record)?;
    std::thread::sleep(Duration::from_millis(4_000));
    let mut refused = Vec::new();
    for number in 0..BOOKINGS {
        for attempt in 0..ATTEMPTS {
            let gateway = &fleet.gateways[(number + attempt) % fleet.gateways.len()];
            let id = format!("booking-{number}-{attempt}");
            let status = book(gateway.callers, &id, number)?;
            record.write(format!("{id} is answered {status}"));
            // A 503 promises that the booking has not run and never will, so it is sent again.
            match status {
                429 | 503 => refused.push(id),
                _ => break,
            }
        }
    }
    if !fleet.is_running() {
        return Err("a gateway has ended".to_owned());
    }
    let runs: Vec<Run> = replicas.iter().flat_map(Application::runs).collect();
    let broken = refused
        .iter()
        .filter(|id| runs.iter().any(|run| run.id == **id))
        .count();
    let mut bookings: HashMap<&str, usize> = HashMap::new();
    for run in &runs {
        *bookings.entry(&run.target).or_default() += 1;
    }
    let twice = bookings.values().filter(|count| **count > 1).count();
    record.write(format!(
        "{broken} of {} refused bookings had run; {twice} of {BOOKINGS} were booked twice",
        refused.len()
    ));
    Ok(Verdict::from_broken(broken > 0))
}

fn book(gateway: SocketAddr, id: &str, number: usize) -> Result<u16, String> {
    let mut connection = connect(gateway).map_err(problem)?;
    let message = post(&format!("/credits/{number}"), id, TIME_LIMIT_MS, "");
    connection.write(&message).map_err(problem)?;
    let answer = connection.read_message().map_err(problem)?;
    Ok(answer.map_or(0, |answer| answer.status()))
}
