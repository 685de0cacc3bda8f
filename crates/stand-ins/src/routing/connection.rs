//! Sends scripted responses on a connection.

use super::event_stream::{reset, send_events, send_unframed, wait_unless_closed};
use super::received_request::ReceivedRequest;
use super::scripted_response::{ResponsePart, ScriptedResponse, StreamEnd, StreamScript};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The time between the last bytes of a response and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(20);

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
        ScriptedResponse::ResetBeforeBody { delay } => {
            let part = "id: 1\ndata: half\n\n";
            let text = format!("HTTP/1.1 200 OK\r\n{signed}\r\n{part}");
            stream.write_all(text.as_bytes()).await?;
            tokio::time::sleep(*delay).await;
            return reset(stream);
        }
        ScriptedResponse::StatusText(status) => {
            format!("HTTP/1.1 {status} Status\r\n{signed}Content-Length: 6\r\n\r\nanswer")
        }
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
        ScriptedResponse::RepeatedRefusal => {
            respond(503, "X-Attempt-Id: other\r\nX-Not-Executed: 1\r\n", "")
        }
        ScriptedResponse::UnframedStream { last_id, end } => {
            return send_unframed(stream, request, &signed, *last_id, *end).await
        }
        ScriptedResponse::Misdirected => respond(421, "X-Instance-Id: other\r\n", ""),
        ScriptedResponse::Truncated => {
            let text = format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: 100\r\n\r\nonly");
            stream.write_all(text.as_bytes()).await?;
            return stream.shutdown().await;
        }
        ScriptedResponse::Part { last, is_reset } => {
            return send_part(stream, &signed, *last, *is_reset).await
        }
        ScriptedResponse::StalledBody { status } => {
            let text = format!("HTTP/1.1 {status} Status\r\n{signed}Content-Length: 9\r\n\r\nhalf");
            stream.write_all(text.as_bytes()).await?;
            return wait_unless_closed(stream, Duration::from_secs(600)).await;
        }
        ScriptedResponse::NoContentLength => format!("HTTP/1.1 200 OK\r\n{signed}\r\nanswer"),
        ScriptedResponse::OpenBody => {
            let text = format!("HTTP/1.1 200 OK\r\n{signed}\r\nhalf");
            stream.write_all(text.as_bytes()).await?;
            return wait_unless_closed(stream, Duration::from_secs(600)).await;
        }
        ScriptedResponse::LatePart { delay } => {
            wait_unless_closed(stream, *delay).await?;
            return send_part(stream, &signed, ResponsePart::UnframedBody, false).await;
        }
        ScriptedResponse::SlowBody { pause } => {
            let text = format!("HTTP/1.1 200 OK\r\n{signed}\r\nans");
            stream.write_all(text.as_bytes()).await?;
            wait_unless_closed(stream, *pause).await?;
            stream.write_all(b"wer").await?;
            return stream.shutdown().await;
        }
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

/// Sends a response up to a part, and ends the connection.
async fn send_part(
    stream: &mut TcpStream,
    signed: &str,
    last: ResponsePart,
    is_reset: bool,
) -> std::io::Result<()> {
    let first_header = signed.split_inclusive("\r\n").next().unwrap_or_default();
    let status_line = "HTTP/1.1 200 OK\r\n";
    let text = match last {
        ResponsePart::HalfStatusLine => "HTTP/1.1 20".to_owned(),
        ResponsePart::StatusLine => status_line.to_owned(),
        ResponsePart::FirstHeader => format!("{status_line}{first_header}"),
        ResponsePart::HalfLastHeader => format!("{status_line}{signed}Content-Len"),
        ResponsePart::Headers => format!("{status_line}{signed}Content-Length: 6\r\n"),
        ResponsePart::Head => format!("{status_line}{signed}Content-Length: 6\r\n\r\n"),
        ResponsePart::UnframedBody => format!("{status_line}{signed}\r\nanswer"),
    };
    stream.write_all(text.as_bytes()).await?;
    if !is_reset {
        return stream.shutdown().await;
    }
    // The client reads the part before the reset.
    tokio::time::sleep(RESET_DELAY).await;
    reset(stream)
}
