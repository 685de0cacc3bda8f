//! A consumer: sends one request on a new connection and reads the answer.

use crate::http::{read_body, read_head, Message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

pub const HOST: &str = "stock.example";
pub const KEY: &str = "depot-key";

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request and what became of it.
pub struct Answer {
    pub id: String,
    pub sent_at: u64,
    /// The response; without one the connection ended first.
    pub response: Option<Message>,
    /// Whether the response arrived completely.
    pub is_complete: bool,
}

impl Answer {
    /// Returns the status; 0 without a response.
    pub fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, Message::status)
    }
}

/// Sends a request; `headers` are whole lines that are added.
pub fn send(
    record: &Record,
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    time_limit_ms: u64,
) -> Answer {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let id = format!("{:x}{number:08x}", std::process::id());
    let body = if method == "GET" { "" } else { "{\"n\":1}" };
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Remaining: {time_limit_ms}\r\nAuthorization: Token {KEY}\r\n\
         {headers}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    let sent_at = record.note(&format!("consumer: {method} {path} {id} is sent to {to}"));
    let mut answer = Answer {
        id,
        sent_at,
        response: None,
        is_complete: false,
    };
    let limit = Duration::from_millis(time_limit_ms + 1_000);
    let connected = TcpStream::connect_timeout(&to, Duration::from_secs(1));
    if let Ok(mut stream) = connected {
        let _ = stream.set_read_timeout(Some(limit));
        let _ = stream.set_nodelay(true);
        if stream.write_all(request.as_bytes()).is_ok() {
            let mut reader = BufReader::new(stream);
            if let Ok(Some(mut response)) = read_head(&mut reader) {
                answer.is_complete = read_body(&mut reader, &mut response).is_ok();
                answer.response = Some(response);
            }
        }
    }
    record.note(&format!(
        "consumer: {} is answered {}{}",
        answer.id,
        answer.status(),
        if answer.is_complete {
            ""
        } else {
            ", not complete"
        }
    ));
    answer
}
