//! A fake platform: table, object store and list of VMs, with outages.

use crate::reply;
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

/// What goes wrong in the fake platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Refuses everything.
    pub out: bool,
    /// Milliseconds that each answer waits.
    pub delay_ms: u64,
    /// Transactions from now on that take effect but whose reply is lost.
    pub lose_replies: u64,
}

/// A request to the fake platform's `/control`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformControl {
    /// New faults, if any.
    pub faults: Option<PlatformFaults>,
    /// A new list of VMs, if any.
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

/// Runs the fake platform.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub async fn run_platform(address: SocketAddr) -> std::io::Result<()> {
    let state = SharedState::default();
    let router = Router::new()
        .route("/table/transact", operation(&state, transact))
        .route("/table/read", operation(&state, read))
        .route("/table/scan", operation(&state, scan))
        .route("/objects/put", operation(&state, put))
        .route("/objects/get", operation(&state, get))
        .route("/vms", operation(&state, list))
        .route("/counts", operation(&state, counts))
        .route("/control", control(&state));
    reply::serve(address, router).await
}

type Operation = fn(&mut PlatformState, &[u8]) -> Result<Response, StatusCode>;

fn operation(state: &SharedState, run: Operation) -> volo_http::server::route::MethodRouter {
    let state = state.clone();
    post(move |body: Bytes| {
        let state = state.clone();
        async move { answer(&state, run, &body).await }
    })
}

async fn answer(state: &SharedState, run: Operation, body: &[u8]) -> Response {
    let delay_ms = state.lock().expect("not poisoned").faults.delay_ms;
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    let mut state = state.lock().expect("not poisoned");
    if state.faults.out {
        return reply::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    run(&mut state, body).unwrap_or_else(reply::status)
}

fn control(state: &SharedState) -> volo_http::server::route::MethodRouter {
    let state = state.clone();
    post(move |body: Bytes| {
        let state = state.clone();
        async move {
            let switch: PlatformControl = match reply::parse(&body) {
                Ok(switch) => switch,
                Err(refusal) => return reply::status(refusal),
            };
            let mut state = state.lock().expect("not poisoned");
            state.faults = switch.faults.unwrap_or_else(|| state.faults.clone());
            state.listing.vms = switch.vms.unwrap_or_else(|| state.listing.vms.clone());
            reply::json(&())
        }
    })
}

fn transact(state: &mut PlatformState, body: &[u8]) -> Result<Response, StatusCode> {
    let transaction: Transaction = reply::parse(body)?;
    let version_of = |key: &str| state.rows.get(key).map_or(0, |row| row.version);
    let conditions = transaction.conditions.iter().enumerate();
    let failed: Vec<usize> = conditions
        .filter(|(_, condition)| version_of(&condition.key) != condition.version)
        .map(|(place, _)| place)
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
    Ok(reply::json(&TransactionReply { committed, failed }))
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
    let request: ReadRequest = reply::parse(body)?;
    state.reads += 1;
    Ok(reply::json(&ReadReply {
        row: state.rows.get(&request.key).cloned(),
    }))
}

fn scan(state: &mut PlatformState, body: &[u8]) -> Result<Response, StatusCode> {
    let request: ScanRequest = reply::parse(body)?;
    state.reads += 1;
    let start = request.after.clone().max(request.prefix.clone());
    let rows = state.rows.range(start..).map(|(_, row)| row);
    let rows = rows.filter(|row| row.key > request.after);
    let rows = rows.take_while(|row| row.key.starts_with(&request.prefix));
    Ok(reply::json(&ScanReply {
        rows: rows.take(request.limit).cloned().collect(),
    }))
}

fn put(state: &mut PlatformState, body: &[u8]) -> Result<Response, StatusCode> {
    let request: ObjectPut = reply::parse(body)?;
    state.writes += 1;
    state.objects.insert(request.key, request.content);
    Ok(reply::json(&()))
}

fn get(state: &mut PlatformState, body: &[u8]) -> Result<Response, StatusCode> {
    let request: ObjectGet = reply::parse(body)?;
    state.reads += 1;
    Ok(reply::json(&ObjectReply {
        content: state.objects.get(&request.key).cloned(),
    }))
}

fn list(state: &mut PlatformState, _body: &[u8]) -> Result<Response, StatusCode> {
    state.reads += 1;
    Ok(reply::json(&state.listing))
}

fn counts(state: &mut PlatformState, _body: &[u8]) -> Result<Response, StatusCode> {
    Ok(reply::json(&(state.reads, state.writes)))
}
