//! A replica, as a process of its own: `review-case replica ...`.
//!
//! It runs what it receives, writes a line for each request to its log, and answers 421 to a
//! request that is meant for another replica.

use crate::http::{read_request, Message};
use crate::options::Options;
use crate::record::unix_ms;
use std::fs::OpenOptions;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

struct Replica {
    id: String,
    service: String,
    born: u64,
    log: String,
    /// How long it works on a request.
    work: Duration,
    /// One of so many answers has no length; none if it is 0.
    unframed_every: u64,
    /// The time that passes within an answer without a length.
    unframed_pause: Duration,
    requests: AtomicU64,
    /// How long it takes to answer a question for its state.
    report: Duration,
    /// Whether its streams have no length.
    has_unframed_streams: bool,
    /// The events of a stream and the time between two of them; no events for an application.
    events: u64,
    interval: Duration,
}

/// Returns the whole body of an application's answer to a request.
pub fn whole_body(request: &str) -> String {
    let line = format!(
        "{{\"request\":\"{request}\",\"line\":\"0123456789abcdefghijklmnopqrstuvwxyz\"}}\n"
    );
    line.repeat(10) + "{\"end\":true}\n"
}

/// Returns an event of a stream.
pub fn event(request: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request} token {number}\n\n")
}

/// Serves until it is killed.
pub fn run(options: &Options) -> ! {
    let replica = Arc::new(Replica {
        id: options.text("id"),
        service: options.text("service"),
        born: options.number("born"),
        log: options.text("log"),
        work: Duration::from_millis(options.number("work-ms")),
        unframed_every: options.number("unframed-every"),
        unframed_pause: Duration::from_millis(options.number("unframed-ms")),
        requests: AtomicU64::new(0),
        report: Duration::from_millis(options.number("report-ms")),
        has_unframed_streams: options.number("unframed-streams") > 0,
        events: options.number("events"),
        interval: Duration::from_millis(options.number("interval-ms")),
    });
    let listener = TcpListener::bind(options.text("address")).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let replica = replica.clone();
        std::thread::spawn(move || replica.serve(stream));
    }
    unreachable!("a listener has no end")
}

impl Replica {
    fn note(&self, what: &str, request: &Message) {
        let header = |name| request.header(name).unwrap_or("-");
        let line = format!(
            "{} {what} replica={} service={} born={} request={} {} {} tenant={} last={} from={} backup={}\n",
            unix_ms(),
            self.id,
            self.service,
            self.born,
            header("x-attempt-id"),
            request.method(),
            request.target(),
            header("x-tenant"),
            header("last-event-id"),
            header("kv-from"),
            header("x-cache-backup"),
        );
        let file = OpenOptions::new().append(true).create(true).open(&self.log);
        let written = file.and_then(|mut file| file.write_all(line.as_bytes()));
        written.expect("the log can be written");
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(request) = read_request(&mut reader) {
            if self.answer(&mut stream, &request).is_err() {
                return;
            }
            if request.header("connection") == Some("close") {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let path = request.target();
        if path == "/-/report" {
            std::thread::sleep(self.report);
            let report = format!(
                "{{\"born\":{},\"stage\":\"both\",\"busy\":false,\"sequence\":1,\"waiting\":0,\
                 \"running\":0,\"cache_used\":0,\"cache_total\":88000,\"handles\":0}}",
                self.born
            );
            return respond(stream, "200 OK", "", &report);
        }
        if path == "/health" {
            let header = format!("X-Instance-Id: {}\r\n", self.id);
            return respond(stream, "200 OK", &header, "");
        }
        // There is no room for a copy at another replica.
        if path == "/-/kv-move" {
            return respond(stream, "503 Service Unavailable", "", "{}");
        }
        if path.starts_with("/-/") {
            return respond(stream, "200 OK", "", "{\"epoch\":1,\"next\":1,\"held\":[]}");
        }
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            self.note("421", request);
            let header = format!("X-Not-Executed: 1\r\nX-Instance-Id: {}\r\n", self.id);
            return respond(stream, "421 Misdirected Request", &header, "");
        }
        self.note("run", request);
        std::thread::sleep(self.work);
        let id = request.header("x-attempt-id").unwrap_or("").to_owned();
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Server-Signature: {}.{}.{id}\r\n",
            self.id, self.born
        );
        if self.events > 0 {
            return self.stream(stream, &headers, &id, request);
        }
        let body = whole_body(&id);
        let number = self.requests.fetch_add(1, Ordering::Relaxed) + 1;
        if self.unframed_every == 0 || !number.is_multiple_of(self.unframed_every) {
            respond(stream, "200 OK", &headers, &body)?;
            self.note("answered", request);
            return Ok(());
        }
        let head = format!("HTTP/1.1 200 OK\r\n{headers}Connection: close\r\n\r\n");
        let (first, second) = body.split_at(body.len() / 2);
        stream.write_all((head + first).as_bytes())?;
        self.note("half-answered", request);
        std::thread::sleep(self.unframed_pause);
        stream.write_all(second.as_bytes())?;
        self.note("answered", request);
        // The end of the connection is the end of the answer.
        Err(std::io::ErrorKind::ConnectionAborted.into())
    }

    fn stream(
        &self,
        stream: &mut TcpStream,
        headers: &str,
        id: &str,
        request: &Message,
    ) -> std::io::Result<()> {
        let framing = match self.has_unframed_streams {
            true => "Connection: close",
            false => "Transfer-Encoding: chunked",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        for number in last.unwrap_or(0u64) + 1..=self.events {
            std::thread::sleep(self.interval);
            let event = event(id, number);
            match self.has_unframed_streams {
                true => stream.write_all(event.as_bytes())?,
                false => {
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    stream.write_all(chunk.as_bytes())?;
                }
            }
        }
        self.note("answered", request);
        match self.has_unframed_streams {
            // The end of the connection is the end of the answer.
            true => Err(std::io::ErrorKind::ConnectionAborted.into()),
            false => stream.write_all(b"0\r\n\r\n"),
        }
    }
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> std::io::Result<()> {
    let length = body.len();
    let response = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(response.as_bytes())
}
