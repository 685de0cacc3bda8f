//! A replica fails a part of the bookings that it ran, with status 503.

use crate::client::send;
use crate::config::{config, APP};
use crate::gateway::Gateway;
use crate::replica::Replica;
use crate::store::Store;
use crate::{Outcome, Run};
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The first of the replicas fails this many of ten requests.
const FAILED_OF_TEN: u64 = 4;

pub fn play(run: &Run) -> Outcome {
    let record = &run.record;
    let store = Store::start(record);
    store.put("op", "config", &config(1));
    let replicas: Vec<Replica> = (0..3)
        .map(|number| {
            let address = IpAddr::from([127, 0, 0, 11 + number as u8]);
            let fails = run.has_trouble && number == 0;
            let count = AtomicU64::new(0);
            Replica::start(
                record,
                APP,
                &format!("i-{number}"),
                ZONES[number],
                address,
                Duration::from_millis(30),
                Arc::new(move |_| {
                    let place = count.fetch_add(1, Ordering::Relaxed) % 10;
                    match fails && place < FAILED_OF_TEN {
                        true => 503,
                        false => 200,
                    }
                }),
            )
        })
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, &replica.entry("ready"));
    }
    let address = IpAddr::from([127, 0, 0, 2]);
    let gateway = Gateway::start(&run.folders, "frontend-1", ZONES[0], address, store.address);
    if !gateway.wait_for_ready() {
        return Outcome::Failed("the gateway was not ready in time".to_owned());
    }
    let mut broken = 0;
    for number in 0..60 {
        let path = format!("/book/{number}");
        let answer = send(record, gateway.callers, "POST", &path, "", 3_000);
        let runs = replicas.iter().flat_map(Replica::runs);
        let has_run = runs.filter(|arrival| arrival.id == answer.id).count() > 0;
        if has_run && [408, 421, 429, 503].contains(&answer.status()) {
            broken += 1;
            record.note(&format!(
                "REFUSED: {} has run and was answered {}",
                answer.id,
                answer.status()
            ));
        }
    }
    match broken {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
