//! Loopback proxies between VMs and the store, the upstreams and other VMs.

use crate::observer::Observer;
use skylarkshed_stand_ins::{forward_connection, headers, ProxyFaults};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How long a proxy waits for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
const HEAD_POLL_INTERVAL: Duration = Duration::from_millis(2);
const HEAD_BYTES: usize = 4_096;

/// The links of a VM that can be disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkKind {
    Store,
    Upstreams,
    Vms,
}

impl LinkKind {
    pub(crate) const ALL: [LinkKind; 3] = [LinkKind::Store, LinkKind::Upstreams, LinkKind::Vms];
}

/// A connection that a VM keeps open to the store or to another VM.
struct OpenConnection {
    link: LinkKind,
    source: SocketAddr,
    /// The VM, once it has been found.
    vm: Option<usize>,
    /// The VM that it leads to, if it leads to one.
    target_vm: Option<usize>,
    faults: watch::Sender<ProxyFaults>,
}

/// The faults of every VM's links.
pub(crate) struct LinkFaults {
    faults: Vec<[watch::Sender<ProxyFaults>; 3]>,
    process_ids: Mutex<Vec<Option<u32>>>,
    connections: Mutex<BTreeMap<u64, OpenConnection>>,
    /// The VMs that are cut off from the others.
    cut_off: Mutex<BTreeSet<usize>>,
    next_number: AtomicU64,
}

impl LinkFaults {
    pub(crate) fn new(vms: usize) -> Self {
        LinkFaults {
            faults: (0..vms).map(|_| Default::default()).collect(),
            process_ids: Mutex::new(vec![None; vms]),
            connections: Mutex::default(),
            cut_off: Mutex::default(),
            next_number: AtomicU64::new(0),
        }
    }

    /// Changes the faults of one link of a VM.
    pub(crate) async fn change(
        self: &Arc<Self>,
        vm: usize,
        link: LinkKind,
        change: impl Fn(&mut ProxyFaults),
    ) {
        self.find_vms().await;
        self.faults[vm][link as usize].send_modify(&change);
        let connections = lock(&self.connections);
        let of_vm = connections.values().filter(|open| open.vm == Some(vm));
        for open in of_vm.filter(|open| open.link == link) {
            open.faults.send_modify(&change);
        }
    }

    /// Cuts a VM off from the others, or ends that: traffic to them and from them is held.
    pub(crate) async fn cut_off(self: &Arc<Self>, vm: usize, is_cut_off: bool) {
        let change = |faults: &mut ProxyFaults| {
            faults.hold_to_target = is_cut_off;
            faults.hold_from_target = is_cut_off;
        };
        match is_cut_off {
            true => lock(&self.cut_off).insert(vm),
            false => lock(&self.cut_off).remove(&vm),
        };
        self.change(vm, LinkKind::Vms, change).await;
        let connections = lock(&self.connections);
        let to_vm = connections
            .values()
            .filter(|open| open.target_vm == Some(vm));
        for open in to_vm {
            open.faults.send_modify(change);
        }
    }

    /// Changes the faults of all VMs' links to the store.
    pub(crate) fn change_store(&self, change: impl Fn(&mut ProxyFaults)) {
        for faults in &self.faults {
            faults[LinkKind::Store as usize].send_modify(&change);
        }
        let connections = lock(&self.connections);
        for open in connections.values() {
            if open.link == LinkKind::Store {
                open.faults.send_modify(&change);
            }
        }
    }

    /// Sets the id of a VM's process, by which its connections are found.
    pub(crate) fn set_process_id(&self, vm: usize, id: Option<u32>) {
        lock(&self.process_ids)[vm] = id;
    }

    fn watch(&self, vm: Option<usize>) -> watch::Receiver<ProxyFaults> {
        match vm {
            Some(vm) => self.faults[vm][LinkKind::Upstreams as usize].subscribe(),
            // A request that no caller sent, such as a health check.
            None => watch::channel(ProxyFaults::default()).1,
        }
    }

    fn is_disturbed(&self, link: LinkKind) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|faults| current(&faults[link as usize]) != ProxyFaults::default())
    }

    fn hold_if_cut_off(&self, target_vm: Option<usize>, faults: &mut ProxyFaults) {
        if target_vm.is_some_and(|vm| lock(&self.cut_off).contains(&vm)) {
            faults.hold_to_target = true;
            faults.hold_from_target = true;
        }
    }

    /// Finds the VMs of the connections whose VM is not known yet. The kernel's table of
    /// sockets is long, so it is read only when a fault needs it.
    async fn find_vms(self: &Arc<Self>) {
        let is_known = |open: &OpenConnection| open.vm.is_some();
        if lock(&self.connections).values().all(is_known) {
            return;
        }
        let ids = lock(&self.process_ids).clone();
        let finding = tokio::task::spawn_blocking(move || find_ports(&ids));
        let ports = finding.await.unwrap_or_default();
        for open in lock(&self.connections).values_mut() {
            if open.vm.is_some() {
                continue;
            }
            open.vm = ports.get(&open.source.port()).copied();
            if let Some(vm) = open.vm {
                let mut faults = current(&self.faults[vm][open.link as usize]);
                self.hold_if_cut_off(open.target_vm, &mut faults);
                open.faults.send_replace(faults);
            }
        }
    }
}

/// Returns a link's faults as a new connection gets them.
fn current(faults: &watch::Sender<ProxyFaults>) -> ProxyFaults {
    ProxyFaults {
        silence_count: 0,
        ..faults.borrow().clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a proxy on a free port for connections that VMs keep open; they are told
/// apart by their processes.
pub(crate) async fn start_link(
    faults: Arc<LinkFaults>,
    link: LinkKind,
    target_vm: Option<usize>,
    target: SocketAddr,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((inbound, source)) = listener.accept().await {
            let number = faults.next_number.fetch_add(1, Ordering::Relaxed);
            // Held until the connection is listed, so that the end of a cut reaches it.
            let mut connections = lock(&faults.connections);
            let mut first_faults = ProxyFaults::default();
            faults.hold_if_cut_off(target_vm, &mut first_faults);
            let (sender, watch) = watch::channel(first_faults);
            let open = OpenConnection {
                link,
                source,
                vm: None,
                target_vm,
                faults: sender,
            };
            connections.insert(number, open);
            drop(connections);
            let faults = faults.clone();
            tokio::spawn(async move {
                if faults.is_disturbed(link) {
                    let finder = faults.clone();
                    tokio::spawn(async move { finder.find_vms().await });
                }
                forward_connection(inbound, source.ip(), target, watch).await;
                lock(&faults.connections).remove(&number);
            });
        }
    });
    Ok(address)
}

/// The address of an upstream, which may be given to another one later.
#[derive(Debug)]
pub(crate) struct UpstreamLink {
    pub(crate) address: SocketAddr,
    target: watch::Sender<SocketAddr>,
    /// Whether connections are refused, because the upstream's process has ended.
    pub(crate) is_refusing: watch::Sender<bool>,
}

impl UpstreamLink {
    /// Gives the address to another upstream.
    pub(crate) fn assign(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }
}

/// Starts a proxy for requests to an upstream; VMs are told apart by the requests that
/// they forward.
pub(crate) async fn start_upstream_link(
    faults: Arc<LinkFaults>,
    observer: Arc<Observer>,
    target: SocketAddr,
) -> std::io::Result<UpstreamLink> {
    let mut listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (target, targets) = watch::channel(target);
    let (is_refusing, mut refusing) = watch::channel(false);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                () = accept_all(&listener, &faults, &observer, &targets) => return,
                () = wait_for(&mut refusing, true) => {}
            }
            drop(listener);
            wait_for(&mut refusing, false).await;
            listener = match TcpListener::bind(address).await {
                Ok(listener) => listener,
                Err(error) => {
                    let detail = format!("can't listen on {address} again: {error}");
                    return observer.report("soak", detail);
                }
            };
        }
    });
    Ok(UpstreamLink {
        address,
        target,
        is_refusing,
    })
}

/// Waits until a link refuses connections or not; for ever once its upstream is gone.
async fn wait_for(refusing: &mut watch::Receiver<bool>, wanted: bool) {
    let changed = refusing.wait_for(|is_refusing| *is_refusing == wanted);
    let is_gone = changed.await.is_err();
    if is_gone {
        std::future::pending().await
    }
}

async fn accept_all(
    listener: &TcpListener,
    faults: &Arc<LinkFaults>,
    observer: &Arc<Observer>,
    targets: &watch::Receiver<SocketAddr>,
) {
    while let Ok((inbound, source)) = listener.accept().await {
        let (faults, observer) = (faults.clone(), observer.clone());
        let target = *targets.borrow();
        tokio::spawn(async move {
            let id = peek_request_id(&inbound).await;
            let vm = id.and_then(|id| observer.vm_of(&id));
            let watch = faults.watch(vm);
            forward_connection(inbound, source.ip(), target, watch).await;
        });
    }
}

/// Returns the id of the request that arrives on a connection, without reading it.
async fn peek_request_id(stream: &TcpStream) -> Option<String> {
    let peeking = async {
        let mut head = [0; HEAD_BYTES];
        loop {
            let length = stream.peek(&mut head).await.ok()?;
            let text = String::from_utf8_lossy(&head[..length]).to_lowercase();
            let is_whole = text.contains("\r\n\r\n") || length == 0 || length == HEAD_BYTES;
            if is_whole {
                let mut lines = text.lines().filter_map(|line| line.split_once(": "));
                let id = lines.find(|(name, _)| *name == headers::REQUEST_ID);
                return id.map(|(_, id)| id.to_owned());
            }
            tokio::time::sleep(HEAD_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(HEAD_TIMEOUT, peeking).await.ok()?
}

/// Returns the VMs by the ports of their processes' sockets.
fn find_ports(process_ids: &[Option<u32>]) -> HashMap<u16, usize> {
    // Without the table, the faults reach no connection of this kind.
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let mut owners = HashMap::new();
    for (vm, id) in process_ids.iter().enumerate() {
        let sockets = id.map(socket_numbers).unwrap_or_default();
        owners.extend(sockets.into_iter().map(|socket| (socket, vm)));
    }
    let rows = table.lines().filter_map(|row| {
        let mut fields = row.split_whitespace();
        let port = fields.nth(1)?.rsplit_once(':')?.1;
        let owner = owners.get(fields.nth(7)?)?;
        Some((u16::from_str_radix(port, 16).ok()?, *owner))
    });
    rows.collect()
}

fn socket_numbers(process_id: u32) -> Vec<String> {
    let Ok(files) = std::fs::read_dir(format!("/proc/{process_id}/fd")) else {
        return Vec::new();
    };
    let targets = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
    let numbers = targets.filter_map(|target| {
        let number = target.to_str()?.strip_prefix("socket:[")?;
        Some(number.strip_suffix(']')?.to_owned())
    });
    numbers.collect()
}
