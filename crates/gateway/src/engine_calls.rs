//! Calls to engines beside the requests that they run.

use crate::platform_api::{KvCacheCopy, WireProtocol};
use crate::upstreams::UpstreamState;
use bytes::Bytes;
use http::StatusCode;
use skylarkshed_core::{ClockTime, MonotonicClock};
use skylarkshed_http_link::{BufferedRequest, HttpConnection};
use skylarkshed_policy::{CopyKind, EngineLoad};
use std::net::SocketAddr;

/// A report of a living engine takes a round trip; a request waits for it.
const REPORT_LIMIT: ClockTime = ClockTime::from_millis(40);
/// A copy of a prompt takes 10 ms on an idle link between zones, and waits
/// behind others.
const COPY_LIMIT: ClockTime = ClockTime::from_millis(1_500);

/// Asks an engine for its report; none if it does not answer in time.
pub(crate) async fn ask_report<D: WireProtocol>(
    engine: &UpstreamState,
    clock: MonotonicClock,
) -> Option<EngineLoad> {
    let request = D::write_report_request(&engine.record);
    let body = ask(engine.record.address, request, REPORT_LIMIT).await;
    let report = body.and_then(|body| D::read_report(&body));
    let report = report.map(|report| EngineLoad {
        unreported: engine.unreported_prompts(clock.now()),
        ..report
    });
    report
        .map_err(|problem| {
            log::debug!(upstream:% = engine.name(); "no report: {problem}");
        })
        .ok()
}

/// Has an engine copy a running answer's memory to another.
pub(crate) async fn copy_memory<D: WireProtocol>(
    engine: &UpstreamState,
    request: &str,
    holder: &UpstreamState,
    clock: MonotonicClock,
) -> Option<KvCacheCopy> {
    let message = D::write_copy_request(&engine.record, request, holder.record.address);
    let made = clock.now();
    let body = ask(engine.record.address, message, COPY_LIMIT).await;
    let handle = body.and_then(|body| D::read_copy_reply(&body));
    match handle {
        Ok(handle) => Some(KvCacheCopy {
            holder: holder.name().clone(),
            address: engine.record.address,
            handle,
            kind: CopyKind::Snapshot { copied_at: made },
        }),
        Err(problem) => {
            log::info!(
                request,
                upstream:% = engine.name(),
                holder:% = holder.name();
                "memory not copied: {problem}"
            );
            None
        }
    }
}

/// Has an engine drop a copy that nobody needs any more.
pub(crate) async fn drop_copy<D: WireProtocol>(engine: &UpstreamState, copy: &KvCacheCopy) {
    let message = D::write_drop_request(&engine.record, &copy.handle);
    if let Err(problem) = ask(engine.record.address, message, COPY_LIMIT).await {
        // The engine drops it by itself after a while.
        log::debug!(upstream:% = engine.name(); "copy not dropped: {problem}");
    }
}

async fn ask(
    address: SocketAddr,
    request: BufferedRequest,
    limit: ClockTime,
) -> Result<Bytes, String> {
    let exchange = async {
        let mut link = HttpConnection::connect(address, limit).await?;
        link.exchange(request).await
    };
    match tokio::time::timeout(limit.to_duration(), exchange).await {
        Ok(Ok((StatusCode::OK, body))) => Ok(body),
        Ok(Ok((status, _))) => Err(format!("status {status}")),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err(format!("no answer within {} ms", limit.as_millis())),
    }
}
