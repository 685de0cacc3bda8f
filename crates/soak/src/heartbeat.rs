//! Finds the spans in which the machine left processes too little processor time.

use crate::observer::Observer;
use crate::timeline::Part;
use crate::vms::SoakVm;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(50);
/// A heartbeat that is this late shows that the soak itself was starved: what it saw is
/// late as well.
const MAX_LATENESS: Duration = Duration::from_millis(100);
/// Threads that waited this long for a processor, half of the interval, were starved.
const MAX_WAIT_MS: u64 = 125;
const VM_INTERVAL: Duration = Duration::from_millis(250);

/// Records the spans in which this process was starved.
pub(crate) async fn watch_machine(observer: Arc<Observer>) {
    loop {
        let begin = tokio::time::Instant::now();
        tokio::time::sleep(INTERVAL).await;
        if begin.elapsed() > INTERVAL + MAX_LATENESS {
            let from = observer
                .now()
                .since(skylarkshed_core::ClockTime::from(begin.elapsed()));
            let mut state = observer.lock();
            let timeline = &mut state.world.timeline;
            let number = timeline.begin(Part::Machine, "starved", from, false);
            drop(state);
            observer.end_disturbance(number);
        }
    }
}

/// Records the spans in which a VM's threads waited for a processor, as the kernel counts.
pub(crate) async fn watch_vm(vm: Arc<SoakVm>, observer: Arc<Observer>) {
    let mut last: BTreeMap<String, u64> = BTreeMap::new();
    loop {
        let from = observer.now();
        tokio::time::sleep(VM_INTERVAL).await;
        let id = vm.lock().id;
        let waits = id.map(read_waits).unwrap_or_default();
        let grown = waits
            .iter()
            .filter_map(|(thread, wait)| Some(wait.saturating_sub(*last.get(thread)?)));
        let longest_ms = grown.max().unwrap_or(0) / 1_000_000;
        last = waits;
        if longest_ms > MAX_WAIT_MS {
            let mut state = observer.lock();
            let timeline = &mut state.world.timeline;
            let number = timeline.begin(Part::Vm(vm.index), "starved", from, false);
            drop(state);
            observer.end_disturbance(number);
        }
    }
}

/// Returns the time that each thread of a process waited for a processor, in
/// nanoseconds.
fn read_waits(process_id: u32) -> BTreeMap<String, u64> {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{process_id}/task")) else {
        return BTreeMap::new();
    };
    let read = |folder: std::path::PathBuf| {
        let text = std::fs::read_to_string(folder.join("schedstat")).ok()?;
        let wait = text.split_whitespace().nth(1)?.parse().ok()?;
        Some((folder.to_string_lossy().into_owned(), wait))
    };
    threads
        .filter_map(|thread| read(thread.ok()?.path()))
        .collect()
}
