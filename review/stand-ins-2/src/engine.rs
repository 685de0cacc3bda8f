//! A stand-in for a model replica, which is a process of its own.
//!
//! `review-cases engine ID BORN` prints its address, and then a line for each thing that it
//! does, with the time of day in milliseconds. It backs up its runs as `X-Cache-Backup` asks,
//! moves them as `/-/kv-move` asks if the target has room, and goes on from the copies that it
//! holds as `Kv-From` asks.

use crate::http::{Connection, Message};
use crate::json::Value;
use crate::record::unix_ms;
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The events of a whole stream.
pub const EVENTS: u64 = 140;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// The prompt has 8,200 tokens, of which 8 are read in a millisecond.
const PREFILL_TIME: Duration = Duration::from_millis(1_025);
const RESUME_TIME: Duration = Duration::from_millis(60);
const BACKUP_INTERVAL: Duration = Duration::from_millis(250);
/// How long a copy is kept after its last part (`handle_s`).
const COPY_TIME: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Between engines: a copy arrives, whose name is the body.
const COPY_PATH: &str = "/-/stand-in-copy";
/// Between engines: is there room for a copy?
const ROOM_PATH: &str = "/-/stand-in-room";
const MEMORY_TOKENS: u64 = 88_000;
/// The tokens of a run or of its copy.
const RUN_TOKENS: u64 = 9_000;

struct Engine {
    id: String,
    born: u64,
    address: SocketAddr,
    /// The runs with the events that they have made.
    runs: Mutex<HashMap<String, u64>>,
    /// When the last part of a copy arrived, by its name: address and identifier.
    copies: Mutex<HashMap<String, Instant>>,
}

/// Runs an engine until it is killed.
pub fn run(words: &[String]) -> ExitCode {
    let [id, born] = words else {
        return ExitCode::from(2);
    };
    let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
        return ExitCode::from(2);
    };
    let Ok(address) = listener.local_addr() else {
        return ExitCode::from(2);
    };
    println!("{address}");
    let engine = Arc::new(Engine {
        id: id.clone(),
        born: born.parse().unwrap_or(0),
        address,
        runs: Mutex::default(),
        copies: Mutex::default(),
    });
    for stream in listener.incoming().flatten() {
        let engine = engine.clone();
        std::thread::spawn(move || engine.serve(Connection::new(stream)));
    }
    ExitCode::SUCCESS
}

impl Engine {
    fn log(&self, line: &str) {
        println!("{} {line}", unix_ms());
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_message() {
            if self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let instance = format!("X-Instance-Id: {}\r\n", self.id);
        let json = "Content-Type: application/json\r\n";
        let path = request.word(1);
        if path == "/health" {
            return connection.respond("200 OK", &instance, b"");
        }
        if path == "/-/report" {
            return connection.respond("200 OK", json, self.report().as_bytes());
        }
        if path == "/-/kv-list" {
            let body = format!(
                "{{\"epoch\":1,\"next\":0,\"held\":[],\"born\":{}}}",
                self.born
            );
            return connection.respond("200 OK", json, body.as_bytes());
        }
        if path == "/-/kv-move" {
            return match self.move_copy(request) {
                Some(reply) => connection.respond("200 OK", json, reply.as_bytes()),
                None => connection.respond("503 Service Unavailable", json, b"{}"),
            };
        }
        if path.starts_with("/-/kv-handle/") {
            return connection.respond("200 OK", json, b"{}");
        }
        if path == ROOM_PATH {
            return match self.used_tokens() + RUN_TOKENS <= MEMORY_TOKENS {
                true => connection.respond("200 OK", "", b""),
                false => connection.respond("503 Service Unavailable", "", b""),
            };
        }
        if path == COPY_PATH {
            let name = String::from_utf8_lossy(&request.body).into_owned();
            let mut copies = self.copies.lock().expect("no writer panics");
            copies.insert(name, Instant::now());
            return connection.respond("200 OK", "", b"");
        }
        let expected = request.header("x-expected-instance");
        if !expected.is_empty() && expected != self.id {
            return connection.respond("421 Misdirected Request", &instance, b"");
        }
        self.stream(connection, request)
    }

    fn report(&self) -> String {
        let runs = self.runs.lock().expect("no writer panics");
        let listed = runs
            .iter()
            .map(|(id, events)| format!("[\"{id}\",{},{events},5]", 8_200 + 8 * events));
        let listed = listed.collect::<Vec<_>>().join(",");
        let running = runs.len();
        drop(runs);
        let used = self.used_tokens();
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":1,\"waiting\":0,\"running\":{running},\"cache_used\":{used},\
             \"cache_total\":{MEMORY_TOKENS},\"handles\":0,\"pinned\":0,\"held\":0,\"runs\":[{listed}],\
             \"born\":{}}}",
            self.born
        )
    }

    fn used_tokens(&self) -> u64 {
        let runs = self.runs.lock().expect("no writer panics").len();
        let copies = self.copies.lock().expect("no writer panics");
        let copies = copies
            .values()
            .filter(|at| at.elapsed() < COPY_TIME)
            .count();
        RUN_TOKENS * (runs + copies) as u64
    }

    /// Copies a run to another engine; none if that has no room, or the run has ended.
    fn move_copy(&self, request: &Message) -> Option<String> {
        let body = Value::parse(&String::from_utf8_lossy(&request.body))?;
        let (id, target) = (body.text("id"), body.text("target"));
        let events = *self.runs.lock().expect("no writer panics").get(id)?;
        let target: SocketAddr = target.parse().ok()?;
        if !send(target, ROOM_PATH, "") {
            self.log(&format!("can't move {id} to {target}: there is no room"));
            return None;
        }
        let handle = format!("m-{id}");
        self.log(&format!("moves {id} to {target}"));
        send(target, COPY_PATH, &format!("{}/{handle}", self.address))
            .then(|| format!("{{\"handle\":\"{handle}\",\"created\":{events}}}"))
    }

    fn stream(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let id = request.header("x-attempt-id").to_owned();
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let (copy, backup) = (request.header("kv-from"), request.header("x-cache-backup"));
        self.log(&format!(
            "arrival {id} last={last} kv-from={copy} backup={backup}"
        ));
        let prepare = match copy.is_empty() {
            true => PREFILL_TIME,
            false if self.has_copy(copy) => RESUME_TIME,
            false => {
                self.log(&format!("refusal {id}"));
                return connection.respond("503 Service Unavailable", "X-Not-Executed: 1\r\n", b"");
            }
        };
        let born = self.born;
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: {}.{id}\r\n\
             X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Connection: close\r\n\r\n",
            self.id
        );
        std::thread::sleep(prepare);
        connection.write(head.as_bytes())?;
        self.log(&format!("run {id} from {}", last + 1));
        self.runs
            .lock()
            .expect("no writer panics")
            .insert(id.clone(), 0);
        connection.stream.set_read_timeout(Some(EVENT_INTERVAL))?;
        let result = self.write_events(connection, &id, last, backup.parse().ok(), born);
        self.runs.lock().expect("no writer panics").remove(&id);
        self.log(&format!("end {id} {}", result.is_ok()));
        connection.stream.set_read_timeout(None)?;
        result
    }

    fn write_events(
        &self,
        connection: &mut Connection,
        id: &str,
        last: u64,
        backup: Option<SocketAddr>,
        born: u64,
    ) -> std::io::Result<()> {
        let mut backed_up = Instant::now() - BACKUP_INTERVAL;
        for event in last + 1..=EVENTS {
            let text = format!("id: {event}\ndata: {born}-{event:04} 8 tokens of the letter\n\n");
            connection.write(text.as_bytes())?;
            let mut runs = self.runs.lock().expect("no writer panics");
            runs.insert(id.to_owned(), event);
            drop(runs);
            if let Some(target) = backup.filter(|_| backed_up.elapsed() >= BACKUP_INTERVAL) {
                backed_up = Instant::now();
                // The copy's name is that of its holder.
                let name = format!("{target}/{id}");
                std::thread::spawn(move || send(target, COPY_PATH, &name));
            }
            // The caller sends nothing, so reading waits, or tells that it has left.
            if connection.wait_for_close() {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        }
        // The stream ends with the connection, which is closed in order.
        connection.stream.shutdown(Shutdown::Both)
    }

    fn has_copy(&self, name: &str) -> bool {
        let copies = self.copies.lock().expect("no writer panics");
        copies.get(name).is_some_and(|at| at.elapsed() < COPY_TIME)
    }
}

/// Sends a message to an engine; reports whether it is answered 200.
fn send(target: SocketAddr, path: &str, body: &str) -> bool {
    let Ok(stream) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) else {
        return false;
    };
    let mut connection = Connection::new(stream);
    let length = body.len();
    let request =
        format!("POST {path} HTTP/1.1\r\nHost: engine\r\nContent-Length: {length}\r\n\r\n{body}");
    if connection.write(request.as_bytes()).is_err() {
        return false;
    }
    let answer = connection.read_message();
    answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200))
}
