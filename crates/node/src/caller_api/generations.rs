//! The endpoint for generations, which responds with an event stream.

use super::request::{admit, AdmittedRequest};
use super::PathValues;
use crate::counters;
use crate::generations::cursor::{AnswerCursor, CursorSigner};
use crate::generations::generation_task::{start_generation, CallerEvent, GenerationParams};
use crate::generations::prompt::estimate_tokens;
use crate::refusal::{Refusal, RefusalReason};
use crate::state::{AdmissionPermit, NodeShared};
use faststr::FastStr;
use futures::stream;
use serde::{Deserialize, Serialize};
use skylarkshed_core::{AttemptNumber, ClockTime, GenerationId, ServiceKind, UnsentCall};
use skylarkshed_policy::{FailReason, GenerationPlan, HeldAttempt};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::response::sse::{Event, KeepAlive, Sse};
use volo_http::server::IntoResponse;

const CURSOR_HEADER: &str = "last-event-id";
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
const RETRY_AFTER: ClockTime = ClockTime::from_millis(1_000);
/// A resumed generation numbers its attempts from the next multiple of this, so that
/// no number of the VM that ran it before is used again.
const ATTEMPT_STRIDE: u32 = 1 << 12;
const DEFAULT_PRIORITY: u32 = 1;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GenerationRequest {
    prompt: String,
    max_tokens: u32,
    #[serde(default = "default_priority")]
    priority: u32,
    /// The tokens that the caller received before its stream broke.
    #[serde(default)]
    received: Option<Vec<FastStr>>,
}

#[derive(Serialize)]
struct TokenData<'a> {
    index: u32,
    token: &'a str,
}

#[derive(Serialize)]
struct EndData {
    tokens: u32,
}

/// Handles a request for a generation.
pub(crate) async fn handle(
    shared: Arc<NodeShared>,
    values: PathValues,
    request: Request,
) -> Response {
    let service = values.into_iter().next().unwrap_or_default();
    match admit(&shared, &service, request).await {
        Ok(admitted) => run(shared, admitted)
            .await
            .unwrap_or_else(Refusal::into_response),
        Err(refusal) => refusal.into_response(),
    }
}

async fn run(shared: Arc<NodeShared>, admitted: AdmittedRequest) -> Result<Response, Refusal> {
    let AdmittedRequest {
        customer,
        service,
        headers,
        body,
        permit,
        unsent,
    } = admitted;
    let bad_request = |unsent: UnsentCall, detail: String| {
        Refusal::not_run(unsent, RefusalReason::BadRequest).detail(detail)
    };
    let request: GenerationRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(error) => return Err(bad_request(unsent, error.to_string())),
    };
    let catalog = shared.configuration.current();
    let kind = catalog.services.get(&service).map(|state| state.entry.kind);
    if kind != Some(ServiceKind::Model) {
        return Err(bad_request(
            unsent,
            "the service has no model engines; call its routes".to_owned(),
        ));
    }
    let max = shared.settings.limits.generation_tokens;
    if !(1..=max).contains(&request.max_tokens) {
        return Err(bad_request(
            unsent,
            format!("`max_tokens` must be from 1 to {max}"),
        ));
    }
    let max_tokens = request.max_tokens.to_le_bytes();
    let bound_fields: [&[u8]; 4] = [
        customer.name.as_str().as_bytes(),
        service.as_str().as_bytes(),
        request.prompt.as_bytes(),
        &max_tokens,
    ];
    let signer = CursorSigner::new(shared.peer_key.clone(), &bound_fields);
    let cursor = match headers.get(CURSOR_HEADER) {
        None => None,
        Some(value) => match value.to_str().ok().and_then(|text| signer.decode(text)) {
            Some(cursor) => Some(cursor),
            None => {
                let refusal = Refusal::not_run(unsent, RefusalReason::BadHeader);
                // The detail is the same for a malformed cursor.
                return Err(refusal.detail("the cursor belongs to another request"));
            }
        },
    };
    let plan = match make_plan(&request, cursor) {
        Ok(plan) => plan,
        Err(detail) => return Err(bad_request(unsent, detail)),
    };
    let params = GenerationParams {
        customer: customer.name.clone(),
        service,
        prompt: FastStr::new(request.prompt),
        max_tokens: request.max_tokens,
        priority: request.priority,
    };
    let generation = plan.generation;
    let mut events = start_generation(shared, params, plan);
    match events.recv().await {
        Some(CallerEvent::Failed { reason }) => Err(to_refusal(reason)),
        None => Err(Refusal::unknown(RefusalReason::AnswerLost)),
        Some(first) => {
            let event_stream = EventStream {
                generation,
                signer,
                events,
                first: Some(first),
                _permit: permit,
            };
            Ok(event_stream.into_response())
        }
    }
}

fn make_plan(
    request: &GenerationRequest,
    cursor: Option<AnswerCursor>,
) -> Result<GenerationPlan, String> {
    let prompt_tokens = estimate_tokens(&request.prompt);
    let Some(cursor) = cursor else {
        if request.received.is_some() {
            return Err("`received` needs a cursor in the header `Last-Event-ID`".to_owned());
        }
        return Ok(GenerationPlan {
            generation: GenerationId::random(),
            first_attempt: AttemptNumber(1),
            prompt_tokens,
            received: Vec::new(),
            deliver_from: 0,
            held: None,
            version: None,
        });
    };
    let mut received = request.received.clone().unwrap_or_default();
    let next = cursor.next_index as usize;
    if !received.is_empty() && received.len() < next {
        return Err(format!(
            "`received` must hold the {next} tokens before the cursor"
        ));
    }
    received.truncate(next);
    let first_attempt = (cursor.attempt.0 / ATTEMPT_STRIDE + 1) * ATTEMPT_STRIDE;
    Ok(GenerationPlan {
        generation: cursor.generation,
        first_attempt: AttemptNumber(first_attempt),
        prompt_tokens,
        received,
        deliver_from: cursor.next_index,
        held: Some(HeldAttempt {
            upstream: cursor.upstream,
            attempt: cursor.attempt,
        }),
        version: Some(cursor.version),
    })
}

/// Converts a generation's events to an event stream.
struct EventStream {
    generation: GenerationId,
    signer: CursorSigner,
    events: mpsc::UnboundedReceiver<CallerEvent>,
    first: Option<CallerEvent>,
    _permit: AdmissionPermit,
}

impl EventStream {
    fn into_response(self) -> Response {
        let events = stream::unfold(Some(self), |event_stream| async move {
            let mut event_stream = event_stream?;
            let event = match event_stream.first.take() {
                Some(event) => event,
                None => event_stream.events.recv().await?,
            };
            let is_last = !matches!(event, CallerEvent::Token { .. });
            let sse_event = event_stream.to_sse_event(event);
            Some((
                Ok::<Event, Infallible>(sse_event),
                (!is_last).then_some(event_stream),
            ))
        });
        let keep_alive = KeepAlive::new().interval(KEEP_ALIVE_INTERVAL);
        Sse::new(events).keep_alive(keep_alive).into_response()
    }

    fn to_sse_event(&self, event: CallerEvent) -> Event {
        match event {
            CallerEvent::Token {
                index,
                token,
                version,
                upstream,
                attempt,
            } => {
                counters::count_tokens(1);
                let cursor = AnswerCursor {
                    generation: self.generation,
                    version,
                    upstream,
                    attempt,
                    next_index: index + 1,
                };
                let data = to_json(&TokenData {
                    index,
                    token: &token,
                });
                Event::new().id(self.signer.encode(&cursor)).data(data)
            }
            CallerEvent::End { total } => Event::new()
                .event("end")
                .data(to_json(&EndData { tokens: total })),
            CallerEvent::Failed { reason } => {
                let refusal = to_refusal(reason);
                counters::count_refusal(refusal.reason().as_str());
                Event::new().event("error").data(refusal.to_json())
            }
        }
    }
}

fn to_refusal(reason: FailReason) -> Refusal {
    let reason = match reason {
        FailReason::NoEngine => RefusalReason::NoEngine,
        FailReason::TooManyAttempts => RefusalReason::TooManyAttempts,
        FailReason::VersionWithdrawn => RefusalReason::VersionWithdrawn,
        FailReason::VersionGone => RefusalReason::VersionGone,
        FailReason::HeldGone => RefusalReason::HeldGone,
    };
    Refusal::unknown(reason).retry_after(RETRY_AFTER)
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("event data is plain data")
}

fn default_priority() -> u32 {
    DEFAULT_PRIORITY
}
