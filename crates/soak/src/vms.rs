//! The gateway processes: started, signalled by their ids and started again.

use crate::bounds::{RetryBound, EXPOSURE_SHARE, EXPOSURE_SLACK, GRACE, REVOCATION, ROLLBACK};
use crate::links::{start_link, LinkFaults, LinkKind};
use crate::observer::Observer;
use crate::timeline::Part;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use skylarkshed_core::ClockTime;
use skylarkshed_stand_ins::{headers, FakeStore, GatewayFile};
use std::fs::OpenOptions;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;

/// The ports of a VM: callers, readiness checks, VMs that start, metrics and peers.
const PORTS: [u16; 3] = [8740, 8749, 8748];
const INTERNAL_PORTS: [u16; 2] = [7200, 7201];
pub(crate) const ZONES: usize = 3;
/// The second numbers of the loopback addresses.
const NETWORKS: std::ops::Range<u8> = 2..200;
/// The addresses that are used of each third number.
const ADDRESSES_OF_PART: usize = 200;
/// The delay before the platform starts a process again that ended.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// The load balancer checks each VM this often and gives it no new connection after two
/// failed checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
const CHECK_TIMEOUT: Duration = Duration::from_millis(900);
const FAILED_CHECKS: u32 = 2;

/// A VM, whose process may be down.
pub(crate) struct SoakVm {
    pub(crate) index: usize,
    pub(crate) zone: String,
    pub(crate) callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    /// Where the process writes its logs.
    pub(crate) log: PathBuf,
    /// The number of the current or last process.
    pub(crate) boot: AtomicU32,
    pub(crate) process: Mutex<ProcessState>,
    in_rotation: AtomicBool,
}

#[derive(Default)]
pub(crate) struct ProcessState {
    /// The id of the running process.
    pub(crate) id: Option<u32>,
    /// Whether the soak has ended the process or told it to end.
    pub(crate) is_ending: bool,
    /// The disturbances that end with the next start.
    until_start: Vec<usize>,
}

/// What the VMs share.
pub(crate) struct VmContext {
    pub(crate) program: PathBuf,
    pub(crate) folder: PathBuf,
    pub(crate) observer: Arc<Observer>,
    pub(crate) links: Arc<LinkFaults>,
    pub(crate) network: SoakNetwork,
    /// Whether the processes are to end for good.
    pub(crate) end: watch::Receiver<bool>,
}

/// Creates the VMs with their settings files and the proxies between them.
pub(crate) async fn create_vms(
    context: &VmContext,
    store: &FakeStore,
    count: usize,
    retry_bound: RetryBound,
) -> std::io::Result<Vec<Arc<SoakVm>>> {
    let links = &context.links;
    let store_link = start_link(links.clone(), LinkKind::Store, None, store.address()).await?;
    let network = context.network.number;
    let address = |index| address(network, index);
    let mut seeds = Vec::new();
    for index in 0..count {
        let peers = SocketAddr::new(address(index), INTERNAL_PORTS[1]);
        let proxy = start_link(links.clone(), LinkKind::Vms, Some(index), peers).await?;
        store.substitute_address(peers, proxy);
        if index < ZONES {
            // Not a proxy's address: a VM recognizes itself in the list.
            seeds.push(SocketAddr::new(address(index), PORTS[2]));
        }
    }
    let mut vms = Vec::new();
    for index in 0..count {
        let name = format!("vm-{index}");
        let zone = zone(index);
        let file = GatewayFile {
            zone: zone.clone(),
            address: address(index),
            ports: PORTS,
            internal_ports: INTERNAL_PORTS,
            seeds: seeds.clone(),
            grace_s: GRACE.as_millis() / 1_000,
            revoke_ms: REVOCATION.as_millis(),
            retry_budget: (retry_bound.ratio, retry_bound.slack as u64),
            exposure: (EXPOSURE_SHARE, EXPOSURE_SLACK),
            rollback_ms: ROLLBACK.to_duration().as_millis(),
            ..GatewayFile::new(&name, store_link)
        };
        let settings = context.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, file.render())?;
        vms.push(Arc::new(SoakVm {
            index,
            zone,
            callers: SocketAddr::new(address(index), PORTS[0]),
            readiness: SocketAddr::new(address(index), PORTS[1]),
            settings,
            log: context.folder.join(format!("{name}.log")),
            boot: AtomicU32::new(0),
            process: Mutex::default(),
            in_rotation: AtomicBool::new(false),
        }));
    }
    Ok(vms)
}

/// Returns the zone of the VM or upstream with this index.
pub(crate) fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

/// Returns a VM's loopback address.
fn address(network: u8, index: usize) -> IpAddr {
    let part = u8::try_from(index / ADDRESSES_OF_PART).expect("there are fewer than 50,000 VMs");
    let last = u8::try_from(index % ADDRESSES_OF_PART + 1).expect("a part has fewer than 255");
    IpAddr::V4(Ipv4Addr::new(127, network, part, last))
}

/// A part of the loopback network that no other soak uses at the same time.
pub(crate) struct SoakNetwork {
    number: u8,
    /// Keeps the part reserved.
    _reservation: std::net::TcpListener,
}

impl SoakNetwork {
    /// Reserves a part.
    pub(crate) fn reserve() -> std::io::Result<Self> {
        let mut last_error = None;
        for number in NETWORKS {
            let address = Ipv4Addr::new(127, number, u8::MAX, 1);
            match std::net::TcpListener::bind((address, PORTS[0])) {
                Ok(reservation) => {
                    return Ok(SoakNetwork {
                        number,
                        _reservation: reservation,
                    })
                }
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
    }
}

impl SoakVm {
    pub(crate) fn is_in_rotation(&self) -> bool {
        self.in_rotation.load(Ordering::Relaxed)
    }

    pub(crate) fn lock(&self) -> std::sync::MutexGuard<'_, ProcessState> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a signal to the process if it runs.
    pub(crate) fn signal(&self, signal: Signal) -> bool {
        let state = self.lock();
        let id = state.id.and_then(|id| i32::try_from(id).ok());
        id.is_some_and(|id| kill(Pid::from_raw(id), signal).is_ok())
    }

    /// Ends the process at once; it is started again after a short delay.
    pub(crate) fn kill(&self, observer: &Observer) {
        let mut state = self.lock();
        let Some(id) = state.id else {
            return;
        };
        let disturbance = observer.disturb(Part::Vm(self.index), "killed", false);
        state.until_start.push(disturbance);
        state.is_ending = true;
        // The process may end at this moment.
        let _ = kill(Pid::from_raw(id.cast_signed()), Signal::SIGKILL);
    }

    /// Tells the process to end, kills it after the grace period and starts it again.
    pub(crate) fn terminate(self: &Arc<Self>, observer: &Arc<Observer>) {
        let boot = self.boot.load(Ordering::Relaxed);
        {
            let mut state = self.lock();
            if state.id.is_none() || state.is_ending {
                return;
            }
            state.is_ending = true;
            let disturbance = observer.disturb(Part::Vm(self.index), "terminated", true);
            state.until_start.push(disturbance);
        }
        observer.record_termination(self.index);
        self.signal(Signal::SIGTERM);
        let vm = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(GRACE.to_duration()).await;
            if vm.boot.load(Ordering::Relaxed) == boot {
                vm.signal(Signal::SIGKILL);
            }
        });
    }

    fn spawn_process(&self, program: &Path) -> std::io::Result<Child> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        Command::new(program)
            .arg("gateway")
            .env("SKYLARKSHED_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
    }
}

/// Starts the process of a VM, and again each time that it ends. At the end of the soak, waits
/// until the process is gone, so that its addresses are free.
pub(crate) async fn keep_running(vm: Arc<SoakVm>, context: Arc<VmContext>) {
    let observer = &context.observer;
    loop {
        let mut child = match vm.spawn_process(&context.program) {
            Ok(child) => child,
            Err(error) => {
                observer.report(
                    "processes run",
                    format!("vm-{} can't start: {error}", vm.index),
                );
                return;
            }
        };
        vm.boot.fetch_add(1, Ordering::Relaxed);
        context.links.set_process_id(vm.index, child.id());
        {
            let mut state = vm.lock();
            state.id = child.id();
            state.is_ending = false;
            for disturbance in std::mem::take(&mut state.until_start) {
                observer.end_disturbance(disturbance);
            }
        }
        let mut end = context.end.clone();
        let ended = tokio::select! {
            ended = child.wait() => Some(ended),
            // The sender lives as long as the soak.
            () = async { end.wait_for(|end| *end).await.map_or((), |_| ()) } => None,
        };
        let Some(ended) = ended else {
            // The process may have ended at this moment.
            let _ = child.kill().await;
            return;
        };
        let is_ending = {
            let mut state = vm.lock();
            state.id = None;
            state.is_ending
        };
        if !is_ending {
            let detail = format!("vm-{} ended by itself: {ended:?}", vm.index);
            observer.report("processes run", detail);
        }
        context.links.set_process_id(vm.index, None);
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

/// Checks whether a VM is ready, as the load balancer does.
pub(crate) async fn check_readiness(vm: Arc<SoakVm>, observer: Arc<Observer>) {
    let mut failed = FAILED_CHECKS;
    loop {
        let started_at = observer.now();
        let check = is_ready(vm.readiness);
        let ready = tokio::time::timeout(CHECK_TIMEOUT, check).await;
        match ready {
            Ok(Some(true)) => {
                failed = 0;
                record_ready(&vm, &observer, started_at);
            }
            _ => failed += 1,
        }
        vm.in_rotation
            .store(failed < FAILED_CHECKS, Ordering::Relaxed);
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Records that a VM that was told to end reports to be ready.
fn record_ready(vm: &SoakVm, observer: &Observer, at: ClockTime) {
    if !vm.lock().is_ending {
        return;
    }
    let mut state = observer.lock();
    let mut terminations = state.world.terminations.iter_mut();
    let last = terminations.rfind(|termination| termination.vm == vm.index);
    if let Some(last) = last {
        last.last_ready_at = at;
    }
}

async fn is_ready(address: SocketAddr) -> Option<bool> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let path = headers::READINESS_PATH;
    let request = format!("GET {path} HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut head = [0; 64];
    let length = stream.read(&mut head).await.ok()?;
    Some(String::from_utf8_lossy(&head[..length]).starts_with("HTTP/1.1 200"))
}
