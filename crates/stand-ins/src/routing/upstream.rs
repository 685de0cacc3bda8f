//! A fake upstream that sends scripted responses and records its requests.

use super::control_calls::ControlCalls;
use super::received_request::{read_body, read_head, ReceivedRequest};
use super::scripted_response::{ScriptedResponse, StreamEnd, StreamScript};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[derive(Debug)]
struct UpstreamState {
    name: String,
    script: VecDeque<ScriptedResponse>,
    default_response: ScriptedResponse,
    received: Vec<ReceivedRequest>,
    control: ControlCalls,
}

/// A fake upstream that runs until it is dropped or stopped.
#[derive(Debug)]
pub struct FakeUpstream {
    address: SocketAddr,
    state: Arc<Mutex<UpstreamState>>,
    received_count: watch::Sender<usize>,
    closed_count: watch::Sender<usize>,
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
    received_count: watch::Sender<usize>,
    closed_count: watch::Sender<usize>,
}

impl UpstreamShared {
    fn lock(&self) -> std::sync::MutexGuard<'_, UpstreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes the next scripted response if it is [`ScriptedResponse::BeforeBody`], and
    /// reports whether it did.
    fn take_before_body(&self) -> bool {
        let mut state = self.lock();
        let is_before_body = matches!(state.script.front(), Some(ScriptedResponse::BeforeBody));
        if is_before_body {
            state.script.pop_front();
        }
        is_before_body
    }
}

impl FakeUpstream {
    /// Starts an upstream on a free port; it responds with status 200 by default.
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
            default_response: ScriptedResponse::success(),
            received: Vec::new(),
            control: ControlCalls::default(),
        }));
        let (received_count, _) = watch::channel(0);
        let (closed_count, _) = watch::channel(0);
        let shared = UpstreamShared {
            state: state.clone(),
            received_count: received_count.clone(),
            closed_count: closed_count.clone(),
        };
        let task = tokio::spawn(serve(listener, shared));
        FakeUpstream {
            address,
            state,
            received_count,
            closed_count,
            task,
        }
    }

    /// Returns the address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the upstream's instance name.
    pub fn name(&self) -> String {
        self.lock().name.clone()
    }

    /// Adds a response to the end of the script.
    pub fn enqueue_response(&self, response: ScriptedResponse) {
        self.lock().script.push_back(response);
    }

    /// Sets the response to requests after the end of the script.
    pub fn set_default_response(&self, response: ScriptedResponse) {
        self.lock().default_response = response;
    }

    /// Returns the requests received so far.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.lock().received.clone()
    }

    /// Returns the bodies of the requests to copy a KV cache.
    pub fn kv_move_requests(&self) -> Vec<String> {
        self.lock().control.kv_move_requests.clone()
    }

    /// Sets the parts of prompts in the KV cache.
    pub fn set_cached_parts(&self, parts: &[&str]) {
        let parts = parts.iter().map(|part| (*part).to_owned());
        self.lock().control.cached_parts = parts.collect();
    }

    /// Waits until `count` requests have been received.
    pub async fn wait_for_requests(&self, count: usize) {
        let mut received_count = self.received_count.subscribe();
        // `self` owns the sender, so this can't fail.
        let _ = received_count.wait_for(|seen| *seen >= count).await;
    }

    /// Waits until `count` connections have been closed by the client while the response was
    /// incomplete.
    pub async fn wait_for_client_closes(&self, count: usize) {
        let mut closed_count = self.closed_count.subscribe();
        let _ = closed_count.wait_for(|seen| *seen >= count).await;
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
    if shared.take_before_body() {
        return respond_before_body(&mut stream, request, length, &shared).await;
    }
    if read_body(&mut stream, &mut request.body, length)
        .await
        .is_none()
    {
        return;
    }
    let reply = shared.lock().control.respond(&request);
    if let Some(reply) = reply {
        // The client sees the broken connection.
        let _ = stream.write_all(reply.as_bytes()).await;
        return;
    }
    let (response, name) = {
        let mut state = shared.lock();
        state.received.push(request.clone());
        let response = state.script.pop_front();
        let response = response.unwrap_or_else(|| state.default_response.clone());
        (response, state.name.clone())
    };
    shared.received_count.send_modify(|count| *count += 1);
    let is_misdirected = request
        .header("x-expected-instance")
        .is_some_and(|expected| expected != name);
    let response = match is_misdirected {
        true => ScriptedResponse::Misdirected,
        false => response,
    };
    if send_response(&mut stream, &request, &response)
        .await
        .is_err()
    {
        shared.closed_count.send_modify(|count| *count += 1);
    }
}

/// Responds, then reads the part of the body that the client still sends.
async fn respond_before_body(
    stream: &mut TcpStream,
    mut request: ReceivedRequest,
    length: usize,
    shared: &UpstreamShared,
) {
    if send_response(stream, &request, &ScriptedResponse::BeforeBody)
        .await
        .is_err()
    {
        return;
    }
    // The client may close the connection instead of sending the rest.
    let _ = read_body(stream, &mut request.body, length).await;
    let mut state = shared.lock();
    state.received.push(request);
    drop(state);
    shared.received_count.send_modify(|count| *count += 1);
}

/// Sends the scripted response; fails if the client closed the connection first.
async fn send_response(
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
        ScriptedResponse::NoContentLength => format!("HTTP/1.1 200 OK\r\n{signed}\r\nanswer"),
        ScriptedResponse::Duplicated => respond(200, &signed, "answer").repeat(2),
        ScriptedResponse::Unparsable => "\0\0 no response\r\n\r\n".to_owned(),
        ScriptedResponse::Reset => return reset(stream),
        ScriptedResponse::NoResponse => {
            return wait_unless_closed(stream, Duration::from_secs(600)).await
        }
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
        wait_unless_closed(stream, script.interval).await?;
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
    }
    match script.end {
        StreamEnd::Complete => stream.write_all(b"0\r\n\r\n").await,
        StreamEnd::Stall => wait_unless_closed(stream, Duration::from_secs(600)).await,
        StreamEnd::Trickle => loop {
            stream.write_all(b"1\r\n:\r\n").await?;
            wait_unless_closed(stream, Duration::from_millis(50)).await?;
        },
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

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_zero_linger()
}

/// Waits for `duration`; fails as soon as the client closes the connection.
async fn wait_unless_closed(stream: &mut TcpStream, duration: Duration) -> std::io::Result<()> {
    let mut byte = [0; 1];
    match tokio::time::timeout(duration, stream.read(&mut byte)).await {
        Err(_) => Ok(()),
        Ok(_) => Err(std::io::ErrorKind::ConnectionAborted.into()),
    }
}
