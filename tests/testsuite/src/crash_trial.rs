//! Engines that end when they begin to write an answer on a part of a prompt, several VMs,
//! and sound requests that share a customer and the first part with the others.

use crate::gateway_harness::{GatewayHarness, OtherVm};
use crate::gateway_process::{config_metric, wait_for_metric, POLL_INTERVAL};
use crate::harness_builder::HarnessBuilder;
use crate::raw_client::{RawClient, RawResponse};
use skylarkshed_stand_ins::{
    CrashFault, FakeUpstream, ReceivedRequest, ScriptedResponse, StreamEnd, StreamScript,
    DEPOT_KEY, MODEL_SERVICE,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// The time after which VMs that are in touch know what happened.
pub const SETTLE_WINDOW: Duration = Duration::from_secs(3);
/// The part that ends engines.
const CRASHING_PART: &str = "bad0";
/// The number of engine ends after which all VMs have to know the part.
const KNOWN_AFTER_ENDS: usize = 5;
const ZONES: usize = 3;
const VM_TABLE: &str = "vms";
/// The time after which all VMs have read an entry of the list of VMs.
const LIST_DELAY: Duration = Duration::from_millis(1_500);
/// Sound streams take 800 ms.
const STREAM: ScriptedResponse = ScriptedResponse::Stream(StreamScript {
    last_id: 40,
    interval: Duration::from_millis(20),
    end: StreamEnd::Complete,
});

/// A sound request, by when it was sent and whether its first attempt was answered.
#[derive(Clone, Copy, Debug)]
struct SoundRequest {
    sent_at: Instant,
    is_begun: bool,
}

/// VMs and engines that a part of a prompt ends.
#[derive(Debug)]
pub struct CrashTrial {
    /// The first VM, the store and the engines.
    pub harness: GatewayHarness,
    /// The other VMs.
    pub others: Vec<OtherVm>,
    sound: Arc<Mutex<Vec<SoundRequest>>>,
    next_number: Arc<AtomicUsize>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for CrashTrial {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl CrashTrial {
    /// Starts `vms` VMs and `engines` engines that a part ends.
    pub async fn start(vms: usize, engines: usize) -> Self {
        let builder = HarnessBuilder::default().applications(0).engines(engines);
        let harness = builder.start().await;
        for (number, engine) in harness.engines.iter().enumerate() {
            engine.set_default_response(STREAM);
            engine.set_crash_fault(Some(CrashFault::new(CRASHING_PART)));
            harness.register(engine, MODEL_SERVICE, number % ZONES, "ready");
        }
        let mut trial = CrashTrial {
            harness,
            others: Vec::new(),
            sound: Arc::default(),
            next_number: Arc::default(),
            tasks: Vec::new(),
        };
        for number in 2..=vms {
            let seeds = [trial.harness.seed_address];
            trial.add_vm(&format!("vm-{number}"), &seeds).await;
        }
        trial.wait_for_listed_vms(vms).await;
        trial
    }

    /// Starts another VM and waits until it has the configuration.
    pub async fn add_vm(&mut self, name: &str, seeds: &[SocketAddr]) -> SocketAddr {
        let other = self.harness.start_other_with_seeds(name, seeds).await;
        wait_for_metric(other.metrics_address, &config_metric(1)).await;
        let address = other.caller_address;
        self.others.push(other);
        address
    }

    async fn wait_for_listed_vms(&self, vms: usize) {
        for number in 1..=vms {
            while self
                .harness
                .store
                .row(VM_TABLE, &format!("vm-{number}"))
                .is_none()
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        tokio::time::sleep(LIST_DELAY).await;
    }

    /// Returns the addresses of all VMs.
    pub fn vm_addresses(&self) -> Vec<SocketAddr> {
        let others = self.others.iter().map(|other| other.caller_address);
        std::iter::once(self.harness.caller_address)
            .chain(others)
            .collect()
    }

    /// Changes the fault of all engines; `None` mends it.
    pub fn set_fault(&self, fault: Option<&CrashFault>) {
        for engine in &self.harness.engines {
            engine.set_crash_fault(fault.cloned());
        }
    }

    /// Returns a fault of the trial's part.
    pub fn fault() -> CrashFault {
        CrashFault::new(CRASHING_PART)
    }

    /// Starts callers of sound requests at all VMs, each with a pause between its requests.
    pub fn start_sound_callers(&mut self, pause: Duration) {
        for vm in self.vm_addresses() {
            let (sound, numbers) = (self.sound.clone(), self.next_number.clone());
            self.tasks.push(tokio::spawn(async move {
                loop {
                    let number = numbers.fetch_add(1, Ordering::Relaxed);
                    let parts = format!("first:200,own{number}:8000");
                    let sent_at = Instant::now();
                    let response = send_prompt(vm, &parts).await;
                    let is_begun =
                        response.is_some_and(|response| !response.event_ids().is_empty());
                    let request = SoundRequest { sent_at, is_begun };
                    lock(&sound).push(request);
                    tokio::time::sleep(pause).await;
                }
            }));
        }
    }

    /// Sends a request with the part that ends engines to a VM; no two have the same
    /// last part.
    pub async fn send_crashing_request(&self, vm: SocketAddr) -> Option<RawResponse> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        send_prompt(vm, &crashing_parts(number)).await
    }

    /// Sends a request whose prompt has only a part of its own, which ends engines, to a VM.
    pub async fn send_crashing_own_part(&self, vm: SocketAddr) -> Option<RawResponse> {
        send_prompt(vm, &format!("{CRASHING_PART}:8000")).await
    }

    /// Sends a crashing request to one VM after the other for a time, without waiting for
    /// the responses.
    pub async fn send_crashing_requests(&mut self, pause: Duration, time: Duration) {
        let vms = self.vm_addresses();
        let until = Instant::now() + time;
        for vm in vms.into_iter().cycle() {
            if Instant::now() >= until {
                return;
            }
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            self.tasks.push(tokio::spawn(async move {
                send_prompt(vm, &crashing_parts(number)).await;
            }));
            tokio::time::sleep(pause).await;
        }
    }

    /// Returns when engines ended, in order.
    pub fn end_times(&self) -> Vec<Instant> {
        let engines = self.harness.engines.iter();
        let mut times: Vec<Instant> = engines.flat_map(FakeUpstream::end_times).collect();
        times.sort();
        times
    }

    /// Returns when crashing requests reached engines, in order.
    pub fn crashing_arrivals(&self) -> Vec<Instant> {
        let fault = Self::fault();
        let received = self
            .harness
            .engines
            .iter()
            .map(FakeUpstream::received_requests);
        let hits = received
            .flatten()
            .filter(|request: &ReceivedRequest| fault.is_hit_by(request));
        let mut times: Vec<Instant> = hits.map(|request| request.received_at).collect();
        times.sort();
        times
    }

    /// Returns how many crashing requests reached engines although all VMs have to know
    /// the part.
    pub fn late_arrivals(&self) -> usize {
        let Some(known_at) = self.end_times().get(KNOWN_AFTER_ENDS - 1).copied() else {
            return 0;
        };
        let late = |at: &Instant| at.duration_since(known_at) > SETTLE_WINDOW;
        self.crashing_arrivals()
            .iter()
            .filter(|at| late(at))
            .count()
    }

    /// Returns the number of sound requests sent in a time, and how many of them began.
    pub fn sound_requests(&self, from: Instant, until: Instant) -> (usize, usize) {
        let sound = lock(&self.sound);
        let sent = sound
            .iter()
            .filter(|request| request.sent_at >= from && request.sent_at < until);
        let begun = sent.clone().filter(|request| request.is_begun).count();
        (sent.count(), begun)
    }
}

fn crashing_parts(number: usize) -> String {
    format!("first:200,{CRASHING_PART}:300,own{number}:8000")
}

fn lock(sound: &Mutex<Vec<SoundRequest>>) -> std::sync::MutexGuard<'_, Vec<SoundRequest>> {
    sound.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a stream's request with the parts of its prompt; none if there is no response.
async fn send_prompt(vm: SocketAddr, parts: &str) -> Option<RawResponse> {
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    let header = format!("X-Prompt-Prefix: {parts}\r\nX-Token-Usage");
    let request = request.replacen("X-Token-Usage", &header, 1);
    let mut client = RawClient::try_connect(vm).await?;
    match client.try_send(request.as_bytes()).await {
        true => client.read_response().await,
        false => None,
    }
}
