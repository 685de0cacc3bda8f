//! A replica is cut off while it sends an answer without a length, ends behind the cut, and
//! starts again.

use super::{pause, ZONES};
use crate::callers::Callers;
use crate::fleet::{config, free_address, signal, Bench, Replica};
use crate::proxy::Path;
use crate::replica::whole_body;
use std::time::{Duration, Instant};

/// One in twenty answers of the first replica has no length, and takes 400 ms.
const UNFRAMED: [&str; 4] = ["--unframed-every", "20", "--unframed-ms", "400"];
const CALLERS: usize = 3;
const TRIGGER_LIMIT: Duration = Duration::from_secs(30);

/// Waits until the replica has sent the first half of an answer without a length.
fn wait_for_half_answer(replica: &Replica) -> bool {
    let deadline = Instant::now() + TRIGGER_LIMIT;
    while Instant::now() < deadline {
        let log = std::fs::read_to_string(&replica.log).unwrap_or_default();
        if log.contains(" half-answered ") {
            return true;
        }
        pause(2);
    }
    false
}

pub fn play(bench: &Bench, has_trouble: bool) -> Option<u32> {
    let (record, store) = (&bench.record, &bench.store);
    store.put("op", "", "config", Some(&config(7)));
    let mut replicas = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("i-counter-{number}");
        let extra: &[&str] = if number == 0 { &UNFRAMED } else { &[] };
        let replica = bench.start_replica(&id, "counter", free_address(), extra);
        let path = Path::start(replica.address);
        let entry = replica.entry(path.address, zone, "ready", 1);
        store.put("servers", "", &id, Some(&entry));
        replicas.push((replica, path));
    }
    let gateway = bench.start_gateway("frontend-chag-1", "chag");
    let callers = Callers::start(record, gateway.callers, "/post/credit", CALLERS);
    if !wait_for_half_answer(&replicas[0].0) {
        return None;
    }
    callers.stop();
    if has_trouble {
        let (replica, path) = replicas.remove(0);
        let (id, address, log) = (replica.id.clone(), replica.address, replica.log.clone());
        pause(50);
        path.set_cut(true);
        record.note(&format!("{id} is cut off"));
        pause(50);
        signal(&replica.process.0, "KILL");
        drop(replica);
        record.note(&format!("{id} is killed behind the cut"));
        pause(700);
        let replica = bench.start_replica(&id, "counter", address, &[]);
        record.note(&format!("{id} has started again"));
        pause(200);
        path.set_cut(false);
        record.note(&format!("{id} is no longer cut off"));
        let entry = replica.entry(path.address, ZONES[0], "ready", 1);
        store.put("servers", "", &id, Some(&entry));
        assert_eq!(log, replica.log);
        replicas.push((replica, path));
    }
    let mut violations = 0;
    let mut answered = 0;
    for (id, response) in callers.join() {
        let Some(response) = response else {
            continue;
        };
        let whole = whole_body(&id);
        let is_success = (200..300).contains(&response.status()) && response.is_complete;
        if is_success && response.text() == whole {
            answered += 1;
        } else if is_success {
            violations += 1;
            record.note(&format!(
                "MIXED: request {id} got status {} with signature {}, content-length {} and {} of \
                 {} bytes, complete by its framing",
                response.status(),
                response.header("x-server-signature").unwrap_or("none"),
                response.header("content-length").unwrap_or("none"),
                response.body.len(),
                whole.len(),
            ));
        }
    }
    let logs: Vec<_> = replicas.iter().map(|(replica, _)| &replica.log).collect();
    bench.note_logs(&logs);
    (answered > 0).then_some(violations)
}
