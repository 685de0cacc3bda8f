//! A version of the configuration that takes away the last tenant.

use super::{problem, CaseContext, Verdict};
use crate::application::{Application, Reply, Run};
use crate::client::{connect, request};
use crate::config::{Config, KEY};
use crate::fleet::{Fleet, ZONES};
use crate::store::Store;
use std::net::SocketAddr;
use std::time::Duration;

const TIME_LIMIT_MS: u64 = 3_000;
const REVOKE_TIME: Duration = Duration::from_millis(5_000);
const MARGIN: Duration = Duration::from_millis(1_000);
const UNKNOWN_KEY: &str = "no-config-ever-held-this";

pub fn play(context: &CaseContext) -> Result<Verdict, String> {
    let record = &context.record;
    let store = Store::start().map_err(problem)?;
    let config = Config::default();
    store.put("op", "config", &config.to_json());
    let reply = |_: &Run| Reply {
        status: "200 OK",
        body: b"booked".to_vec(),
    };
    let start = |zone: &&str| Application::start(&store, record, &format!("i-{zone}"), zone, reply);
    let replicas: Vec<Application> = ZONES
        .iter()
        .map(start)
        .collect::<Result<_, _>>()
        .map_err(problem)?;
    let mut fleet = Fleet::start(&context.root, store.address, record)?;
    std::thread::sleep(Duration::from_millis(4_000));
    for (number, gateway) in fleet.gateways.iter().enumerate() {
        let status = book(gateway.callers, &format!("before-{number}"), KEY)?;
        record.write(format!("before-{number} with the tenant's key: {status}"));
        let status = book(
            gateway.callers,
            &format!("stranger-before-{number}"),
            UNKNOWN_KEY,
        )?;
        record.write(format!(
            "stranger-before-{number} with an unknown key: {status}"
        ));
    }
    // Without the disruption, another tenant is left.
    let left = match context.has_trouble {
        true => Vec::new(),
        false => vec![("pule252", "wsjnbanfqasnmgkcuyj8")],
    };
    let second = Config {
        version: config.version + 5,
        tenants: left,
        ..config
    };
    store.put("op", "config", &second.to_json());
    record.write(format!(
        "the store has acknowledged version {}, with {} tenants",
        second.version,
        second.tenants.len()
    ));
    std::thread::sleep(REVOKE_TIME + MARGIN);
    for (number, gateway) in fleet.gateways.iter().enumerate() {
        let status = book(gateway.callers, &format!("revoked-{number}"), KEY)?;
        record.write(format!(
            "revoked-{number} with the key that was taken away: {status}"
        ));
        let status = book(gateway.callers, &format!("stranger-{number}"), UNKNOWN_KEY)?;
        record.write(format!(
            "stranger-{number} with a key that no configuration held: {status}"
        ));
    }
    if !fleet.is_running() {
        return Err("a gateway has ended".to_owned());
    }
    let runs: Vec<Run> = replicas.iter().flat_map(Application::runs).collect();
    let count = |prefix: &str| runs.iter().filter(|run| run.id.starts_with(prefix)).count();
    let (revoked, strangers) = (count("revoked-"), count("stranger-"));
    record.write(format!(
        "{revoked} requests with a key that was taken away over {} ms before were run, and \
         {strangers} with a key that no configuration ever held",
        REVOKE_TIME.as_millis()
    ));
    Ok(Verdict::from_broken(revoked + strangers > 0))
}

fn book(gateway: SocketAddr, id: &str, key: &str) -> Result<u16, String> {
    let mut connection = connect(gateway).map_err(problem)?;
    let message = request(
        "POST",
        &format!("/credits/{id}"),
        id,
        TIME_LIMIT_MS,
        key,
        "",
    );
    connection.write(&message).map_err(problem)?;
    let answer = connection.read_message().map_err(problem)?;
    Ok(answer.map_or(0, |answer| answer.status()))
}
