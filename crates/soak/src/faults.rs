//! The schedule of faults, drawn from the seed, and how each is injected.

use crate::links::LinkKind;
use crate::observer::Observer;
use crate::operators::{ConfigChange, Operators};
use crate::registry::UpstreamRegistry;
use crate::timeline::Part;
use crate::upstreams::UpstreamFaults;
use crate::vms::{SoakVm, VmContext};
use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use skylarkshed_core::ClockTime;
use skylarkshed_stand_ins::{FakeStore, ProxyFaults, StoreMode};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// The time before the first fault, in which the VMs start.
const FIRST_FAULT: ClockTime = ClockTime::from_millis(3_500);
/// The time after the last fault.
const LAST_FAULT: ClockTime = ClockTime::from_millis(3_000);
/// A series repeats one fault at this interval, in milliseconds.
const SERIES_MS: std::ops::Range<u64> = 100..900;
/// The pause between two VMs of a rolling restart.
const ROLLING_PAUSE: Duration = Duration::from_millis(1_000);
/// Operators write the newest configuration again this long after the store was restored.
const RESTORE_PAUSE: Duration = Duration::from_millis(800);

/// A kind of fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FaultKind {
    Terminate,
    Kill,
    Pause,
    HangUp,
    RollingRestart,
    StoreRefuses,
    StoreSilent,
    StoreReset,
    StoreSlow,
    StoreRepliesLost,
    StoreRestored,
    LinkDelayed,
    LinkReset,
    LinkCutOut,
    LinkCutIn,
    LinkSilent,
    UpstreamDown,
    UpstreamRefuses,
    UpstreamSilent,
    UpstreamLeaves,
    UpstreamLosesAnswers,
    UpstreamGarbles,
    CallersLeave,
    Config(ConfigChange),
}

/// The kinds that are drawn together: a seed uses some of the groups.
const GROUPS: [&[FaultKind]; 6] = [
    &[
        FaultKind::Terminate,
        FaultKind::Terminate,
        FaultKind::HangUp,
        FaultKind::RollingRestart,
    ],
    &[FaultKind::Kill, FaultKind::Pause],
    &[
        FaultKind::StoreRefuses,
        FaultKind::StoreSilent,
        FaultKind::StoreReset,
        FaultKind::StoreSlow,
        FaultKind::StoreRepliesLost,
        FaultKind::StoreRestored,
    ],
    &[
        FaultKind::LinkDelayed,
        FaultKind::LinkReset,
        FaultKind::LinkCutOut,
        FaultKind::LinkCutIn,
        FaultKind::LinkSilent,
    ],
    &[
        FaultKind::UpstreamDown,
        FaultKind::UpstreamRefuses,
        FaultKind::UpstreamSilent,
        FaultKind::UpstreamLeaves,
        FaultKind::UpstreamLosesAnswers,
        FaultKind::UpstreamGarbles,
    ],
    &[FaultKind::CallersLeave],
];

/// A fault of the schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) at: ClockTime,
    pub(crate) kind: FaultKind,
    /// How long it lasts.
    pub(crate) duration: ClockTime,
    /// Chooses the VM, the link or the upstream.
    pub(crate) choice: u64,
}

/// Draws the faults of a soak from its seed.
pub(crate) fn draw_schedule(seed: u64, length: ClockTime) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut kinds: Vec<FaultKind> = Vec::new();
    for group in GROUPS {
        if rng.random_ratio(3, 5) {
            kinds.extend(group);
        }
    }
    let changes = ConfigChange::ALL.map(FaultKind::Config);
    if kinds.is_empty() || rng.random_ratio(4, 5) {
        kinds.extend(changes);
    }
    let interval_ms = rng.random_range(200..1_200);
    let mut faults = Vec::new();
    let mut at = FIRST_FAULT;
    while at < length.since(LAST_FAULT) {
        let kind = *kinds.choose(&mut rng).expect("there is a group");
        let count = if rng.random_ratio(1, 5) {
            rng.random_range(2..5)
        } else {
            1
        };
        let choice: u64 = rng.random_range(0..1 << 32);
        for number in 0..count {
            // A series hits the same part again, or the next ones.
            let step = if rng.random_ratio(1, 2) { number } else { 0 };
            faults.push(PlannedFault {
                at,
                kind,
                duration: ClockTime::from_millis(rng.random_range(200..2_500)),
                choice: choice + step,
            });
            at = at + ClockTime::from_millis(rng.random_range(SERIES_MS));
        }
        at = at + ClockTime::from_millis(rng.random_range(0..2 * interval_ms));
    }
    faults
}

/// The parts that faults are injected into.
pub(crate) struct FaultTargets {
    pub(crate) observer: Arc<Observer>,
    pub(crate) operators: Arc<Operators>,
    pub(crate) store: Arc<FakeStore>,
    pub(crate) vms: Vec<Arc<SoakVm>>,
    pub(crate) upstreams: Arc<UpstreamRegistry>,
    pub(crate) context: Arc<VmContext>,
    /// Tells some callers to leave.
    pub(crate) leave: watch::Sender<u64>,
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

async fn pause(vm: &SoakVm, observer: &Observer, duration: ClockTime) {
    let disturbance = observer.disturb(Part::Vm(vm.index), "paused", false);
    vm.signal(Signal::SIGSTOP);
    tokio::time::sleep(duration.to_duration()).await;
    vm.signal(Signal::SIGCONT);
    observer.end_disturbance(disturbance);
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
            targets.upstreams.write_all(&targets.store);
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
        FaultKind::UpstreamLeaves => upstreams.replace(fault.choice, targets).await,
        FaultKind::UpstreamDown => {
            upstreams
                .disturb(fault, targets, |faults, is_on| faults.is_down = is_on)
                .await;
        }
        FaultKind::UpstreamRefuses => {
            upstreams
                .disturb(fault, targets, |faults, is_on| faults.refuses = is_on)
                .await;
        }
        FaultKind::UpstreamSilent => {
            upstreams
                .disturb(fault, targets, |faults, is_on| faults.is_silent = is_on)
                .await;
        }
        FaultKind::UpstreamLosesAnswers => {
            let change = |faults: &mut UpstreamFaults, is_on| {
                faults.lost_percent = if is_on { 30 } else { 0 };
            };
            upstreams.disturb(fault, targets, change).await;
        }
        _ => {
            let change = |faults: &mut UpstreamFaults, is_on| {
                faults.garbled_percent = if is_on { 30 } else { 0 };
            };
            upstreams.disturb(fault, targets, change).await;
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
