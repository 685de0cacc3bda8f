//! Moves of traffic to another version: finished in time, or reversed.

use skylarkshed_bench::{Fleet, FleetBuilder, GenerationClient, UpstreamHandle};
use skylarkshed_operator::schema::{News, StartMoveRequest, WatchRequest};
use skylarkshed_stand_ins::{EngineFaults, PlatformFaults};
use skylarkshed_testsuite::generation_spec;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

const REQUEST_PERIOD: Duration = Duration::from_millis(8);
const MOVE_TIMEOUT: Duration = Duration::from_secs(40);
/// No VM sends anything to a failing version this long after the failures were observed.
const STOP_BOUND: Duration = Duration::from_secs(2);

/// A fleet with engines of two versions under constant load.
struct MovingFleet {
    fleet: Fleet,
    new_engines: Vec<UpstreamHandle>,
    load: JoinHandle<()>,
}

impl Drop for MovingFleet {
    fn drop(&mut self) {
        self.load.abort();
    }
}

impl MovingFleet {
    async fn start() -> Self {
        let builder = FleetBuilder::new().engine_args(&["--step-us", "2000"]);
        let fleet = builder.start().await.unwrap();
        fleet.configure().await.unwrap();
        fleet.wait_for_members(2).await.unwrap();
        let new_engines = fleet.start_engines("v2", 3).await.unwrap();
        fleet
            .put_version(Fleet::MODEL_SERVICE, "v2", &new_engines)
            .await
            .unwrap();
        // `configure` makes five changes, and the new version is the sixth.
        fleet.wait_for_revision(6).await.unwrap();
        let vms = fleet.vms.iter().map(|vm| vm.caller_address).collect();
        let load = tokio::spawn(send_load(vms));
        MovingFleet {
            fleet,
            new_engines,
            load,
        }
    }

    async fn start_move(&self, within_ms: u64) {
        let request = StartMoveRequest {
            change_id: "the-move".into(),
            service: Fleet::MODEL_SERVICE.into(),
            to_version: "v2".into(),
            within_ms,
        };
        self.fleet
            .operator_client(0)
            .start_move(request)
            .await
            .unwrap();
    }

    async fn set_new_engine_faults(&self, faults: &EngineFaults) {
        for engine in &self.new_engines {
            self.fleet.set_engine_faults(engine, faults).await.unwrap();
        }
    }

    /// Watches at a VM until the move ends; returns all events after a position.
    async fn watch_to_end(&self, vm: usize, after: u64) -> Vec<News> {
        let end = Instant::now() + MOVE_TIMEOUT;
        let mut events: Vec<News> = Vec::new();
        while Instant::now() < end {
            let position = events.last().map_or(after, |event| event.position);
            let request = WatchRequest {
                after: position,
                wait_ms: 1_000,
            };
            let reply = self.fleet.operator_client(vm).watch(request).await.unwrap();
            events.extend(reply.into_inner().news);
            let is_end = |event: &News| matches!(event.event.as_str(), "finished" | "reversed");
            if events.iter().any(is_end) {
                return events;
            }
        }
        panic!("the move did not end: {events:?}");
    }

    async fn tokens_computed_by_new_engines(&self) -> u64 {
        let mut sum = 0;
        for engine in &self.new_engines {
            sum += self.fleet.tokens_computed_by(engine).await;
        }
        sum
    }

    /// Asserts that the engines of the new version get no work after the bound.
    async fn assert_new_engines_get_no_work(&self) {
        tokio::time::sleep(STOP_BOUND).await;
        let before = self.tokens_computed_by_new_engines().await;
        tokio::time::sleep(STOP_BOUND).await;
        assert_eq!(
            self.tokens_computed_by_new_engines().await,
            before,
            "the failing version gets no work"
        );
    }
}

async fn send_load(vms: Vec<SocketAddr>) {
    let client = GenerationClient::default();
    for number in 0_usize.. {
        let (client, vm) = (client.clone(), vms[number % vms.len()]);
        tokio::spawn(async move {
            client
                .generate(vm, &generation_spec(&format!("load {number}"), 3))
                .await;
        });
        tokio::time::sleep(REQUEST_PERIOD).await;
    }
}

fn event_names(events: &[News]) -> Vec<&str> {
    events.iter().map(|event| event.event.as_str()).collect()
}

#[tokio::test]
async fn good_version_is_moved_in_time_with_each_event_once() {
    let moving = MovingFleet::start().await;
    let start = Instant::now();
    moving.start_move(12_000).await;
    let events = moving.watch_to_end(1, 0).await;
    assert!(
        start.elapsed() < Duration::from_secs(12),
        "took {:?}",
        start.elapsed()
    );
    assert_eq!(
        event_names(&events),
        ["started", "stepped", "stepped", "stepped", "finished"]
    );
    let client = GenerationClient::default();
    moving
        .fleet
        .wait_for_revision(events.last().unwrap().position)
        .await
        .unwrap();
    for vm in &moving.fleet.vms {
        let spec = generation_spec("after the move", 5);
        let result = client.generate(vm.caller_address, &spec).await;
        skylarkshed_testsuite::assert_complete_answer("v2", &spec, &result);
    }
}

#[tokio::test]
async fn move_to_failing_version_is_reversed() {
    let moving = MovingFleet::start().await;
    let failing = EngineFaults {
        fail_percent: 60,
        ..EngineFaults::default()
    };
    moving.set_new_engine_faults(&failing).await;
    moving.start_move(60_000).await;
    let events = moving.watch_to_end(1, 0).await;
    assert_eq!(event_names(&events).last(), Some(&"reversed"), "{events:?}");
    moving.assert_new_engines_get_no_work().await;
}

#[tokio::test]
async fn move_to_slow_version_is_reversed() {
    let moving = MovingFleet::start().await;
    let slow = EngineFaults {
        slow: 8,
        ..EngineFaults::default()
    };
    moving.set_new_engine_faults(&slow).await;
    moving.start_move(60_000).await;
    let events = moving.watch_to_end(2, 0).await;
    assert_eq!(event_names(&events).last(), Some(&"reversed"), "{events:?}");
    assert!(events.last().unwrap().detail.contains("slow"), "{events:?}");
    moving.assert_new_engines_get_no_work().await;
}

#[tokio::test]
async fn failing_version_is_stopped_during_a_platform_outage_and_reported_once_after() {
    let moving = MovingFleet::start().await;
    moving.start_move(120_000).await;
    let outage = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    moving.fleet.set_platform_faults(outage).await.unwrap();
    let failing = EngineFaults {
        fail_percent: 100,
        ..EngineFaults::default()
    };
    moving.set_new_engine_faults(&failing).await;
    // Refused attempts compute no tokens, so the refusals are counted instead.
    let end = Instant::now() + MOVE_TIMEOUT;
    loop {
        let before = refused_attempts(&moving.fleet).await;
        tokio::time::sleep(STOP_BOUND).await;
        if before > 0.0 && refused_attempts(&moving.fleet).await == before {
            break;
        }
        assert!(Instant::now() < end, "the failing version still gets work");
    }
    moving
        .fleet
        .set_platform_faults(PlatformFaults::default())
        .await
        .unwrap();
    let events = moving.watch_to_end(1, 0).await;
    assert_eq!(event_names(&events), ["started", "reversed"]);
    let later = WatchRequest {
        after: events.last().unwrap().position,
        wait_ms: 1_500,
    };
    let later = moving
        .fleet
        .operator_client(2)
        .watch(later)
        .await
        .unwrap()
        .into_inner()
        .news;
    assert!(later.is_empty(), "reported only once: {later:?}");
}

async fn refused_attempts(fleet: &Fleet) -> f64 {
    let mut sum = 0.0;
    for vm in &fleet.vms {
        sum += fleet
            .metric_sum(vm, "retries_total{reason=\"engine_refused\"")
            .await
            .unwrap();
    }
    sum
}

#[tokio::test]
async fn watch_continues_at_another_vm_after_a_kill() {
    let moving = MovingFleet::start().await;
    moving.start_move(8_000).await;
    let request = WatchRequest {
        after: 0,
        wait_ms: 5_000,
    };
    let seen = moving
        .fleet
        .operator_client(0)
        .watch(request)
        .await
        .unwrap()
        .into_inner()
        .news;
    moving.fleet.vms[0].process.kill();
    let position = seen.last().unwrap().position;
    let rest = moving.watch_to_end(1, position).await;
    assert!(rest.iter().all(|event| event.position > position));
    let names: Vec<&str> = event_names(&seen)
        .into_iter()
        .chain(event_names(&rest))
        .collect();
    assert_eq!(
        names,
        ["started", "stepped", "stepped", "stepped", "finished"]
    );
}
