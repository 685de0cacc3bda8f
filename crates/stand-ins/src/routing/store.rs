//! A fake of the store that the gateway reads and watches.

use super::endless_response::EndlessResponse;
use super::store_messages::{parse_query, reply, row, substitute, MAX_PAGE_BYTES, MAX_PAGE_ROWS};
use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    /// It responds.
    #[default]
    Available,
    /// It responds with 503.
    Unavailable,
    /// It never responds and executes nothing.
    Unresponsive,
    /// It executes nothing and responds on new connections without an end.
    Endless(EndlessResponse),
}

#[derive(Clone, Debug)]
struct ChangeEntry {
    revision: u64,
    table: String,
    key: String,
    value: Option<Vec<u8>>,
}

#[derive(Debug)]
struct StoreState {
    started: std::time::Instant,
    revision: u64,
    rows: BTreeMap<(String, String), (u64, Vec<u8>)>,
    history: Vec<ChangeEntry>,
    /// Changes up to this revision have been dropped from the history.
    compacted_revision: u64,
    /// The number of calls by path.
    calls: HashMap<String, u64>,
    /// How often the store has returned from an older copy.
    era: u64,
    /// The addresses that replace others in the entries that VMs write.
    substitutes: HashMap<String, String>,
}

/// A copy of the store's rows.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    revision: u64,
    rows: BTreeMap<(String, String), (u64, Vec<u8>)>,
}

/// A fake store that runs until it is dropped.
#[derive(Debug)]
pub struct FakeStore {
    address: SocketAddr,
    service: StoreService,
    mode: watch::Sender<StoreMode>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for FakeStore {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Clone, Debug)]
struct StoreService {
    state: Arc<Mutex<StoreState>>,
    mode: watch::Receiver<StoreMode>,
    changed: watch::Sender<u64>,
}

impl FakeStore {
    /// Starts an empty store on a free port.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let state = Arc::new(Mutex::new(StoreState {
            started: std::time::Instant::now(),
            revision: 0,
            rows: BTreeMap::new(),
            history: Vec::new(),
            compacted_revision: 0,
            calls: HashMap::new(),
            era: 1,
            substitutes: HashMap::new(),
        }));
        let (mode, mode_receiver) = watch::channel(StoreMode::Available);
        let (changed, _) = watch::channel(0);
        let service = StoreService {
            state,
            mode: mode_receiver,
            changed,
        };
        let task = tokio::spawn(serve(listener, service.clone()));
        FakeStore {
            address,
            service,
            mode,
            task,
        }
    }

    /// Returns the address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a row with a JSON value.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_raw(table, key, value.to_string().into_bytes());
    }

    /// Writes a row with any bytes as its value.
    pub fn put_raw(&self, table: &str, key: &str, value: Vec<u8>) {
        self.change(table, key, Some(value));
    }

    /// Returns a row's value; `None` if it is missing or not JSON.
    pub fn row(&self, table: &str, key: &str) -> Option<Value> {
        let state = lock(&self.service.state);
        let (_, value) = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        serde_json::from_slice(value).ok()
    }

    /// Returns the number of rows of a table.
    pub fn row_count(&self, table: &str) -> usize {
        let state = lock(&self.service.state);
        let keys = state.rows.keys();
        keys.filter(|(other, _)| other == table).count()
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    /// Drops the change history; watchers that have not received all of it get
    /// `410 Gone`.
    pub fn compact_history(&self) {
        let mut state = lock(&self.service.state);
        state.compacted_revision = state.revision;
        state.history.clear();
    }

    /// Returns a copy of the store's rows.
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.service.state);
        StoreCopy {
            revision: state.revision,
            rows: state.rows.clone(),
        }
    }

    /// Returns from an older copy: all later changes are lost, and their revisions are
    /// given to other changes.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = lock(&self.service.state);
        state.revision = copy.revision;
        state.rows = copy.rows.clone();
        state.history.clear();
        state.compacted_revision = copy.revision;
        state.era += 1;
        let revision = state.revision;
        drop(state);
        self.service.changed.send_replace(revision);
    }

    /// Replaces an address in the entries that VMs write from now on, so that other VMs
    /// connect to a proxy.
    pub fn substitute_address(&self, address: SocketAddr, proxy: SocketAddr) {
        let mut state = lock(&self.service.state);
        let (address, proxy) = (address.to_string(), proxy.to_string());
        state.substitutes.insert(address, proxy);
    }

    /// Sets how the store responds from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        self.mode.send_replace(mode);
    }

    /// Returns the number of calls received.
    pub fn call_count(&self) -> u64 {
        lock(&self.service.state).calls.values().sum()
    }

    /// Returns the number of calls with this path.
    pub fn call_count_of(&self, path: &str) -> u64 {
        let state = lock(&self.service.state);
        state.calls.get(path).copied().unwrap_or(0)
    }

    fn change(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.service.write(table, key, value);
    }
}

impl StoreService {
    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let id = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => state.rows.insert(id, (revision, value.clone())),
            None => state.rows.remove(&id),
        };
        state.history.push(ChangeEntry {
            revision,
            table: table.to_owned(),
            key: key.to_owned(),
            value,
        });
        drop(state);
        self.changed.send_replace(revision);
    }
}

fn lock(state: &Mutex<StoreState>) -> std::sync::MutexGuard<'_, StoreState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(listener: TcpListener, service: StoreService) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let service = service.clone();
        if let StoreMode::Endless(endless) = *service.mode.borrow() {
            tokio::spawn(async move { endless.send(&mut stream, "").await });
            continue;
        }
        let respond = service_fn(move |request| respond(service.clone(), request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), respond);
        tokio::spawn(async move {
            // The client sees the broken connection.
            let _ = connection.await;
        });
    }
}

async fn respond(
    service: StoreService,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = respond_in_era(&service, request).await;
    let era = lock(&service.state).era;
    response.headers_mut().insert("store-era", era.into());
    Ok(response)
}

async fn respond_in_era(
    service: &StoreService,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    *lock(&service.state).calls.entry(path).or_default() += 1;
    let mode = *service.mode.borrow();
    match mode {
        StoreMode::Available => {}
        StoreMode::Unavailable => return reply(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
        StoreMode::Unresponsive => std::future::pending().await,
        StoreMode::Endless(_) => {
            let mut response = reply(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
            return response;
        }
    }
    if request.uri().path() == "/-/rows-tx" {
        return change_rows(service, request).await;
    }
    let fields = parse_query(&request);
    let table = fields.get("table").cloned().unwrap_or_default();
    match request.uri().path() {
        "/-/rows-get" => get_rows(&lock(&service.state), &table, &fields),
        "/-/rows-feed" => feed_rows(service, &table, &fields).await,
        _ => reply(StatusCode::NOT_FOUND, &json!({})),
    }
}

async fn change_rows(service: &StoreService, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let body = request.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let Ok(change) = serde_json::from_slice::<Value>(&body) else {
        return reply(StatusCode::BAD_REQUEST, &json!({}));
    };
    let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
    let entries = |name: &str| change[name].as_array().cloned().unwrap_or_default();
    let has_conflict = entries("expected_revision").iter().any(|row| {
        let id = (text(row, "table"), text(row, "key"));
        let state = lock(&service.state);
        let revision = state.rows.get(&id).map_or(0, |(revision, _)| *revision);
        revision != row["schema_version"].as_u64().unwrap_or_default()
    });
    if has_conflict {
        return reply(StatusCode::PRECONDITION_FAILED, &json!({"rows": []}));
    }
    for row in entries("put") {
        let value = BASE64_STANDARD.decode(text(&row, "value")).ok();
        let value = value.map(|value| substitute(&lock(&service.state).substitutes, value));
        service.write(&text(&row, "table"), &text(&row, "key"), value);
    }
    for row in entries("remove") {
        service.write(&text(&row, "table"), &text(&row, "key"), None);
    }
    let revision = lock(&service.state).revision;
    reply(StatusCode::OK, &json!({"schema_version": revision}))
}

fn get_rows(
    state: &StoreState,
    table: &str,
    fields: &HashMap<String, String>,
) -> Response<Full<Bytes>> {
    let from = fields.get("from").map_or("", String::as_str);
    let limit = fields.get("limit").and_then(|text| text.parse().ok());
    let limit = limit.unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
    let later = state.rows.iter().filter(|((name, _), _)| name == table);
    let later = later.filter(|((_, key), _)| key.as_str() >= from);
    let mut later = later.peekable();
    let (mut rows, mut bytes) = (Vec::new(), 0);
    while let Some(((_, key), (revision, value))) =
        later.next_if(|_| rows.len() < limit && bytes < MAX_PAGE_BYTES)
    {
        bytes += value.len();
        rows.push(row(table, key, *revision, Some(value)));
    }
    let body = json!({
        "rows": rows,
        "more_pages": later.peek().is_some(),
        "schema_version": state.revision,
        "now_ms": now_ms(state),
    });
    reply(StatusCode::OK, &body)
}

async fn feed_rows(
    service: &StoreService,
    table: &str,
    fields: &HashMap<String, String>,
) -> Response<Full<Bytes>> {
    let number = |name: &str| fields.get(name).and_then(|text| text.parse().ok());
    let after: u64 = number("after_revision").unwrap_or(0);
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
    let deadline = tokio::time::Instant::now() + wait;
    let mut changed = service.changed.subscribe();
    loop {
        changed.borrow_and_update();
        let (rows, revision, compacted_revision) = changes(&lock(&service.state), table, after);
        if after < compacted_revision || after > revision {
            return reply(StatusCode::GONE, &json!({}));
        }
        let is_expired = tokio::time::Instant::now() >= deadline;
        if !rows.is_empty() || is_expired {
            let body = json!({"rows": rows, "schema_version": revision});
            return reply(StatusCode::OK, &body);
        }
        tokio::select! {
            // `service` owns the sender, so this can't fail.
            _ = changed.changed() => {}
            () = tokio::time::sleep_until(deadline) => {}
        }
    }
}

/// Returns a table's changes after a revision, the store's revision and the revision
/// up to which the history was dropped.
fn changes(state: &StoreState, table: &str, after: u64) -> (Vec<Value>, u64, u64) {
    let entries = state.history.iter();
    let entries = entries.filter(|entry| entry.table == table && entry.revision > after);
    let rows = entries.map(|entry| row(table, &entry.key, entry.revision, entry.value.as_deref()));
    (rows.collect(), state.revision, state.compacted_revision)
}

/// Returns the milliseconds since the store started, from a monotonic clock.
fn now_ms(state: &StoreState) -> u64 {
    u64::try_from(state.started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
