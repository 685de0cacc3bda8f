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

/// A report of hundreds of requests and a list of thousands of cached parts fit in it.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Why there is no load report of an engine.
#[derive(Debug, Error)]
pub(crate) enum ReportError {
    /// Another process has the engine's address.
    #[error("the report is of another engine")]
    OtherProcess,
    /// The engine did not respond in time, or the report can't be read.
    #[error("{0}")]
    Failed(String),
}

/// Requests an engine's load report; none if it does not respond in time.
pub(crate) async fn request_report<P: WireProtocol>(
    state: &GatewayState,
    engine: &UpstreamState,
) -> Option<EngineLoad> {
    let report = fetch_report::<P>(state, engine).await;
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
) -> Result<EngineLoad, ReportError> {
    let request = P::write_report_request(&engine.record);
    let body = call_engine::<P>(state, engine, request, REPORT_TIMEOUT).await;
    let report = body.and_then(|body| P::read_report(&body));
    let report = report.map_err(ReportError::Failed)?;
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

async fn call_engine<P: WireProtocol>(
    state: &GatewayState,
    engine: &UpstreamState,
    request: Result<BufferedRequest, MessageError>,
    timeout: ClockTime,
) -> Result<Bytes, String> {
    let request = request.map_err(|error| error.to_string())?;
    if engine.is_deferred(state.config.now()) {
        return Err("the engine asked for no requests for a while".to_owned());
    }
    let exchange = async {
        let mut connection = HttpConnection::connect(engine.record.address, timeout).await?;
        connection.exchange(request, MAX_REPLY_BYTES).await
    };
    let response = match tokio::time::timeout(timeout.to_duration(), exchange).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(error.to_string()),
        Err(_) => return Err(format!("no response within {} ms", timeout.as_millis())),
    };
    let (parts, body) = response.into_parts();
    engine.record_head(&P::read_response(&parts), state.config.now());
    match parts.status {
        StatusCode::OK => Ok(body),
        status => Err(format!("status {status}")),
    }
}
