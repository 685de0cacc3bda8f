//! Moves between versions: in time, or taken back.

use skylarkshed_bench::{Fleet, FleetBuilder, GenerationClient, UpstreamHandle};
use skylarkshed_operator::schema::{News, StartMoveRequest, WatchRequest};
use skylarkshed_stand_ins::{EngineFaults, PlatformFaults};
use skylarkshed_testsuite::query;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

const REQUEST_PERIOD: Duration = Duration::from_millis(8);
const NEWS_WAIT: Duration = Duration::from_secs(40);
/// No VM sends a bad version anything this long after the evidence.
const STOP_BOUND: Duration = Duration::from_secs(2);

/// A fleet with engines of two versions and callers that never stop.
struct MovingFleet {
    fleet: Fleet,
    new: Vec<UpstreamHandle>,
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
        let new = fleet.start_engines("v2", 3).await.unwrap();
        fleet
            .put_version(Fleet::MODEL_SERVICE, "v2", &new)
            .await
            .unwrap();
        fleet.wait_for_revision(6).await.unwrap();
        let vms = fleet.vms.iter().map(|vm| vm.caller_address).collect();
        let load = tokio::spawn(ask_for_ever(vms));
        MovingFleet { fleet, new, load }
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

    async fn fault_new(&self, faults: &EngineFaults) {
        for engine in &self.new {
            self.fleet.set_engine_faults(engine, faults).await.unwrap();
        }
    }

    /// Watches at a VM until the move ends; returns all news after a position.
    async fn watch_to_end(&self, vm: usize, after: u64) -> Vec<News> {
        let end = Instant::now() + NEWS_WAIT;
        let mut all: Vec<News> = Vec::new();
        while Instant::now() < end {
            let position = all.last().map_or(after, |news| news.position);
            let request = WatchRequest {
                after: position,
                wait_ms: 1_000,
            };
            let reply = self.fleet.operator_client(vm).watch(request).await.unwrap();
            all.extend(reply.into_inner().news);
            let is_ended = |news: &News| matches!(news.event.as_str(), "finished" | "reversed");
            if all.iter().any(is_ended) {
                return all;
            }
        }
        panic!("the move did not end: {all:?}");
    }

    async fn new_computed(&self) -> u64 {
        let mut sum = 0;
        for engine in &self.new {
            sum += self.fleet.tokens_computed_by(engine).await;
        }
        sum
    }

    /// Checks that the new version gets nothing any more.
    async fn check_stopped(&self) {
        tokio::time::sleep(STOP_BOUND).await;
        let before = self.new_computed().await;
        tokio::time::sleep(STOP_BOUND).await;
        assert_eq!(
            self.new_computed().await,
            before,
            "the bad version gets no work"
        );
    }
}

async fn ask_for_ever(vms: Vec<SocketAddr>) {
    let caller = GenerationClient::default();
    for number in 0_usize.. {
        let (caller, vm) = (caller.clone(), vms[number % vms.len()]);
        tokio::spawn(async move {
            caller
                .generate(vm, &query(&format!("load {number}"), 3))
                .await;
        });
        tokio::time::sleep(REQUEST_PERIOD).await;
    }
}

fn events(news: &[News]) -> Vec<&str> {
    news.iter().map(|news| news.event.as_str()).collect()
}

#[tokio::test]
async fn good_version_is_moved_in_time_and_told_once() {
    let moving = MovingFleet::start().await;
    let start = Instant::now();
    moving.start_move(12_000).await;
    let news = moving.watch_to_end(1, 0).await;
    assert!(
        start.elapsed() < Duration::from_secs(12),
        "took {:?}",
        start.elapsed()
    );
    assert_eq!(
        events(&news),
        ["started", "stepped", "stepped", "stepped", "finished"]
    );
    let caller = GenerationClient::default();
    moving
        .fleet
        .wait_for_revision(news.last().unwrap().position)
        .await
        .unwrap();
    for vm in &moving.fleet.vms {
        let query = query("after the move", 5);
        let trace = caller.generate(vm.caller_address, &query).await;
        skylarkshed_testsuite::assert_complete_answer("v2", &query, &trace);
    }
}

#[tokio::test]
async fn failing_version_is_taken_back() {
    let moving = MovingFleet::start().await;
    let failing = EngineFaults {
        fail_percent: 60,
        ..EngineFaults::default()
    };
    moving.fault_new(&failing).await;
    moving.start_move(60_000).await;
    let news = moving.watch_to_end(1, 0).await;
    assert_eq!(events(&news).last(), Some(&"reversed"), "{news:?}");
    moving.check_stopped().await;
}

#[tokio::test]
async fn slow_version_is_taken_back() {
    let moving = MovingFleet::start().await;
    let slow = EngineFaults {
        slow: 8,
        ..EngineFaults::default()
    };
    moving.fault_new(&slow).await;
    moving.start_move(60_000).await;
    let news = moving.watch_to_end(2, 0).await;
    assert_eq!(events(&news).last(), Some(&"reversed"), "{news:?}");
    assert!(news.last().unwrap().detail.contains("slow"), "{news:?}");
    moving.check_stopped().await;
}

#[tokio::test]
async fn bad_version_is_stopped_while_the_platform_is_out_and_told_once_after() {
    let moving = MovingFleet::start().await;
    moving.start_move(120_000).await;
    let out = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    moving.fleet.set_platform_faults(out).await.unwrap();
    let failing = EngineFaults {
        fail_percent: 100,
        ..EngineFaults::default()
    };
    moving.fault_new(&failing).await;
    // Refused attempts compute nothing; the counters tell when they end.
    let end = Instant::now() + NEWS_WAIT;
    loop {
        let before = refused(&moving.fleet).await;
        tokio::time::sleep(STOP_BOUND).await;
        if before > 0.0 && refused(&moving.fleet).await == before {
            break;
        }
        assert!(Instant::now() < end, "the bad version still gets work");
    }
    moving
        .fleet
        .set_platform_faults(PlatformFaults::default())
        .await
        .unwrap();
    let news = moving.watch_to_end(1, 0).await;
    assert_eq!(events(&news), ["started", "reversed"]);
    let later = WatchRequest {
        after: news.last().unwrap().position,
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
    assert!(later.is_empty(), "told once: {later:?}");
}

async fn refused(fleet: &Fleet) -> f64 {
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
async fn watch_goes_on_at_another_vm_after_a_death() {
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
    assert!(rest.iter().all(|news| news.position > position));
    let all: Vec<&str> = events(&seen).into_iter().chain(events(&rest)).collect();
    assert_eq!(
        all,
        ["started", "stepped", "stepped", "stepped", "finished"]
    );
}
