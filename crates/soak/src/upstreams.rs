//! Upstreams that run requests, record them and fail as the seed says.

use crate::links::{start_upstream_link, LinkFaults, UpstreamLink};
use crate::load_plan::LoadPlan;
use crate::observer::{Observer, RunKey};
use crate::records::UpstreamRun;
use crate::timeline::Part;
use crate::upstream_work::{send, wait_while_silent, work};
use crate::versions::UpstreamVersion;
use skylarkshed_core::ClockTime;
use skylarkshed_stand_ins::{
    headers, ControlCalls, EngineMemory, EngineSpeed, MemoryPlace, ReceivedRequest, DOWNTIME,
};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;

/// The requests that an upstream runs at the same time; it refuses others.
const SLOTS: usize = 24;
/// The time between two load reports of an engine with limits.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// The faults of an upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamFaults {
    /// It is down: the port refuses connections and open ones are reset.
    pub(crate) is_down: bool,
    /// It accepts no requests and says that it did not run them.
    pub(crate) refuses: bool,
    /// It makes no progress.
    pub(crate) is_silent: bool,
    /// The percentage of responses that are lost.
    pub(crate) lost_percent: u32,
    /// The percentage of responses that are malformed.
    pub(crate) garbled_percent: u32,
}

/// What an upstream is.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamIdentity {
    pub(crate) name: String,
    pub(crate) service: &'static str,
    pub(crate) zone: String,
    pub(crate) version: Arc<UpstreamVersion>,
    /// When it started, in Unix milliseconds, if its load reports tell it.
    pub(crate) born: Option<u64>,
}

/// The speed and the memory of an engine that has limits.
pub(crate) struct EngineLimits {
    pub(crate) speed: EngineSpeed,
    pub(crate) memory: Arc<EngineMemory>,
}

/// An upstream that runs until it is dropped.
pub(crate) struct SoakUpstream {
    pub(crate) identity: UpstreamIdentity,
    /// Its proxy.
    pub(crate) link: UpstreamLink,
    pub(crate) faults: watch::Sender<UpstreamFaults>,
    /// Keeps its load reports until it is dropped.
    _reports: JoinSet<()>,
}

/// What the connections of an upstream share.
pub(crate) struct UpstreamContext {
    pub(crate) identity: UpstreamIdentity,
    pub(crate) seed: u64,
    pub(crate) observer: Arc<Observer>,
    pub(crate) faults: watch::Receiver<UpstreamFaults>,
    /// Notified when a request ends the upstream.
    pub(crate) crashed: Notify,
    pub(crate) engine: Option<EngineLimits>,
    running: AtomicUsize,
}

impl SoakUpstream {
    /// Starts an upstream, at an address that another one had if there is a `link`.
    pub(crate) async fn start(
        identity: UpstreamIdentity,
        link: Option<UpstreamLink>,
        seed: u64,
        observer: &Arc<Observer>,
        links: &Arc<LinkFaults>,
        load: Option<&LoadPlan>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let real_address = listener.local_addr()?;
        let (faults, watching) = watch::channel(UpstreamFaults::default());
        let engine = load.map(|load| EngineLimits {
            speed: EngineSpeed::draw(seed, &identity.name),
            memory: Arc::new(EngineMemory::new(
                load.memory_tokens,
                identity.born.unwrap_or_default(),
            )),
        });
        let context = Arc::new(UpstreamContext {
            identity: identity.clone(),
            seed,
            observer: observer.clone(),
            faults: watching,
            crashed: Notify::new(),
            engine,
            running: AtomicUsize::new(0),
        });
        tokio::spawn(serve(listener, context.clone()));
        let mut reports = JoinSet::new();
        reports.spawn(keep_reports(context.clone()));
        let link = match link {
            Some(link) => {
                link.assign(real_address);
                link
            }
            None => start_upstream_link(links.clone(), observer.clone(), real_address).await?,
        };
        let is_refusing = link.is_refusing.clone();
        tokio::spawn(restart_after_crashes(context, faults.clone(), is_refusing));
        Ok(SoakUpstream {
            identity,
            link,
            faults,
            _reports: reports,
        })
    }
}

/// Too many prompts wait for the memory of an engine.
struct FullMemory;

impl UpstreamContext {
    /// Returns how long work of `millis` takes that begins now.
    pub(crate) fn time_of(&self, millis: u64) -> u64 {
        let engine = self.engine.as_ref();
        engine.map_or(millis, |engine| {
            engine.speed.time_at(millis, self.observer.now())
        })
    }

    fn control_calls(&self) -> ControlCalls {
        let engine = self.engine.as_ref();
        engine.map_or_else(ControlCalls::default, |engine| {
            ControlCalls::with_report(&engine.memory.old_report(self.observer.now()))
        })
    }

    /// Returns the request's place in the memory, if that is limited.
    fn enter_memory(&self, request: &ReceivedRequest) -> Result<Option<MemoryPlace>, FullMemory> {
        let engine = self.engine.as_ref();
        let place = engine.map(|engine| engine.memory.enter(request).ok_or(FullMemory));
        place.transpose()
    }
}

/// Ends all connections and refuses new ones for a while after each request that ends the
/// upstream.
async fn restart_after_crashes(
    context: Arc<UpstreamContext>,
    faults: watch::Sender<UpstreamFaults>,
    is_refusing: watch::Sender<bool>,
) {
    loop {
        context.crashed.notified().await;
        let part = Part::Upstream(context.identity.name.clone());
        let disturbance = context.observer.disturb(part, "crashed", false);
        is_refusing.send_replace(true);
        faults.send_modify(|faults| faults.is_down = true);
        tokio::time::sleep(DOWNTIME).await;
        faults.send_modify(|faults| faults.is_down = false);
        is_refusing.send_replace(false);
        context.observer.end_disturbance(disturbance);
    }
}

/// Keeps the load reports of an engine with limits.
async fn keep_reports(context: Arc<UpstreamContext>) {
    let Some(engine) = &context.engine else {
        return;
    };
    loop {
        engine.memory.keep_report(context.observer.now());
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

async fn serve(listener: TcpListener, context: Arc<UpstreamContext>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let context = context.clone();
        let mut faults = context.faults.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                // The sender is dropped with the upstream.
                _ = faults.wait_for(|faults| faults.is_down) => {
                    // The connection may be closed already.
                    let _ = stream.set_zero_linger();
                }
                _ = serve_connection(&mut stream, &context) => {}
            }
        });
    }
}

/// Marks a run as broken off if its upstream goes down.
pub(crate) struct OpenRun<'a> {
    context: &'a UpstreamContext,
    pub(crate) key: RunKey,
    is_ended: bool,
}

impl OpenRun<'_> {
    pub(crate) fn end(&mut self, is_broken_off: bool) {
        self.context.observer.end_run(&self.key, is_broken_off);
        self.is_ended = true;
    }
}

impl Drop for OpenRun<'_> {
    fn drop(&mut self) {
        self.context.running.fetch_sub(1, Ordering::Relaxed);
        if !self.is_ended {
            self.context.observer.end_run(&self.key, true);
        }
    }
}

/// The connection ended before the work did.
pub(crate) struct ConnectionEnd;

impl From<std::io::Error> for ConnectionEnd {
    fn from(_: std::io::Error) -> Self {
        ConnectionEnd
    }
}

async fn serve_connection(
    stream: &mut TcpStream,
    context: &UpstreamContext,
) -> Result<(), ConnectionEnd> {
    let request = ReceivedRequest::read(stream).await.ok_or(ConnectionEnd)?;
    let expected = request.header(headers::EXPECTED_UPSTREAM);
    if let Some(id) = request.header(headers::REQUEST_ID) {
        // It counts for the service that the VM meant, if the address has changed hands.
        let service = expected.and_then(|name| Some(name.rsplit_once('-')?.0));
        let service = service.unwrap_or(context.identity.service);
        context.observer.record_arrival(id, service);
    }
    wait_while_silent(context).await?;
    let control = context.control_calls().respond(&request);
    let is_health_check = request.request_line.starts_with("GET /h ");
    if is_health_check || control.is_some() {
        let health = format!(
            "HTTP/1.1 200 OK\r\n{}: {}\r\nContent-Length: 0\r\n\r\n",
            headers::UPSTREAM,
            context.identity.name
        );
        let reply = control.unwrap_or(health);
        return Ok(stream.write_all(reply.as_bytes()).await?);
    }
    if expected.is_some_and(|expected| expected != context.identity.name) {
        return send(stream, 421, "", "").await;
    }
    let id = request.header(headers::REQUEST_ID).unwrap_or_default();
    let mut run = to_run(context, &request);
    let place = context.enter_memory(&request);
    let is_full = context.running.load(Ordering::Relaxed) >= SLOTS || place.is_err();
    if context.faults.borrow().refuses || is_full {
        run.ended_at = run.at;
        context.observer.begin_run(id, run);
        return send(stream, 503, &format!("{}: 1\r\n", headers::NOT_RUN), "").await;
    }
    run.is_executed = true;
    context.running.fetch_add(1, Ordering::Relaxed);
    let key = context.observer.begin_run(id, run);
    let mut run = OpenRun {
        context,
        key,
        is_ended: false,
    };
    let place = place.ok().flatten();
    let worked = work(stream, context, &request, &mut run, place).await;
    if !run.is_ended {
        // The gateway closed the connection.
        run.end(false);
    }
    worked
}

fn to_run(context: &UpstreamContext, request: &ReceivedRequest) -> UpstreamRun {
    let target = request.request_line.rsplit_once(' ');
    let time_left = request.header(headers::TIME_LEFT);
    UpstreamRun {
        upstream: context.identity.name.clone(),
        service: context.identity.service.to_owned(),
        version: context.identity.version.name.clone(),
        at: context.observer.now(),
        ended_at: ClockTime::NEVER,
        target: target.map_or(String::new(), |(target, _)| target.to_owned()),
        request_body: String::from_utf8_lossy(&request.body).into_owned(),
        customer: request.header(headers::CUSTOMER).map(str::to_owned),
        has_key: request.header("authorization").is_some(),
        time_left: time_left.and_then(|text| Some(ClockTime::from_millis(text.parse().ok()?))),
        ..UpstreamRun::default()
    }
}
