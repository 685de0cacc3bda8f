//! Sends a request to one upstream, on a new connection.
//!
//! Connections are not reused: a used one may still deliver a late response to an
//! earlier request, may be dead without notice, or may be closed by the upstream
//! while the request is being sent. A new one costs a handshake, but shows that the
//! upstream is reachable before anything is sent.

use crate::counters;
use crate::deadline::RequestDeadline;
use crate::gateway_state::GatewayState;
use crate::platform_api::{RequestHead, ResponseHead, SendOptions, WireProtocol};
use crate::process_witness::ProcessWitness;
use crate::upstreams::{LoadGuard, UpstreamState};
use bytes::Bytes;
use http::header::CONTENT_ENCODING;
use http::{request, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use skylarkshed_core::{ClockTime, CustomerName, RequestKind, RouteConfig, ServiceName};
use skylarkshed_http_link::{is_close_delimited, strip_connection_headers};
use skylarkshed_http_link::{read_body_within, BodyBudget, BodyError, BodyLimits};
use skylarkshed_http_link::{ConnectionError, HttpConnection};
use skylarkshed_policy::{ProcessCheck, VersionFilter};
use std::sync::Arc;

/// A connection takes 1 ms and a round trip of 3 ms between zones; a slow VM takes
/// ten times as long. Beyond that the upstream is dead or a packet was lost.
const CONNECT_TIMEOUT: ClockTime = ClockTime::from_millis(100);
/// An upstream that closes a connection without a response this soon after it was made
/// usually has too many connections.
const CLOSE_WINDOW: ClockTime = ClockTime::from_millis(50);
/// The time in which an upstream closes a new connection: it takes the connection 1 ms
/// after it is made, and a round trip to another zone takes 3 ms.
const SETTLE_TIME: ClockTime = ClockTime::from_millis(5);

/// The maximum size of a response that is buffered, as those to calls are.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The last status code of HTTP. Hyper refuses codes below 100, but not those above.
const MAX_STATUS: u16 = 599;

/// How long the body of an error may take. Sound upstreams are silent for a second or so.
const ERROR_BODY_TIMEOUT: ClockTime = ClockTime::from_millis(3_000);

/// A caller's request, authorized and with its complete body.
pub(crate) struct CallerRequest {
    pub(crate) parts: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) head: RequestHead,
    pub(crate) route: Arc<RouteConfig>,
    pub(crate) service: ServiceName,
    pub(crate) customer: Option<CustomerName>,
    /// The request's rank by priority, 0 being the most urgent, if they differ.
    pub(crate) urgency: Option<u8>,
    /// Which versions of the service it may be sent to.
    pub(crate) version_filter: VersionFilter,
    pub(crate) deadline: RequestDeadline,
}

impl CallerRequest {
    pub(crate) fn id(&self) -> &str {
        &self.head.request
    }

    /// Returns the options to send the request without a KV cache copy.
    pub(crate) fn send_options<'a>(&'a self, upstream: &'a UpstreamState) -> SendOptions<'a> {
        SendOptions {
            request: &self.head.request,
            upstream: &upstream.record,
            customer: self.customer.as_ref(),
            time_left: self.deadline.remaining(),
            resume_after: self.head.resume_after,
            copy_from: None,
            copy_to: None,
            urgency: self.urgency,
        }
    }
}

/// A response whose body is still being received. Dropping it closes the
/// connection, which stops the upstream's work.
pub(crate) struct UpstreamResponse {
    pub(crate) head: ResponseHead,
    pub(crate) parts: response::Parts,
    body: Incoming,
    /// Whether the end of the connection is the end of the body.
    pub(crate) is_close_delimited: bool,
    /// Checks the process that sends such a body, if it is buffered.
    witness: Option<ProcessWitness>,
    deadline: RequestDeadline,
    budget: BodyBudget,
    _connection: HttpConnection,
    _load: LoadGuard,
}

/// Why a request got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendError {
    /// Nothing was sent.
    Unsent,
    /// The upstream may have run the request.
    Broken,
}

impl UpstreamResponse {
    /// Returns the next part of the body, or none at its end.
    pub(crate) async fn next_bytes(&mut self) -> Result<Option<Bytes>, SendError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| SendError::Broken)?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
        Ok(None)
    }

    /// Returns the rest of the body; fails if it exceeds its limits or those of all bodies
    /// together, is incomplete at the request's deadline, is that of an error and stops, or
    /// may have been cut short by the end of the upstream's process.
    pub(crate) async fn collect(&mut self) -> Result<Bytes, SendError> {
        let limit = match self.parts.status.is_success() {
            true => ClockTime::NEVER,
            false => ERROR_BODY_TIMEOUT,
        };
        let limits = BodyLimits::response(MAX_BODY_BYTES);
        let reading = read_body_within(&mut self.body, limits, &self.budget);
        let body = self.deadline.run_within(limit, reading).await;
        let body = body.ok_or(SendError::Broken)?.map_err(|error| {
            match error {
                BodyError::TooLong(_) => counters::count_bad_response("long_body"),
                BodyError::TooManyPieces(_) => counters::count_bad_response("many_pieces"),
                BodyError::NoMemory => counters::count_bad_response("no_memory"),
                BodyError::Broken(_) => {}
            }
            SendError::Broken
        })?;
        if let Some(witness) = self.witness.take() {
            let check = self.deadline.run_within(ClockTime::NEVER, witness.check());
            let check = check.await;
            let check = check.unwrap_or(ProcessCheck::Unreachable);
            counters::count_close(check.label());
            if !check.confirms_close() {
                return Err(SendError::Broken);
            }
        }
        Ok(body)
    }

    /// Reports whether this is a signed success without a content encoding.
    pub(crate) fn is_success(&self) -> bool {
        self.parts.status.is_success()
            && self.head.is_signed
            && !self.parts.headers.contains_key(CONTENT_ENCODING)
    }
}

/// Sends a request and returns the head of the upstream's response.
pub(crate) async fn send<P: WireProtocol>(
    state: &GatewayState,
    request: &CallerRequest,
    upstream: &UpstreamState,
    options: &SendOptions<'_>,
) -> Result<UpstreamResponse, SendError> {
    // It may have asked for a pause since it was chosen.
    if upstream.is_deferred(state.config.now()) {
        return Err(SendError::Unsent);
    }
    let load = upstream.start_request();
    let connected = connect(state, request, upstream).await;
    let (mut connection, connected_at) =
        connected.map_err(|error| record_failure(state, request, upstream, &error))?;
    let options = SendOptions {
        time_left: request.deadline.remaining(),
        ..*options
    };
    let message = P::write_request(&request.parts, request.body.clone(), &options);
    let message = message.map_err(|error| {
        counters::count_unwritable_request();
        log::warn!(
            request = request.id(),
            upstream:% = upstream.name();
            "request can't be written: {error}"
        );
        SendError::Unsent
    })?;
    let sent_at = state.config.now();
    let sent = connection.send(message).await;
    let response = sent.map_err(|error| {
        let now = state.clock.now();
        if error.is_close() && now.since(connected_at) < CLOSE_WINDOW {
            upstream.record_close(now);
        }
        record_failure(state, request, upstream, &error)
    })?;
    let is_close_delimited = is_close_delimited(&response);
    let is_stream = matches!(request.route.kind, RequestKind::EventStream { .. });
    let is_streamed = is_stream && response.status().is_success();
    let witness = (is_close_delimited && !is_streamed)
        .then(|| ProcessWitness::open::<P>(state.config.clock(), &upstream.record, sent_at));
    let (mut parts, body) = response.into_parts();
    if parts.status.as_u16() > MAX_STATUS {
        counters::count_bad_response("status");
        log::info!(
            request = request.id(),
            upstream:% = upstream.name(),
            status = parts.status.as_u16();
            "response has an invalid status"
        );
        return Err(SendError::Broken);
    }
    let head = P::read_response(&parts);
    strip_connection_headers(&mut parts.headers);
    upstream.record_head(&head, state.config.now());
    upstream.record_refusal(head.is_not_run, state.clock.now());
    if head.request.as_ref().is_some_and(|id| id != request.id()) {
        counters::count_bad_response("crossed");
        return Err(SendError::Broken);
    }
    Ok(UpstreamResponse {
        head,
        parts,
        body,
        is_close_delimited,
        witness,
        deadline: request.deadline,
        budget: state.body_budget.clone(),
        _connection: connection,
        _load: load,
    })
}

/// Connects to an upstream and returns the connection and when it was made. If the
/// upstream has closed new connections lately, the connection is watched for a short time
/// before the request is sent: as long as nothing was sent, the request can go elsewhere.
async fn connect(
    state: &GatewayState,
    request: &CallerRequest,
    upstream: &UpstreamState,
) -> Result<(HttpConnection, ClockTime), ConnectionError> {
    let limit = CONNECT_TIMEOUT.min(request.deadline.remaining());
    let mut connection = HttpConnection::connect(upstream.record.address, limit).await?;
    let connected_at = state.clock.now();
    if upstream.closes_connections(connected_at) {
        let limit = SETTLE_TIME.min(request.deadline.remaining());
        let settled = connection.settle(limit).await;
        if settled.is_err() {
            upstream.record_close(state.clock.now());
        }
        settled?;
    }
    Ok((connection, connected_at))
}

fn record_failure(
    state: &GatewayState,
    request: &CallerRequest,
    upstream: &UpstreamState,
    error: &ConnectionError,
) -> SendError {
    upstream.mark_suspect(state.clock.now());
    if matches!(error, ConnectionError::LongHead) {
        counters::count_bad_response("long_head");
    }
    let failure = match error.is_unsent() {
        true => SendError::Unsent,
        false => SendError::Broken,
    };
    log::info!(
        request = request.id(),
        upstream:% = upstream.name(),
        zone:% = upstream.record.zone,
        is_unsent = error.is_unsent(),
        after_ms = request.deadline.elapsed().as_millis();
        "send failed: {error}"
    );
    failure
}
