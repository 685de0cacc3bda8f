//! A fake upstream that sends scripted responses and records its requests.

use super::connection::send_response;
use super::control_calls::ControlCalls;
use super::crash_fault::{CrashFault, DOWNTIME};
use super::endless_response::EndlessResponse;
use super::received_request::{read_body, read_head, ReceivedRequest};
use super::scripted_response::ScriptedResponse;
use super::version_fault::{FaultState, VersionFault};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[derive(Debug)]
struct UpstreamState {
    name: String,
    script: VecDeque<ScriptedResponse>,
    default_response: ScriptedResponse,
    received: Vec<ReceivedRequest>,
    control: ControlCalls,
    fault: FaultState,
    closes_connections: bool,
    crash_fault: Option<CrashFault>,
    /// How long it refuses connections after a crash.
    downtime: Duration,
    end_times: Vec<Instant>,
}

/// A fake upstream that runs until it is dropped or stopped.
#[derive(Debug)]
pub struct FakeUpstream {
    address: SocketAddr,
    state: Arc<Mutex<UpstreamState>>,
    received_count: watch::Sender<usize>,
    closed_count: watch::Sender<usize>,
    crash_count: watch::Sender<usize>,
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
    crash_count: watch::Sender<usize>,
}

impl UpstreamShared {
    fn lock(&self) -> std::sync::MutexGuard<'_, UpstreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes the next scripted response if it is sent before the body is read.
    fn take_before_body(&self) -> Option<ScriptedResponse> {
        let mut state = self.lock();
        match state.script.front()? {
            ScriptedResponse::BeforeBody | ScriptedResponse::ResetBeforeBody { .. } => {
                state.script.pop_front()
            }
            _ => None,
        }
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
            fault: FaultState::default(),
            closes_connections: false,
            crash_fault: None,
            downtime: DOWNTIME,
            end_times: Vec::new(),
        }));
        let (received_count, _) = watch::channel(0);
        let (closed_count, _) = watch::channel(0);
        let (crash_count, _) = watch::channel(0);
        let shared = UpstreamShared {
            state: state.clone(),
            received_count: received_count.clone(),
            closed_count: closed_count.clone(),
            crash_count: crash_count.clone(),
        };
        let task = tokio::spawn(serve(listener, shared));
        FakeUpstream {
            address,
            state,
            received_count,
            closed_count,
            crash_count,
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

    /// Sets the fault that its version has from now on; `None` mends it.
    pub fn set_version_fault(&self, fault: Option<VersionFault>) {
        self.lock().fault.set(fault);
    }

    /// Sets the requests that end it from now on; `None` mends it.
    pub fn set_crash_fault(&self, fault: Option<CrashFault>) {
        self.lock().crash_fault = fault;
    }

    /// Ends all connections and refuses new ones for [`DOWNTIME`], as a process that is
    /// killed and started again.
    pub fn crash(&self) {
        self.crash_count.send_modify(|count| *count += 1);
    }

    /// Ends all connections without refusing new ones, as a process that is killed and
    /// replaced at once. The report of the new process has this start time.
    pub fn replace_process(&self, started_ms: u64) {
        let mut state = self.lock();
        state.downtime = Duration::ZERO;
        state.control.report = Some(format!("{{\"born\":{started_ms}}}"));
        drop(state);
        self.crash();
    }

    /// Ends all connections like [`FakeUpstream::replace_process`]. The new process answers
    /// requests for reports with this status and body.
    pub fn replace_process_by(&self, status: &str, body: &str) {
        let mut state = self.lock();
        state.downtime = Duration::ZERO;
        state.control.report = Some(body.to_owned());
        state.control.report_status = Some(status.to_owned());
        drop(state);
        self.crash();
    }

    /// Sets the time before load reports are sent.
    pub fn delay_reports(&self, delay: Duration) {
        self.lock().control.report_delay = delay;
    }

    /// Returns when it has crashed.
    pub fn end_times(&self) -> Vec<Instant> {
        self.lock().end_times.clone()
    }

    /// Resets all new connections immediately, as if it had too many.
    pub fn reset_connections(&self) {
        self.lock().closes_connections = true;
    }

    /// Returns when each response that the version's fault affected had ended.
    pub fn bad_response_times(&self) -> Vec<Instant> {
        self.lock().fault.bad_response_times.clone()
    }

    /// Returns the requests received so far.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.lock().received.clone()
    }

    /// Returns the bodies of the requests to copy a KV cache.
    pub fn kv_move_requests(&self) -> Vec<String> {
        self.lock().control.kv_move_requests.clone()
    }

    /// Makes all requests to copy a KV cache fail.
    pub fn refuse_kv_moves(&self) {
        self.lock().control.refuses_kv_moves = true;
    }

    /// Sets an endless response to the gateway's own requests.
    pub fn set_endless_control(&self, endless: EndlessResponse) {
        self.lock().control.endless = Some(endless);
    }

    /// Sets the body of its load reports.
    pub fn set_report(&self, report: &str) {
        self.lock().control.report = Some(report.to_owned());
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

async fn serve(mut listener: TcpListener, shared: UpstreamShared) {
    let address = listener.local_addr().expect("it is bound");
    let mut crash_count = shared.crash_count.subscribe();
    loop {
        tokio::select! {
            () = accept_all(&listener, &shared) => return,
            // `shared` owns the sender, so this can't fail.
            _ = crash_count.changed() => {}
        }
        let downtime = {
            let mut state = shared.lock();
            state.end_times.push(Instant::now());
            state.downtime
        };
        if downtime.is_zero() {
            continue;
        }
        drop(listener);
        tokio::time::sleep(downtime).await;
        crash_count.mark_unchanged();
        listener = TcpListener::bind(address).await.expect("its port is free");
    }
}

async fn accept_all(listener: &TcpListener, shared: &UpstreamShared) {
    while let Ok((stream, _)) = listener.accept().await {
        if shared.lock().closes_connections {
            // Without it the client sees the end of the connection instead of a reset.
            let _ = stream.set_zero_linger();
            continue;
        }
        let shared = shared.clone();
        tokio::spawn(async move {
            let mut crash_count = shared.crash_count.subscribe();
            tokio::select! {
                () = serve_connection(stream, shared) => {}
                _ = crash_count.changed() => {}
            }
        });
    }
}

async fn serve_connection(mut stream: TcpStream, shared: UpstreamShared) {
    let Some((mut request, length)) = read_head(&mut stream).await else {
        return;
    };
    if let Some(response) = shared.take_before_body() {
        return respond_before_body(&mut stream, request, length, &response, &shared).await;
    }
    if read_body(&mut stream, &mut request.body, length)
        .await
        .is_none()
    {
        return;
    }
    let delay = shared.lock().control.delay(&request);
    tokio::time::sleep(delay).await;
    let reply = shared.lock().control.respond(&request);
    if let Some(reply) = reply {
        let endless = shared.lock().control.endless;
        if let Some(endless) = endless {
            // It ends when the client closes the connection.
            let _ = endless.send(&mut stream, "").await;
            return;
        }
        // The client sees the broken connection.
        let _ = stream.write_all(reply.as_bytes()).await;
        return;
    }
    let fault = {
        let state = shared.lock();
        let fault = state.crash_fault.clone();
        fault.filter(|fault| fault.is_hit_by(&request))
    };
    let (response, is_bad, name) = {
        let mut state = shared.lock();
        state.received.push(request.clone());
        let response = state.script.pop_front();
        let response = response.unwrap_or_else(|| state.default_response.clone());
        let (response, is_bad) = state.fault.apply(&request, response);
        (response, is_bad, state.name.clone())
    };
    shared.received_count.send_modify(|count| *count += 1);
    let is_misdirected = request
        .header("x-expected-instance")
        .is_some_and(|expected| expected != name);
    let response = match is_misdirected {
        true => ScriptedResponse::Misdirected,
        false => response,
    };
    let crashes = fault.filter(|_| !is_misdirected);
    if let Some(fault) = crashes {
        let is_begun = fault.begin(&mut stream, &request).await;
        if is_begun.is_ok() {
            shared.crash_count.send_modify(|count| *count += 1);
        }
        return;
    }
    if send_response(&mut stream, &request, &response)
        .await
        .is_err()
    {
        shared.closed_count.send_modify(|count| *count += 1);
    }
    if is_bad {
        let mut state = shared.lock();
        state.fault.bad_response_times.push(Instant::now());
    }
}

/// Responds, then reads the part of the body that the client still sends.
async fn respond_before_body(
    stream: &mut TcpStream,
    mut request: ReceivedRequest,
    length: usize,
    response: &ScriptedResponse,
    shared: &UpstreamShared,
) {
    let sent = send_response(stream, &request, response).await;
    if sent.is_err() || matches!(response, ScriptedResponse::ResetBeforeBody { .. }) {
        return;
    }
    // The client may close the connection instead of sending the rest.
    let _ = read_body(stream, &mut request.body, length).await;
    let mut state = shared.lock();
    state.received.push(request);
    drop(state);
    shared.received_count.send_modify(|count| *count += 1);
}
