//! The work of an upstream on one request, and how its faults show in the response.

use crate::upstreams::{ConnectionEnd, OpenRun, UpstreamContext};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshed_core::ClockTime;
use skylarkshed_stand_ins::{headers, FaultEffect, MemoryPlace, ReceivedRequest};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The usual time of a call, in milliseconds, and the time of one in ten.
const CALL_MS: std::ops::Range<u64> = 2..60;
const SLOW_CALL_MS: std::ops::Range<u64> = 100..600;
/// The time between two events, in milliseconds.
const EVENT_MS: std::ops::Range<u64> = 5..40;
/// The time from the head of a response to the end of its upstream, and one that is longer
/// than until the upstream is down.
const CRASH_MS: u64 = 50;
const DOWNTIME_MS: u64 = 1_000;
/// The lengths of the bodies of responses, in bytes; one in ten is long.
const BODY_BYTES: std::ops::Range<usize> = 40..800;
const LONG_BODY_BYTES: std::ops::Range<usize> = 20_000..200_000;

/// What an upstream does with a request, drawn from the seed.
struct WorkPlan {
    signature: String,
    status: u16,
    /// The body of the response, unless it is a stream.
    body: String,
    /// The milliseconds before the response and, of a stream, before each event.
    delays: Vec<u64>,
    /// The last event that the caller already has.
    after: u64,
    /// The last event of the stream; 0 if it is none.
    events: u64,
    /// Whether the fault of the upstream's version shows in the response.
    is_bad: bool,
}

impl WorkPlan {
    fn draw(context: &UpstreamContext, request: &ReceivedRequest, rng: &mut SmallRng) -> Self {
        let id = request.header(headers::REQUEST_ID).unwrap_or_default();
        let signature = format!("{:x}.{}.{id}", rng.random::<u32>(), context.identity.name);
        let status = if rng.random_ratio(1, 40) { 500 } else { 200 };
        let after = request.header(headers::LAST_EVENT);
        let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        let events = count_events(&String::from_utf8_lossy(&request.body));
        let body = response_body(id, &signature, rng);
        let first_delay = match events > 0 || rng.random_ratio(1, 10) {
            true => SLOW_CALL_MS,
            false => CALL_MS,
        };
        let mut delays = vec![rng.random_range(first_delay)];
        delays.extend((after..events).map(|_| rng.random_range(EVENT_MS)));
        let plan = WorkPlan {
            signature,
            status: if events > 0 { 200 } else { status },
            body,
            delays,
            after,
            events,
            is_bad: false,
        };
        match context.identity.version.effect_on(request) {
            Some(effect) => plan.with_effect(effect, rng),
            None => plan,
        }
    }

    /// Applies the fault of the upstream's version.
    fn with_effect(mut self, effect: FaultEffect, rng: &mut SmallRng) -> Self {
        match effect {
            FaultEffect::Slow(factor) => {
                self.is_bad = true;
                for delay in &mut self.delays {
                    *delay *= u64::from(factor);
                }
            }
            FaultEffect::Failing(percent) if rng.random_ratio(percent, 100) => {
                self.is_bad = true;
                self.status = 500;
                self.events = 0;
                self.delays.truncate(1);
            }
            FaultEffect::Failing(_) => {}
        }
        self
    }

    /// Returns the time of the work at an engine that is not slow or full.
    fn duration(&self, context: &UpstreamContext) -> ClockTime {
        let usual: u64 = self.delays.iter().sum();
        let engine = context.engine.as_ref();
        let millis = engine.map_or(usual, |engine| engine.speed.usual_time(usual));
        ClockTime::from_millis(millis)
    }
}

/// Runs a request and sends its response.
pub(crate) async fn work(
    stream: &mut TcpStream,
    context: &UpstreamContext,
    request: &ReceivedRequest,
    run: &mut OpenRun<'_>,
    place: Option<MemoryPlace>,
) -> Result<(), ConnectionEnd> {
    let id = request.header(headers::REQUEST_ID).unwrap_or_default();
    let mut rng = request_rng(context, id);
    let plan = WorkPlan::draw(context, request, &mut rng);
    context.observer.update_run(&run.key, |run| {
        run.status = plan.status;
        run.signature = plan.signature.clone();
        run.body = plan.body.clone();
        run.due_at = run.at + plan.duration(context);
        run.is_bad = plan.is_bad;
    });
    let head = format!(
        "{}: {id}\r\n{}: {}\r\n",
        headers::REQUEST_ID,
        headers::SIGNATURE,
        plan.signature
    );
    if let Some(place) = &place {
        wait_for_room(stream, place).await?;
        let now = context.observer.now();
        context.observer.update_run(&run.key, |run| {
            run.waited = now.since(run.at);
            run.due_at = now + plan.duration(context);
        });
    }
    wait(stream, context, context.time_of(plan.delays[0])).await?;
    if plan.events > 0 {
        return stream_events(stream, context, request, run, &plan, &head, place).await;
    }
    let (lost, garbled) = {
        let faults = context.faults.borrow();
        (faults.lost_percent, faults.garbled_percent)
    };
    if rng.random_ratio(lost, 100) {
        run.end(true);
        return Ok(stream.set_zero_linger()?);
    }
    if plan.status == 200 && rng.random_ratio(garbled, 100) {
        run.end(true);
        return send_garbled(stream, &mut rng, &head, &plan.body).await;
    }
    // The time of the end is taken before the response can reach the caller.
    run.end(false);
    send(stream, plan.status, &head, &plan.body).await
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
    plan: &WorkPlan,
    head: &str,
    place: Option<MemoryPlace>,
) -> Result<(), ConnectionEnd> {
    let id = request.header(headers::REQUEST_ID).unwrap_or_default();
    let mut rng = request_rng(context, id);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    if has_crashing_part(request) {
        wait(stream, context, CRASH_MS).await?;
        context
            .observer
            .update_run(&run.key, |run| run.ends_upstream = true);
        run.end(true);
        context.crashed.notify_one();
        // The connection ends with the upstream.
        return wait(stream, context, DOWNTIME_MS).await;
    }
    let is_single = String::from_utf8_lossy(&request.body).contains("single");
    for (number, delay) in (plan.after + 1..=plan.events).zip(&plan.delays[1..]) {
        wait(stream, context, context.time_of(*delay)).await?;
        let by = if is_single {
            format!(" by {}", plan.signature)
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
        if let Some(place) = &place {
            place.count_event();
        }
    }
    run.end(false);
    Ok(stream.write_all(b"0\r\n\r\n").await?)
}

/// Reports whether a prompt has a part that ends upstreams.
fn has_crashing_part(request: &ReceivedRequest) -> bool {
    let parts = request.header(headers::PROMPT_PARTS);
    parts.is_some_and(|parts| parts.contains(",bad"))
}

fn request_rng(context: &UpstreamContext, id: &str) -> SmallRng {
    let mut hasher = DefaultHasher::new();
    (context.seed, &context.identity.name, id).hash(&mut hasher);
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

pub(crate) async fn send(
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

/// Waits until a request has room in the memory; fails if the gateway closes the connection.
async fn wait_for_room(stream: &mut TcpStream, place: &MemoryPlace) -> Result<(), ConnectionEnd> {
    let mut byte = [0; 1];
    tokio::select! {
        () = place.wait_for_room() => Ok(()),
        _ = stream.read(&mut byte) => Err(ConnectionEnd),
    }
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

/// Waits to the end of a silence.
pub(crate) async fn wait_while_silent(context: &UpstreamContext) -> Result<(), ConnectionEnd> {
    let mut faults = context.faults.clone();
    let waiting = faults.wait_for(|faults| !faults.is_silent).await;
    waiting.map(|_| ()).map_err(|_| ConnectionEnd)
}
