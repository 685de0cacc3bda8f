//! Control calls to engines: load reports and KV cache copies.

use crate::gateway_state::GatewayState;
use crate::message_error::MessageError;
use crate::platform_api::{KvCacheCopy, WireProtocol};
use crate::upstreams::UpstreamState;
use bytes::Bytes;
use http::StatusCode;
use skylarkshed_core::ClockTime;
use skylarkshed_http_link::{BufferedRequest, HttpConnection};
use skylarkshed_policy::{CopyKind, EngineLoad, UpstreamHealth};
use thiserror::Error;

/// A live engine reports within a round trip, and a request waits for the report.
const REPORT_TIMEOUT: ClockTime = ClockTime::from_millis(40);
/// Copying the KV cache of a prompt takes 10 ms on an idle network path between
/// zones, but copies queue behind each other.
const COPY_TIMEOUT: ClockTime = ClockTime::from_millis(1_500);

/// Why an engine that asked for a pause is not called.
const DEFERRED: &str = "the engine asked for no requests for a while";

/// A report of hundreds of requests and a list of thousands of cached parts fit in it.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Why a call to an engine failed.
#[derive(Debug, Error)]
enum CallError {
    /// It was not made.
    #[error("{0}")]
    NotMade(String),
    /// It got no response.
    #[error("{0}")]
    NoResponse(String),
    /// The response is not a success.
    #[error("status {0}")]
    Status(StatusCode),
}

/// Why there is no load report of an engine.
#[derive(Debug, Error)]
pub(crate) enum ReportError {
    /// Another process has the engine's address.
    #[error("the report is of another engine")]
    OtherProcess,
    /// The process at the engine's address answers something else.
    #[error("the answer is not a report: {0}")]
    NoReport(String),
    /// The engine did not respond in time, or is too busy.
    #[error("{0}")]
    Failed(String),
}

impl From<CallError> for ReportError {
    fn from(error: CallError) -> Self {
        let is_busy = |status: StatusCode| {
            status.is_server_error()
                || status == StatusCode::TOO_MANY_REQUESTS
                || status == StatusCode::REQUEST_TIMEOUT
        };
        match &error {
            CallError::Status(status) if !is_busy(*status) => {
                ReportError::NoReport(error.to_string())
            }
            _ => ReportError::Failed(error.to_string()),
        }
    }
}

/// Requests an engine's load report; none if it does not respond in time, or wants no
/// requests for a while.
pub(crate) async fn request_report<P: WireProtocol>(
    state: &GatewayState,
    engine: &UpstreamState,
) -> Option<EngineLoad> {
    if engine.is_deferred(state.config.now()) {
        log::debug!(upstream:% = engine.name(); "no load report: {DEFERRED}");
        return None;
    }
    let report = fetch_report::<P>(state, engine, REPORT_TIMEOUT).await;
    report
        .map_err(|error| {
            log::debug!(upstream:% = engine.name(); "no load report: {error}");
        })
        .ok()
}

/// Requests an engine's load report, and retires an engine whose address has another
/// process.
pub(crate) async fn fetch_report<P: WireProtocol>(
    state: &GatewayState,
    engine: &UpstreamState,
    timeout: ClockTime,
) -> Result<EngineLoad, ReportError> {
    let request = P::write_report_request(&engine.record);
    let body = exchange::<P>(state, engine, request, timeout).await?;
    let report = P::read_report(&body).map_err(ReportError::NoReport)?;
    if engine.record.is_other_start(report.started) {
        engine.retire();
        log::info!(upstream:% = engine.name(); "the address of an engine belongs to another one");
        return Err(ReportError::OtherProcess);
    }
    let now = state.clock.now();
    Ok(EngineLoad {
        unreported: engine.unreported_prompts(now),
        is_suspect: engine.health(now) == UpstreamHealth::Suspect,
        ..report
    })
}

/// Asks an engine whether its KV cache has a part of a prompt; false if it does not
/// respond in time.
pub(crate) async fn has_cached<P: WireProtocol>(
    state: &GatewayState,
    engine: &UpstreamState,
    part: &str,
) -> bool {
    let request = P::write_cache_request(&engine.record);
    let body = call_engine::<P>(state, engine, request, REPORT_TIMEOUT).await;
    match body.and_then(|body| P::read_cache_reply(&body)) {
        Ok(parts) => parts.iter().any(|cached| cached == part),
        Err(problem) => {
            log::debug!(upstream:% = engine.name(); "no list of the KV cache: {problem}");
            false
        }
    }
}

/// Makes an engine copy a running request's KV cache to another engine.
pub(crate) async fn copy_kv_cache<P: WireProtocol>(
    state: &GatewayState,
    engine: &UpstreamState,
    request: &str,
    holder: &UpstreamState,
) -> Option<KvCacheCopy> {
    let message = P::write_copy_request(&engine.record, request, holder.record.address);
    let copied_at = state.clock.now();
    let body = call_engine::<P>(state, engine, message, COPY_TIMEOUT).await;
    let handle = body.and_then(|body| P::read_copy_reply(&body));
    match handle {
        Ok(handle) => Some(KvCacheCopy {
            holder: holder.name().clone(),
            address: engine.record.address,
            handle,
            kind: CopyKind::Snapshot { copied_at },
        }),
        Err(problem) => {
            log::info!(
                request,
                upstream:% = engine.name(),
                holder:% = holder.name();
                "KV cache not copied: {problem}"
            );
            None
        }
    }
}

/// Makes an engine drop a copy that is no longer needed.
pub(crate) async fn drop_copy<P: WireProtocol>(
    state: &GatewayState,
    engine: &UpstreamState,
    copy: &KvCacheCopy,
) {
    let message = P::write_drop_request(&engine.record, &copy.handle);
    if let Err(problem) = call_engine::<P>(state, engine, message, COPY_TIMEOUT).await {
        // The engine drops it by itself when its retention time ends.
        log::debug!(upstream:% = engine.name(); "KV cache copy not dropped: {problem}");
    }
}

/// Makes a call to an engine unless it wants no requests for a while.
async fn call_engine<P: WireProtocol>(
    state: &GatewayState,
    engine: &UpstreamState,
    request: Result<BufferedRequest, MessageError>,
    timeout: ClockTime,
) -> Result<Bytes, String> {
    if engine.is_deferred(state.config.now()) {
        return Err(DEFERRED.to_owned());
    }
    let body = exchange::<P>(state, engine, request, timeout).await;
    body.map_err(|error| error.to_string())
}

async fn exchange<P: WireProtocol>(
    state: &GatewayState,
    engine: &UpstreamState,
    request: Result<BufferedRequest, MessageError>,
    timeout: ClockTime,
) -> Result<Bytes, CallError> {
    let request = request.map_err(|error| CallError::NotMade(error.to_string()))?;
    let exchange = async {
        let mut connection = HttpConnection::connect(engine.record.address, timeout).await?;
        connection.exchange(request, MAX_REPLY_BYTES).await
    };
    let response = match tokio::time::timeout(timeout.to_duration(), exchange).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(CallError::NoResponse(error.to_string())),
        Err(_) => {
            let problem = format!("no response within {} ms", timeout.as_millis());
            return Err(CallError::NoResponse(problem));
        }
    };
    let (parts, body) = response.into_parts();
    engine.record_head(&P::read_response(&parts), state.config.now());
    match parts.status {
        StatusCode::OK => Ok(body),
        status => Err(CallError::Status(status)),
    }
}
