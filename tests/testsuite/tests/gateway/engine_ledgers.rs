//! VMs of a large fleet share what they place at engines.

use serde_json::json;
use skylarkshed_core::ClockTime;
use skylarkshed_peer::wire::{
    LedgerAnswer, LedgerEngine, LedgerKnowledge, LedgerQuery, PeerBody, PromptPlacement,
};
use skylarkshed_peer::{serve_peers, PeerClient, PeerHandler, PeerKey};
use skylarkshed_stand_ins::ScriptedResponse;
use skylarkshed_testsuite::{
    wait_for_metric, GatewayHarness, HarnessBuilder, OtherVm, RawClient, DEPOT_KEY,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// The number of VMs from which on ledgers are used.
const MIN_VMS: usize = 16;
const PROMPTS: usize = 12;
/// How long an engine prefills a prompt.
const PREFILL: Duration = Duration::from_millis(1_500);
const LEDGER_REQUESTS: &str = "gateway_engine_ledger_requests_total";
const REPORTS: &str = "gateway_engine_ledger_requests_total{result=\"report\"}";
const FALLBACK: &str = "gateway_engine_ledger_requests_total{result=\"fallback\"}";

/// A fleet of two VMs that run, and others that are only listed.
pub(crate) struct LargeFleet {
    pub(crate) harness: GatewayHarness,
    other: OtherVm,
}

impl LargeFleet {
    /// Starts two VMs of the first engine's zone, and lists others in a zone at an address.
    pub(crate) async fn start(zone: &str, address: SocketAddr) -> Self {
        Self::start_with(
            HarnessBuilder::default().engines(2).start().await,
            zone,
            address,
        )
        .await
    }

    async fn start_with(harness: GatewayHarness, zone: &str, address: SocketAddr) -> Self {
        let other = harness.start_other("vm-2").await;
        for engine in &harness.engines {
            engine.set_default_response(ScriptedResponse::LateStream {
                delay: PREFILL,
                last_id: 9,
            });
        }
        let now = ClockTime::wall_clock_now().as_millis();
        for number in 2..MIN_VMS {
            let row = json!({"zone": zone, "address": address, "announced_ms": now, "capacity": 1});
            harness.store.put("vms", &format!("listed-{number}"), &row);
        }
        let present = harness.applications.len() + harness.engines.len();
        let present = format!("gateway_upstreams{{state=\"present\"}} {present}");
        wait_for_metric(other.metrics_address, &present).await;
        let fleet = LargeFleet { harness, other };
        fleet.wait_for_ledgers().await;
        fleet
    }

    /// Waits until both VMs use ledgers, which the owners count.
    async fn wait_for_ledgers(&self) {
        for caller in [self.harness.caller_address, self.other.caller_address] {
            let before = self.count(LEDGER_REQUESTS).await;
            while self.count(LEDGER_REQUESTS).await == before {
                // The caller leaves, so the engine is free again.
                let _client = send_prompt(caller).await;
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
        // Reports and placements of these prompts are out of date by then.
        tokio::time::sleep(Duration::from_millis(500)).await;
    }

    /// Returns the sum of a metric over its labels and both VMs.
    async fn count(&self, metric: &str) -> u64 {
        let mut sum = 0;
        for address in [self.harness.metrics_address, self.other.metrics_address] {
            let metrics = metrics_text(address).await;
            let lines = metrics.lines();
            let lines = lines.filter(|line| line.starts_with(metric));
            let counts = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<u64>().ok());
            sum += counts.sum::<u64>();
        }
        sum
    }

    pub(crate) fn received(&self) -> [usize; 2] {
        [0, 1].map(|index| self.harness.engines[index].received_requests().len())
    }

    /// Waits until the engines have received a number of requests more than `before`.
    async fn wait_for_prompts(&self, before: [usize; 2], count: usize) -> [usize; 2] {
        loop {
            let received = self.received();
            let new = [received[0] - before[0], received[1] - before[1]];
            if new[0] + new[1] >= count {
                return new;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Sends a prompt of the usual length.
async fn send_prompt(address: SocketAddr) -> RawClient {
    let mut client = RawClient::connect(address).await;
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    let request = request.replace("800,80", "8000,800");
    client.send(request.as_bytes()).await;
    client
}

/// An address at which nothing listens.
pub(crate) fn closed_address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

/// Guards against many VMs that choose the same idle engine at the same moment: its report
/// does not show the prompts that other VMs have just placed.
#[tokio::test]
async fn prompt_avoids_an_engine_at_which_another_vm_has_just_placed_one() {
    let fleet = LargeFleet::start("zone-9", closed_address()).await;
    let callers = [fleet.harness.caller_address, fleet.other.caller_address];
    for callers in [callers, [callers[1], callers[0]]] {
        let before = fleet.received();
        let mut clients = Vec::new();
        // Both VMs prefer the engine of their zone, among equals.
        for (number, expected) in [[1, 0], [1, 1], [2, 1], [2, 2]].into_iter().enumerate() {
            clients.push(send_prompt(callers[number % 2]).await);
            assert_eq!(fleet.wait_for_prompts(before, number + 1).await, expected);
        }
        drop(clients);
        // Prompts that have ended count no more.
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// Guards against status checks that grow with the prompts, which are billed.
#[tokio::test]
async fn prompts_of_the_same_moment_share_the_status_checks() {
    let fleet = LargeFleet::start("zone-9", closed_address()).await;
    let callers = [fleet.harness.caller_address, fleet.other.caller_address];
    let (before, checks_before) = (fleet.received(), fleet.count(REPORTS).await);
    let started_at = Instant::now();
    let sending = (0..PROMPTS).map(|number| tokio::spawn(send_prompt(callers[number % 2])));
    let mut clients = Vec::new();
    for task in sending.collect::<Vec<_>>() {
        clients.push(task.await.unwrap());
    }
    let received = fleet.wait_for_prompts(before, PROMPTS).await;
    let intervals = started_at.elapsed().as_millis() as u64 / 200 + 1;
    let checks = fleet.count(REPORTS).await - checks_before;
    // Both engines, once in each 200 ms; without ledgers each prompt asks both.
    assert!((1..=2 * intervals).contains(&checks), "{checks} checks");
    // A prompt that crosses others leaves the engine once, so the split is not even.
    assert!(received.iter().all(|count| *count > 0), "{received:?}");
}

/// Guards against copies that take the room of prompts.
#[tokio::test]
async fn copy_is_held_where_there_is_room() {
    let harness = HarnessBuilder::default().engines(3).start().await;
    let fleet = LargeFleet::start_with(harness, "zone-9", closed_address()).await;
    let engines = &fleet.harness.engines;
    let set_used = |index: usize, used: u64| {
        let report = json!({"waiting": 0, "running": 0, "runs": [],
                            "cache_used": used, "cache_total": 88_000});
        engines[index].set_report(&report.to_string());
    };
    let send = async || {
        // Earlier reports are too old by then.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let before = engines[0].received_requests().len();
        let _client = send_prompt(fleet.harness.caller_address).await;
        engines[0].wait_for_requests(before + 1).await;
        let sent = engines[0].received_requests().pop().unwrap();
        sent.header("x-cache-backup").map(str::to_owned)
    };
    set_used(0, 0);
    for (used, holder) in [([40_000, 10_000], 2), ([20_000, 50_000], 1)] {
        set_used(1, used[0]);
        set_used(2, used[1]);
        assert_eq!(send().await, Some(engines[holder].address().to_string()));
    }
    set_used(1, 80_000);
    set_used(2, 80_000);
    assert_eq!(send().await, None);
}

/// Asks the VM under test, as another VM does, for the prompts due at an engine.
struct LedgerPeer {
    client: PeerClient,
    vm: SocketAddr,
}

impl LedgerPeer {
    async fn request(&self, body: PeerBody) -> PeerBody {
        let timeout = ClockTime::from_millis(5_000);
        self.client.request(self.vm, body, timeout).await.unwrap()
    }

    async fn ask(&self, engine: &LedgerEngine, count: usize) -> Vec<LedgerAnswer> {
        let query = LedgerQuery {
            engines: vec![engine.clone(); count],
            usual_prompt: 8_000,
            is_from_memory: false,
        };
        match self.request(PeerBody::AskLedgers(query)).await {
            PeerBody::LedgerViews(views) => views.answers,
            other => panic!("{other:?}"),
        }
    }

    async fn place(&self, engine: &LedgerEngine, prompt_tokens: u64) -> PeerBody {
        let placement = PromptPlacement {
            engine: Some(engine.clone()),
            request: "of-another-vm".to_owned(),
            prompt_tokens,
            ..PromptPlacement::default()
        };
        self.request(PeerBody::PlacePrompt(placement)).await
    }
}

/// Guards against prompts that still count after their VM was killed or their engine was
/// started again at the same address, and against VMs that send absurd messages.
#[tokio::test]
async fn owner_forgets_prompts_of_killed_vms_and_of_earlier_starts() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    while harness.store.row("vms", "vm-1").is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let row = harness.store.row("vms", "vm-1").unwrap();
    let peer = LedgerPeer {
        client: PeerClient::new(peer_key(&harness), [127, 0, 0, 1].into()),
        vm: serde_json::from_value(row["address"].clone()).unwrap(),
    };
    let name = harness.engines[0].name();
    let mut entry = harness.store.row("servers", &name).unwrap();
    let mut engine = LedgerEngine {
        service: entry["service"].as_str().unwrap().to_owned(),
        engine: name.clone(),
        started_ms: entry["born"].as_u64().unwrap(),
    };
    // The other VM says nothing more of its prompt. Reports 300 ms later have it, or its end.
    peer.place(&engine, u64::MAX).await;
    assert_eq!(peer.ask(&engine, 1).await[0].due_tokens, 10_000_000);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(peer.ask(&engine, 1).await[0].due_tokens, 0);

    assert_eq!(peer.ask(&engine, 2_000).await.len(), 16);
    let unlisted = LedgerEngine {
        engine: "nobody".to_owned(),
        ..engine.clone()
    };
    assert_eq!(peer.place(&unlisted, 8_000).await, PeerBody::Done(false));
    assert_eq!(
        peer.ask(&unlisted, 1).await[0].knowledge(),
        LedgerKnowledge::Unknown
    );

    peer.place(&engine, 8_000).await;
    let old = engine.clone();
    engine.started_ms += 1;
    entry["born"] = json!(engine.started_ms);
    harness.store.put("servers", &name, &entry);
    let mut answer = peer.ask(&engine, 1).await[0];
    while answer.knowledge() == LedgerKnowledge::Unknown {
        tokio::time::sleep(Duration::from_millis(5)).await;
        answer = peer.ask(&engine, 1).await[0];
    }
    assert_eq!(answer.due_tokens, 0);
    assert_eq!(peer.place(&old, 8_000).await, PeerBody::Done(false));
}

/// Guards against a rule for large fleets that changes small ones.
#[tokio::test]
async fn small_fleet_asks_the_engines() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    let response = harness.send_request("POST", "/write/7", "prompt").await;
    assert_eq!(response.status, 200);
    let metrics = metrics_text(harness.metrics_address).await;
    assert!(!metrics.contains(LEDGER_REQUESTS));
}

async fn metrics_text(address: SocketAddr) -> String {
    let mut client = RawClient::connect(address).await;
    let request = "GET /metrics HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
    client.send(request.as_bytes()).await;
    client.read_response().await.unwrap().body
}

/// Handles requests like a build that does not know ledgers.
#[derive(Clone)]
struct OlderBuild;

impl PeerHandler for OlderBuild {
    async fn handle(&self, _: PeerBody) -> PeerBody {
        PeerBody::Done(false)
    }
}

/// Handles requests like a VM that is paused.
#[derive(Clone)]
struct PausedVm;

impl PeerHandler for PausedVm {
    async fn handle(&self, _: PeerBody) -> PeerBody {
        std::future::pending().await
    }
}

fn peer_key(harness: &GatewayHarness) -> PeerKey {
    let store = harness.store.address().to_string();
    PeerKey::parse(blake3::hash(store.as_bytes()).to_hex().as_str()).unwrap()
}

async fn start_peer<H: PeerHandler>(harness: &GatewayHarness, handler: H) -> SocketAddr {
    let key = peer_key(harness);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_peers(listener, key, handler, |_| {}));
    address
}

/// Guards against prompts that wait for owners that can't answer: the VM then asks the engine
/// itself, and goes around one that reports prompts.
async fn assert_engines_are_asked(fleet: &LargeFleet) {
    fleet.harness.engines[0].set_report(r#"{"waiting": 5, "running": 3, "runs": []}"#);
    // A report of the idle engine is too old by then.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = fleet.received();
    let started_at = Instant::now();
    let _client = send_prompt(fleet.harness.caller_address).await;
    assert_eq!(fleet.wait_for_prompts(before, 1).await, [0, 1]);
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_millis(400), "{elapsed:?}");
    fleet.harness.wait_for_metric(FALLBACK).await;
}

/// All owners of the zone's engine but for the VM itself are gone.
#[tokio::test]
async fn engine_is_asked_if_its_owner_is_gone() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    let fleet = LargeFleet::start_with(harness, "zone-1", closed_address()).await;
    assert_engines_are_asked(&fleet).await;
}

#[tokio::test]
async fn engine_is_asked_if_its_owner_is_paused() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    let address = start_peer(&harness, PausedVm).await;
    let fleet = LargeFleet::start_with(harness, "zone-1", address).await;
    assert_engines_are_asked(&fleet).await;
}

#[tokio::test]
async fn engine_is_asked_if_its_owner_is_an_older_build() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    let address = start_peer(&harness, OlderBuild).await;
    let fleet = LargeFleet::start_with(harness, "zone-1", address).await;
    assert_engines_are_asked(&fleet).await;
}
