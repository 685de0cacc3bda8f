//! The platform's metadata store: rows, transactions and change feeds.

use crate::http::{read_request, Message};
use crate::json::{to_base64, Json};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The maximum size of the values in one page.
const PAGE_BYTES: usize = 1_000_000;

/// Table, part and key.
type RowName = (String, String, String);

#[derive(Clone)]
struct Row {
    name: RowName,
    /// Base64, or none if the row was removed.
    value: Option<String>,
    revision: u64,
}

impl Row {
    fn to_json(&self) -> String {
        let (table, part, key) = &self.name;
        let rest = match &self.value {
            Some(value) => format!("\"value\":\"{value}\""),
            None => "\"removed\":true".to_owned(),
        };
        format!(
            "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{rest},\
             \"schema_version\":{}}}",
            self.revision
        )
    }
}

#[derive(Default)]
struct Rows {
    current: BTreeMap<RowName, Row>,
    /// The last change of each row, with removals.
    changes: BTreeMap<u64, Vec<Row>>,
    revision: u64,
}

impl Rows {
    fn apply(&mut self, changes: Vec<(RowName, Option<String>)>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        for (name, value) in changes {
            let row = Row {
                name: name.clone(),
                value,
                revision,
            };
            match row.value {
                Some(_) => self.current.insert(name, row.clone()),
                None => self.current.remove(&name),
            };
            self.changes.entry(revision).or_default().push(row);
        }
        revision
    }
}

/// The store; clones share its rows.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            address: listener.local_addr().expect("it is bound"),
            rows: Arc::default(),
            started: Instant::now(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row, or removes it; returns once the store has accepted that.
    pub fn put(&self, table: &str, part: &str, key: &str, value: Option<&str>) {
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        let value = value.map(|value| to_base64(value.as_bytes()));
        self.rows
            .0
            .lock()
            .expect("no panic")
            .apply(vec![(name, value)]);
        self.rows.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            let path = request.target().split('?').next().unwrap_or("").to_owned();
            let (status, body) = match (request.method(), path.as_str()) {
                ("GET", "/-/rows-get") => (200, self.read(&request)),
                ("GET", "/-/rows-feed") => (200, self.watch(&request)),
                ("POST", "/-/rows-tx") => self.change(&request),
                _ => (404, "{}".to_owned()),
            };
            let response = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                 Store-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn reply(&self, rows: &[&Row], has_more: bool, revision: u64) -> String {
        let rows: Vec<String> = rows.iter().map(|row| row.to_json()).collect();
        format!(
            "{{\"rows\":[{}],\"more_pages\":{has_more},\"schema_version\":{revision},\
             \"now_ms\":{}}}",
            rows.join(","),
            self.started.elapsed().as_millis()
        )
    }

    /// Reads a range of one part of a table.
    fn read(&self, request: &Message) -> String {
        let (table, part) = (request.query("table"), request.query("part"));
        let from = decode_percent(&request.query("from"));
        let limit = request.query("limit").parse().unwrap_or(500usize).min(500);
        let rows = self.rows.0.lock().expect("no panic");
        let is_wanted =
            |row: &&Row| row.name.0 == table && row.name.1 == part && row.name.2 >= from;
        let found: Vec<&Row> = rows.current.values().filter(is_wanted).collect();
        let mut bytes = 0;
        let fits = found.iter().take(limit).take_while(|row| {
            bytes += row.value.as_ref().map_or(0, |value| value.len() / 4 * 3);
            bytes <= PAGE_BYTES
        });
        let count = fits.count();
        self.reply(&found[..count], found.len() > count, rows.revision)
    }

    /// Waits for changes of a table, which are those of all its parts.
    fn watch(&self, request: &Message) -> String {
        let table = request.query("table");
        let after: u64 = request.query("after_revision").parse().unwrap_or(0);
        let wait = request.query("wait_ms").parse().unwrap_or(0).min(30_000);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.0.lock().expect("no panic");
        loop {
            let changes = rows.changes.range(after + 1..).flat_map(|(_, rows)| rows);
            let changed: Vec<&Row> = changes.filter(|row| row.name.0 == table).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                return self.reply(&changed, false, rows.revision);
            }
            rows = self.rows.1.wait_timeout(rows, left).expect("no panic").0;
        }
    }

    /// Applies all entries of a transaction, or none.
    fn change(&self, request: &Message) -> (u16, String) {
        let Some(call) = Json::parse(&request.text()) else {
            return (400, "{}".to_owned());
        };
        let name = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let entries = || call.list("put").iter().chain(call.list("remove"));
        if entries().any(|entry| ["op", "servers"].contains(&entry.text("table").as_str())) {
            return (403, "{}".to_owned());
        }
        let mut rows = self.rows.0.lock().expect("no panic");
        let is_expected = |entry: &Json| {
            let row = rows.current.get(&name(entry));
            row.map_or(0, |row| row.revision) == entry.number("schema_version")
        };
        if !call.list("expected_revision").iter().all(is_expected) {
            return (412, self.reply(&[], false, rows.revision));
        }
        let puts = call.list("put").iter();
        let puts = puts.map(|entry| (name(entry), Some(entry.text("value"))));
        let removals = call.list("remove").iter().map(|entry| (name(entry), None));
        let revision = rows.apply(puts.chain(removals).collect());
        self.rows.1.notify_all();
        (200, self.reply(&[], false, revision))
    }
}

/// Decodes a parameter of a query.
fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let code = others.get(..2).filter(|_| *first == b'%');
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        bytes.push(code.unwrap_or(*first));
        rest = match code {
            Some(_) => &others[2..],
            None => others,
        };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
