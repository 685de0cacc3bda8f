//! The upstreams and their entries in the store.

use crate::entry::{unix_millis, write_entry, TABLE};
use crate::links::{LinkFaults, UpstreamLink};
use crate::load_plan::LoadPlan;
use crate::observer::Observer;
use crate::operators::SPARE_SERVICE;
use crate::schedule::PlannedFault;
use crate::timeline::Part;
use crate::upstreams::{SoakUpstream, UpstreamFaults, UpstreamIdentity};
use crate::versions::UpstreamVersion;
use crate::vms::zone;
use skylarkshed_stand_ins::{FakeStore, APP_SERVICE, MODEL_SERVICE};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The upstreams of each service; one in each zone at least.
const SERVICES: [(&str, usize); 3] = [(APP_SERVICE, 6), (SPARE_SERVICE, 3), (MODEL_SERVICE, 6)];
/// The longest silence of a sound upstream.
const MAX_SILENCE: Duration = Duration::from_millis(1_200);
/// How long an upstream serves after the store accepted that it leaves, and how long it
/// lives on after its entry is gone.
const SERVES_LEAVING: Duration = Duration::from_millis(3_500);
const ENTRY_LAG: Duration = Duration::from_millis(500);
/// How long after the removal of an entry a heartbeat arrives that was sent before.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(700);
/// The time after which an address may be given to another upstream.
const ADDRESS_REUSE: Duration = Duration::from_millis(2_000);
/// How much longer the store lists an upstream that has crashed: three heartbeats in all.
pub(crate) const EXPIRY_AFTER_REUSE: Duration = Duration::from_millis(1_600);

/// An upstream and the state in its entry.
struct RegisteredUpstream {
    upstream: SoakUpstream,
    state: &'static str,
}

/// All upstreams that run.
pub(crate) struct UpstreamRegistry {
    upstreams: Mutex<Vec<RegisteredUpstream>>,
    /// The current version of each service.
    versions: Mutex<BTreeMap<&'static str, Arc<UpstreamVersion>>>,
    observer: Arc<Observer>,
    links: Arc<LinkFaults>,
    store: Arc<FakeStore>,
    seed: u64,
    load: Option<Arc<LoadPlan>>,
    next_number: Mutex<usize>,
    /// The names of the upstreams whose entries were removed.
    removed: Mutex<BTreeSet<String>>,
}

impl UpstreamRegistry {
    /// Starts all upstreams and writes their entries.
    pub(crate) async fn start(
        seed: u64,
        observer: Arc<Observer>,
        links: Arc<LinkFaults>,
        store: Arc<FakeStore>,
        load: Option<Arc<LoadPlan>>,
    ) -> std::io::Result<Self> {
        let first_version = || Arc::new(UpstreamVersion::new("v1".to_owned(), None));
        let versions = SERVICES.map(|(service, _)| (service, first_version()));
        let registry = UpstreamRegistry {
            upstreams: Mutex::default(),
            versions: Mutex::new(versions.into()),
            observer,
            links,
            store,
            seed,
            load,
            next_number: Mutex::new(0),
            removed: Mutex::default(),
        };
        for (service, count) in SERVICES {
            for index in 0..count {
                let version = registry.version(service);
                registry.add(service, zone(index), version, None).await?;
            }
        }
        Ok(registry)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RegisteredUpstream>> {
        self.upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_versions(&self) -> MutexGuard<'_, BTreeMap<&'static str, Arc<UpstreamVersion>>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current version of a service.
    fn version(&self, service: &str) -> Arc<UpstreamVersion> {
        self.lock_versions()[service].clone()
    }

    /// Starts an upstream and writes its entry.
    async fn add(
        &self,
        service: &'static str,
        zone: String,
        version: Arc<UpstreamVersion>,
        link: Option<UpstreamLink>,
    ) -> std::io::Result<()> {
        let number = {
            let next = self.next_number.lock();
            let mut next = next.unwrap_or_else(PoisonError::into_inner);
            *next += 1;
            *next
        };
        let load = self.load.as_deref().filter(|_| service == MODEL_SERVICE);
        let identity = UpstreamIdentity {
            name: format!("{service}-{number}"),
            service,
            zone,
            version,
            born: load.map(|_| unix_millis()),
        };
        let (seed, observer, links) = (self.seed, &self.observer, &self.links);
        let starting = SoakUpstream::start(identity, link, seed, observer, links, load);
        let upstream = starting.await?;
        let state = "ready";
        write_entry(&upstream, state, &self.store);
        self.lock().push(RegisteredUpstream { upstream, state });
        Ok(())
    }

    /// As [`UpstreamRegistry::add`]; reports a failure.
    async fn add_or_report(&self, identity: UpstreamIdentity, link: Option<UpstreamLink>) {
        let UpstreamIdentity {
            service,
            zone,
            version,
            ..
        } = identity;
        if let Err(error) = self.add(service, zone, version, link).await {
            let detail = format!("can't start an upstream: {error}");
            self.observer.report("soak", detail);
        }
    }

    /// Starts as many upstreams of a new version as there are of the current one.
    pub(crate) async fn start_version(
        &self,
        service: &'static str,
        version: &Arc<UpstreamVersion>,
    ) {
        let current: Vec<UpstreamIdentity> = {
            let upstreams = self.lock();
            let identities = upstreams.iter().map(|other| &other.upstream.identity);
            let of_service = identities.filter(|other| other.service == service);
            of_service.cloned().collect()
        };
        for identity in current {
            let version = version.clone();
            self.add_or_report(
                UpstreamIdentity {
                    version,
                    ..identity
                },
                None,
            )
            .await;
        }
    }

    /// Ends all upstreams of a service but those of a version, which is the current one from
    /// now on.
    pub(crate) async fn complete(&self, version: &Arc<UpstreamVersion>, service: &'static str) {
        self.lock_versions().insert(service, version.clone());
        let is_old = |other: &RegisteredUpstream| {
            let identity = &other.upstream.identity;
            identity.service == service && identity.version.name != version.name
        };
        let old: Vec<RegisteredUpstream> =
            self.lock().extract_if(.., |other| is_old(other)).collect();
        let names = old.iter().map(|other| other.upstream.identity.name.clone());
        let names: Vec<String> = names.collect();
        for name in &names {
            self.observer
                .disturb(Part::Upstream(name.clone()), "ended", true);
        }
        drop(old);
        tokio::time::sleep(ENTRY_LAG).await;
        for name in names {
            self.remove_entry(&name);
        }
    }

    /// Lets all upstreams of a version leave.
    pub(crate) async fn drain(&self, version: &UpstreamVersion, service: &'static str) {
        let mut names = Vec::new();
        for other in self.lock().iter_mut() {
            let identity = &other.upstream.identity;
            if identity.service == service
                && identity.version.name == version.name
                && other.state == "ready"
            {
                other.state = "draining";
                names.push(identity.name.clone());
            }
        }
        for name in &names {
            self.announce(name, false);
        }
        self.end_drained(&names).await;
    }

    fn lock_removed(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.removed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn remove_entry(&self, name: &str) {
        self.lock_removed().insert(name.to_owned());
        self.store.remove(TABLE, name);
    }

    /// Writes the entries of all upstreams again, after the store has lost them; those that
    /// came back of upstreams that are gone expire.
    pub(crate) fn write_all(&self) {
        for name in self.lock_removed().iter() {
            if self.store.row(TABLE, name).is_some() {
                self.store.remove(TABLE, name);
            }
        }
        for registered in self.lock().iter() {
            write_entry(&registered.upstream, registered.state, &self.store);
        }
    }

    fn index(&self, choice: u64) -> usize {
        usize::try_from(choice % self.lock().len() as u64).unwrap_or(0)
    }

    /// Disturbs an upstream for a while. The store drops the entry of one that is down.
    pub(crate) async fn disturb(
        &self,
        fault: PlannedFault,
        change: impl Fn(&mut UpstreamFaults, bool),
    ) {
        let (name, sender) = {
            let index = self.index(fault.choice);
            let upstream = &self.lock()[index].upstream;
            (upstream.identity.name.clone(), upstream.faults.clone())
        };
        let part = Part::Upstream(name);
        let disturbance = self.observer.disturb(part, "upstream", false);
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
        self.observer.end_disturbance(disturbance);
    }

    /// Starts a replacement, lets an upstream leave as announced and ends it. One in three
    /// leaves without a notice: its entry is removed, and it serves on. Of every other one of
    /// these a heartbeat was held up and arrives after that.
    pub(crate) async fn replace(&self, choice: u64) {
        let identity = {
            let index = self.index(choice);
            let mut upstreams = self.lock();
            if upstreams[index].state != "ready" {
                return;
            }
            upstreams[index].state = "draining";
            upstreams[index].upstream.identity.clone()
        };
        let name = identity.name.clone();
        self.add_or_report(identity, None).await;
        let is_silent = choice.is_multiple_of(3);
        self.announce(&name, is_silent);
        if is_silent && choice.is_multiple_of(2) {
            tokio::time::sleep(HEARTBEAT_DELAY).await;
            self.write_late(&name);
        }
        self.end_drained(&[name]).await;
    }

    /// Writes the entry that an upstream had before it left.
    fn write_late(&self, name: &str) {
        let upstreams = self.lock();
        let mut upstreams = upstreams.iter();
        let found = upstreams.find(|other| other.upstream.identity.name == name);
        if let Some(found) = found {
            write_entry(&found.upstream, "ready", &self.store);
        }
    }

    /// Ends upstreams that have announced that they leave.
    async fn end_drained(&self, names: &[String]) {
        tokio::time::sleep(SERVES_LEAVING).await;
        for name in names {
            self.remove_entry(name);
        }
        tokio::time::sleep(ENTRY_LAG).await;
        for name in names {
            self.observer
                .disturb(Part::Upstream(name.clone()), "ended", true);
        }
        self.lock()
            .retain(|other| !names.contains(&other.upstream.identity.name));
    }

    fn announce(&self, name: &str, is_silent: bool) {
        let now = self.observer.now();
        match is_silent {
            true => self.remove_entry(name),
            false => {
                let upstreams = self.lock();
                let mut upstreams = upstreams.iter();
                let found = upstreams.find(|other| other.upstream.identity.name == name);
                if let Some(found) = found {
                    write_entry(&found.upstream, found.state, &self.store);
                }
            }
        }
        let mut state = self.observer.lock();
        state.world.leavings.insert(name.to_owned(), now);
    }

    /// Lets an upstream crash, replaces it, and gives its address to an upstream of another
    /// service while the store still lists the one that crashed.
    pub(crate) async fn reuse_address(&self, choice: u64) {
        let index = self.index(choice);
        let SoakUpstream { identity, link, .. } = {
            let mut upstreams = self.lock();
            if upstreams[index].state != "ready" {
                return;
            }
            upstreams.remove(index).upstream
        };
        let crashed = identity.name.clone();
        self.observer
            .disturb(Part::Upstream(crashed.clone()), "crashed", false);
        self.add_or_report(identity.clone(), None).await;
        tokio::time::sleep(ADDRESS_REUSE).await;
        let service = match identity.service {
            MODEL_SERVICE => APP_SERVICE,
            _ => MODEL_SERVICE,
        };
        let version = self.version(service);
        let identity = UpstreamIdentity {
            service,
            version,
            ..identity
        };
        self.add_or_report(identity, Some(link)).await;
        tokio::time::sleep(EXPIRY_AFTER_REUSE).await;
        self.remove_entry(&crashed);
    }

    /// Takes all engines of a zone out of the upstreams that run.
    pub(crate) fn take_engines(&self, zone: &str) -> Vec<SoakUpstream> {
        let is_taken = |other: &RegisteredUpstream| {
            let identity = &other.upstream.identity;
            identity.service == MODEL_SERVICE && identity.zone == zone
        };
        let mut upstreams = self.lock();
        let taken = upstreams.extract_if(.., |other| is_taken(other));
        taken.map(|other| other.upstream).collect()
    }

    /// Starts another engine at the address of one that has ended, unless its version was
    /// rolled back or replaced meanwhile: then one of the current version.
    pub(crate) async fn start_again(&self, identity: UpstreamIdentity, link: UpstreamLink) {
        let is_in_use = self.lock().iter().any(|other| {
            let used = &other.upstream.identity;
            used.version.name == identity.version.name
                && used.service == identity.service
                && other.state == "ready"
        });
        let version = match is_in_use {
            true => identity.version.clone(),
            false => self.version(identity.service),
        };
        let identity = UpstreamIdentity {
            version,
            ..identity
        };
        self.add_or_report(identity, Some(link)).await;
    }
}
