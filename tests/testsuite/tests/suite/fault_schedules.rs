//! Seeded schedules that inject two faults at a time under load and check all invariants.

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
use skylarkshed_testsuite::{generation_spec, BOOKING_PATH};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const DEFAULT_SEED_COUNT: u64 = 10;
const ROUNDS: usize = 3;
/// How long two faults are present.
const FAULT_DURATION: Duration = Duration::from_millis(1_200);
/// The time without faults after each round.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);
const CONCURRENT_GENERATIONS: usize = 6;

/// A fault that can be injected and removed.
#[derive(Clone, Copy, Debug)]
enum Fault {
    EngineFrozen,
    /// The engine leaves out a token.
    EngineSkips,
    /// The engine echoes the identifier of another generation.
    EngineCrossed,
    /// The engine receives requests, but its output is held back.
    EngineHalfCut,
    ApplicationSlow,
    /// The application sends responses that belong to other requests.
    ApplicationCrossed,
    PlatformOut,
    PlatformSlow,
    /// The platform carries out requests, but its replies are lost.
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
    /// Injects the fault if `is_on`, or removes it.
    async fn switch(self, fleet: &Fleet, target: usize, is_on: bool) {
        let engine = &fleet.engines[target % fleet.engines.len()];
        let application = &fleet.applications[target % fleet.applications.len()];
        let vm = &fleet.vms[target % fleet.vms.len()];
        let held = ProxyFaults {
            hold_from_target: is_on,
            ..ProxyFaults::default()
        };
        let reset = ProxyFaults {
            reset: is_on,
            ..ProxyFaults::default()
        };
        let token_index = is_on.then_some(30);
        let result = match self {
            Fault::EngineFrozen => {
                if is_on {
                    engine.process.freeze()
                } else {
                    engine.process.thaw()
                }
                Ok(())
            }
            Fault::EngineSkips => {
                let faults = EngineFaults {
                    skip_at: token_index,
                    ..EngineFaults::default()
                };
                fleet.set_engine_faults(engine, &faults).await
            }
            Fault::EngineCrossed => {
                let faults = EngineFaults {
                    crossed_at: token_index,
                    ..EngineFaults::default()
                };
                fleet.set_engine_faults(engine, &faults).await
            }
            Fault::EngineHalfCut => fleet.set_proxy_faults(engine.proxy.as_ref(), &held).await,
            Fault::ApplicationSlow => {
                let delay_ms = if is_on { 700 } else { 0 };
                let faults = ApplicationFaults {
                    delay_ms,
                    ..ApplicationFaults::default()
                };
                fleet.set_application_faults(application, &faults).await
            }
            Fault::ApplicationCrossed => {
                let crossed = if is_on { 3 } else { 0 };
                let faults = ApplicationFaults {
                    crossed,
                    ..ApplicationFaults::default()
                };
                fleet.set_application_faults(application, &faults).await
            }
            Fault::PlatformOut => {
                fleet
                    .set_platform_faults(PlatformFaults {
                        out: is_on,
                        ..PlatformFaults::default()
                    })
                    .await
            }
            Fault::PlatformSlow => {
                let delay_ms = if is_on { 600 } else { 0 };
                let faults = PlatformFaults {
                    delay_ms,
                    ..PlatformFaults::default()
                };
                fleet.set_platform_faults(faults).await
            }
            Fault::RepliesLost => {
                let lose_replies = if is_on { 5 } else { 0 };
                let faults = PlatformFaults {
                    lose_replies,
                    ..PlatformFaults::default()
                };
                fleet.set_platform_faults(faults).await
            }
            Fault::VmFrozen => {
                if is_on {
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

/// The reported outcome of a booking.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BookingOutcome {
    Answered,
    NotRun,
    Unknown,
}

/// Load that runs until it is stopped, and its results.
struct RunningLoad {
    stop: Arc<AtomicBool>,
    generations: Vec<tokio::task::JoinHandle<Vec<(GenerationSpec, GenerationResult)>>>,
    bookings: tokio::task::JoinHandle<Vec<(String, BookingOutcome)>>,
    revisions: tokio::task::JoinHandle<Vec<String>>,
}

impl RunningLoad {
    fn start(fleet: &Fleet, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let vms: Vec<_> = fleet.vms.iter().map(|vm| vm.caller_address).collect();
        let generations = (0..CONCURRENT_GENERATIONS).map(|caller| {
            tokio::spawn(generate_until(
                stop.clone(),
                vms.clone(),
                format!("{seed} {caller}"),
            ))
        });
        let operators = (0..fleet.vms.len())
            .map(|vm| fleet.operator_client(vm))
            .collect();
        RunningLoad {
            generations: generations.collect(),
            bookings: tokio::spawn(book_until(stop.clone(), vms)),
            revisions: tokio::spawn(watch_revisions_until(stop.clone(), operators)),
            stop,
        }
    }
}

async fn generate_until(
    stop: Arc<AtomicBool>,
    vms: Vec<std::net::SocketAddr>,
    name: String,
) -> Vec<(GenerationSpec, GenerationResult)> {
    let client = GenerationClient::default();
    let mut generations = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let number = generations.len();
        let spec = generation_spec(&format!("{name} {number}"), 60);
        let request = client.generate(vms[number % vms.len()], &spec);
        let Ok(result) = tokio::time::timeout(Duration::from_secs(20), request).await else {
            continue;
        };
        generations.push((spec, result));
    }
    generations
}

/// Sends each booking to two VMs, one after the other, with the same key.
async fn book_until(
    stop: Arc<AtomicBool>,
    vms: Vec<std::net::SocketAddr>,
) -> Vec<(String, BookingOutcome)> {
    let client = CallClient::default();
    let mut bookings = Vec::new();
    for number in 0_usize.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let key = format!("booking-{number}");
        for vm in [number % vms.len(), (number + 1) % vms.len()] {
            let call = client.call(
                vms[vm],
                Fleet::CUSTOMER_KEY,
                BOOKING_PATH,
                Some(&key),
                "one meter",
            );
            let called = tokio::time::timeout(Duration::from_secs(8), call).await;
            let outcome = match called {
                Ok(response) if response.is_success() => BookingOutcome::Answered,
                Ok(response) if response.outcome() == "not_run" => BookingOutcome::NotRun,
                _ => BookingOutcome::Unknown,
            };
            bookings.push((key.clone(), outcome));
        }
    }
    bookings
}

async fn watch_revisions_until(
    stop: Arc<AtomicBool>,
    operators: Vec<skylarkshed_operator::schema::OperatorClient>,
) -> Vec<String> {
    let mut last = vec![0; operators.len()];
    let mut decreases = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        for (vm, operator) in operators.iter().enumerate() {
            let request = operator.describe(DescribeRequest::default());
            let response = tokio::time::timeout(Duration::from_millis(50), request).await;
            let Ok(Ok(reply)) = response else { continue };
            let revision = reply.into_inner().revision;
            if revision < last[vm] {
                decreases.push(format!("vm-{vm}: {} to {revision}", last[vm]));
            }
            last[vm] = revision;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    decreases
}

#[tokio::test]
async fn two_concurrent_faults_break_no_invariant() {
    let read_number = |name: &str| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    let first = read_number("SKYLARKSHED_SCHEDULE_SEED").unwrap_or(1);
    let count = read_number("SKYLARKSHED_SCHEDULE_SEEDS").unwrap_or(DEFAULT_SEED_COUNT);
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
    let mut accepted_revision = fleet.revision(0).await.unwrap();
    for round in 0..ROUNDS {
        let pair: Vec<Fault> = FAULTS.choose_multiple(&mut rng, 2).copied().collect();
        let targets = [rng.random_range(0..6), rng.random_range(0..6)];
        println!("seed {seed}, round {round}: {pair:?} at {targets:?}");
        for (fault, target) in pair.iter().zip(targets) {
            fault.switch(&fleet, target, true).await;
        }
        accepted_revision = accepted_revision.max(change_customer(&fleet, seed, round).await);
        tokio::time::sleep(FAULT_DURATION).await;
        for (fault, target) in pair.iter().zip(targets) {
            fault.switch(&fleet, target, false).await;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
    fleet.wait_for_revision(accepted_revision).await.unwrap();
    check_invariants(&fleet, load, seed).await;
}

/// Changes a customer at the first VM; returns the revision, or 0 if it was refused.
async fn change_customer(fleet: &Fleet, seed: u64, round: usize) -> u64 {
    let request = PutCustomerRequest {
        change_id: format!("change-{seed}-{round}").into(),
        name: "van".into(),
        weight: round as u32 + 1,
        ..PutCustomerRequest::default()
    };
    let operator = fleet.operator_client(0);
    let change = operator.put_customer(request);
    let change = tokio::time::timeout(Duration::from_secs(8), change).await;
    change
        .ok()
        .and_then(Result::ok)
        .map_or(0, |reply| reply.into_inner().revision)
}

async fn check_invariants(fleet: &Fleet, load: RunningLoad, seed: u64) {
    load.stop.store(true, Ordering::Relaxed);
    let decreases = load.revisions.await.unwrap();
    assert_eq!(
        decreases,
        Vec::<String>::new(),
        "seed {seed}: no revision decreases"
    );
    let mut complete = 0;
    for generations in load.generations {
        for (spec, result) in generations.await.unwrap() {
            let checked = check_answer("v1", &spec.prompt, &result.tokens, result.tokens.len());
            assert_eq!(checked, Ok(()), "seed {seed}: {}", spec.prompt);
            assert!(result.is_in_order, "seed {seed}: {}", spec.prompt);
            if let Some(total) = result.total_tokens {
                assert_eq!(total, spec.max_tokens, "seed {seed}: {}", spec.prompt);
                complete += 1;
            }
        }
    }
    assert!(
        complete > CONCURRENT_GENERATIONS,
        "seed {seed}: enough generations were completed"
    );
    check_bookings(
        &fleet.call_counts().await.unwrap(),
        load.bookings.await.unwrap(),
        seed,
    );
}

fn check_bookings(counts: &CallCounts, bookings: Vec<(String, BookingOutcome)>, seed: u64) {
    let mut outcomes: BTreeMap<String, Vec<BookingOutcome>> = BTreeMap::new();
    for (key, outcome) in bookings {
        outcomes.entry(key).or_default().push(outcome);
    }
    for (key, outcomes) in outcomes {
        let runs = counts.get(&key).copied().unwrap_or(0);
        assert!(runs <= 1, "seed {seed}: {key} ran {runs} times");
        if outcomes.contains(&BookingOutcome::Answered) {
            assert_eq!(runs, 1, "seed {seed}: {key} got a response");
        }
        if outcomes
            .iter()
            .all(|outcome| *outcome == BookingOutcome::NotRun)
        {
            assert_eq!(
                runs, 0,
                "seed {seed}: every call of {key} was reported as not_run"
            );
        }
    }
}
