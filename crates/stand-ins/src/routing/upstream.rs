//! An upstream that reacts by script and remembers what it heard.

use super::scripted_response::{ScriptedResponse, StreamEnd, StreamScript};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A request that an upstream read.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request line.
    pub request_line: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }
}

#[derive(Debug)]
struct UpstreamState {
    name: String,
    script: VecDeque<ScriptedResponse>,
    usual: ScriptedResponse,
    heard: Vec<ReceivedRequest>,
    /// Copies that were ordered: the request and where its memory went.
    copies: Vec<String>,
}

/// An upstream that runs until it is dropped or stopped.
#[derive(Debug)]
pub struct FakeUpstream {
    address: SocketAddr,
    state: Arc<Mutex<UpstreamState>>,
    heard: watch::Sender<usize>,
    closed: watch::Sender<usize>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for FakeUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Clone)]
struct UpstreamShared {
    state: Arc<Mutex<UpstreamState>>,
    heard: watch::Sender<usize>,
    closed: watch::Sender<usize>,
}

impl UpstreamShared {
    /// Tells whether the next request is to be answered before its body is read.
    fn take_early(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_early = matches!(state.script.front(), Some(ScriptedResponse::BeforeBody));
        if is_early {
            state.script.pop_front();
        }
        is_early
    }
}

impl FakeUpstream {
    /// Starts an upstream on a free port; it answers with a success.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let state = Arc::new(Mutex::new(UpstreamState {
            name: name.to_owned(),
            script: VecDeque::new(),
            usual: ScriptedResponse::success(),
            heard: Vec::new(),
            copies: Vec::new(),
        }));
        let (heard, _) = watch::channel(0);
        let (closed, _) = watch::channel(0);
        let shared = UpstreamShared {
            state: state.clone(),
            heard: heard.clone(),
            closed: closed.clone(),
        };
        let task = tokio::spawn(serve(listener, shared));
        FakeUpstream {
            address,
            state,
            heard,
            closed,
            task,
        }
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the name of this run of the upstream.
    pub fn name(&self) -> String {
        self.lock().name.clone()
    }

    /// Adds a reaction for the next request that has none yet.
    pub fn enqueue_response(&self, reaction: ScriptedResponse) {
        self.lock().script.push_back(reaction);
    }

    /// Sets the reaction to requests beyond the script.
    pub fn set_default_response(&self, reaction: ScriptedResponse) {
        self.lock().usual = reaction;
    }

    /// Returns the requests read so far.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.lock().heard.clone()
    }

    /// Returns the orders to copy an answer's memory.
    pub fn kv_move_requests(&self) -> Vec<String> {
        self.lock().copies.clone()
    }

    /// Waits until so many requests were read.
    pub async fn wait_for_requests(&self, count: usize) {
        let mut heard = self.heard.subscribe();
        // The sender lives as long as `self`.
        let _ = heard.wait_for(|seen| *seen >= count).await;
    }

    /// Waits until so many of its callers closed a connection before the end.
    pub async fn wait_for_client_closes(&self, count: usize) {
        let mut closed = self.closed.subscribe();
        let _ = closed.wait_for(|seen| *seen >= count).await;
    }

    /// Stops listening; the port refuses connections.
    pub fn stop(&self) {
        self.task.abort();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, UpstreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn serve(listener: TcpListener, shared: UpstreamShared) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, shared.clone()));
    }
}

async fn serve_connection(mut stream: TcpStream, shared: UpstreamShared) {
    let Some((mut request, length)) = read_head(&mut stream).await else {
        return;
    };
    if shared.take_early() {
        return answer_early(&mut stream, request, length, &shared).await;
    }
    if read_body(&mut stream, &mut request.body, length)
        .await
        .is_none()
    {
        return;
    }
    if let Some(reply) = engine_call(&request, &shared) {
        // The caller sees that its connection broke.
        let _ = stream.write_all(reply.as_bytes()).await;
        return;
    }
    let (reaction, name) = {
        let mut state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.heard.push(request.clone());
        let reaction = state.script.pop_front();
        let reaction = reaction.unwrap_or_else(|| state.usual.clone());
        (reaction, state.name.clone())
    };
    shared.heard.send_modify(|count| *count += 1);
    let is_misdirected = request
        .header("x-expected-instance")
        .is_some_and(|expected| expected != name);
    let reaction = match is_misdirected {
        true => ScriptedResponse::Misdirected,
        false => reaction,
    };
    if react(&mut stream, &request, &reaction).await.is_err() {
        shared.closed.send_modify(|count| *count += 1);
    }
}

/// Answers, then reads whatever the caller sends as the rest of the body.
async fn answer_early(
    stream: &mut TcpStream,
    mut request: ReceivedRequest,
    length: usize,
    shared: &UpstreamShared,
) {
    if react(stream, &request, &ScriptedResponse::BeforeBody)
        .await
        .is_err()
    {
        return;
    }
    // A caller may close instead of sending the rest.
    let _ = read_body(stream, &mut request.body, length).await;
    let mut state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
    state.heard.push(request);
    drop(state);
    shared.heard.send_modify(|count| *count += 1);
}

/// Answers the calls that are no requests of callers.
fn engine_call(request: &ReceivedRequest, shared: &UpstreamShared) -> Option<String> {
    let mut state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
    let body = if request.request_line.starts_with("GET /-/report") {
        r#"{"waiting":0,"running":0,"runs":[]}"#
    } else if request.request_line.starts_with("POST /-/kv-move") {
        state
            .copies
            .push(String::from_utf8_lossy(&request.body).into_owned());
        r#"{"handle":"h-1","created":1}"#
    } else if request.request_line.starts_with("DELETE /-/") {
        "{}"
    } else {
        return None;
    };
    let length = body.len();
    Some(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
    ))
}

/// Reads a head and what came with it; returns the body's length as well.
async fn read_head(stream: &mut TcpStream) -> Option<(ReceivedRequest, usize)> {
    let mut bytes = Vec::new();
    let end = loop {
        let mut part = [0; 4096];
        let read = stream.read(&mut part).await.ok()?;
        if read == 0 {
            return None;
        }
        bytes.extend_from_slice(&part[..read]);
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
    };
    Some((request, length))
}

/// Reads until a body is whole; returns none if its connection ends first.
async fn read_body(stream: &mut TcpStream, body: &mut Vec<u8>, length: usize) -> Option<()> {
    while body.len() < length {
        let mut part = [0; 4096];
        let read = stream.read(&mut part).await.ok()?;
        if read == 0 {
            return None;
        }
        body.extend_from_slice(&part[..read]);
    }
    Some(())
}

/// Fails if the caller closed the connection first.
async fn react(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    reaction: &ScriptedResponse,
) -> std::io::Result<()> {
    let id = request.header("x-attempt-id").unwrap_or("none").to_owned();
    let signed = format!("X-Attempt-Id: {id}\r\nX-Server-Signature: sig-{id}\r\n");
    let whole = |status: u16, headers: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
    };
    let text = match reaction {
        ScriptedResponse::Status {
            status,
            delay: after,
        } => {
            wait_or_closed(stream, *after).await?;
            whole(*status, &signed, "answer")
        }
        ScriptedResponse::BeforeBody => whole(200, &signed, "answer"),
        ScriptedResponse::Unsigned => whole(200, &format!("X-Attempt-Id: {id}\r\n"), "answer"),
        ScriptedResponse::WrongAttemptId => whole(
            200,
            "X-Attempt-Id: other\r\nX-Server-Signature: sig\r\n",
            "answer",
        ),
        ScriptedResponse::NotExecuted => whole(503, "X-Not-Executed: 1\r\n", ""),
        ScriptedResponse::Misdirected => whole(421, "X-Instance-Id: other\r\n", ""),
        ScriptedResponse::Truncated => {
            let text = format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: 100\r\n\r\nonly");
            stream.write_all(text.as_bytes()).await?;
            return stream.shutdown().await;
        }
        ScriptedResponse::NoContentLength => format!("HTTP/1.1 200 OK\r\n{signed}\r\nanswer"),
        ScriptedResponse::Duplicated => whole(200, &signed, "answer").repeat(2),
        ScriptedResponse::Unparsable => "\0\0 no response\r\n\r\n".to_owned(),
        ScriptedResponse::Reset => return reset(stream),
        ScriptedResponse::Silent => return wait_or_closed(stream, Duration::from_secs(600)).await,
        ScriptedResponse::Stream(script) => {
            return send_events(stream, request, &signed, script).await
        }
    };
    stream.write_all(text.as_bytes()).await
}

async fn send_events(
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
    for id in after + 1..=script.last_id {
        wait_or_closed(stream, script.interval).await?;
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
    }
    match script.end {
        StreamEnd::Complete => stream.write_all(b"0\r\n\r\n").await,
        StreamEnd::Stall => wait_or_closed(stream, Duration::from_secs(600)).await,
        StreamEnd::Reset => {
            // What was sent has to arrive before the reset.
            wait_or_closed(stream, Duration::from_millis(50)).await?;
            reset(stream)
        }
        StreamEnd::ResetMidEvent => {
            let next = script.last_id + 1;
            let part = format!("id: {next}\nda");
            let chunk = format!("{:x}\r\n{part}\r\n", part.len());
            stream.write_all(chunk.as_bytes()).await?;
            wait_or_closed(stream, Duration::from_millis(50)).await?;
            reset(stream)
        }
    }
}

/// Makes the end of the connection a reset.
fn reset(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_zero_linger()
}

/// Waits, or fails as soon as the caller closes the connection.
async fn wait_or_closed(stream: &mut TcpStream, time: Duration) -> std::io::Result<()> {
    let mut byte = [0; 1];
    match tokio::time::timeout(time, stream.read(&mut byte)).await {
        Err(_) => Ok(()),
        Ok(_) => Err(std::io::ErrorKind::ConnectionAborted.into()),
    }
}
