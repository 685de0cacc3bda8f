//! Requests and replies between VMs over TCP.

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

const CONNECT_WAIT: ClockTime = ClockTime::from_millis(500);
const QUEUED_FRAMES: usize = 256;

/// Answers the requests of other VMs.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Does what a request asks for and returns the reply.
    fn handle(&self, body: PeerBody) -> impl Future<Output = PeerBody> + Send;
}

/// Accepts connections of other VMs for ever.
///
/// A connection with a malformed frame or a wrong code is closed; `on_error`
/// is told.
pub async fn serve_peers<H: PeerHandler>(
    listener: TcpListener,
    key: PeerKey,
    handler: H,
    on_error: fn(&PeerError),
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
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
    let (sender, mut replies) = mpsc::channel::<PeerFrame>(QUEUED_FRAMES);
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
        let (handler, sender) = (handler.clone(), sender.clone());
        tokio::spawn(async move {
            let body = Some(handler.handle(body).await);
            // The connection may be gone; then the asker sees a lost reply.
            let _ = sender
                .send(PeerFrame {
                    request: frame.request,
                    body,
                })
                .await;
        });
    }
    Ok(())
}

type Waiting = Arc<Mutex<HashMap<u64, oneshot::Sender<PeerBody>>>>;

#[derive(Clone)]
struct OpenConnection {
    sender: mpsc::Sender<PeerFrame>,
    waiting: Waiting,
}

/// Sends requests to other VMs, over one connection to each.
#[derive(Clone)]
pub struct PeerClient {
    key: PeerKey,
    source: IpAddr,
    open: Arc<Mutex<HashMap<SocketAddr, OpenConnection>>>,
    next_request: Arc<std::sync::atomic::AtomicU64>,
}

impl PeerClient {
    /// Makes a client that connects from the IP address `source`.
    pub fn new(key: PeerKey, source: IpAddr) -> Self {
        PeerClient {
            key,
            source,
            open: Arc::default(),
            next_request: Arc::default(),
        }
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    ///
    /// [`PeerError::Unreachable`] means that nothing was sent. After any other
    /// error the VM may have done what was asked.
    pub async fn request(
        &self,
        to: SocketAddr,
        body: PeerBody,
        timeout: ClockTime,
    ) -> Result<PeerBody, PeerError> {
        let connection = self.connection(to).await?;
        let request = self
            .next_request
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let (sender, reply) = oneshot::channel();
        connection
            .waiting
            .lock()
            .expect("not poisoned")
            .insert(request, sender);
        let frame = PeerFrame {
            request,
            body: Some(body),
        };
        let exchange = async {
            let closed = || PeerError::Broken(std::io::ErrorKind::BrokenPipe.into());
            connection.sender.send(frame).await.map_err(|_| closed())?;
            reply.await.map_err(|_| closed())
        };
        let result = tokio::time::timeout(timeout.to_duration(), exchange).await;
        let result = result.unwrap_or(Err(PeerError::Timeout));
        if result.is_err() {
            connection
                .waiting
                .lock()
                .expect("not poisoned")
                .remove(&request);
            self.open.lock().expect("not poisoned").remove(&to);
        }
        result
    }

    async fn connection(&self, to: SocketAddr) -> Result<OpenConnection, PeerError> {
        let known = self.open.lock().expect("not poisoned").get(&to).cloned();
        if let Some(connection) = known.filter(|connection| !connection.sender.is_closed()) {
            return Ok(connection);
        }
        let connect = tokio::time::timeout(CONNECT_WAIT.to_duration(), self.connect(to)).await;
        let stream = connect
            .ok()
            .and_then(Result::ok)
            .ok_or(PeerError::Unreachable)?;
        let connection = self.run(stream);
        self.open
            .lock()
            .expect("not poisoned")
            .insert(to, connection.clone());
        Ok(connection)
    }

    async fn connect(&self, to: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = if to.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        if self.source.is_ipv4() == to.is_ipv4() {
            socket.bind(SocketAddr::new(self.source, 0))?;
        }
        let stream = socket.connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn run(&self, stream: TcpStream) -> OpenConnection {
        let (mut sink, mut frames) = Framed::new(stream, PeerCodec::new(self.key.clone())).split();
        let (sender, mut queue) = mpsc::channel::<PeerFrame>(QUEUED_FRAMES);
        let waiting = Waiting::default();
        let readers = waiting.clone();
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
                        Some(Ok(frame)) => give(&readers, frame),
                        _ => break,
                    },
                }
            }
            // Whoever waits is told by the end of its channel.
            readers.lock().expect("not poisoned").clear();
        });
        OpenConnection { sender, waiting }
    }
}

fn give(waiting: &Waiting, frame: PeerFrame) {
    let reader = waiting.lock().expect("not poisoned").remove(&frame.request);
    if let Some((reader, body)) = reader.zip(frame.body) {
        // The asker may have stopped waiting.
        let _ = reader.send(body);
    }
}
