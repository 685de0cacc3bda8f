//! Requests that end a fake upstream.

use super::event_stream::wait_unless_closed;
use super::headers;
use super::received_request::ReceivedRequest;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How long a fake upstream that has crashed refuses connections.
pub const DOWNTIME: Duration = Duration::from_millis(1_500);
/// The time between the head of a response and the crash.
const WRITING_TIME: Duration = Duration::from_millis(60);

/// A part of prompts that ends each upstream which begins to write an answer on it.
#[derive(Clone, Debug)]
pub struct CrashFault {
    /// The identifier of the part.
    pub part: String,
    /// How long the upstream reads the prompt before it begins.
    pub prefill: Duration,
    /// Whether the head of the response is sent before the end.
    pub sends_head: bool,
}

impl CrashFault {
    /// Creates a fault of a part whose responses begin at once, with a head.
    pub fn new(part: &str) -> Self {
        CrashFault {
            part: part.to_owned(),
            prefill: Duration::from_millis(200),
            sends_head: true,
        }
    }

    /// Reports whether a request ends the upstream.
    pub fn is_hit_by(&self, request: &ReceivedRequest) -> bool {
        let parts = request.header(headers::PROMPT_PARTS).unwrap_or("");
        let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
        ids.any(|id| id == self.part)
    }

    /// Begins the response; fails if the client closes the connection first.
    pub(super) async fn begin(
        &self,
        stream: &mut TcpStream,
        request: &ReceivedRequest,
    ) -> std::io::Result<()> {
        wait_unless_closed(stream, self.prefill).await?;
        if self.sends_head {
            let id = request.header("x-attempt-id").unwrap_or("none");
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: sig-{id}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await?;
        }
        wait_unless_closed(stream, WRITING_TIME).await
    }
}
