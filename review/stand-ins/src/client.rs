//! A consumer.

use crate::http::{read_body, read_chunk, read_head, Message};
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

/// A connection that is kept for several requests.
pub struct Connection {
    record: Record,
    to: SocketAddr,
    reader: Option<BufReader<TcpStream>>,
}

impl Connection {
    /// Connects; a failure shows as requests without an answer.
    pub fn open(record: &Record, to: SocketAddr) -> Connection {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok();
        if let Some(stream) = &stream {
            let _ = stream.set_nodelay(true);
        }
        Connection {
            record: record.clone(),
            to,
            reader: stream.map(BufReader::new),
        }
    }

    /// Sends a request and reads the answer; `headers` are whole lines that are added.
    pub fn send(&mut self, method: &str, path: &str, headers: &str, time_limit_ms: u64) -> Answer {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:x}{number:08x}", std::process::id());
        let body = match method {
            "GET" => "",
            _ => "{\"n\":1}",
        };
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Remaining: {time_limit_ms}\r\nAuthorization: Token {KEY}\r\n\
             {headers}Content-Length: {length}\r\n\r\n{body}"
        );
        let to = self.to;
        let text = format!("consumer: {method} {path} {id} is sent to {to}");
        let mut answer = Answer {
            sent_at: self.record.note(&text),
            id,
            response: None,
            is_complete: false,
        };
        if let Some(reader) = &mut self.reader {
            let limit = Duration::from_millis(time_limit_ms + 1_000);
            let _ = reader.get_ref().set_read_timeout(Some(limit));
            if reader.get_mut().write_all(request.as_bytes()).is_ok() {
                read_answer(reader, &mut answer);
            }
        }
        let end = match answer.is_complete {
            true => "",
            false => ", and the connection ended before the answer was complete",
        };
        let (id, status) = (&answer.id, answer.status());
        self.record
            .note(&format!("consumer: {id} is answered {status}{end}"));
        answer
    }
}

/// Reads a response; the body is kept as far as it arrives.
fn read_answer(reader: &mut BufReader<TcpStream>, answer: &mut Answer) {
    let Ok(Some(mut response)) = read_head(reader) else {
        return;
    };
    if response.header("transfer-encoding").is_none() {
        answer.is_complete = read_body(reader, &mut response).is_ok();
        answer.response = Some(response);
        return;
    }
    while let Ok(chunk) = read_chunk(reader) {
        if chunk.is_empty() {
            answer.is_complete = true;
            break;
        }
        response.body.extend(chunk);
    }
    answer.response = Some(response);
}

/// Sends a request on a connection of its own.
pub fn send(
    record: &Record,
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    time_limit_ms: u64,
) -> Answer {
    let headers = format!("{headers}Connection: close\r\n");
    Connection::open(record, to).send(method, path, &headers, time_limit_ms)
}
