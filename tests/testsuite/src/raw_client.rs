//! An HTTP client that sends raw bytes and reports whether a response is complete.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// A test fails if a response does not arrive within this time.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A response as it was received.
#[derive(Clone, Debug)]
pub struct RawResponse {
    /// The status code.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body without its framing.
    pub body: String,
    /// Whether the body was received completely.
    pub is_complete: bool,
}

impl RawResponse {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the ids of the events in the body.
    pub fn event_ids(&self) -> Vec<u64> {
        let lines = self.body.lines();
        let ids = lines.filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// A client connection.
#[derive(Debug)]
pub struct RawClient {
    stream: TcpStream,
    received: Vec<u8>,
    read_pause: Duration,
}

impl RawClient {
    /// Connects to a VM.
    ///
    /// # Panics
    ///
    /// Panics if the VM refuses the connection.
    pub async fn connect(address: SocketAddr) -> Self {
        let client = Self::try_connect(address).await;
        client.expect("the VM listens")
    }

    /// Connects to a VM; returns `None` if it refuses the connection.
    pub async fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        Some(RawClient {
            stream,
            received: Vec::new(),
            read_pause: Duration::ZERO,
        })
    }

    /// Connects to a VM with a receive buffer of a few kilobytes.
    ///
    /// # Panics
    ///
    /// Panics if the VM refuses the connection.
    pub async fn connect_with_small_buffer(address: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().expect("a descriptor is free");
        socket
            .set_recv_buffer_size(4_096)
            .expect("the size is allowed");
        let stream = socket.connect(address).await.expect("the VM listens");
        RawClient {
            stream,
            received: Vec::new(),
            read_pause: Duration::ZERO,
        }
    }

    /// Sends raw bytes; returns false if the connection is closed.
    pub async fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Sends raw bytes.
    ///
    /// # Panics
    ///
    /// Panics if the connection is closed.
    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream
            .write_all(bytes)
            .await
            .expect("the connection is open");
    }

    /// Reads a response, or returns none if the connection is closed first.
    pub async fn read_response(&mut self) -> Option<RawResponse> {
        let reading = self.parse_response();
        tokio::time::timeout(RESPONSE_TIMEOUT, reading)
            .await
            .expect("the response arrives in time")
    }

    /// Waits until a text has been received.
    ///
    /// # Panics
    ///
    /// Panics if the connection is closed first.
    pub async fn wait_for_text(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.received).contains(text) {
            assert!(self.read_more().await, "the connection ended before {text}");
        }
    }

    /// Waits until the VM closes the connection.
    pub async fn wait_for_close(&mut self) {
        let closing = async { while self.read_more().await {} };
        tokio::time::timeout(RESPONSE_TIMEOUT, closing)
            .await
            .expect("the connection is closed in time");
    }

    /// Reads a response with a pause before each read of a few kilobytes.
    pub async fn read_response_slowly(&mut self, pause: Duration) -> Option<RawResponse> {
        self.read_pause = pause;
        self.read_response().await
    }

    /// Waits until the VM closes the connection.
    ///
    /// # Panics
    ///
    /// Panics if the connection is reset.
    pub async fn wait_for_close_without_reset(&mut self) {
        let mut rest = Vec::new();
        let reading = self.stream.read_to_end(&mut rest);
        let read = tokio::time::timeout(RESPONSE_TIMEOUT, reading).await;
        read.expect("the connection is closed in time")
            .expect("the connection is not reset");
    }

    async fn read_more(&mut self) -> bool {
        if !self.read_pause.is_zero() {
            tokio::time::sleep(self.read_pause).await;
        }
        let mut part = [0; 4096];
        let read = tokio::time::timeout(RESPONSE_TIMEOUT, self.stream.read(&mut part)).await;
        let read = read.expect("data or the end arrives in time").unwrap_or(0);
        self.received.extend_from_slice(&part[..read]);
        read > 0
    }

    async fn parse_response(&mut self) -> Option<RawResponse> {
        let end = loop {
            let end = self
                .received
                .windows(4)
                .position(|part| part == b"\r\n\r\n");
            if let Some(end) = end {
                break end + 4;
            }
            if !self.read_more().await {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.received[..end]).into_owned();
        self.received.drain(..end);
        let mut lines = head.split("\r\n");
        let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers: Vec<(String, String)> = headers
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let find = |name: &str| headers.iter().find(|(other, _)| other == name);
        let is_chunked = find("transfer-encoding").is_some();
        let length = find("content-length").and_then(|(_, text)| text.parse().ok());
        let (body, is_complete) = match is_chunked {
            true => self.read_chunks().await,
            false => self.read_bytes(length.unwrap_or(0)).await,
        };
        Some(RawResponse {
            status,
            headers,
            body: String::from_utf8_lossy(&body).into_owned(),
            is_complete,
        })
    }

    async fn read_bytes(&mut self, length: usize) -> (Vec<u8>, bool) {
        while self.received.len() < length {
            if !self.read_more().await {
                return (std::mem::take(&mut self.received), false);
            }
        }
        (self.received.drain(..length).collect(), true)
    }

    async fn read_chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let Some(line) = self.read_line().await else {
                return (body, false);
            };
            let size =
                usize::from_str_radix(line.trim(), 16).expect("the chunk size is hexadecimal");
            let (chunk, is_complete) = self.read_bytes(size + 2).await;
            if !is_complete {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    async fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.received.windows(2).position(|part| part == b"\r\n") {
                let line: Vec<u8> = self.received.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line).into_owned());
            }
            if !self.read_more().await {
                return None;
            }
        }
    }
}
