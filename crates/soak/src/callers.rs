//! Callers that keep connections open, leave early, read slowly and come back.

use crate::bounds::IDLE_REUSE;
use crate::exchange::{exchange, to_message, ExchangeEnd};
use crate::observer::Observer;
use crate::operators::{Operators, RouteKind};
use crate::records::{CallKind, CallerRequest, Outcome};
use crate::vms::SoakVm;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshed_core::ClockTime;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// A new connection is given up after this time.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIME_LIMIT: ClockTime = ClockTime::from_millis(4_000);
const STREAM_TIME_LIMIT: ClockTime = ClockTime::from_millis(15_000);
/// The usual pause of a caller that goes on with its connection.
const PAUSE_MS: std::ops::Range<u64> = 0..60;
/// The pause of a caller after a failure.
const FAILURE_PAUSE_MS: std::ops::Range<u64> = 20..200;
/// The time after which a caller leaves that leaves early; most streams last longer.
const LEAVE_CALL_MS: std::ops::Range<u64> = 1..400;
const LEAVE_STREAM_MS: std::ops::Range<u64> = 1..1_200;
/// One in this many callers leaves when callers are told to.
const LEAVING_SHARE: u64 = 3;

/// What all callers share.
pub(crate) struct CallerContext {
    pub(crate) seed: u64,
    pub(crate) observer: Arc<Observer>,
    pub(crate) operators: Arc<Operators>,
    pub(crate) vms: Vec<Arc<SoakVm>>,
    pub(crate) stop: watch::Receiver<bool>,
    /// Tells some callers to leave; the number chooses them.
    pub(crate) leave: watch::Receiver<u64>,
    /// The part of prompts that ends upstreams, while some requests have one.
    pub(crate) crashing_part: watch::Receiver<Option<String>>,
}

/// An open connection to a process of a VM.
struct CallerConnection {
    sender: SendRequest<Full<Bytes>>,
    vm: usize,
    boot: u32,
    driver: AbortHandle,
}

/// How a caller behaves.
#[derive(Default)]
struct CallerHabits {
    keeps_connections: bool,
    leaves_early: bool,
    reads_slowly: bool,
    streams: bool,
}

struct Caller {
    number: usize,
    sent: u64,
    rng: SmallRng,
    habits: CallerHabits,
    context: Arc<CallerContext>,
    connection: Option<CallerConnection>,
    /// A stream that broke off, to be resumed after the last event that arrived.
    broken_stream: Option<CallerRequest>,
}

/// Sends requests, streams or calls, until the soak ends.
pub(crate) async fn run_caller(number: usize, streams: bool, context: Arc<CallerContext>) {
    let mut rng = SmallRng::seed_from_u64(context.seed ^ ((number as u64 + 1) << 32));
    let habits = CallerHabits {
        keeps_connections: rng.random_ratio(3, 4),
        leaves_early: rng.random_ratio(1, 4),
        reads_slowly: rng.random_ratio(1, 6),
        streams,
    };
    let mut stop = context.stop.clone();
    let mut caller = Caller::new(number, rng, habits, context);
    while !*stop.borrow() {
        let pause = caller.call().await;
        let pause = tokio::time::sleep(Duration::from_millis(pause));
        tokio::select! {
            () = pause => {}
            // The sender lives as long as the soak.
            _ = stop.wait_for(|stop| *stop) => {}
        }
    }
}

/// Sends one stream and resumes it each time that it breaks off.
pub(crate) async fn run_burst_stream(number: usize, context: Arc<CallerContext>) {
    let rng = SmallRng::seed_from_u64(context.seed ^ ((number as u64 + 1) << 32));
    let habits = CallerHabits {
        streams: true,
        ..CallerHabits::default()
    };
    let stop = context.stop.clone();
    let mut caller = Caller::new(number, rng, habits, context);
    loop {
        let pause = caller.call().await;
        if caller.broken_stream.is_none() || *stop.borrow() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

impl Caller {
    fn new(
        number: usize,
        rng: SmallRng,
        habits: CallerHabits,
        context: Arc<CallerContext>,
    ) -> Self {
        Caller {
            number,
            sent: 0,
            rng,
            habits,
            context,
            connection: None,
            broken_stream: None,
        }
    }

    /// Sends a request; returns the pause before the next one in milliseconds.
    async fn call(&mut self) -> u64 {
        if !self.habits.keeps_connections {
            self.connection = None;
        }
        let is_new = self.connection.is_none();
        if is_new {
            self.connection = self.connect().await;
        }
        let Some(mut connection) = self.connection.take() else {
            return self.fail_try();
        };
        if connection.sender.ready().await.is_err() {
            return if is_new { self.fail_try() } else { 0 };
        }
        let request = self.draw_request(&connection);
        let message = to_message(&request);
        let observer = self.context.observer.clone();
        let id = request.id.clone();
        observer.begin_request(request.clone());
        let leave_after = self.habits.leaves_early && self.rng.random_ratio(1, 4);
        let limit = match (leave_after, request.events) {
            (false, _) => request.time_limit,
            (true, 0) => ClockTime::from_millis(self.rng.random_range(LEAVE_CALL_MS)),
            (true, _) => ClockTime::from_millis(self.rng.random_range(LEAVE_STREAM_MS)),
        };
        let mut received = Vec::new();
        let reads_slowly = self.habits.reads_slowly;
        let exchange = exchange(&mut connection.sender, message, reads_slowly, &mut received);
        let result = tokio::select! {
            result = tokio::time::timeout(limit.to_duration(), exchange) => Some(result),
            () = told_to_leave(self.context.leave.clone(), self.number) => None,
        };
        let (outcome, is_usable, wait) = match result {
            Some(Ok(ExchangeEnd::NotSent)) => {
                observer.forget_request(&id);
                return if is_new { self.fail_try() } else { 0 };
            }
            Some(Ok(ExchangeEnd::Ended(outcome, is_usable, wait))) => (outcome, is_usable, wait),
            Some(Err(_)) if !leave_after => (Outcome::TimedOut, false, None),
            _ => (Outcome::Left, false, None),
        };
        if matches!(outcome, Outcome::Left | Outcome::TimedOut) {
            // Closes the connection at once.
            connection.driver.abort();
        }
        self.broken_stream = to_resumption(&request, &received, &outcome);
        observer.end_request(&id, outcome);
        if is_usable {
            self.connection = Some(connection);
        }
        self.pause(is_usable, wait)
    }

    /// Records that a new connection failed before a request was sent; returns the pause
    /// before the next try.
    fn fail_try(&mut self) -> u64 {
        self.context.observer.record_failed_try();
        self.rng.random_range(FAILURE_PAUSE_MS)
    }

    fn pause(&mut self, is_usable: bool, wait: Option<f64>) -> u64 {
        match wait {
            // One in four callers does not wait as it was told.
            Some(seconds) if !self.number.is_multiple_of(4) => {
                self.connection = None;
                ((seconds * 1_000.0) as u64).min(CALL_TIME_LIMIT.as_millis() / 3)
            }
            _ if is_usable && self.rng.random_ratio(1, 6) => {
                self.rng.random_range(0..IDLE_REUSE.as_millis())
            }
            _ if is_usable => self.rng.random_range(PAUSE_MS),
            _ => self.rng.random_range(FAILURE_PAUSE_MS),
        }
    }

    async fn connect(&mut self) -> Option<CallerConnection> {
        let vms = &self.context.vms;
        let zone = crate::vms::zone(self.number);
        let mut choices: Vec<&Arc<SoakVm>> = vms.iter().filter(|vm| vm.zone == zone).collect();
        if choices.iter().any(|vm| vm.is_in_rotation()) {
            choices.retain(|vm| vm.is_in_rotation());
        } else {
            choices = vms.iter().filter(|vm| vm.is_in_rotation()).collect();
        }
        if choices.is_empty() {
            return None;
        }
        let vm = choices[self.rng.random_range(0..choices.len())];
        let boot = vm.boot.load(Ordering::Relaxed);
        let connecting = TcpStream::connect(vm.callers);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = stream.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
        let (observer, index) = (self.context.observer.clone(), vm.index);
        let driver = tokio::spawn(async move {
            let error = driver.await.err().map(|error| error.to_string());
            // Hyper has no other way to tell this error apart.
            if let Some(error) = error.filter(|error| error.contains("unexpected")) {
                let detail = format!("vm-{index} sent bytes that nobody asked for: {error}");
                observer.report("answers matched to requests", detail);
            }
        });
        Some(CallerConnection {
            sender,
            vm: index,
            boot,
            driver: driver.abort_handle(),
        })
    }

    fn draw_request(&mut self, connection: &CallerConnection) -> CallerRequest {
        let (number, sent) = (self.number, self.sent);
        self.sent += 1;
        let id = format!("s{}c{number}n{sent}", self.context.seed);
        if let Some(broken) = self.broken_stream.take() {
            return CallerRequest {
                id,
                vm: connection.vm,
                boot: connection.boot,
                sent_at: self.context.observer.now(),
                ..broken
            };
        }
        let rng = &mut self.rng;
        let operators = &self.context.operators;
        let route = operators.draw_route(rng, self.habits.streams);
        let key = match route.is_public {
            true => None,
            false => Some(operators.draw_key(rng)),
        };
        let (kind, method, events) = match route.kind {
            RouteKind::Safe => (CallKind::Safe, "GET", 0),
            RouteKind::Unsafe => (CallKind::Unsafe, "POST", 0),
            RouteKind::Resumable => (
                CallKind::Stream { is_resumable: true },
                "POST",
                rng.random_range(5..60),
            ),
            RouteKind::Single => (
                CallKind::Stream {
                    is_resumable: false,
                },
                "POST",
                rng.random_range(5..40),
            ),
        };
        let single = match route.kind {
            RouteKind::Single => "single ",
            _ => "",
        };
        let body = match (events, method) {
            (0, "GET") => String::new(),
            (0, _) => format!("order of {id} ").repeat(rng.random_range(1..60)),
            _ => format!("events={events} {single}prompt of {id}"),
        };
        let crashing_part = self.context.crashing_part.borrow().clone();
        let crashing_part = crashing_part.filter(|_| events > 0 && rng.random_ratio(1, 5));
        CallerRequest {
            vm: connection.vm,
            boot: connection.boot,
            kind,
            method: method.to_owned(),
            path: format!("{}{}", route.prefix, rng.random_range(0..1_000)),
            body,
            key,
            crashing_part,
            events,
            last_event: 0,
            sent_at: self.context.observer.now(),
            time_limit: if events > 0 {
                STREAM_TIME_LIMIT
            } else {
                CALL_TIME_LIMIT
            },
            timeout: route.timeout,
            attempts: route.attempts,
            id,
        }
    }
}

/// Returns when a caller is told to leave.
async fn told_to_leave(mut leave: watch::Receiver<u64>, number: usize) {
    leave.borrow_and_update();
    // The sender lives as long as the soak.
    while leave.changed().await.is_ok() {
        let choice = *leave.borrow_and_update();
        if choice
            .wrapping_add(number as u64)
            .is_multiple_of(LEAVING_SHARE)
        {
            return;
        }
    }
    std::future::pending().await
}

/// Returns the request that resumes a stream; none if the stream is complete, was refused
/// for good, or has not begun.
fn to_resumption(
    request: &CallerRequest,
    received: &[u8],
    outcome: &Outcome,
) -> Option<CallerRequest> {
    let is_final = match outcome {
        Outcome::Response(response) => {
            response.is_complete && ![429, 503].contains(&response.status)
        }
        Outcome::Unparsable(_) => true,
        _ => false,
    };
    let events = String::from_utf8_lossy(received).matches("\n\n").count();
    let last_event = request.last_event + events as u64;
    let is_resumable = request.kind == CallKind::Stream { is_resumable: true };
    let is_broken = is_resumable && !is_final && (1..request.events).contains(&last_event);
    is_broken.then(|| CallerRequest {
        last_event,
        ..request.clone()
    })
}
