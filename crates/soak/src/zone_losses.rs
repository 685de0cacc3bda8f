//! Losses of all engines of a zone, beside faults of VMs that continue their streams.

use crate::faults::{pause, FaultTargets};
use crate::registry::EXPIRY_AFTER_REUSE;
use crate::schedule::PlannedFault;
use crate::timeline::Part;
use crate::vms::{zone, ZONES};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use skylarkshed_core::ClockTime;
use std::sync::Arc;
use tokio::task::JoinSet;

/// The VMs that are disturbed in the second after a loss.
const DISTURBED_VMS: std::ops::Range<usize> = 1..4;
const DISTURBED_WITHIN_MS: u64 = 1_000;
/// How long a VM is paused or cut off from the others.
const DISTURBED_MS: std::ops::Range<u64> = 300..2_000;

#[derive(Clone, Copy, Debug)]
enum VmFault {
    Pause,
    CutOff,
    Kill,
}

/// Ends the engines of a zone together. Within the next second, while the VMs spend, lend and
/// borrow retries, some VMs are paused, cut off from the others or killed.
pub(crate) async fn lose_zone(fault: PlannedFault, targets: &Arc<FaultTargets>) {
    let mut rng = SmallRng::seed_from_u64(fault.choice);
    let zone = zone(rng.random_range(0..ZONES));
    let mut tasks = JoinSet::new();
    let count = rng.random_range(DISTURBED_VMS);
    let indexes: Vec<usize> = (0..targets.vms.len()).collect();
    let chosen = indexes.choose_multiple(&mut rng, count).copied();
    let chosen: Vec<usize> = chosen.collect();
    for index in chosen {
        let faults = [VmFault::Pause, VmFault::CutOff, VmFault::Kill];
        let vm_fault = *faults.choose(&mut rng).expect("there are some");
        let delay = ClockTime::from_millis(rng.random_range(0..DISTURBED_WITHIN_MS));
        let duration = ClockTime::from_millis(rng.random_range(DISTURBED_MS));
        let targets = targets.clone();
        tasks.spawn(async move {
            tokio::time::sleep(delay.to_duration()).await;
            disturb_vm(index, vm_fault, duration, &targets).await;
        });
    }
    end_engines(&zone, fault.duration, targets).await;
    while tasks.join_next().await.is_some() {}
}

/// Ends all engines of a zone at one moment. After the downtime, others start at their
/// addresses, while the store still lists those that ended.
async fn end_engines(zone: &str, downtime: ClockTime, targets: &FaultTargets) {
    let upstreams = &targets.upstreams;
    let mut ended = Vec::new();
    for engine in upstreams.take_engines(zone) {
        engine.faults.send_modify(|faults| faults.is_down = true);
        engine.link.is_refusing.send_replace(true);
        let part = Part::Upstream(engine.identity.name.clone());
        targets.observer.disturb(part, "crashed", false);
        ended.push((engine.identity, engine.link));
    }
    tokio::time::sleep(downtime.to_duration()).await;
    let names = ended.iter().map(|(identity, _)| identity.name.clone());
    let names: Vec<String> = names.collect();
    for (identity, link) in ended {
        let is_refusing = link.is_refusing.clone();
        upstreams.start_again(identity, link).await;
        is_refusing.send_replace(false);
    }
    tokio::time::sleep(EXPIRY_AFTER_REUSE).await;
    for name in names {
        upstreams.remove_entry(&name);
    }
}

async fn disturb_vm(
    index: usize,
    fault: VmFault,
    duration: ClockTime,
    targets: &Arc<FaultTargets>,
) {
    let (vm, observer) = (&targets.vms[index], &targets.observer);
    println!(
        "{:>6} ms  {fault:?} of vm-{index} for {} ms",
        observer.now().as_millis(),
        duration.as_millis()
    );
    match fault {
        VmFault::Pause => pause(vm, observer, duration).await,
        VmFault::Kill => vm.kill(observer),
        VmFault::CutOff => {
            let disturbance = observer.disturb(Part::Vm(index), "cut off from VMs", false);
            let links = &targets.context.links;
            links.cut_off(index, true).await;
            tokio::time::sleep(duration.to_duration()).await;
            links.cut_off(index, false).await;
            observer.end_disturbance(disturbance);
        }
    }
}
