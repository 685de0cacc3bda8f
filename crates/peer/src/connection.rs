//! Requests to other VMs and their replies, over TCP.

use crate::codec::{PeerCodec, PeerError, PeerKey};
use crate::wire::{PeerBody, PeerFrame};
use futures::{SinkExt, StreamExt};
use skylarkshed_core::ClockTime;
use std::collections::HashMap;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;

const CONNECT_TIMEOUT: ClockTime = ClockTime::from_millis(500);
/// The delay after a connection could not be accepted, for lack of descriptors as a rule.
const ACCEPT_RETRY_DELAY: ClockTime = ClockTime::from_millis(20);
const MAX_QUEUED_FRAMES: usize = 256;

/// Handles the requests of other VMs.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Handles a request and returns the reply.
    fn handle(&self, body: PeerBody) -> impl Future<Output = PeerBody> + Send;
}

/// Accepts and serves connections of other VMs until the process exits.
///
/// A connection with a malformed frame or a wrong authentication code is closed;
/// `on_error` gets the error, or the one of a connection that could not be accepted.
pub async fn serve_peers<H: PeerHandler>(
    listener: TcpListener,
    key: PeerKey,
    handler: H,
    on_error: fn(&PeerError),
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                on_error(&error.into());
                tokio::time::sleep(ACCEPT_RETRY_DELAY.to_duration()).await;
                continue;
            }
        };
        let (key, handler) = (key.clone(), handler.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_connection(stream, key, handler).await {
                on_error(&error);
            }
        });
    }
}

async fn serve_connection<H: PeerHandler>(
    stream: TcpStream,
    key: PeerKey,
    handler: H,
) -> Result<(), PeerError> {
    stream.set_nodelay(true)?;
    let (mut sink, mut frames) = Framed::new(stream, PeerCodec::new(key)).split();
    let (frame_tx, mut replies) = mpsc::channel::<PeerFrame>(MAX_QUEUED_FRAMES);
    tokio::spawn(async move {
        while let Some(frame) = replies.recv().await {
            if sink.send(frame).await.is_err() {
                return;
            }
        }
    });
    while let Some(frame) = frames.next().await {
        let frame = frame?;
        let Some(body) = frame.body else { continue };
        let (handler, frame_tx) = (handler.clone(), frame_tx.clone());
        tokio::spawn(async move {
            let body = Some(handler.handle(body).await);
            // The connection may be closed; then the requester treats the reply as lost.
            let _ = frame_tx
                .send(PeerFrame {
                    request: frame.request,
                    body,
                })
                .await;
        });
    }
    Ok(())
}

type PendingReplies = Arc<Mutex<HashMap<u64, oneshot::Sender<PeerBody>>>>;

#[derive(Clone)]
struct PeerConnection {
    frame_tx: mpsc::Sender<PeerFrame>,
    pending: PendingReplies,
}

/// Sends requests to other VMs, over one connection to each.
#[derive(Clone)]
pub struct PeerClient {
    key: PeerKey,
    local_ip: IpAddr,
    connections: Arc<Mutex<HashMap<SocketAddr, PeerConnection>>>,
    next_request: Arc<std::sync::atomic::AtomicU64>,
}

impl PeerClient {
    /// Creates a client that connects from the IP address `local_ip`.
    pub fn new(key: PeerKey, local_ip: IpAddr) -> Self {
        PeerClient {
            key,
            local_ip,
            connections: Arc::default(),
            next_request: Arc::default(),
        }
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    ///
    /// [`PeerError::Unreachable`] means that nothing was sent. After any other
    /// error the VM may have handled the request.
    pub async fn request(
        &self,
        address: SocketAddr,
        body: PeerBody,
        timeout: ClockTime,
    ) -> Result<PeerBody, PeerError> {
        let connection = self.connection(address).await?;
        let request = self
            .next_request
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let (reply_tx, reply) = oneshot::channel();
        connection
            .pending
            .lock()
            .expect("not poisoned")
            .insert(request, reply_tx);
        let frame = PeerFrame {
            request,
            body: Some(body),
        };
        let exchange = async {
            let closed = || PeerError::Broken(std::io::ErrorKind::BrokenPipe.into());
            connection
                .frame_tx
                .send(frame)
                .await
                .map_err(|_| closed())?;
            reply.await.map_err(|_| closed())
        };
        let result = tokio::time::timeout(timeout.to_duration(), exchange).await;
        let result = result.unwrap_or(Err(PeerError::Timeout));
        if result.is_err() {
            connection
                .pending
                .lock()
                .expect("not poisoned")
                .remove(&request);
            // The next request to this VM opens a new connection.
            self.connections
                .lock()
                .expect("not poisoned")
                .remove(&address);
        }
        result
    }

    async fn connection(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let existing = self
            .connections
            .lock()
            .expect("not poisoned")
            .get(&address)
            .cloned();
        if let Some(connection) = existing.filter(|connection| !connection.frame_tx.is_closed()) {
            return Ok(connection);
        }
        let connect =
            tokio::time::timeout(CONNECT_TIMEOUT.to_duration(), self.connect(address)).await;
        let stream = connect
            .ok()
            .and_then(Result::ok)
            .ok_or(PeerError::Unreachable)?;
        let connection = self.start_connection(stream);
        self.connections
            .lock()
            .expect("not poisoned")
            .insert(address, connection.clone());
        Ok(connection)
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        if self.local_ip.is_ipv4() == address.is_ipv4() {
            socket.bind(SocketAddr::new(self.local_ip, 0))?;
        }
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn start_connection(&self, stream: TcpStream) -> PeerConnection {
        let (mut sink, mut frames) = Framed::new(stream, PeerCodec::new(self.key.clone())).split();
        let (frame_tx, mut queue) = mpsc::channel::<PeerFrame>(MAX_QUEUED_FRAMES);
        let pending = PendingReplies::default();
        let shared_pending = pending.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    frame = queue.recv() => {
                        let Some(frame) = frame else { break };
                        if sink.send(frame).await.is_err() {
                            break;
                        }
                    }
                    frame = frames.next() => match frame {
                        Some(Ok(frame)) => deliver_reply(&shared_pending, frame),
                        _ => break,
                    },
                }
            }
            // Dropping the senders ends the pending requests with an error.
            shared_pending.lock().expect("not poisoned").clear();
        });
        PeerConnection { frame_tx, pending }
    }
}

fn deliver_reply(pending: &PendingReplies, frame: PeerFrame) {
    let reply_tx = pending.lock().expect("not poisoned").remove(&frame.request);
    if let Some((reply_tx, body)) = reply_tx.zip(frame.body) {
        // The requester may have stopped waiting.
        let _ = reply_tx.send(body);
    }
}
