//! Admits or refuses a caller's request and dispatches it by its kind.

use crate::call::serve_call;
use crate::caller_response::CallerResponse;
use crate::connection_activity::ConnectionActivity;
use crate::counters;
use crate::deadline::RequestDeadline;
use crate::exchange::CallerRequest;
use crate::gateway_state::GatewayState;
use crate::platform_api::{RequestHead, WireProtocol};
use crate::refusal::{
    fail, refuse, reject, BadRequestReason, FailureReason, NotRunReason, ProblemReason,
};
use crate::stream::serve_stream;
use crate::unanswered_request::UnansweredRequest;
use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request};
use hyper::body::Incoming;
use skylarkshed_core::{ClockTime, CustomerName, RequestKind, RouteConfig, UnsentCall};
use skylarkshed_http_link::{read_body_within, BodyError, BodyLimits};
use skylarkshed_policy::{choose_service, hash_rank, outage_delay, RouteTable};
use std::convert::Infallible;
use std::sync::Arc;

/// A new VM has its configuration after a few reads of the store. Also used for a
/// route without a service.
const RETRY_AFTER_NOT_READY: ClockTime = ClockTime::from_millis(500);
/// A draining VM gets no new connections after the load balancer's next two
/// checks; a caller that retries soon reaches another VM. Also used for a request
/// whose body did not arrive in time.
const RETRY_AFTER_LEAVING: ClockTime = ClockTime::from_millis(20);
/// The load balancer skips a VM without access to the store after two checks. If no
/// VM has access, [`outage_delay`] is used.
const RETRY_AFTER_STALE: ClockTime = ClockTime::from_millis(100);

/// Only another configuration helps a customer whose name upstreams can't be told.
const RETRY_AFTER_UNWRITABLE: ClockTime = ClockTime::from_millis(5_000);

/// Bodies are read within about this time; a caller that comes back reaches another VM.
const RETRY_AFTER_NO_MEMORY: ClockTime = ClockTime::from_millis(200);

/// Why a request is not forwarded.
enum RequestRefusal {
    NotRun(NotRunReason, ClockTime),
    Bad(BadRequestReason),
}

impl RequestRefusal {
    const fn label(&self) -> &'static str {
        match self {
            RequestRefusal::NotRun(reason, _) => reason.label(),
            RequestRefusal::Bad(reason) => reason.label(),
        }
    }

    fn into_response(self, unsent: UnsentCall) -> CallerResponse {
        match self {
            RequestRefusal::NotRun(reason, retry_after) => {
                refuse(unsent.into(), reason, retry_after)
            }
            RequestRefusal::Bad(reason) => reject(reason),
        }
    }
}

/// Serves one request of a caller.
pub(crate) async fn handle<P: WireProtocol>(
    state: Arc<GatewayState>,
    activity: Arc<ConnectionActivity>,
    request: Request<Incoming>,
) -> Result<CallerResponse, Infallible> {
    let received = state.clock.now();
    let unsent = UnsentCall::for_new_request();
    let mut unanswered = UnansweredRequest::new(state.clock, received);
    let mut response = match admit::<P>(&state, &activity, request, &mut unanswered).await {
        Ok(request) => serve_until_ending::<P>(&state, request).await,
        Err((id, refusal)) => {
            log::info!(
                request = id.as_deref().unwrap_or(""),
                outcome = refusal.label(),
                config_version = state.config.table().map_or(0, |table| table.version()),
                config_age_ms = state.config.known_age().map(ClockTime::as_millis);
                "request refused"
            );
            counters::count_request("none", refusal.label(), state.clock.now().since(received));
            refusal.into_response(unsent)
        }
    };
    if state.leaving_for().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    unanswered.finish();
    Ok(response)
}

/// Serves a request, or fails it if its response has not begun when the process ends: a
/// connection that is cut tells its caller less.
async fn serve_until_ending<P: WireProtocol>(
    state: &Arc<GatewayState>,
    request: CallerRequest,
) -> CallerResponse {
    let (id, deadline) = (request.head.request.clone(), request.deadline);
    let kind = request.route.kind.label();
    tokio::select! {
        biased;
        response = serve::<P>(state, request) => response,
        () = state.wait_for_ending() => {
            let reason = FailureReason::Ending;
            log::info!(
                request = id.as_str(),
                kind,
                outcome = "failed",
                reason = reason.label(),
                ms = deadline.elapsed().as_millis();
                "request ended"
            );
            counters::count_request(kind, "failed", deadline.elapsed());
            fail(reason)
        }
    }
}

async fn serve<P: WireProtocol>(
    state: &Arc<GatewayState>,
    request: CallerRequest,
) -> CallerResponse {
    let kind = request.route.kind;
    if let RequestKind::EventStream { is_resumable, .. } = kind {
        return serve_stream::<P>(state.clone(), request, is_resumable).await;
    }
    let response = serve_call::<P>(state, &request).await;
    let outcome = outcome_label(&response);
    if response.status().is_success() {
        state.call_time.record(request.deadline.elapsed());
    }
    log::info!(
        request = request.id(),
        kind = kind.label(),
        route = request.route.name.as_str(),
        service:% = request.service,
        status = response.status().as_u16(),
        outcome,
        reason = response.extensions().get::<ProblemReason>().map(|reason| reason.0),
        ms = request.deadline.elapsed().as_millis();
        "request ended"
    );
    counters::count_request(kind.label(), outcome, request.deadline.elapsed());
    response
}

fn outcome_label(response: &CallerResponse) -> &'static str {
    let status = response.status();
    match status.as_u16() {
        200..=299 => "served",
        429 | 503 => "refused",
        _ => "failed",
    }
}

type RefusedRequest = (Option<String>, RequestRefusal);

/// Authorizes a request, reads its body and chooses its service.
async fn admit<P: WireProtocol>(
    state: &GatewayState,
    activity: &ConnectionActivity,
    request: Request<Incoming>,
    unanswered: &mut UnansweredRequest,
) -> Result<CallerRequest, RefusedRequest> {
    let (parts, body) = request.into_parts();
    let head = P::read_request(&parts).map_err(|error| {
        log::debug!("malformed request: {error}");
        (None, RequestRefusal::Bad(BadRequestReason::Malformed))
    })?;
    unanswered.id = head.request.clone();
    if let Some(time_left) = head.time_left {
        activity.extend_wait(unanswered.received + time_left);
    }
    let id = Some(head.request.to_string());
    let refuse_with = |refusal| (id.clone(), refusal);
    state.wait_until_started().await;
    let table = state.config.table();
    let table = table.ok_or_else(|| {
        refuse_with(RequestRefusal::NotRun(
            NotRunReason::NotReady,
            RETRY_AFTER_NOT_READY,
        ))
    })?;
    let (route, customer) = authorize(state, &table, &head, &parts).map_err(refuse_with)?;
    if let Some(customer) = &customer {
        check_customer::<P>(customer).map_err(refuse_with)?;
    }
    let deadline = RequestDeadline::new(state.clock, unanswered.received, &route, head.time_left);
    let deadline = limit_to_grace(state, route.kind, deadline).map_err(refuse_with)?;
    let limit = table.limits().max_body_bytes;
    let body = read_request_body(state, body, limit, &deadline)
        .await
        .map_err(refuse_with)?;
    // The process may have begun to leave while the body arrived.
    let deadline = limit_to_grace(state, route.kind, deadline).map_err(refuse_with)?;
    let hash = hash_rank(&head.request);
    let service = choose_service(&route.targets, hash).cloned();
    let service = service.ok_or_else(|| {
        refuse_with(RequestRefusal::NotRun(
            NotRunReason::NoUpstream,
            RETRY_AFTER_NOT_READY,
        ))
    })?;
    let version_filter = state.rollouts.version_filter(&service, &state.upstreams);
    let urgency = table.urgency().rank(&service, &route);
    Ok(CallerRequest {
        parts,
        body,
        head,
        route,
        service,
        customer,
        urgency,
        version_filter,
        deadline,
    })
}

/// Finds the route of a request and the customer that sent it, if the route needs
/// a key.
fn authorize(
    state: &GatewayState,
    table: &RouteTable,
    head: &RequestHead,
    parts: &http::request::Parts,
) -> Result<(Arc<RouteConfig>, Option<CustomerName>), RequestRefusal> {
    let is_stale = state.config.age() >= state.settings.times.revocation;
    let stale = || RequestRefusal::NotRun(NotRunReason::StaleConfig, RETRY_AFTER_STALE);
    let stale_route = |route: &RouteConfig| match state.config.is_fleet_stale() {
        true => {
            let time_left = head.time_left.unwrap_or(route.timeout);
            let delay = outage_delay(route.target_latency, time_left, rand::random());
            RequestRefusal::NotRun(NotRunReason::StaleConfig, delay)
        }
        false => stale(),
    };
    let route = match table.find(&head.host, parts.uri.path()) {
        Some(route) => route.clone(),
        // A stale configuration may lack a new route.
        None if is_stale => return Err(stale()),
        None => return Err(RequestRefusal::Bad(BadRequestReason::UnknownRoute)),
    };
    if !table.needs_key(&route) {
        return Ok((route, None));
    }
    if is_stale {
        return Err(stale_route(&route));
    }
    let customer = head.key.as_ref().and_then(|key| table.customer(key));
    match customer {
        Some(customer) => Ok((route, Some(customer.name.clone()))),
        None => Err(RequestRefusal::Bad(BadRequestReason::UnknownKey)),
    }
}

fn check_customer<P: WireProtocol>(customer: &CustomerName) -> Result<(), RequestRefusal> {
    P::check_customer(customer).map_err(|error| {
        log::warn!("requests of a customer can't be written: {error}");
        RequestRefusal::NotRun(NotRunReason::Unwritable, RETRY_AFTER_UNWRITABLE)
    })
}

/// Returns the deadline of a request that a process accepts, which is not later than its
/// exit; refuses the request if the process leaves and the request needs longer.
fn limit_to_grace(
    state: &GatewayState,
    kind: RequestKind,
    deadline: RequestDeadline,
) -> Result<RequestDeadline, RequestRefusal> {
    let Some(leaving_for) = state.leaving_for() else {
        return Ok(deadline);
    };
    let left = time_until_exit(state, leaving_for);
    let is_stream = matches!(kind, RequestKind::EventStream { .. });
    let needed = match is_stream {
        true => state.stream_time.upper_bound(),
        false => state.call_time.upper_bound(),
    };
    if needed > left {
        return Err(RequestRefusal::NotRun(
            NotRunReason::Leaving,
            RETRY_AFTER_LEAVING,
        ));
    }
    // A stream that has begun gets no other answer, so it may go on until the exit.
    Ok(match is_stream {
        true => deadline,
        false => deadline.limit_to(left),
    })
}

/// Returns the time in which a draining process can still send a response.
fn time_until_exit(state: &GatewayState, leaving_for: ClockTime) -> ClockTime {
    state.settings.times.longest_response().since(leaving_for)
}

async fn read_request_body(
    state: &GatewayState,
    body: Incoming,
    limit: usize,
    deadline: &RequestDeadline,
) -> Result<Bytes, RequestRefusal> {
    let reading = read_body_within(body, BodyLimits::request(limit), &state.body_budget);
    let read = tokio::select! {
        read = deadline.run_within(ClockTime::NEVER, reading) => read,
        () = state.wait_for_ending() => {
            return Err(RequestRefusal::NotRun(
                NotRunReason::Leaving,
                RETRY_AFTER_LEAVING,
            ));
        }
    };
    match read {
        Some(Ok(body)) => Ok(body),
        Some(Err(BodyError::TooLong(_) | BodyError::TooManyPieces(_))) => {
            Err(RequestRefusal::Bad(BadRequestReason::BodyTooLong))
        }
        Some(Err(BodyError::NoMemory)) => Err(RequestRefusal::NotRun(
            NotRunReason::NoMemory,
            RETRY_AFTER_NO_MEMORY,
        )),
        Some(Err(BodyError::Broken(_))) => Err(RequestRefusal::Bad(BadRequestReason::BrokenBody)),
        None => Err(RequestRefusal::NotRun(
            NotRunReason::SlowRequest,
            RETRY_AFTER_LEAVING,
        )),
    }
}
