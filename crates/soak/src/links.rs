//! Loopback proxies between VMs and the store, the upstreams and other VMs.

use crate::observer::Observer;
use skylarkshed_stand_ins::{forward_connection, headers, ProxyFaults};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
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

/// The faults of every VM's links.
pub(crate) struct LinkFaults {
    faults: Vec<[watch::Sender<ProxyFaults>; 3]>,
    process_ids: Mutex<Vec<Option<u32>>>,
}

impl LinkFaults {
    pub(crate) fn new(vms: usize) -> Self {
        LinkFaults {
            faults: (0..vms).map(|_| Default::default()).collect(),
            process_ids: Mutex::new(vec![None; vms]),
        }
    }

    /// Changes the faults of one link.
    pub(crate) fn change(&self, vm: usize, link: LinkKind, change: impl FnOnce(&mut ProxyFaults)) {
        self.faults[vm][link as usize].send_modify(change);
    }

    /// Sets the id of a VM's process, by which its connections are found.
    pub(crate) fn set_process_id(&self, vm: usize, id: Option<u32>) {
        self.lock_ids()[vm] = id;
    }

    fn watch(&self, vm: Option<usize>, link: LinkKind) -> watch::Receiver<ProxyFaults> {
        match vm {
            Some(vm) => self.faults[vm][link as usize].subscribe(),
            // The process that opened the connection has ended.
            None => watch::channel(ProxyFaults::default()).1,
        }
    }

    fn lock_ids(&self) -> std::sync::MutexGuard<'_, Vec<Option<u32>>> {
        self.process_ids
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the VM whose process opened a connection.
    fn find_vm(&self, source: SocketAddr) -> Option<usize> {
        let socket = format!("socket:[{}]", socket_number(source)?);
        let ids = self.lock_ids().clone();
        ids.iter()
            .position(|id| id.is_some_and(|id| has_socket(id, &socket)))
    }
}

/// Starts a proxy on a free port for connections that VMs keep open; they are told
/// apart by their processes.
pub(crate) async fn start_link(
    faults: Arc<LinkFaults>,
    link: LinkKind,
    listen: SocketAddr,
    target: SocketAddr,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((inbound, source)) = listener.accept().await {
            let faults = faults.clone();
            tokio::spawn(async move {
                let finder = faults.clone();
                let finding = tokio::task::spawn_blocking(move || finder.find_vm(source));
                let vm = finding.await.ok().flatten();
                forward_connection(inbound, source.ip(), target, faults.watch(vm, link)).await;
            });
        }
    });
    Ok(address)
}

/// Starts a proxy for requests to an upstream; VMs are told apart by the requests that
/// they forward.
pub(crate) async fn start_upstream_link(
    faults: Arc<LinkFaults>,
    observer: Arc<Observer>,
    target: SocketAddr,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((inbound, source)) = listener.accept().await {
            let (faults, observer) = (faults.clone(), observer.clone());
            tokio::spawn(async move {
                let id = peek_request_id(&inbound).await;
                let vm = id.and_then(|id| observer.vm_of(&id));
                let watch = faults.watch(vm, LinkKind::Upstreams);
                forward_connection(inbound, source.ip(), target, watch).await;
            });
        }
    });
    Ok(address)
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

/// Returns the number of the socket that is bound to a loopback address.
fn socket_number(address: SocketAddr) -> Option<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let port = format!(":{:04X}", address.port());
    let mut rows = table.lines().map(str::split_whitespace);
    rows.find_map(|mut row| {
        let is_match = row.nth(1)?.ends_with(&port);
        let number = row.nth(7)?;
        (is_match && number != "0").then(|| number.to_owned())
    })
}

fn has_socket(process_id: u32, socket: &str) -> bool {
    let Ok(files) = std::fs::read_dir(format!("/proc/{process_id}/fd")) else {
        return false;
    };
    files
        .filter_map(|file| std::fs::read_link(file.ok()?.path()).ok())
        .any(|target| target.as_os_str() == socket)
}
