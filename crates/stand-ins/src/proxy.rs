//! A proxy for TCP and UDP that cuts, holds and delays traffic.

use crate::reply;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use volo_http::server::route::{post, Router};

const BUFFER_BYTES: usize = 16 * 1024;

/// What goes wrong in the proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyFaults {
    /// Resets all connections and takes no new ones.
    pub reset: bool,
    /// Holds everything that goes to the target.
    pub hold_to_target: bool,
    /// Holds everything that comes from the target.
    pub hold_from_target: bool,
    /// Milliseconds that each read waits.
    pub delay_ms: u64,
    /// Source addresses whose traffic is held in both directions.
    pub blocked_sources: Vec<IpAddr>,
}

type FaultWatch = watch::Receiver<ProxyFaults>;

/// Runs the proxy; its control service has an address of its own.
///
/// # Errors
///
/// Fails if an address can't be listened on.
pub async fn run_proxy(listen: SocketAddr, target: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let datagrams = UdpSocket::bind(address).await?;
    reply::announce(&[("proxy", address)]);
    let (sender, faults) = watch::channel(ProxyFaults::default());
    tokio::spawn(forward_datagrams(datagrams, target, faults.clone()));
    tokio::spawn(accept(listener, target, faults));
    let sender = Arc::new(sender);
    let control = post(move |body: Bytes| {
        let sender = sender.clone();
        async move {
            match reply::parse(&body) {
                Ok(faults) => {
                    sender.send_replace(faults);
                    reply::json(&())
                }
                Err(refusal) => reply::status(refusal),
            }
        }
    });
    let control_address = SocketAddr::new(address.ip(), 0);
    reply::serve(control_address, Router::new().route("/control", control)).await
}

async fn accept(listener: TcpListener, target: SocketAddr, faults: FaultWatch) {
    while let Ok((inbound, source)) = listener.accept().await {
        tokio::spawn(forward(inbound, source.ip(), target, faults.clone()));
    }
}

async fn forward(inbound: TcpStream, source: IpAddr, target: SocketAddr, mut faults: FaultWatch) {
    if faults.borrow().reset {
        return reset(&inbound);
    }
    let Ok(outbound) = TcpStream::connect(target).await else {
        return reset(&inbound);
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (from_caller, to_caller) = inbound.into_split();
    let (from_target, to_target) = outbound.into_split();
    let upward = pump(from_caller, to_target, faults.clone(), move |faults| {
        faults.hold_to_target || faults.blocked_sources.contains(&source)
    });
    let downward = pump(from_target, to_caller, faults.clone(), move |faults| {
        faults.hold_from_target || faults.blocked_sources.contains(&source)
    });
    tokio::select! {
        () = async { tokio::join!(upward, downward); } => {}
        _ = faults.wait_for(|faults| faults.reset) => {}
    }
}

fn reset(stream: &TcpStream) {
    #[allow(deprecated)]
    let _ = stream.set_linger(Some(Duration::ZERO));
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: FaultWatch,
    held: impl Fn(&ProxyFaults) -> bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        if faults.wait_for(|faults| !held(faults)).await.is_err() {
            return;
        }
        let delay_ms = faults.borrow().delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

async fn forward_datagrams(socket: UdpSocket, target: SocketAddr, faults: FaultWatch) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok((count, source)) = socket.recv_from(&mut buffer).await {
        let dropped = {
            let faults = faults.borrow();
            let blocked = faults.blocked_sources.contains(&source.ip());
            blocked || faults.reset || faults.hold_to_target
        };
        if !dropped {
            let _ = socket.send_to(&buffer[..count], target).await;
        }
    }
}
