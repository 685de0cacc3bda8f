//! A request that a fake upstream received, and how it is read.

use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// A request that the fake upstream received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request line.
    pub request_line: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When the head had been read.
    pub received_at: Instant,
}

impl ReceivedRequest {
    /// Reads a request; returns `None` if the connection ends before it is complete.
    pub async fn read(stream: &mut TcpStream) -> Option<Self> {
        let (mut request, length) = read_head(stream).await?;
        read_body(stream, &mut request.body, length).await?;
        Some(request)
    }

    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads a request head and the part of the body that arrived with it. Returns the
/// content length as well.
pub(super) async fn read_head(stream: &mut TcpStream) -> Option<(ReceivedRequest, usize)> {
    let mut bytes = Vec::new();
    let end = loop {
        let mut chunk = [0; 4096];
        let read = stream.read(&mut chunk).await.ok()?;
        if read == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..read]);
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let line = lines.next()?.to_owned();
    let headers = lines.filter_map(|line| line.split_once(": "));
    let headers: Vec<(String, String)> = headers
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.and_then(|(_, text)| text.parse().ok()).unwrap_or(0);
    let body = bytes.split_off(end);
    let request = ReceivedRequest {
        request_line: line,
        headers,
        body,
        received_at: Instant::now(),
    };
    Some((request, length))
}

/// Reads until the body is complete; returns `None` if the connection ends first.
pub(super) async fn read_body(
    stream: &mut TcpStream,
    body: &mut Vec<u8>,
    length: usize,
) -> Option<()> {
    while body.len() < length {
        let mut chunk = [0; 4096];
        let read = stream.read(&mut chunk).await.ok()?;
        if read == 0 {
            return None;
        }
        body.extend_from_slice(&chunk[..read]);
    }
    Some(())
}
