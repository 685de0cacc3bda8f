//! Another writer puts an entry that lacks fields under the name of a replica.

use super::{pause, ZONES};
use crate::callers::Callers;
use crate::fleet::{config, free_address, Bench};

/// A replica writes its own entry again after this time.
const HEARTBEAT_MS: u64 = 1_200;

pub fn play(bench: &Bench, has_trouble: bool) -> Option<u32> {
    let (record, store) = (&bench.record, &bench.store);
    store.put("op", "", "config", Some(&config(7)));
    let mut replicas = Vec::new();
    for service in ["counter", "ledger"] {
        for (number, zone) in ZONES.iter().enumerate() {
            let id = format!("i-{service}-{number}");
            let replica = bench.start_replica(&id, service, free_address(), &[]);
            let entry = replica.entry(replica.address, zone, "ready", 1);
            store.put("servers", "", &id, Some(&entry));
            replicas.push((replica, *zone));
        }
    }
    let gateway = bench.start_gateway("frontend-chag-1", "chag");
    let callers = Callers::start(record, gateway.callers, "/other/booking", 3);
    pause(500);
    let (replica, zone) = &replicas[0];
    if has_trouble {
        // `cold_remaining_ms`, `sequence` and `born` are missing.
        let entry = format!(
            "{{\"service\":\"ledger\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":16,\"state\":\"ready\"}}",
            replica.address
        );
        store.put("servers", "", &replica.id, Some(&entry));
        record.note(&format!(
            "another writer puts servers/{}: {entry}",
            replica.id
        ));
    }
    pause(HEARTBEAT_MS);
    let entry = replica.entry(replica.address, zone, "ready", 2);
    store.put("servers", "", &replica.id, Some(&entry));
    record.note(&format!("{} writes its own entry", replica.id));
    pause(500);
    let answers = callers.join();
    let logs: Vec<_> = replicas.iter().map(|(replica, _)| &replica.log).collect();
    let log = bench.note_logs(&logs);
    let mut violations = 0;
    for line in log.lines() {
        if line.contains(" run ") && line.contains("service=counter") && line.contains("/other/") {
            record.note(&format!(
                "ROUTE: run by a service that no config allows: {line}"
            ));
            violations += 1;
        }
    }
    (answers.len() > 20).then_some(violations)
}
