//! Reads requests from a connection and sends scripted responses on it.

use super::event_stream::{reset, send_events, wait_unless_closed};
use super::scripted_response::{ScriptedResponse, StreamEnd, StreamScript};
use super::upstream::ReceivedRequest;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

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

/// Sends the scripted response; fails if the client closed the connection first.
pub(super) async fn send_response(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    response: &ScriptedResponse,
) -> std::io::Result<()> {
    let id = request.header("x-attempt-id").unwrap_or("none").to_owned();
    let signed = format!("X-Attempt-Id: {id}\r\nX-Server-Signature: sig-{id}\r\n");
    let respond = |status: u16, headers: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
    };
    let text = match response {
        ScriptedResponse::Status { status, delay } => {
            wait_unless_closed(stream, *delay).await?;
            respond(*status, &signed, "answer")
        }
        ScriptedResponse::BeforeBody => respond(200, &signed, "answer"),
        ScriptedResponse::LongBody { bytes } => respond(200, &signed, &"x".repeat(*bytes)),
        ScriptedResponse::Unsigned => respond(200, &format!("X-Attempt-Id: {id}\r\n"), "answer"),
        ScriptedResponse::WrongAttemptId => respond(
            200,
            "X-Attempt-Id: other\r\nX-Server-Signature: sig\r\n",
            "answer",
        ),
        ScriptedResponse::NotExecuted => respond(503, "X-Not-Executed: 1\r\n", ""),
        ScriptedResponse::WithHeader { status, header } => {
            let not_run = match status {
                503 => "X-Not-Executed: 1\r\n",
                _ => "",
            };
            let headers = format!("{signed}{not_run}{header}\r\n");
            respond(*status, &headers, "answer")
        }
        ScriptedResponse::Misdirected => respond(421, "X-Instance-Id: other\r\n", ""),
        ScriptedResponse::Truncated => {
            let text = format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: 100\r\n\r\nonly");
            stream.write_all(text.as_bytes()).await?;
            return stream.shutdown().await;
        }
        ScriptedResponse::StalledBody { status } => {
            let text = format!("HTTP/1.1 {status} Status\r\n{signed}Content-Length: 9\r\n\r\nhalf");
            stream.write_all(text.as_bytes()).await?;
            return wait_unless_closed(stream, Duration::from_secs(600)).await;
        }
        ScriptedResponse::NoContentLength => format!("HTTP/1.1 200 OK\r\n{signed}\r\nanswer"),
        ScriptedResponse::Duplicated => respond(200, &signed, "answer").repeat(2),
        ScriptedResponse::Unparsable => "\0\0 no response\r\n\r\n".to_owned(),
        ScriptedResponse::Reset => return reset(stream),
        ScriptedResponse::NoResponse => {
            return wait_unless_closed(stream, Duration::from_secs(600)).await
        }
        ScriptedResponse::Endless(endless) => return endless.send(stream, &signed).await,
        ScriptedResponse::Stream(script) => {
            return send_events(stream, request, &signed, script).await
        }
        ScriptedResponse::LateStream { delay, last_id } => {
            wait_unless_closed(stream, *delay).await?;
            let script = StreamScript {
                last_id: *last_id,
                interval: Duration::from_millis(5),
                end: StreamEnd::Complete,
            };
            return send_events(stream, request, &signed, &script).await;
        }
    };
    stream.write_all(text.as_bytes()).await
}
