//! A fake plain application that counts how often each call ran.

use crate::response;
use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use skylarkshed_upstream::wire::{CALL_ID_HEADER, CALL_KEY_HEADER};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use volo_http::body::BodyConversion;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParamsVec;
use volo_http::server::route::{get, post, Router};

/// The faults injected into the fake application.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ApplicationFaults {
    /// Delay of each response after the call ran, in milliseconds.
    pub delay_ms: u64,
    /// Number of next responses that echo another call's identifier.
    pub crossed: u64,
    /// Number of next calls that run and then get a server error.
    pub fail: u64,
    /// Exits the process.
    pub die: bool,
}

/// How often each call ran, by idempotency key or else by body.
pub type CallCounts = BTreeMap<String, u64>;

#[derive(Default)]
struct ApplicationState {
    counts: CallCounts,
    faults: ApplicationFaults,
}

type SharedState = Arc<Mutex<ApplicationState>>;

/// Runs the fake application on `address`.
///
/// # Errors
///
/// Returns an error if it can't listen on `address`.
pub async fn run_application(address: SocketAddr) -> std::io::Result<()> {
    let state = SharedState::default();
    let (calls, counts, control) = (state.clone(), state.clone(), state);
    let router = Router::new()
        .route(
            "/calls/{route}",
            post(move |params: PathParamsVec, request: Request| {
                let state = calls.clone();
                async move { run_call(&state, &route_param(params), request).await }
            }),
        )
        .route(
            "/counts",
            get(move || {
                let state = counts.clone();
                async move { response::json(&state.lock().expect("not poisoned").counts) }
            }),
        )
        .route(
            "/control",
            post(move |body: Bytes| {
                let state = control.clone();
                async move { set_faults(&state, &body) }
            }),
        );
    response::serve(address, router).await
}

fn route_param(params: PathParamsVec) -> String {
    params
        .into_iter()
        .next()
        .map(|(_, value)| value.to_string())
        .unwrap_or_default()
}

async fn run_call(state: &SharedState, route: &str, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.into_bytes().await else {
        return response::status(StatusCode::BAD_REQUEST);
    };
    let headers = &parts.headers;
    let text = String::from_utf8_lossy(&body).into_owned();
    let header = |name| {
        headers
            .get(name)
            .and_then(|value: &HeaderValue| value.to_str().ok())
    };
    let key = header(CALL_KEY_HEADER).map_or_else(|| text.clone(), str::to_owned);
    let (run, faults) = count_run(state, key);
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    let mut response = match faults.fail {
        0 => response::json(&serde_json::json!({"route": route, "run": run, "echo": text})),
        _ => response::status(StatusCode::INTERNAL_SERVER_ERROR),
    };
    let call_id = if faults.crossed > 0 {
        "another"
    } else {
        header(CALL_ID_HEADER).unwrap_or("")
    };
    if let Ok(value) = HeaderValue::from_str(call_id) {
        response.headers_mut().insert(CALL_ID_HEADER, value);
    }
    response
}

fn count_run(state: &SharedState, key: String) -> (u64, ApplicationFaults) {
    let mut state = state.lock().expect("not poisoned");
    let faults = state.faults.clone();
    state.faults.crossed = faults.crossed.saturating_sub(1);
    state.faults.fail = faults.fail.saturating_sub(1);
    let run = state.counts.entry(key).or_default();
    *run += 1;
    (*run, faults)
}

fn set_faults(state: &SharedState, body: &[u8]) -> Response {
    match response::parse::<ApplicationFaults>(body) {
        Ok(faults) if faults.die => std::process::exit(1),
        Ok(faults) => {
            state.lock().expect("not poisoned").faults = faults;
            response::json(&())
        }
        Err(status) => response::status(status),
    }
}
