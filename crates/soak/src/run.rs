//! Runs a soak from its start to its report.

use crate::bursts::run_bursts;
use crate::callers::{run_caller, CallerContext};
use crate::faults::{inject, FaultTargets};
use crate::heartbeat::{watch_machine, watch_vm};
use crate::links::LinkFaults;
use crate::load_plan::LoadPlan;
use crate::observer::Observer;
use crate::operators::{ConfigChange, Operators};
use crate::registry::UpstreamRegistry;
use crate::report::SoakReport;
use crate::rollouts::RolloutOrders;
use crate::schedule::draw_schedule;
use crate::vms::{check_readiness, create_vms, keep_running, SoakNetwork, SoakVm, VmContext};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use skylarkshed_core::ClockTime;
use skylarkshed_stand_ins::FakeStore;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Callers beside one for each VM. A large fleet gets little more load than a small one, so
/// that the machine can bear it.
const COMMON_CALLERS: usize = 32;
/// More callers with streams, which keep the engines of a soak with load busy.
const LOAD_CALLERS: usize = 16;
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The time after the callers have stopped, in which refused requests may still run.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// What a soak is asked to do.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Draws the faults, the callers' behaviour and the upstreams' responses.
    pub seed: u64,
    /// How long callers send requests.
    pub length: ClockTime,
    /// The number of VMs.
    pub vms: usize,
    /// The path of the `skylarkshed` program.
    pub program: PathBuf,
}

/// Runs a soak and returns its report.
///
/// # Errors
///
/// Fails if a file can't be written or an address can't be bound.
pub async fn run_soak(options: SoakOptions) -> std::io::Result<SoakReport> {
    let folder = format!("skylarkshed-soak-{}-{}", options.seed, std::process::id());
    let folder = std::env::temp_dir().join(folder);
    std::fs::create_dir_all(&folder)?;
    let observer = Arc::new(Observer::start());
    let store = Arc::new(FakeStore::start().await);
    let links = Arc::new(LinkFaults::new(options.vms));
    let load = LoadPlan::draw(options.seed, options.length).map(Arc::new);
    let retry_bound = load.as_ref().map(|load| load.retry_bound);
    let retry_bound = retry_bound.unwrap_or_default();
    observer.lock().world.retry_bound = retry_bound;
    let operators = Operators::new(observer.clone(), store.clone(), load.as_deref());
    let operators = Arc::new(operators);
    operators.change(
        ConfigChange::Nothing,
        &mut SmallRng::seed_from_u64(options.seed),
    );
    let registry = UpstreamRegistry::start(
        options.seed,
        observer.clone(),
        links.clone(),
        store.clone(),
        load.clone(),
    );
    let registry = registry.await?;
    let (end, ending) = watch::channel(false);
    let context = Arc::new(VmContext {
        program: options.program.clone(),
        folder: folder.clone(),
        observer: observer.clone(),
        links,
        network: SoakNetwork::reserve()?,
        end: ending,
    });
    let vms = create_vms(&context, &store, options.vms, retry_bound).await?;
    let targets = Arc::new(FaultTargets {
        observer: observer.clone(),
        operators,
        store,
        vms: vms.clone(),
        upstreams: Arc::new(registry),
        rollouts: RolloutOrders::default(),
        context: context.clone(),
        leave: watch::channel(0).0,
        crashing_part: watch::channel(None).0,
    });
    let mut processes = JoinSet::new();
    for vm in &vms {
        processes.spawn(keep_running(vm.clone(), context.clone()));
    }
    let mut tasks = start_watching(&vms, &observer);
    run_load(&options, &targets, load.as_deref()).await;
    observer.check_all();
    tasks.shutdown().await;
    end.send_replace(true);
    while processes.join_next().await.is_some() {}
    Ok(SoakReport::new(options, folder, &observer, &vms))
}

/// Starts the tasks that watch the machine and the VMs and check what was seen.
fn start_watching(vms: &[Arc<SoakVm>], observer: &Arc<Observer>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(watch_machine(observer.clone()));
    for vm in vms {
        tasks.spawn(check_readiness(vm.clone(), observer.clone()));
        tasks.spawn(watch_vm(vm.clone(), observer.clone()));
    }
    let observer = observer.clone();
    tasks.spawn(async move {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            observer.check_changed();
        }
    });
    tasks
}

/// Runs the callers and the schedule of faults to the end.
async fn run_load(options: &SoakOptions, targets: &Arc<FaultTargets>, load: Option<&LoadPlan>) {
    let (stop, stopping) = watch::channel(false);
    let callers = Arc::new(CallerContext {
        seed: options.seed,
        observer: targets.observer.clone(),
        operators: targets.operators.clone(),
        vms: targets.vms.clone(),
        stop: stopping,
        leave: targets.leave.subscribe(),
        crashing_part: targets.crashing_part.subscribe(),
    });
    let mut calling = JoinSet::new();
    let count = options.vms + COMMON_CALLERS;
    for number in 0..count {
        let streams = number.is_multiple_of(4);
        calling.spawn(run_caller(number, streams, callers.clone()));
    }
    let mut faults = draw_schedule(options.seed, options.length);
    if let Some(load) = load {
        let first_burst = count + LOAD_CALLERS;
        for number in count..first_burst {
            calling.spawn(run_caller(number, true, callers.clone()));
        }
        calling.spawn(run_bursts(
            load.bursts.clone(),
            first_burst,
            callers.clone(),
        ));
        faults.extend(&load.zone_losses);
        faults.sort_by_key(|fault| fault.at);
        println!("{load:?}");
    }
    let mut injecting = JoinSet::new();
    let observer = &targets.observer;
    for fault in faults {
        tokio::time::sleep(fault.at.since(observer.now()).to_duration()).await;
        let at_ms = observer.now().as_millis();
        println!(
            "{at_ms:>6} ms  {:?} for {} ms",
            fault.kind,
            fault.duration.as_millis()
        );
        injecting.spawn(inject(fault, targets.clone()));
    }
    tokio::time::sleep(options.length.since(observer.now()).to_duration()).await;
    observer.lock().world.load_until = Some(observer.now());
    stop.send_replace(true);
    while calling.join_next().await.is_some() {}
    while injecting.join_next().await.is_some() {}
    tokio::time::sleep(SETTLE_TIME).await;
}
