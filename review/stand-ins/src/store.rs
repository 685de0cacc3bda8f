//! The platform's store: tables of rows, changes under a condition, change feeds.

use crate::base64;
use crate::http::{read_message, write_response, Message};
use crate::json::Json;
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

type RowKey = (String, String);

struct Change {
    revision: u64,
    table: String,
    key: String,
    /// The value in base64; none for a removed row.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// The revision and the value in base64 of each row.
    rows: BTreeMap<RowKey, (u64, String)>,
    changes: Vec<Change>,
    connections: u64,
    /// Connections with a lower number are silent for good.
    silent_below: u64,
    /// How many watches of each table have begun.
    watches: BTreeMap<String, u64>,
}

/// A store that runs until the process ends.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    record: Record,
    start: Instant,
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start(record: &Record) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            address: listener.local_addr().expect("it is bound"),
            record: record.clone(),
            start: Instant::now(),
            state: Arc::default(),
            changed: Arc::default(),
        };
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                let number = {
                    let mut state = store.state.lock().unwrap();
                    state.connections += 1;
                    state.connections
                };
                std::thread::spawn(move || store.serve(stream, number));
            }
        });
        store
    }

    /// Writes a row; returns the time of the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let value = base64::encode(value.as_bytes());
        self.change(table, key, Some(value));
        self.record
            .note(&format!("store: {table}/{key} is written"))
    }

    /// Removes a row; returns the time of the acknowledgement.
    pub fn remove(&self, table: &str, key: &str) -> u64 {
        self.change(table, key, None);
        self.record
            .note(&format!("store: {table}/{key} is removed"))
    }

    /// Returns a row's value in base64; none if it is missing.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let (_, value) = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        Some(value.clone())
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.silent_below = state.connections + 1;
        drop(state);
        self.record
            .note("store: the open connections go silent, new ones work")
    }

    /// Waits until a watch of a table begins.
    pub fn wait_for_watch(&self, table: &str) {
        let mut state = self.state.lock().unwrap();
        let count = |state: &State| state.watches.get(table).copied().unwrap_or(0);
        let known = count(&state);
        while count(&state) == known {
            state = self.changed.wait(state).unwrap();
        }
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        apply(&mut state, table, key, value);
        self.changed.notify_all();
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.state.lock().unwrap().silent_below
    }

    fn serve(&self, stream: TcpStream, number: u64) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (status, body) = self.respond(&request);
            if self.is_silent(number) {
                // Nothing more arrives, and the connection stays open.
                loop {
                    std::thread::park();
                }
            }
            let kind = "Content-Type: application/json\r\n";
            if write_response(&mut writer, status, kind, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let path = request.target().split('?').next().unwrap_or("");
        match (request.method(), path) {
            ("POST", "/-/rows-tx") => self.transact(request),
            ("GET", "/-/rows-get") => self.read(request),
            ("GET", "/-/rows-feed") => self.watch(request),
            _ => (404, String::new()),
        }
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        std::thread::sleep(Duration::from_millis(3));
        let body = String::from_utf8_lossy(&request.body);
        let Some(body) = Json::parse(&body) else {
            return (400, String::new());
        };
        let mut state = self.state.lock().unwrap();
        let conflicts = body.items("expected_revision").iter().any(|row| {
            let key = (row.text("table").to_owned(), row.text("key").to_owned());
            let revision = state.rows.get(&key).map_or(0, |(revision, _)| *revision);
            revision != row.number("schema_version")
        });
        if conflicts {
            let rows = body.items("expected_revision").iter().filter_map(|row| {
                let key = (row.text("table").to_owned(), row.text("key").to_owned());
                let (revision, value) = state.rows.get(&key)?;
                Some(row_text(&key.0, &key.1, *revision, Some(value)))
            });
            let rows: Vec<String> = rows.collect();
            return (412, self.reply(&state, &rows));
        }
        let names = body.items("put").iter().chain(body.items("remove"));
        if names
            .clone()
            .any(|row| ["op", "servers"].contains(&row.text("table")))
        {
            return (403, String::new());
        }
        state.revision += 1;
        for row in body.items("put") {
            let value = Some(row.text("value").to_owned());
            apply(&mut state, row.text("table"), row.text("key"), value);
            let name = format!("{}/{}", row.text("table"), row.text("key"));
            self.record
                .note(&format!("store: {name} is written by a VM"));
        }
        for row in body.items("remove") {
            apply(&mut state, row.text("table"), row.text("key"), None);
            let name = format!("{}/{}", row.text("table"), row.text("key"));
            self.record
                .note(&format!("store: {name} is removed by a VM"));
        }
        self.changed.notify_all();
        (200, self.reply(&state, &[]))
    }

    fn read(&self, request: &Message) -> (u16, String) {
        std::thread::sleep(Duration::from_millis(4));
        let state = self.state.lock().unwrap();
        let table = request.query("table").unwrap_or("");
        let from = request.query("from").unwrap_or("").replace("%00", "\0");
        let limit = request.query("limit").and_then(|limit| limit.parse().ok());
        let rows = state.rows.iter();
        let rows = rows.filter(|((owner, key), _)| owner == table && *key >= from);
        let rows = rows
            .map(|((owner, key), (revision, value))| row_text(owner, key, *revision, Some(value)));
        let rows: Vec<String> = rows.take(limit.unwrap_or(500)).collect();
        (200, self.reply(&state, &rows))
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let table = request.query("table").unwrap_or("").to_owned();
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after_revision").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        *state.watches.entry(table.clone()).or_default() += 1;
        self.changed.notify_all();
        loop {
            let changes = state.changes.iter();
            let changes = changes.filter(|change| change.table == table && change.revision > after);
            let rows = changes.map(|change| {
                row_text(
                    &change.table,
                    &change.key,
                    change.revision,
                    change.value.as_ref(),
                )
            });
            let rows: Vec<String> = rows.collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.reply(&state, &rows));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn reply(&self, state: &State, rows: &[String]) -> String {
        format!(
            r#"{{"rows":[{}],"more_pages":false,"schema_version":{},"now_ms":{}}}"#,
            rows.join(","),
            state.revision,
            self.start.elapsed().as_millis() + 1_000
        )
    }
}

fn apply(state: &mut State, table: &str, key: &str, value: Option<String>) {
    let revision = state.revision;
    let name = (table.to_owned(), key.to_owned());
    match &value {
        Some(value) => drop(state.rows.insert(name, (revision, value.clone()))),
        None => drop(state.rows.remove(&name)),
    }
    state.changes.push(Change {
        revision,
        table: table.to_owned(),
        key: key.to_owned(),
        value,
    });
}

fn row_text(table: &str, key: &str, revision: u64, value: Option<&String>) -> String {
    let value = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""removed":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"","key":"{key}",{value},"schema_version":{revision}}}"#)
}
