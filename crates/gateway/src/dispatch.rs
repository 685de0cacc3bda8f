//! Decides what becomes of a caller's request.

use crate::answer::CallerAnswer;
use crate::call::serve_call;
use crate::counters;
use crate::deadline::RequestDeadline;
use crate::exchange::CallerRequest;
use crate::gateway_state::GatewayState;
use crate::platform_api::{RequestHead, WireProtocol};
use crate::refusal::{refuse, reject, BadRequestReason, NotRunReason};
use crate::stream::serve_stream;
use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use skylarkshed_core::{ClockTime, CustomerName, RequestKind, RouteConfig, UnsentCall};
use skylarkshed_policy::{choose_service, hash_rank, RouteTable};
use std::convert::Infallible;
use std::sync::Arc;

/// A new VM knows its configuration after a few reads of the store.
const RETRY_NOT_READY: ClockTime = ClockTime::from_millis(500);
/// A leaving VM gets no new connection after the balancer's next two checks; a
/// caller that comes back at once meets another VM.
const RETRY_LEAVING: ClockTime = ClockTime::from_millis(20);
/// A VM that lost the store is skipped by the balancer after two checks.
const RETRY_STALE: ClockTime = ClockTime::from_millis(100);

/// How long a long answer takes: the users' sheets tell of 140 events of 32 ms
/// after a prompt of 8,000 tokens, which is read in a second.
const STREAM_TIME: ClockTime = ClockTime::from_millis(6_500);
/// How long a quick call takes at the most; the users' sheets allow 0.8 s.
const CALL_TIME: ClockTime = ClockTime::from_millis(1_200);

/// Why a request goes no further.
enum FrontRefusal {
    NotRun(NotRunReason, ClockTime),
    Bad(BadRequestReason),
}

impl FrontRefusal {
    const fn label(&self) -> &'static str {
        match self {
            FrontRefusal::NotRun(reason, _) => reason.label(),
            FrontRefusal::Bad(reason) => reason.label(),
        }
    }

    fn into_answer(self, unsent: UnsentCall) -> CallerAnswer {
        match self {
            FrontRefusal::NotRun(reason, after) => refuse(unsent.into(), reason, after),
            FrontRefusal::Bad(reason) => reject(reason),
        }
    }
}

/// Serves one request of a caller.
pub(crate) async fn handle<D: WireProtocol>(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
) -> Result<CallerAnswer, Infallible> {
    let received = state.clock.now();
    let unsent = UnsentCall::for_new_request();
    let mut answer = match admit::<D>(&state, request, received).await {
        Ok(request) => serve::<D>(&state, request).await,
        Err((id, refusal)) => {
            log::info!(
                request = id.as_deref().unwrap_or(""),
                outcome = refusal.label(),
                config_version = state.control.table().map_or(0, |table| table.version()),
                config_age_ms = state.control.known_age().map(ClockTime::as_millis);
                "request refused"
            );
            counters::count_request("none", refusal.label(), state.clock.now().since(received));
            refusal.into_answer(unsent)
        }
    };
    if state.leaving_for().is_some() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    Ok(answer)
}

async fn serve<D: WireProtocol>(state: &Arc<GatewayState>, request: CallerRequest) -> CallerAnswer {
    let kind = request.route.kind;
    if let RequestKind::EventStream { is_resumable, .. } = kind {
        return serve_stream::<D>(state.clone(), request, is_resumable).await;
    }
    let answer = serve_call::<D>(state, &request).await;
    let outcome = outcome_label(&answer);
    log::info!(
        request = request.id(),
        kind = kind.label(),
        route = request.route.name.as_str(),
        service:% = request.service,
        status = answer.status().as_u16(),
        outcome,
        ms = request.deadline.passed().as_millis();
        "request ended"
    );
    counters::count_request(kind.label(), outcome, request.deadline.passed());
    answer
}

fn outcome_label(answer: &CallerAnswer) -> &'static str {
    let status = answer.status();
    match status.as_u16() {
        200..=299 => "served",
        429 | 503 => "refused",
        _ => "failed",
    }
}

type Refused = (Option<String>, FrontRefusal);

/// Checks a request and reads its body.
async fn admit<D: WireProtocol>(
    state: &GatewayState,
    request: Request<Incoming>,
    received: ClockTime,
) -> Result<CallerRequest, Refused> {
    let (parts, body) = request.into_parts();
    let head = D::read_request(&parts).map_err(|error| {
        log::debug!("malformed request: {error}");
        (None, FrontRefusal::Bad(BadRequestReason::Malformed))
    })?;
    let id = Some(head.request.to_string());
    let refused = |refusal| (id.clone(), refusal);
    let table = state.control.table();
    let table = table.ok_or_else(|| {
        refused(FrontRefusal::NotRun(
            NotRunReason::NotReady,
            RETRY_NOT_READY,
        ))
    })?;
    let (route, customer) = check(state, &table, &head, &parts).map_err(refused)?;
    if !has_time_to_finish(state, route.kind) {
        let refusal = FrontRefusal::NotRun(NotRunReason::Leaving, RETRY_LEAVING);
        return Err(refused(refusal));
    }
    let deadline = RequestDeadline::new(state.clock, received, &route, head.time_left);
    let limit = table.limits().max_body_bytes;
    let body = read_body(body, limit, &deadline).await.map_err(refused)?;
    let draw = hash_rank(&head.request);
    let service = choose_service(&route.targets, draw).cloned();
    let service = service.ok_or_else(|| {
        refused(FrontRefusal::NotRun(
            NotRunReason::NoUpstream,
            RETRY_NOT_READY,
        ))
    })?;
    let versions = state.rollouts.rule(&service, draw);
    Ok(CallerRequest {
        parts,
        body,
        head,
        route,
        service,
        customer,
        versions,
        deadline,
    })
}

/// Finds the route of a request and the customer that sent it.
fn check(
    state: &GatewayState,
    table: &RouteTable,
    head: &RequestHead,
    parts: &http::request::Parts,
) -> Result<(Arc<RouteConfig>, Option<CustomerName>), FrontRefusal> {
    let is_stale = state.control.age() >= state.settings.times.revocation;
    let stale = || FrontRefusal::NotRun(NotRunReason::StaleConfig, RETRY_STALE);
    let route = match table.find(&head.host, parts.uri.path()) {
        Some(route) => route.clone(),
        // A configuration that is not the newest proves no route missing.
        None if is_stale => return Err(stale()),
        None => return Err(FrontRefusal::Bad(BadRequestReason::UnknownRoute)),
    };
    if !table.needs_key(&route) {
        return Ok((route, None));
    }
    if is_stale {
        return Err(stale());
    }
    let customer = head.key.as_ref().and_then(|key| table.customer(key));
    match customer {
        Some(customer) => Ok((route, Some(customer.name.clone()))),
        None => Err(FrontRefusal::Bad(BadRequestReason::UnknownKey)),
    }
}

/// Tells whether a request can end before a leaving process does.
fn has_time_to_finish(state: &GatewayState, kind: RequestKind) -> bool {
    let Some(leaving_for) = state.leaving_for() else {
        return true;
    };
    let needed = match kind {
        RequestKind::EventStream { .. } => STREAM_TIME,
        RequestKind::Idempotent | RequestKind::NonIdempotent => CALL_TIME,
    };
    leaving_for + needed <= state.settings.times.shutdown_grace
}

async fn read_body(
    body: Incoming,
    limit: usize,
    deadline: &RequestDeadline,
) -> Result<Bytes, FrontRefusal> {
    let reading = Limited::new(body, limit).collect();
    match deadline.bound(ClockTime::NEVER, reading).await {
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => {
            Err(FrontRefusal::Bad(BadRequestReason::BodyTooLong))
        }
        Some(Err(_)) => Err(FrontRefusal::Bad(BadRequestReason::BrokenBody)),
        None => Err(FrontRefusal::NotRun(
            NotRunReason::SlowRequest,
            RETRY_LEAVING,
        )),
    }
}
