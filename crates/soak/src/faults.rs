//! How each fault is injected.

use crate::bounds::RECOVERY;
use crate::checks::PowerLoss;
use crate::links::LinkKind;
use crate::observer::Observer;
use crate::operators::Operators;
use crate::registry::UpstreamRegistry;
use crate::rollouts::{run_rollout, RolloutOrders};
use crate::schedule::{FaultKind, PlannedFault};
use crate::timeline::Part;
use crate::upstreams::UpstreamFaults;
use crate::vms::{SoakVm, VmContext};
use crate::zone_losses::lose_zone;
use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use skylarkshed_core::ClockTime;
use skylarkshed_stand_ins::{FakeStore, ProxyFaults, StoreMode};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// The pause between two VMs of a rolling restart.
const ROLLING_PAUSE: Duration = Duration::from_millis(1_000);
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Operators write the newest configuration again this long after the store was restored.
const RESTORE_PAUSE: Duration = Duration::from_millis(800);

/// The parts that faults are injected into.
pub(crate) struct FaultTargets {
    pub(crate) observer: Arc<Observer>,
    pub(crate) operators: Arc<Operators>,
    pub(crate) store: Arc<FakeStore>,
    pub(crate) vms: Vec<Arc<SoakVm>>,
    pub(crate) upstreams: Arc<UpstreamRegistry>,
    pub(crate) rollouts: RolloutOrders,
    pub(crate) context: Arc<VmContext>,
    /// Tells some callers to leave.
    pub(crate) leave: watch::Sender<u64>,
    /// Tells callers which part of prompts ends upstreams.
    pub(crate) crashing_part: watch::Sender<Option<String>>,
}

/// Injects a fault and, if it lasts, ends it.
pub(crate) async fn inject(fault: PlannedFault, targets: Arc<FaultTargets>) {
    let FaultTargets { observer, vms, .. } = &*targets;
    let index = usize::try_from(fault.choice % vms.len() as u64).unwrap_or(0);
    let vm = &vms[index];
    match fault.kind {
        FaultKind::Terminate => vm.terminate(observer),
        FaultKind::Kill => vm.kill(observer),
        FaultKind::Pause => pause(vm, observer, fault.duration).await,
        FaultKind::HangUp => {
            vm.signal(Signal::SIGHUP);
        }
        FaultKind::RollingRestart => {
            for vm in vms {
                vm.terminate(observer);
                tokio::time::sleep(ROLLING_PAUSE).await;
            }
        }
        FaultKind::CallersLeave => {
            targets.leave.send_replace(fault.choice);
        }
        FaultKind::CrashingPart => {
            let part = format!("bad{}", fault.choice);
            targets.crashing_part.send_replace(Some(part));
            tokio::time::sleep(fault.duration.to_duration()).await;
            targets.crashing_part.send_replace(None);
        }
        FaultKind::Rollout => run_rollout(fault, &targets).await,
        FaultKind::ZoneLoss => lose_zone(fault, &targets).await,
        FaultKind::PowerLoss(change) => {
            let mut rng = SmallRng::seed_from_u64(fault.choice);
            targets.operators.change(change, &mut rng);
            lose_power(&targets).await;
        }
        FaultKind::Config(change) => {
            let mut rng = SmallRng::seed_from_u64(fault.choice);
            targets.operators.change(change, &mut rng);
        }
        kind => match StoreFault::of(kind) {
            Some(store_fault) => disturb_store(&targets, store_fault, fault.duration).await,
            None => disturb_link_or_upstream(&targets, fault, index).await,
        },
    }
}

pub(crate) async fn pause(vm: &SoakVm, observer: &Observer, duration: ClockTime) {
    let disturbance = observer.disturb(Part::Vm(vm.index), "paused", false);
    vm.signal(Signal::SIGSTOP);
    tokio::time::sleep(duration.to_duration()).await;
    vm.signal(Signal::SIGCONT);
    observer.end_disturbance(disturbance);
}

/// Kills all processes at one moment and waits until all were started again, or should have
/// been long ago.
async fn lose_power(targets: &FaultTargets) {
    let observer = &targets.observer;
    let at = observer.now();
    let mut killed = Vec::new();
    for vm in &targets.vms {
        killed.push((vm, vm.boot.load(Ordering::Relaxed)));
        vm.kill(observer);
    }
    let number = {
        let mut state = observer.lock();
        let back_at = ClockTime::NEVER;
        state.world.power_losses.push(PowerLoss { at, back_at });
        state.world.power_losses.len() - 1
    };
    // A process that was started again may have been told to end since.
    let is_back = |(vm, boot): &(&Arc<SoakVm>, u32)| vm.boot.load(Ordering::Relaxed) > *boot;
    while !killed.iter().all(is_back) {
        if observer.now() > at + RECOVERY {
            return;
        }
        tokio::time::sleep(START_POLL_INTERVAL).await;
    }
    observer.lock().world.power_losses[number].back_at = observer.now();
}

#[derive(Clone, Copy)]
enum StoreFault {
    Mode(StoreMode),
    Reset,
    Slow,
    RepliesLost,
    Restored,
}

impl StoreFault {
    fn of(kind: FaultKind) -> Option<Self> {
        match kind {
            FaultKind::StoreRefuses => Some(StoreFault::Mode(StoreMode::Unavailable)),
            FaultKind::StoreSilent => Some(StoreFault::Mode(StoreMode::Unresponsive)),
            FaultKind::StoreReset => Some(StoreFault::Reset),
            FaultKind::StoreSlow => Some(StoreFault::Slow),
            FaultKind::StoreRepliesLost => Some(StoreFault::RepliesLost),
            FaultKind::StoreRestored => Some(StoreFault::Restored),
            _ => None,
        }
    }
}

async fn disturb_store(targets: &FaultTargets, fault: StoreFault, duration: ClockTime) {
    let disturbance = targets.observer.disturb(Part::Store, "store", false);
    let links = &targets.context.links;
    let delay_ms = duration.as_millis() / 4;
    match fault {
        StoreFault::Mode(mode) => targets.store.set_mode(mode),
        StoreFault::Reset => links.change_store(|faults| faults.reset = true),
        StoreFault::Slow => links.change_store(|faults| faults.delay_ms = delay_ms),
        StoreFault::RepliesLost => links.change_store(|faults| faults.hold_from_target = true),
        StoreFault::Restored => {
            let copy = targets.store.copy();
            tokio::time::sleep(duration.to_duration()).await;
            targets.store.restore(&copy);
            tokio::time::sleep(RESTORE_PAUSE).await;
            targets.operators.write_again();
            targets.upstreams.write_all();
            targets.rollouts.write_again(&targets.store);
        }
    }
    tokio::time::sleep(duration.to_duration()).await;
    targets.store.set_mode(StoreMode::Available);
    // A connection on which a reply was lost delivers nothing more.
    links.change_store(|faults| {
        faults.silence_count += u64::from(faults.hold_from_target);
        faults.hold_from_target = false;
        faults.delay_ms = 0;
        faults.reset = false;
    });
    targets.observer.end_disturbance(disturbance);
}

async fn disturb_link_or_upstream(targets: &Arc<FaultTargets>, fault: PlannedFault, vm: usize) {
    let duration = fault.duration;
    let upstreams = &targets.upstreams;
    match fault.kind {
        FaultKind::LinkDelayed => {
            let delay_ms = duration.as_millis() / 10;
            disturb_link(targets, vm, fault, |faults, is_on| {
                faults.delay_ms = if is_on { delay_ms } else { 0 };
            })
            .await;
        }
        FaultKind::LinkReset => {
            disturb_link(targets, vm, fault, |faults, is_on| faults.reset = is_on).await
        }
        FaultKind::LinkCutOut => {
            disturb_link(targets, vm, fault, |faults, is_on| {
                faults.hold_to_target = is_on
            })
            .await;
        }
        FaultKind::LinkCutIn => {
            disturb_link(targets, vm, fault, |faults, is_on| {
                faults.hold_from_target = is_on
            })
            .await;
        }
        FaultKind::LinkSilent => {
            disturb_link(targets, vm, fault, |faults, is_on| {
                faults.silence_count += u64::from(is_on);
            })
            .await;
        }
        FaultKind::UpstreamLeaves => upstreams.replace(fault.choice).await,
        FaultKind::UpstreamAddressReused => upstreams.reuse_address(fault.choice).await,
        FaultKind::UpstreamDown => {
            upstreams
                .disturb(fault, |faults, is_on| faults.is_down = is_on)
                .await;
        }
        FaultKind::UpstreamRefuses => {
            upstreams
                .disturb(fault, |faults, is_on| faults.refuses = is_on)
                .await;
        }
        FaultKind::UpstreamSilent => {
            upstreams
                .disturb(fault, |faults, is_on| faults.is_silent = is_on)
                .await;
        }
        FaultKind::UpstreamLosesAnswers => {
            let change = |faults: &mut UpstreamFaults, is_on| {
                faults.lost_percent = if is_on { 30 } else { 0 };
            };
            upstreams.disturb(fault, change).await;
        }
        _ => {
            let change = |faults: &mut UpstreamFaults, is_on| {
                faults.garbled_percent = if is_on { 30 } else { 0 };
            };
            upstreams.disturb(fault, change).await;
        }
    }
}

/// Disturbs one link of a VM, or all of them.
async fn disturb_link(
    targets: &FaultTargets,
    vm: usize,
    fault: PlannedFault,
    change: impl Fn(&mut ProxyFaults, bool),
) {
    let links = match fault.choice % 7 {
        0..=2 => vec![LinkKind::ALL[usize::try_from(fault.choice % 7).unwrap_or(0)]],
        _ => LinkKind::ALL.to_vec(),
    };
    let disturbance = targets.observer.disturb(Part::Vm(vm), "link", false);
    let faults = &targets.context.links;
    for link in &links {
        faults
            .change(vm, *link, |faults| change(faults, true))
            .await;
    }
    tokio::time::sleep(fault.duration.to_duration()).await;
    for link in &links {
        faults
            .change(vm, *link, |faults| change(faults, false))
            .await;
    }
    targets.observer.end_disturbance(disturbance);
}
