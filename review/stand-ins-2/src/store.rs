//! A stand-in for the platform's metadata store.

use crate::base64;
use crate::http::{Connection, Message};
use crate::json::Value;
use crate::record::unix_ms;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The time of a transaction, and of any other answer.
const TRANSACTION_TIME: Duration = Duration::from_millis(3);

type RowName = (String, String, String);

#[derive(Clone)]
struct Row {
    /// None for a row that was removed.
    value: Option<Vec<u8>>,
    version: u64,
}

#[derive(Default)]
struct Tables {
    rows: BTreeMap<RowName, Row>,
    version: u64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    tables: Arc<(Mutex<Tables>, Condvar)>,
    started: Instant,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store {
            address: listener.local_addr()?,
            tables: Arc::default(),
            started: Instant::now(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes a row of the operator or of a replica.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        self.write(table, key, Some(value.as_bytes().to_vec()))
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) -> u64 {
        let (tables, changed) = &*self.tables;
        let mut tables = tables.lock().expect("no writer panics");
        tables.version += 1;
        let version = tables.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        tables.rows.insert(name, Row { value, version });
        changed.notify_all();
        version
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_message() {
            let target = request.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query = parse_query(query);
            let (status, body) = match path {
                "/-/rows-get" => self.read(&query),
                "/-/rows-feed" => self.feed(&query),
                "/-/rows-tx" => self.change(&request),
                _ => ("404 Not Found", String::new()),
            };
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if connection
                .respond(status, headers, body.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn read(&self, query: &HashMap<String, String>) -> (&'static str, String) {
        std::thread::sleep(TRANSACTION_TIME);
        let value = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (value("table"), value("part"), value("from"));
        let limit = value("limit").parse().unwrap_or(500).min(500);
        let tables = self.tables.0.lock().expect("no writer panics");
        let rows = tables.rows.iter().filter(|(name, row)| {
            name.0 == table && name.1 == part && name.2 >= from && row.value.is_some()
        });
        let mut rows: Vec<_> = rows.take(limit + 1).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        let rows: Vec<String> = rows.iter().map(|(name, row)| to_json(name, row)).collect();
        let body = format!(
            "{{\"rows\":[{}],\"more_pages\":{has_more},\"schema_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            tables.version,
            self.started.elapsed().as_millis(),
        );
        ("200 OK", body)
    }

    fn feed(&self, query: &HashMap<String, String>) -> (&'static str, String) {
        let value = |name: &str| query.get(name).cloned().unwrap_or_default();
        let table = value("table");
        let after: u64 = value("after_revision").parse().unwrap_or(0);
        let wait: u64 = value("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (tables, changed) = &*self.tables;
        let mut tables = tables.lock().expect("no writer panics");
        loop {
            let rows = tables.rows.iter();
            let mut rows: Vec<_> = rows
                .filter(|(name, row)| name.0 == table && row.version > after)
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, row)| row.version);
                let rows: Vec<String> = rows.iter().map(|(name, row)| to_json(name, row)).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"schema_version\":{},\"now_ms\":{}}}",
                    rows.join(","),
                    tables.version,
                    self.started.elapsed().as_millis(),
                );
                return ("200 OK", body);
            }
            tables = changed
                .wait_timeout(tables, left)
                .expect("no writer panics")
                .0;
        }
    }

    fn change(&self, request: &Message) -> (&'static str, String) {
        std::thread::sleep(TRANSACTION_TIME);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Value::parse(&body) else {
            return ("400 Bad Request", String::new());
        };
        let name = |entry: &Value| -> RowName {
            let field = |name: &str| entry.text(name).to_owned();
            (field("table"), field("part"), field("key"))
        };
        let (tables, changed) = &*self.tables;
        let mut tables = tables.lock().expect("no writer panics");
        let entries = || body.list("put").iter().chain(body.list("remove"));
        if entries().any(|entry| matches!(entry.text("table"), "op" | "servers")) {
            return ("403 Forbidden", "{}".to_owned());
        }
        for condition in body.list("expected_revision") {
            let row = tables.rows.get(&name(condition));
            let version = row
                .filter(|row| row.value.is_some())
                .map_or(0, |row| row.version);
            if version != condition.number("schema_version") {
                let now_ms = self.started.elapsed().as_millis();
                let body = format!(
                    "{{\"rows\":[],\"schema_version\":{},\"now_ms\":{now_ms}}}",
                    tables.version
                );
                return ("412 Precondition Failed", body);
            }
        }
        tables.version += 1;
        let version = tables.version;
        for entry in body.list("put") {
            let value = Some(base64::decode(entry.text("value")));
            tables.rows.insert(name(entry), Row { value, version });
        }
        for entry in body.list("remove") {
            let value = None;
            tables.rows.insert(name(entry), Row { value, version });
        }
        changed.notify_all();
        let now_ms = self.started.elapsed().as_millis();
        let body = format!("{{\"schema_version\":{version},\"now_ms\":{now_ms}}}");
        ("200 OK", body)
    }
}

fn to_json((table, part, key): &RowName, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{}\"", base64::encode(value)),
        None => "\"removed\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"schema_version\":{}}}",
        row.version
    )
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.replace("%00", "\0")))
        .collect()
}

/// A replica's entry, which is renewed until it is dropped from the store.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub born: u64,
}

impl Entry {
    pub fn new(id: &str, service: &str, address: SocketAddr, zone: &str, slots: u32) -> Self {
        Entry {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            slots,
            born: unix_ms(),
        }
    }

    /// Writes the entry of a replica that is ready.
    pub fn write(&self, store: &Store, sequence: u64) {
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        );
        store.put("servers", &self.id, &text);
    }
}

/// Writes a replica's heartbeats as long as it lives.
pub struct Heartbeats {
    is_alive: Arc<Mutex<bool>>,
    entry: Entry,
    store: Store,
}

impl Heartbeats {
    pub const INTERVAL: Duration = Duration::from_millis(1_200);

    pub fn start(store: &Store, entry: Entry) -> Self {
        let is_alive = Arc::new(Mutex::new(true));
        entry.write(store, 1);
        let (shared, beating, target) = (is_alive.clone(), entry.clone(), store.clone());
        std::thread::spawn(move || {
            for sequence in 2.. {
                std::thread::sleep(Heartbeats::INTERVAL);
                let is_alive = shared.lock().expect("no writer panics");
                if !*is_alive {
                    return;
                }
                beating.write(&target, sequence);
            }
        });
        Heartbeats {
            is_alive,
            entry,
            store: store.clone(),
        }
    }

    /// The replica has crashed: it sends nothing more, and its entry goes after three
    /// intervals of silence.
    pub fn stop(&self) {
        *self.is_alive.lock().expect("no writer panics") = false;
        let (store, id) = (self.store.clone(), self.entry.id.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Heartbeats::INTERVAL * 3);
            store.remove("servers", &id);
        });
    }
}
