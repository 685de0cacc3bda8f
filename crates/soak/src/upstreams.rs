//! Upstreams that run requests, record them and fail as the seed says.

use crate::links::{start_upstream_link, LinkFaults};
use crate::observer::{Observer, RunKey};
use crate::records::UpstreamRun;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshed_core::ClockTime;
use skylarkshed_stand_ins::{headers, ControlCalls, ReceivedRequest};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The requests that an upstream runs at the same time; it refuses others.
const SLOTS: usize = 24;
/// The usual time of a call, in milliseconds, and the time of one in ten.
const CALL_MS: std::ops::Range<u64> = 2..60;
const SLOW_CALL_MS: std::ops::Range<u64> = 100..600;
/// The time between two events, in milliseconds.
const EVENT_MS: std::ops::Range<u64> = 5..40;
/// The lengths of the bodies of responses, in bytes; one in ten is long.
const BODY_BYTES: std::ops::Range<usize> = 40..800;
const LONG_BODY_BYTES: std::ops::Range<usize> = 20_000..200_000;

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

/// An upstream that runs until it is dropped.
pub(crate) struct SoakUpstream {
    pub(crate) name: String,
    pub(crate) service: &'static str,
    pub(crate) zone: String,
    /// The address of its proxy.
    pub(crate) address: SocketAddr,
    pub(crate) faults: watch::Sender<UpstreamFaults>,
}

struct UpstreamContext {
    name: String,
    service: &'static str,
    seed: u64,
    observer: Arc<Observer>,
    faults: watch::Receiver<UpstreamFaults>,
    running: AtomicUsize,
}

impl SoakUpstream {
    pub(crate) async fn start(
        name: String,
        service: &'static str,
        zone: String,
        seed: u64,
        observer: &Arc<Observer>,
        links: &Arc<LinkFaults>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let real_address = listener.local_addr()?;
        let address = start_upstream_link(links.clone(), observer.clone(), real_address).await?;
        let (faults, watching) = watch::channel(UpstreamFaults::default());
        let context = Arc::new(UpstreamContext {
            name: name.clone(),
            service,
            seed,
            observer: observer.clone(),
            faults: watching,
            running: AtomicUsize::new(0),
        });
        tokio::spawn(serve(listener, context));
        Ok(SoakUpstream {
            name,
            service,
            zone,
            address,
            faults,
        })
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
struct OpenRun<'a> {
    context: &'a UpstreamContext,
    key: RunKey,
    is_ended: bool,
}

impl OpenRun<'_> {
    fn end(&mut self, is_broken_off: bool) {
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

/// Why a connection ends.
struct ConnectionEnd;

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
    wait_while_silent(context).await?;
    let control = ControlCalls::default().respond(&request);
    let is_health_check = request.request_line.starts_with("GET /h ");
    if is_health_check || control.is_some() {
        let health = format!(
            "HTTP/1.1 200 OK\r\n{}: {}\r\nContent-Length: 0\r\n\r\n",
            headers::UPSTREAM,
            context.name
        );
        let reply = control.unwrap_or(health);
        return Ok(stream.write_all(reply.as_bytes()).await?);
    }
    let expected = request.header(headers::EXPECTED_UPSTREAM);
    if expected.is_some_and(|expected| expected != context.name) {
        return send(stream, 421, "", "").await;
    }
    let id = request.header(headers::REQUEST_ID).unwrap_or_default();
    let mut run = to_run(context, &request);
    if context.faults.borrow().refuses || context.running.load(Ordering::Relaxed) >= SLOTS {
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
    let worked = work(stream, context, &request, &mut run).await;
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
        upstream: context.name.clone(),
        service: context.service.to_owned(),
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

async fn work(
    stream: &mut TcpStream,
    context: &UpstreamContext,
    request: &ReceivedRequest,
    run: &mut OpenRun<'_>,
) -> Result<(), ConnectionEnd> {
    let id = request.header(headers::REQUEST_ID).unwrap_or_default();
    let mut rng = request_rng(context, id);
    let signature = format!("{:x}.{}.{id}", rng.random::<u32>(), context.name);
    let status = if rng.random_ratio(1, 40) { 500 } else { 200 };
    let events = count_events(&String::from_utf8_lossy(&request.body));
    let head = format!(
        "{}: {id}\r\n{}: {signature}\r\n",
        headers::REQUEST_ID,
        headers::SIGNATURE
    );
    let status = if events > 0 { 200 } else { status };
    let body = response_body(id, &signature, &mut rng);
    context.observer.update_run(&run.key, |run| {
        run.status = status;
        run.signature = signature.clone();
        run.body = body.clone();
    });
    if events > 0 {
        return stream_events(stream, context, request, run, (&head, &signature), events).await;
    }
    let millis = match rng.random_ratio(1, 10) {
        true => SLOW_CALL_MS,
        false => CALL_MS,
    };
    wait(stream, context, rng.random_range(millis)).await?;
    let (lost, garbled) = {
        let faults = context.faults.borrow();
        (faults.lost_percent, faults.garbled_percent)
    };
    if rng.random_ratio(lost, 100) {
        run.end(true);
        return Ok(stream.set_zero_linger()?);
    }
    if status == 200 && rng.random_ratio(garbled, 100) {
        run.end(true);
        return send_garbled(stream, &mut rng, &head, &body).await;
    }
    // The time of the end is taken before the response can reach the caller.
    run.end(false);
    send(stream, status, &head, &body).await
}

/// Returns the number of events that a request asks for.
fn count_events(body: &str) -> u64 {
    let text = body.split_once("events=").map(|(_, rest)| rest);
    let number = text.and_then(|text| text.split(' ').next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

async fn stream_events(
    stream: &mut TcpStream,
    context: &UpstreamContext,
    request: &ReceivedRequest,
    run: &mut OpenRun<'_>,
    (head, signature): (&str, &str),
    events: u64,
) -> Result<(), ConnectionEnd> {
    let id = request.header(headers::REQUEST_ID).unwrap_or_default();
    let mut rng = request_rng(context, id);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    wait(stream, context, rng.random_range(SLOW_CALL_MS)).await?;
    stream.write_all(head.as_bytes()).await?;
    let after = request.header(headers::LAST_EVENT);
    let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
    let is_single = String::from_utf8_lossy(&request.body).contains("single");
    for number in after + 1..=events {
        wait(stream, context, rng.random_range(EVENT_MS)).await?;
        let by = if is_single {
            format!(" by {signature}")
        } else {
            String::new()
        };
        let event = format!("id: {number}\ndata: piece {number} of {id}{by}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        let percent = {
            let faults = context.faults.borrow();
            faults.lost_percent + faults.garbled_percent
        };
        // Over a stream of a few dozen events, as often as for a call.
        if rng.random_ratio(percent, 2_500) {
            run.end(true);
            let part = &chunk.as_bytes()[..rng.random_range(0..chunk.len())];
            stream.write_all(part).await?;
            return Ok(stream.set_zero_linger()?);
        }
        stream.write_all(chunk.as_bytes()).await?;
    }
    run.end(false);
    Ok(stream.write_all(b"0\r\n\r\n").await?)
}

fn request_rng(context: &UpstreamContext, id: &str) -> SmallRng {
    let mut hasher = DefaultHasher::new();
    (context.seed, &context.name, id).hash(&mut hasher);
    SmallRng::seed_from_u64(hasher.finish())
}

fn response_body(id: &str, signature: &str, rng: &mut SmallRng) -> String {
    let length = match rng.random_ratio(1, 10) {
        true => rng.random_range(LONG_BODY_BYTES),
        false => rng.random_range(BODY_BYTES),
    };
    let line = format!("answer to {id} by {signature}; ");
    let mut body = line.repeat(length / line.len() + 1);
    body.truncate(length);
    body
}

async fn send(
    stream: &mut TcpStream,
    status: u16,
    head: &str,
    body: &str,
) -> Result<(), ConnectionEnd> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} Status\r\n{head}Content-Length: {length}\r\n\r\n{body}");
    Ok(stream.write_all(text.as_bytes()).await?)
}

/// Sends a response that is cut off, unsigned, followed by another one, of another request,
/// or none at all.
async fn send_garbled(
    stream: &mut TcpStream,
    rng: &mut SmallRng,
    head: &str,
    body: &str,
) -> Result<(), ConnectionEnd> {
    let length = body.len();
    let whole = format!("HTTP/1.1 200 OK\r\n{head}Content-Length: {length}\r\n\r\n{body}");
    let unsigned = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    let bytes = match rng.random_range(0..6) {
        0 => whole[..whole.len() - length / 2 - 1].to_owned(),
        1 => unsigned,
        2 => whole.repeat(2),
        3 => "\0\0 no response\r\n\r\n".to_owned(),
        4 => whole.replacen(": ", ": other-", 1),
        _ => {
            let part = &body[..length / 2];
            stream
                .write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n{part}").as_bytes())
                .await?;
            return Ok(stream.set_zero_linger()?);
        }
    };
    Ok(stream.write_all(bytes.as_bytes()).await?)
}

/// Waits for a time and to the end of a silence; fails if the gateway closes the
/// connection.
async fn wait(
    stream: &mut TcpStream,
    context: &UpstreamContext,
    millis: u64,
) -> Result<(), ConnectionEnd> {
    let waiting = async {
        tokio::time::sleep(Duration::from_millis(millis)).await;
        wait_while_silent(context).await
    };
    let mut byte = [0; 1];
    tokio::select! {
        ended = waiting => ended,
        _ = stream.read(&mut byte) => Err(ConnectionEnd),
    }
}

async fn wait_while_silent(context: &UpstreamContext) -> Result<(), ConnectionEnd> {
    let mut faults = context.faults.clone();
    let waiting = faults.wait_for(|faults| !faults.is_silent).await;
    waiting.map(|_| ()).map_err(|_| ConnectionEnd)
}
