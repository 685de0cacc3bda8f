//! The upstreams and their entries in the store.

use crate::faults::{FaultTargets, PlannedFault};
use crate::links::LinkFaults;
use crate::observer::Observer;
use crate::operators::SPARE_SERVICE;
use crate::timeline::Part;
use crate::upstreams::{SoakUpstream, UpstreamFaults};
use crate::vms::zone;
use skylarkshed_stand_ins::{upstream_row, FakeStore, APP_SERVICE, MODEL_SERVICE};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The upstreams of each service; one in each zone at least.
const SERVICES: [(&str, usize); 3] = [(APP_SERVICE, 6), (SPARE_SERVICE, 3), (MODEL_SERVICE, 6)];
const TABLE: &str = "servers";
/// The longest silence of a sound upstream.
const MAX_SILENCE: Duration = Duration::from_millis(1_200);
/// How long an upstream serves after the store accepted that it leaves, and how long it
/// lives on after its entry is gone.
const SERVES_LEAVING: Duration = Duration::from_millis(3_500);
const ENTRY_LAG: Duration = Duration::from_millis(500);

/// An upstream and the state in its entry.
struct RegisteredUpstream {
    upstream: SoakUpstream,
    state: &'static str,
}

/// All upstreams that run.
pub(crate) struct UpstreamRegistry {
    upstreams: Mutex<Vec<RegisteredUpstream>>,
    seed: u64,
    next_number: Mutex<usize>,
}

impl UpstreamRegistry {
    /// Starts all upstreams and writes their entries.
    pub(crate) async fn start(
        seed: u64,
        observer: &Arc<Observer>,
        links: &Arc<LinkFaults>,
        store: &FakeStore,
    ) -> std::io::Result<Self> {
        let registry = UpstreamRegistry {
            upstreams: Mutex::default(),
            seed,
            next_number: Mutex::new(0),
        };
        for (service, count) in SERVICES {
            for index in 0..count {
                let upstream = registry.make(service, zone(index), observer, links).await?;
                registry.add(upstream, store);
            }
        }
        Ok(registry)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RegisteredUpstream>> {
        self.upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn make(
        &self,
        service: &'static str,
        zone: String,
        observer: &Arc<Observer>,
        links: &Arc<LinkFaults>,
    ) -> std::io::Result<SoakUpstream> {
        let number = {
            let next = self.next_number.lock();
            let mut next = next.unwrap_or_else(PoisonError::into_inner);
            *next += 1;
            *next
        };
        let name = format!("{service}-{number}");
        SoakUpstream::start(name, service, zone, self.seed, observer, links).await
    }

    fn add(&self, upstream: SoakUpstream, store: &FakeStore) {
        write_entry(&upstream, "ready", store);
        let state = "ready";
        self.lock().push(RegisteredUpstream { upstream, state });
    }

    /// Writes the entries of all upstreams again, after the store has lost them.
    pub(crate) fn write_all(&self, store: &FakeStore) {
        for registered in self.lock().iter() {
            write_entry(&registered.upstream, registered.state, store);
        }
    }

    fn index(&self, choice: u64) -> usize {
        usize::try_from(choice % self.lock().len() as u64).unwrap_or(0)
    }

    /// Disturbs an upstream for a while. The store drops the entry of one that is down.
    pub(crate) async fn disturb(
        &self,
        fault: PlannedFault,
        targets: &FaultTargets,
        change: impl Fn(&mut UpstreamFaults, bool),
    ) {
        let (name, sender) = {
            let index = self.index(fault.choice);
            let upstream = &self.lock()[index].upstream;
            (upstream.name.clone(), upstream.faults.clone())
        };
        let part = Part::Upstream(name);
        let disturbance = targets.observer.disturb(part, "upstream", false);
        sender.send_modify(|faults| change(faults, true));
        let is_silent = sender.borrow().is_silent;
        let duration = fault.duration.to_duration();
        tokio::time::sleep(if is_silent {
            duration.min(MAX_SILENCE)
        } else {
            duration
        })
        .await;
        sender.send_modify(|faults| change(faults, false));
        targets.observer.end_disturbance(disturbance);
    }

    /// Starts a replacement, lets an upstream leave as announced and ends it. One in three
    /// leaves without a notice: its entry is removed, and it serves on.
    pub(crate) async fn replace(&self, choice: u64, targets: &FaultTargets) {
        let (name, service, zone) = {
            let index = self.index(choice);
            let mut upstreams = self.lock();
            if upstreams[index].state != "ready" {
                return;
            }
            upstreams[index].state = "draining";
            let upstream = &upstreams[index].upstream;
            (
                upstream.name.clone(),
                upstream.service,
                upstream.zone.clone(),
            )
        };
        let observer = &targets.observer;
        let links = &targets.context.links;
        match self.make(service, zone, observer, links).await {
            Ok(upstream) => self.add(upstream, &targets.store),
            Err(error) => observer.report("soak", format!("can't start an upstream: {error}")),
        }
        self.announce(&name, choice, targets);
        tokio::time::sleep(SERVES_LEAVING).await;
        targets.store.remove(TABLE, &name);
        tokio::time::sleep(ENTRY_LAG).await;
        let part = Part::Upstream(name.clone());
        targets.observer.disturb(part, "ended", true);
        self.lock().retain(|other| other.upstream.name != name);
    }

    fn announce(&self, name: &str, choice: u64, targets: &FaultTargets) {
        let now = targets.observer.now();
        match choice.is_multiple_of(3) {
            true => targets.store.remove(TABLE, name),
            false => {
                let upstreams = self.lock();
                let mut upstreams = upstreams.iter();
                let found = upstreams.find(|other| other.upstream.name == name);
                if let Some(found) = found {
                    write_entry(&found.upstream, found.state, &targets.store);
                }
            }
        }
        let mut state = targets.observer.lock();
        state.world.leavings.insert(name.to_owned(), now);
    }
}

fn write_entry(upstream: &SoakUpstream, state: &str, store: &FakeStore) {
    let entry = upstream_row(
        upstream.service,
        upstream.address,
        &upstream.zone,
        "v1",
        state,
    );
    store.put(TABLE, &upstream.name, &entry);
}
