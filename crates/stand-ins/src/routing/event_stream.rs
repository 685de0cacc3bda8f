//! The event streams of a fake upstream.

use super::received_request::ReceivedRequest;
use super::scripted_response::{StreamEnd, StreamScript, UnframedEnd};
use std::ops::RangeInclusive;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends the events that the request lacks; fails if the client closes the connection.
pub(super) async fn send_events(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    signed: &str,
    script: &StreamScript,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let after = request.header("last-event-id");
    let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
    send_pieces(stream, after + 1..=script.last_id, script).await?;
    match script.end {
        StreamEnd::Complete => stream.write_all(b"0\r\n\r\n").await,
        StreamEnd::Pause { pause, last_id } => {
            wait_unless_closed(stream, pause).await?;
            let rest = script.last_id.max(after) + 1..=last_id;
            send_pieces(stream, rest, script).await?;
            stream.write_all(b"0\r\n\r\n").await
        }
        StreamEnd::Commented => {
            stream
                .write_all(b"4\r\n: x\n\r\n1\r\n\n\r\n0\r\n\r\n")
                .await
        }
        StreamEnd::Stall => wait_unless_closed(stream, Duration::from_secs(600)).await,
        StreamEnd::Trickle => repeat_slowly(stream, b"1\r\n:\r\n").await,
        StreamEnd::Comments => repeat_slowly(stream, b"3\r\n:\n\n\r\n").await,
        StreamEnd::Reset => {
            // The events must arrive before the reset discards them.
            wait_unless_closed(stream, Duration::from_millis(50)).await?;
            reset(stream)
        }
        StreamEnd::ResetMidEvent => {
            let next = script.last_id + 1;
            let part = format!("id: {next}\nda");
            let chunk = format!("{:x}\r\n{part}\r\n", part.len());
            stream.write_all(chunk.as_bytes()).await?;
            wait_unless_closed(stream, Duration::from_millis(50)).await?;
            reset(stream)
        }
    }
}

/// Sends the events that the request lacks without a length or chunks.
pub(super) async fn send_unframed(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    signed: &str,
    last_id: u64,
    end: UnframedEnd,
) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let after = request.header("last-event-id");
    let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
    for id in after + 1..=last_id {
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        stream.write_all(event.as_bytes()).await?;
    }
    if end == UnframedEnd::ClosedMidEvent {
        let part = format!("id: {}\nda", last_id + 1);
        stream.write_all(part.as_bytes()).await?;
    }
    if end == UnframedEnd::Reset {
        // The events must arrive before the reset discards them.
        wait_unless_closed(stream, Duration::from_millis(50)).await?;
        return reset(stream);
    }
    if end == UnframedEnd::Open {
        return wait_unless_closed(stream, Duration::from_secs(600)).await;
    }
    Ok(())
}

async fn send_pieces(
    stream: &mut TcpStream,
    ids: RangeInclusive<u64>,
    script: &StreamScript,
) -> std::io::Result<()> {
    for id in ids {
        wait_unless_closed(stream, script.interval).await?;
        let comment = match script.end {
            StreamEnd::Commented => ": comment\n\n",
            _ => "",
        };
        let event = format!("{comment}id: {id}\ndata: piece {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
    }
    Ok(())
}

/// Sends the same bytes every 50 ms until the client closes the connection.
async fn repeat_slowly(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    loop {
        stream.write_all(bytes).await?;
        wait_unless_closed(stream, Duration::from_millis(50)).await?;
    }
}

/// Makes the connection end with a reset when it is dropped.
pub(super) fn reset(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_zero_linger()
}

/// Waits for `duration`; fails as soon as the client closes the connection.
pub(super) async fn wait_unless_closed(
    stream: &mut TcpStream,
    duration: Duration,
) -> std::io::Result<()> {
    let mut byte = [0; 1];
    match tokio::time::timeout(duration, stream.read(&mut byte)).await {
        Err(_) => Ok(()),
        Ok(_) => Err(std::io::ErrorKind::ConnectionAborted.into()),
    }
}
