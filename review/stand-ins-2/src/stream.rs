//! A stand-in for the consumer of a stream.

use crate::client::{connect, request};
use crate::config::KEY;
use crate::record::Record;
use std::fmt;
use std::net::SocketAddr;
use std::thread::JoinHandle;

const TIME_LIMIT_MS: u64 = 25_000;

/// What a consumer has received of a stream.
#[derive(Clone, Debug, Default)]
pub struct ReceivedStream {
    pub id: String,
    pub status: u16,
    /// The identifiers of the events.
    pub events: Vec<u64>,
    /// Why the stream was broken off; none if it ended as complete.
    pub problem: Option<String>,
}

impl ReceivedStream {
    /// Reports whether the stream looks complete to its consumer.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.problem.is_none()
    }
}

impl fmt::Display for ReceivedStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_in_order = self.events.windows(2).all(|pair| pair[1] == pair[0] + 1);
        let (id, status, count) = (&self.id, self.status, self.events.len());
        let end = match &self.problem {
            Some(problem) => format!("broken off: {problem}"),
            None => "ended as complete".to_owned(),
        };
        write!(
            formatter,
            "{id}: status {status}, {count} events, in order: {is_in_order}, {end}"
        )
    }
}

/// Sends a stream's request; the thread returns what was received.
pub fn start_consumer(
    record: &Record,
    gateway: SocketAddr,
    id: &str,
) -> JoinHandle<ReceivedStream> {
    let (record, id) = (record.clone(), id.to_owned());
    std::thread::spawn(move || {
        let mut received = ReceivedStream {
            id,
            ..ReceivedStream::default()
        };
        if let Err(error) = receive(&record, gateway, &mut received) {
            received.problem = Some(error.to_string());
        }
        received
    })
}

fn receive(
    record: &Record,
    gateway: SocketAddr,
    received: &mut ReceivedStream,
) -> std::io::Result<()> {
    let id = &received.id;
    let headers = format!(
        "X-Model: m\r\nX-Token-Usage: 8200,1120\r\nX-Prompt-Prefix: 5c1e07a2:200,{id}:8000\r\n"
    );
    let message = request("POST", "/letters/2f", id, TIME_LIMIT_MS, KEY, &headers);
    let mut connection = connect(gateway)?;
    record.write(format!("the consumer sends {id}"));
    connection.write(&message)?;
    let head = connection.read_head()?;
    received.status = head.map_or(0, |head| head.status());
    while let Some(chunk) = connection.read_chunk()? {
        let text = String::from_utf8_lossy(&chunk).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        received
            .events
            .extend(ids.filter_map(|id| id.parse::<u64>().ok()));
    }
    Ok(())
}
