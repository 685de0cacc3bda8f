//! Any two faults together, by a seeded schedule, with every oracle on.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use skylarkshed_bench::{
    CallClient, Fleet, FleetBuilder, GenerationClient, GenerationResult, GenerationSpec,
};
use skylarkshed_operator::schema::{DescribeRequest, PutCustomerRequest};
use skylarkshed_stand_ins::{
    check_answer, ApplicationFaults, CallCounts, EngineFaults, PlatformFaults, ProxyFaults,
};
use skylarkshed_testsuite::{query, SERVICE_CALLS};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const DEFAULT_SEEDS: u64 = 10;
const ROUNDS: usize = 3;
const FAULT_TIME: Duration = Duration::from_millis(1_200);
const PAUSE: Duration = Duration::from_millis(400);
const ANSWERS_AT_ONCE: usize = 6;

/// A fault that can be brought about and ended.
#[derive(Clone, Copy, Debug)]
enum Fault {
    EngineFrozen,
    EngineSkips,
    EngineCrossed,
    EngineHalfCut,
    ApplicationSlow,
    ApplicationCrossed,
    PlatformOut,
    PlatformSlow,
    RepliesLost,
    VmFrozen,
    VmCutFromPeers,
    VmCutFromPlatform,
}

const FAULTS: [Fault; 12] = [
    Fault::EngineFrozen,
    Fault::EngineSkips,
    Fault::EngineCrossed,
    Fault::EngineHalfCut,
    Fault::ApplicationSlow,
    Fault::ApplicationCrossed,
    Fault::PlatformOut,
    Fault::PlatformSlow,
    Fault::RepliesLost,
    Fault::VmFrozen,
    Fault::VmCutFromPeers,
    Fault::VmCutFromPlatform,
];

impl Fault {
    /// Brings the fault about, or ends it.
    async fn switch(self, fleet: &Fleet, victim: usize, on: bool) {
        let engine = &fleet.engines[victim % fleet.engines.len()];
        let application = &fleet.applications[victim % fleet.applications.len()];
        let vm = &fleet.vms[victim % fleet.vms.len()];
        let held = ProxyFaults {
            hold_from_target: on,
            ..ProxyFaults::default()
        };
        let reset = ProxyFaults {
            reset: on,
            ..ProxyFaults::default()
        };
        let place = on.then_some(30);
        let result = match self {
            Fault::EngineFrozen => {
                if on {
                    engine.process.freeze()
                } else {
                    engine.process.thaw()
                }
                Ok(())
            }
            Fault::EngineSkips => {
                let faults = EngineFaults {
                    skip_at: place,
                    ..EngineFaults::default()
                };
                fleet.set_engine_faults(engine, &faults).await
            }
            Fault::EngineCrossed => {
                let faults = EngineFaults {
                    crossed_at: place,
                    ..EngineFaults::default()
                };
                fleet.set_engine_faults(engine, &faults).await
            }
            Fault::EngineHalfCut => fleet.set_proxy_faults(engine.proxy.as_ref(), &held).await,
            Fault::ApplicationSlow => {
                let delay_ms = if on { 700 } else { 0 };
                let faults = ApplicationFaults {
                    delay_ms,
                    ..ApplicationFaults::default()
                };
                fleet.set_application_faults(application, &faults).await
            }
            Fault::ApplicationCrossed => {
                let crossed = if on { 3 } else { 0 };
                let faults = ApplicationFaults {
                    crossed,
                    ..ApplicationFaults::default()
                };
                fleet.set_application_faults(application, &faults).await
            }
            Fault::PlatformOut => {
                fleet
                    .set_platform_faults(PlatformFaults {
                        out: on,
                        ..PlatformFaults::default()
                    })
                    .await
            }
            Fault::PlatformSlow => {
                let delay_ms = if on { 600 } else { 0 };
                let faults = PlatformFaults {
                    delay_ms,
                    ..PlatformFaults::default()
                };
                fleet.set_platform_faults(faults).await
            }
            Fault::RepliesLost => {
                let lose_replies = if on { 5 } else { 0 };
                let faults = PlatformFaults {
                    lose_replies,
                    ..PlatformFaults::default()
                };
                fleet.set_platform_faults(faults).await
            }
            Fault::VmFrozen => {
                if on {
                    vm.process.freeze()
                } else {
                    vm.process.thaw()
                }
                Ok(())
            }
            Fault::VmCutFromPeers => fleet.set_proxy_faults(vm.peer_proxy.as_ref(), &reset).await,
            Fault::VmCutFromPlatform => {
                fleet
                    .set_proxy_faults(vm.platform_proxy.as_ref(), &reset)
                    .await
            }
        };
        result.unwrap();
    }
}

/// What a caller was told of a booking.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BookingReply {
    Answered,
    NotRun,
    Unknown,
}

/// Callers that go on until they are stopped, and what they found.
struct RunningLoad {
    stop: Arc<AtomicBool>,
    answers: Vec<tokio::task::JoinHandle<Vec<(GenerationSpec, GenerationResult)>>>,
    bookings: tokio::task::JoinHandle<Vec<(String, BookingReply)>>,
    revisions: tokio::task::JoinHandle<Vec<String>>,
}

impl RunningLoad {
    fn start(fleet: &Fleet, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let vms: Vec<_> = fleet.vms.iter().map(|vm| vm.caller_address).collect();
        let answers = (0..ANSWERS_AT_ONCE).map(|caller| {
            tokio::spawn(ask_until(
                stop.clone(),
                vms.clone(),
                format!("{seed} {caller}"),
            ))
        });
        let operators = (0..fleet.vms.len())
            .map(|vm| fleet.operator_client(vm))
            .collect();
        RunningLoad {
            answers: answers.collect(),
            bookings: tokio::spawn(book_until(stop.clone(), vms)),
            revisions: tokio::spawn(watch_until(stop.clone(), operators)),
            stop,
        }
    }
}

async fn ask_until(
    stop: Arc<AtomicBool>,
    vms: Vec<std::net::SocketAddr>,
    name: String,
) -> Vec<(GenerationSpec, GenerationResult)> {
    let caller = GenerationClient::default();
    let mut answers = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let number = answers.len();
        let query = query(&format!("{name} {number}"), 60);
        let asked = caller.generate(vms[number % vms.len()], &query);
        let Ok(trace) = tokio::time::timeout(Duration::from_secs(20), asked).await else {
            continue;
        };
        answers.push((query, trace));
    }
    answers
}

/// Sends each booking at two VMs, the second right after the first.
async fn book_until(
    stop: Arc<AtomicBool>,
    vms: Vec<std::net::SocketAddr>,
) -> Vec<(String, BookingReply)> {
    let caller = CallClient::default();
    let mut bookings = Vec::new();
    for number in 0_usize.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let key = format!("booking-{number}");
        for vm in [number % vms.len(), (number + 1) % vms.len()] {
            let call = caller.call(
                vms[vm],
                Fleet::CUSTOMER_KEY,
                SERVICE_CALLS,
                Some(&key),
                "one meter",
            );
            let called = tokio::time::timeout(Duration::from_secs(8), call).await;
            let told = match called {
                Ok(trace) if trace.is_success() => BookingReply::Answered,
                Ok(trace) if trace.outcome() == "not_run" => BookingReply::NotRun,
                _ => BookingReply::Unknown,
            };
            bookings.push((key.clone(), told));
        }
    }
    bookings
}

async fn watch_until(
    stop: Arc<AtomicBool>,
    operators: Vec<skylarkshed_operator::schema::OperatorClient>,
) -> Vec<String> {
    let mut last = vec![0; operators.len()];
    let mut steps_down = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        for (vm, operator) in operators.iter().enumerate() {
            let asked = operator.describe(DescribeRequest::default());
            let asked = tokio::time::timeout(Duration::from_millis(50), asked).await;
            let Ok(Ok(reply)) = asked else { continue };
            let revision = reply.into_inner().revision;
            if revision < last[vm] {
                steps_down.push(format!("vm-{vm}: {} to {revision}", last[vm]));
            }
            last[vm] = revision;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    steps_down
}

#[tokio::test]
async fn two_faults_together_break_nothing() {
    let number = |name: &str| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    let first = number("SKYLARKSHED_SCHEDULE_SEED").unwrap_or(1);
    let count = number("SKYLARKSHED_SCHEDULE_SEEDS").unwrap_or(DEFAULT_SEEDS);
    for seed in first..first + count {
        run_schedule(seed).await;
    }
}

async fn run_schedule(seed: u64) {
    let builder = FleetBuilder::new()
        .engines_per_zone(2)
        .engine_args(&["--step-us", "5000"]);
    let builder = builder.proxy_upstreams().proxy_platform().proxy_peers();
    let fleet = builder.start().await.unwrap();
    fleet.configure().await.unwrap();
    fleet.wait_for_members(2).await.unwrap();
    let load = RunningLoad::start(&fleet, seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut accepted = fleet.revision(0).await.unwrap();
    for round in 0..ROUNDS {
        let pair: Vec<Fault> = FAULTS.choose_multiple(&mut rng, 2).copied().collect();
        let victims = [rng.random_range(0..6), rng.random_range(0..6)];
        println!("seed {seed}, round {round}: {pair:?} at {victims:?}");
        for (fault, victim) in pair.iter().zip(victims) {
            fault.switch(&fleet, victim, true).await;
        }
        accepted = accepted.max(change(&fleet, seed, round).await);
        tokio::time::sleep(FAULT_TIME).await;
        for (fault, victim) in pair.iter().zip(victims) {
            fault.switch(&fleet, victim, false).await;
        }
        tokio::time::sleep(PAUSE).await;
    }
    fleet.wait_for_revision(accepted).await.unwrap();
    check_oracles(&fleet, load, seed).await;
}

/// Makes a change at the first VM; returns its revision, or 0 if it was refused.
async fn change(fleet: &Fleet, seed: u64, round: usize) -> u64 {
    let request = PutCustomerRequest {
        change_id: format!("change-{seed}-{round}").into(),
        name: "van".into(),
        weight: round as u32 + 1,
        ..PutCustomerRequest::default()
    };
    let operator = fleet.operator_client(0);
    let made = operator.put_customer(request);
    let made = tokio::time::timeout(Duration::from_secs(8), made).await;
    made.ok()
        .and_then(Result::ok)
        .map_or(0, |reply| reply.into_inner().revision)
}

async fn check_oracles(fleet: &Fleet, load: RunningLoad, seed: u64) {
    load.stop.store(true, Ordering::Relaxed);
    let steps_down = load.revisions.await.unwrap();
    assert_eq!(
        steps_down,
        Vec::<String>::new(),
        "seed {seed}: no revision steps down"
    );
    let mut whole = 0;
    for answers in load.answers {
        for (query, trace) in answers.await.unwrap() {
            let checked = check_answer("v1", &query.prompt, &trace.tokens, trace.tokens.len());
            assert_eq!(checked, Ok(()), "seed {seed}: {}", query.prompt);
            assert!(trace.is_in_order, "seed {seed}: {}", query.prompt);
            if let Some(total) = trace.total_tokens {
                assert_eq!(total, query.max_tokens, "seed {seed}: {}", query.prompt);
                whole += 1;
            }
        }
    }
    assert!(
        whole > ANSWERS_AT_ONCE,
        "seed {seed}: answers came to their end"
    );
    check_bookings(
        &fleet.call_counts().await.unwrap(),
        load.bookings.await.unwrap(),
        seed,
    );
}

fn check_bookings(counts: &CallCounts, bookings: Vec<(String, BookingReply)>, seed: u64) {
    let mut replies: BTreeMap<String, Vec<BookingReply>> = BTreeMap::new();
    for (key, reply) in bookings {
        replies.entry(key).or_default().push(reply);
    }
    for (key, replies) in replies {
        let runs = counts.get(&key).copied().unwrap_or(0);
        assert!(runs <= 1, "seed {seed}: {key} ran {runs} times");
        if replies.contains(&BookingReply::Answered) {
            assert_eq!(runs, 1, "seed {seed}: {key} was answered");
        }
        if replies.iter().all(|reply| *reply == BookingReply::NotRun) {
            assert_eq!(runs, 0, "seed {seed}: every try of {key} was told not_run");
        }
    }
}
