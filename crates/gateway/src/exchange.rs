//! One send of a request to one upstream, on a connection of its own.
//!
//! A connection that carried another request may hold its late answer, may be
//! dead without a sign, or may be closed by the upstream as the request leaves.
//! A new one costs a handshake and proves that the upstream is there before
//! anything is sent.

use crate::counters;
use crate::deadline::RequestDeadline;
use crate::gateway_state::GatewayState;
use crate::platform_api::{RequestHead, ResponseHead, SendOptions, WireProtocol};
use crate::upstreams::{LoadGuard, UpstreamState};
use bytes::Bytes;
use http::header::CONTENT_ENCODING;
use http::{request, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use skylarkshed_core::{ClockTime, CustomerName, RouteConfig, ServiceName};
use skylarkshed_http_link::{strip_connection_headers, ConnectionError, HttpConnection};
use skylarkshed_policy::VersionRule;
use std::sync::Arc;

/// A connection takes 1 ms and a round trip of 3 ms between zones; a slow VM is
/// ten times slower. What takes longer is dead, or a packet was lost.
const CONNECT_LIMIT: ClockTime = ClockTime::from_millis(100);

/// A caller's request, checked and with its whole body.
pub(crate) struct CallerRequest {
    pub(crate) parts: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) head: RequestHead,
    pub(crate) route: Arc<RouteConfig>,
    pub(crate) service: ServiceName,
    pub(crate) customer: Option<CustomerName>,
    /// Which versions of the service may get it.
    pub(crate) versions: VersionRule,
    pub(crate) deadline: RequestDeadline,
}

impl CallerRequest {
    pub(crate) fn id(&self) -> &str {
        &self.head.request
    }

    /// Returns an order to send the request as it came.
    pub(crate) fn order<'a>(&'a self, upstream: &'a UpstreamState) -> SendOptions<'a> {
        SendOptions {
            request: &self.head.request,
            upstream: &upstream.record,
            customer: self.customer.as_ref(),
            time_left: self.deadline.left(),
            resume_after: self.head.resume_after,
            copy_from: None,
            copy_to: None,
        }
    }
}

/// A response whose body is still to come; dropping it stops the upstream's work.
pub(crate) struct LiveAnswer {
    pub(crate) head: ResponseHead,
    pub(crate) parts: response::Parts,
    body: Incoming,
    _link: HttpConnection,
    _load: LoadGuard,
}

/// Why a send brought no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendFailure {
    /// Nothing was sent.
    Unsent,
    /// The upstream may have run the request.
    Broken,
}

impl LiveAnswer {
    /// Returns the next bytes of the body, or none at its end.
    pub(crate) async fn next_bytes(&mut self) -> Result<Option<Bytes>, SendFailure> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| SendFailure::Broken)?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
        Ok(None)
    }

    /// Returns the whole body.
    pub(crate) async fn collect(&mut self) -> Result<Bytes, SendFailure> {
        let body = (&mut self.body).collect().await;
        body.map(|body| body.to_bytes())
            .map_err(|_| SendFailure::Broken)
    }

    /// Tells whether the head is that of a whole and proper success.
    pub(crate) fn is_success(&self) -> bool {
        self.parts.status.is_success()
            && self.head.is_signed
            && !self.parts.headers.contains_key(CONTENT_ENCODING)
    }
}

/// Sends a request and returns the head of the upstream's response.
pub(crate) async fn send<D: WireProtocol>(
    state: &GatewayState,
    request: &CallerRequest,
    upstream: &UpstreamState,
    order: &SendOptions<'_>,
) -> Result<LiveAnswer, SendFailure> {
    let load = upstream.begin();
    let limit = CONNECT_LIMIT.min(request.deadline.left());
    let connected = HttpConnection::connect(upstream.record.address, limit).await;
    let mut link = connected.map_err(|error| note_failure(state, request, upstream, &error))?;
    let order = SendOptions {
        time_left: request.deadline.left(),
        ..*order
    };
    let message = D::write_request(&request.parts, request.body.clone(), &order);
    let sent = link.send(message).await;
    let response = sent.map_err(|error| note_failure(state, request, upstream, &error))?;
    let (mut parts, body) = response.into_parts();
    let head = D::read_answer(&parts);
    strip_connection_headers(&mut parts.headers);
    if head.is_misdirected {
        upstream.retire();
    }
    if head.request.as_ref().is_some_and(|id| id != request.id()) {
        counters::count_bad_answer("crossed");
        return Err(SendFailure::Broken);
    }
    Ok(LiveAnswer {
        head,
        parts,
        body,
        _link: link,
        _load: load,
    })
}

fn note_failure(
    state: &GatewayState,
    request: &CallerRequest,
    upstream: &UpstreamState,
    error: &ConnectionError,
) -> SendFailure {
    upstream.suspect(state.clock.now());
    let failure = match error.is_unsent() {
        true => SendFailure::Unsent,
        false => SendFailure::Broken,
    };
    log::info!(
        request = request.id(),
        upstream:% = upstream.name(),
        zone:% = upstream.record.zone,
        is_unsent = error.is_unsent(),
        after_ms = request.deadline.passed().as_millis();
        "send failed: {error}"
    );
    failure
}
