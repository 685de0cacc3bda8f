//! A TCP and UDP proxy that resets, holds back and delays traffic.

use crate::response;
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

/// The faults injected by the proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyFaults {
    /// Closes all connections, resets new ones and drops datagrams.
    pub reset: bool,
    /// Holds back all traffic to the target; datagrams are dropped.
    pub hold_to_target: bool,
    /// Holds back all traffic from the target.
    pub hold_from_target: bool,
    /// Delay of each chunk of data, in milliseconds.
    pub delay_ms: u64,
    /// Connections opened while this number was lower are held back for good, in both
    /// directions.
    pub silence_count: u64,
    /// Source addresses whose traffic is held back in both directions; their datagrams
    /// are dropped.
    pub blocked_sources: Vec<IpAddr>,
}

type FaultWatch = watch::Receiver<ProxyFaults>;

/// Runs the proxy; its control service listens on a separate port.
///
/// # Errors
///
/// Returns an error if it can't listen on an address.
pub async fn run_proxy(listen: SocketAddr, target: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let datagrams = UdpSocket::bind(address).await?;
    response::print_addresses(&[("proxy", address)]);
    let (sender, faults) = watch::channel(ProxyFaults::default());
    tokio::spawn(forward_datagrams(datagrams, target, faults.clone()));
    tokio::spawn(accept_connections(listener, target, faults));
    let sender = Arc::new(sender);
    let control = post(move |body: Bytes| {
        let sender = sender.clone();
        async move {
            match response::parse(&body) {
                Ok(faults) => {
                    sender.send_replace(faults);
                    response::json(&())
                }
                Err(status) => response::status(status),
            }
        }
    });
    let control_address = SocketAddr::new(address.ip(), 0);
    response::serve(control_address, Router::new().route("/control", control)).await
}

async fn accept_connections(listener: TcpListener, target: SocketAddr, faults: FaultWatch) {
    while let Ok((inbound, source)) = listener.accept().await {
        tokio::spawn(forward_connection(
            inbound,
            source.ip(),
            target,
            faults.clone(),
        ));
    }
}

/// Forwards an accepted connection to the target, with the faults that the watch
/// channel holds at each moment.
pub async fn forward_connection(
    inbound: TcpStream,
    source: IpAddr,
    target: SocketAddr,
    mut faults: watch::Receiver<ProxyFaults>,
) {
    let silence_count = faults.borrow().silence_count;
    let is_silent = move |faults: &ProxyFaults| {
        faults.silence_count > silence_count || faults.blocked_sources.contains(&source)
    };
    if faults.borrow().reset {
        return reset(&inbound);
    }
    let Ok(outbound) = TcpStream::connect(target).await else {
        return reset(&inbound);
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (from_client, to_client) = inbound.into_split();
    let (from_target, to_target) = outbound.into_split();
    let copy_to_target = copy_bytes(from_client, to_target, faults.clone(), move |faults| {
        faults.hold_to_target || is_silent(faults)
    });
    let copy_from_target = copy_bytes(from_target, to_client, faults.clone(), move |faults| {
        faults.hold_from_target || is_silent(faults)
    });
    tokio::select! {
        // A reset of one side ends both.
        _ = async { tokio::try_join!(copy_to_target, copy_from_target) } => {}
        _ = faults.wait_for(|faults| faults.reset) => {}
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    #[allow(deprecated)]
    let _ = stream.set_linger(Some(Duration::ZERO));
}

/// Copies bytes until `from` ends. An error of `from` is passed on as a reset.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: FaultWatch,
    is_held: impl Fn(&ProxyFaults) -> bool,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) => return to.shutdown().await,
            Ok(count) => count,
            Err(error) => {
                reset(to.as_ref());
                // A dropped half would end the stream regularly before the reset.
                to.forget();
                return Err(error);
            }
        };
        if faults.wait_for(|faults| !is_held(faults)).await.is_err() {
            return Ok(());
        }
        let delay_ms = faults.borrow().delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Forwards datagrams to the target; nothing is forwarded back.
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
