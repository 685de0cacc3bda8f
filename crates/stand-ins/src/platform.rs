//! A fake platform: table, object store and VM list, with injected faults.

use crate::response;
use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use skylarkshed_platform::wire::{
    ListedVm, ObjectGet, ObjectPut, ObjectReply, ReadReply, ReadRequest, ScanReply, ScanRequest,
    TableRow, Transaction, TransactionReply, VmListing,
};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use volo_http::response::Response;
use volo_http::server::route::{post, Router};

/// The faults injected into the fake platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Rejects every request with 503.
    pub out: bool,
    /// Delay of each response, in milliseconds.
    pub delay_ms: u64,
    /// Number of next transactions that take effect but whose reply is lost.
    pub lose_replies: u64,
}

/// A request to the fake platform's `/control`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformControl {
    /// The faults to inject from now on; unchanged if missing.
    pub faults: Option<PlatformFaults>,
    /// The new VM list; unchanged if missing.
    pub vms: Option<Vec<ListedVm>>,
}

#[derive(Default)]
struct PlatformState {
    rows: BTreeMap<String, TableRow>,
    objects: HashMap<String, String>,
    listing: VmListing,
    faults: PlatformFaults,
    writes: u64,
    reads: u64,
}

type SharedState = Arc<Mutex<PlatformState>>;

/// Runs the fake platform on `address`.
///
/// # Errors
///
/// Returns an error if it can't listen on `address`.
pub async fn run_platform(address: SocketAddr) -> std::io::Result<()> {
    let state = SharedState::default();
    let router = Router::new()
        .route("/table/transact", handler_route(&state, transact))
        .route("/table/read", handler_route(&state, read))
        .route("/table/scan", handler_route(&state, scan))
        .route("/objects/put", handler_route(&state, put))
        .route("/objects/get", handler_route(&state, get))
        .route("/vms", handler_route(&state, list))
        .route("/counts", handler_route(&state, counts))
        .route("/control", control(&state));
    response::serve(address, router).await
}

type Handler = fn(&mut PlatformState, &[u8]) -> Result<Response, StatusCode>;

fn handler_route(state: &SharedState, handler: Handler) -> volo_http::server::route::MethodRouter {
    let state = state.clone();
    post(move |body: Bytes| {
        let state = state.clone();
        async move { handle(&state, handler, &body).await }
    })
}

async fn handle(state: &SharedState, handler: Handler, body: &[u8]) -> Response {
    let delay_ms = state.lock().expect("not poisoned").faults.delay_ms;
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    let mut state = state.lock().expect("not poisoned");
    if state.faults.out {
        return response::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    handler(&mut state, body).unwrap_or_else(response::status)
}

fn control(state: &SharedState) -> volo_http::server::route::MethodRouter {
    let state = state.clone();
    post(move |body: Bytes| {
        let state = state.clone();
        async move {
            let request: PlatformControl = match response::parse(&body) {
                Ok(request) => request,
                Err(status) => return response::status(status),
            };
            let mut state = state.lock().expect("not poisoned");
            state.faults = request.faults.unwrap_or_else(|| state.faults.clone());
            state.listing.vms = request.vms.unwrap_or_else(|| state.listing.vms.clone());
            response::json(&())
        }
    })
}

fn transact(state: &mut PlatformState, body: &[u8]) -> Result<Response, StatusCode> {
    let transaction: Transaction = response::parse(body)?;
    let version_of = |key: &str| state.rows.get(key).map_or(0, |row| row.version);
    let conditions = transaction.conditions.iter().enumerate();
    let failed: Vec<usize> = conditions
        .filter(|(_, condition)| version_of(&condition.key) != condition.version)
        .map(|(index, _)| index)
        .collect();
    let committed = failed.is_empty();
    state.writes += 1;
    if committed {
        for write in transaction.writes {
            write_row(state, write.key, write.value);
        }
        if state.faults.lose_replies > 0 {
            state.faults.lose_replies -= 1;
            return Err(StatusCode::BAD_GATEWAY);
        }
    }
    Ok(response::json(&TransactionReply { committed, failed }))
}

fn write_row(state: &mut PlatformState, key: String, value: Option<String>) {
    let Some(value) = value else {
        state.rows.remove(&key);
        return;
    };
    let version = state.rows.get(&key).map_or(0, |row| row.version) + 1;
    state.rows.insert(
        key.clone(),
        TableRow {
            key,
            version,
            value,
        },
    );
}

fn read(state: &mut PlatformState, body: &[u8]) -> Result<Response, StatusCode> {
    let request: ReadRequest = response::parse(body)?;
    state.reads += 1;
    Ok(response::json(&ReadReply {
        row: state.rows.get(&request.key).cloned(),
    }))
}

fn scan(state: &mut PlatformState, body: &[u8]) -> Result<Response, StatusCode> {
    let request: ScanRequest = response::parse(body)?;
    state.reads += 1;
    let start = request.after.clone().max(request.prefix.clone());
    let rows = state.rows.range(start..).map(|(_, row)| row);
    let rows = rows.filter(|row| row.key > request.after);
    let rows = rows.take_while(|row| row.key.starts_with(&request.prefix));
    Ok(response::json(&ScanReply {
        rows: rows.take(request.limit).cloned().collect(),
    }))
}

fn put(state: &mut PlatformState, body: &[u8]) -> Result<Response, StatusCode> {
    let request: ObjectPut = response::parse(body)?;
    state.writes += 1;
    state.objects.insert(request.key, request.content);
    Ok(response::json(&()))
}

fn get(state: &mut PlatformState, body: &[u8]) -> Result<Response, StatusCode> {
    let request: ObjectGet = response::parse(body)?;
    state.reads += 1;
    Ok(response::json(&ObjectReply {
        content: state.objects.get(&request.key).cloned(),
    }))
}

fn list(state: &mut PlatformState, _body: &[u8]) -> Result<Response, StatusCode> {
    state.reads += 1;
    Ok(response::json(&state.listing))
}

fn counts(state: &mut PlatformState, _body: &[u8]) -> Result<Response, StatusCode> {
    Ok(response::json(&(state.reads, state.writes)))
}
