//! A model replica: streams of events, and load reports.

use crate::http::{read_message, write_response, Message};
use crate::record::Record;
use crate::replica::Arrival;
use std::io::{BufReader, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How many events a stream has.
pub const EVENTS: u64 = 140;
const PREFILL: Duration = Duration::from_millis(1_000);
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// An engine that serves until it crashes.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    service: String,
    record: Record,
    /// The requests that have reached it.
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// The requests whose first event it has sent and that it still answers, with the first
    /// part of their prompts.
    begun: Arc<Mutex<Vec<(String, String)>>>,
    running: Arc<AtomicU64>,
    has_crashed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Engine {
    pub fn start(record: &Record, service: &str, id: &str, zone: &str, address: IpAddr) -> Engine {
        let listener = TcpListener::bind((address, 0)).expect("a free port");
        listener.set_nonblocking(true).expect("a socket option");
        let engine = Engine {
            id: id.to_owned(),
            address: listener.local_addr().expect("it is bound"),
            zone: zone.to_owned(),
            service: service.to_owned(),
            record: record.clone(),
            arrivals: Arc::default(),
            begun: Arc::default(),
            running: Arc::default(),
            has_crashed: Arc::default(),
            connections: Arc::default(),
        };
        let accepting = engine.clone();
        std::thread::spawn(move || {
            // A crash closes the listener.
            while !accepting.has_crashed() {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(other) = stream.try_clone() {
                    accepting.connections.lock().unwrap().push(other);
                }
                let engine = accepting.clone();
                std::thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Returns its entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let Engine {
            service,
            address,
            zone,
            ..
        } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":16,"state":"{state}","cold_remaining_ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":1,"born":1700000000000}}"#
        )
    }

    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::SeqCst)
    }

    /// Reports whether a request has reached it.
    pub fn has_seen(&self, id: &str) -> bool {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().any(|arrival| arrival.id == id)
    }

    /// Returns the number of streams that have begun and go on, by the first part of their
    /// prompts.
    pub fn begun(&self, part: &str) -> usize {
        let begun = self.begun.lock().unwrap();
        begun.iter().filter(|(_, first)| first == part).count()
    }

    /// Ends: all connections break, and no new one is accepted.
    pub fn crash(&self) -> u64 {
        self.has_crashed.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.note(&format!("engine {}: crashes", self.id))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        if let Ok(Some(request)) = read_message(&mut reader) {
            let _ = self.respond(&request, &mut writer);
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn respond(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let json = "Content-Type: application/json\r\n";
        let path = request.target().split('?').next().unwrap_or("");
        match (request.method(), path) {
            ("GET", "/-/report") => {
                let running = self.running.load(Ordering::Relaxed);
                let used = running * 8_200;
                let body = format!(
                    r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"waiting":0,"running":{running},"cache_used":{used},"cache_total":88000,"handles":0,"runs":[]}}"#
                );
                write_response(writer, 200, json, body.as_bytes())
            }
            ("GET", "/-/kv-list") => {
                write_response(writer, 200, json, br#"{"epoch":1,"next":1,"held":[]}"#)
            }
            // There is no room for a copy.
            ("POST", "/-/kv-move") => write_response(writer, 503, "", b""),
            ("DELETE", _) => write_response(writer, 200, json, b"{}"),
            _ => self.generate(request, writer),
        }
    }

    fn generate(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let own = &self.id;
        let Some(id) = request.header("x-attempt-id").map(str::to_owned) else {
            return write_response(writer, 400, "X-Not-Executed: 1\r\n", b"");
        };
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != own) {
            return write_response(writer, 421, &format!("X-Instance-Id: {own}\r\n"), b"");
        }
        if request.header("kv-from").is_some() {
            self.record
                .note(&format!("engine {own}: it has no copy of {id}"));
            return write_response(writer, 503, "X-Not-Executed: 1\r\n", b"");
        }
        let last = request.header("last-event-id");
        let last: u64 = last.and_then(|last| last.parse().ok()).unwrap_or(0);
        let text = format!("engine {own}: {id} arrives, last event {last}");
        let at = self.record.note(&text);
        let arrival = Arrival { id: id.clone(), at };
        self.arrivals.lock().unwrap().push(arrival);
        self.running.fetch_add(1, Ordering::Relaxed);
        let parts = request.header("x-prompt-prefix").unwrap_or("");
        let part = parts.split(':').next().unwrap_or("").to_owned();
        let result = self.stream(&id, &part, last, writer);
        self.running.fetch_sub(1, Ordering::Relaxed);
        self.begun.lock().unwrap().retain(|(begun, _)| *begun != id);
        let end = match result {
            Ok(()) => "has ended",
            Err(_) => "broke off",
        };
        self.record.note(&format!("engine {own}: {id} {end}"));
        result
    }

    fn stream(
        &self,
        id: &str,
        part: &str,
        last: u64,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        std::thread::sleep(PREFILL);
        let own = &self.id;
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
             X-Server-Signature: sig.{own}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for number in last + 1..=EVENTS {
            if self.has_crashed() {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {number}\ndata: token-{number}\n\n");
            write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
            writer.flush()?;
            if number == last + 1 {
                let begun = (id.to_owned(), part.to_owned());
                self.begun.lock().unwrap().push(begun);
            }
            std::thread::sleep(EVENT_INTERVAL);
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
