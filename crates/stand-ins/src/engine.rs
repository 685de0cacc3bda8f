//! The HTTP service of the fake model engine.

use crate::engine_batch::{run_steps, EngineBatch, EngineConfig, EngineFaults};
use crate::response;
use bytes::Bytes;
use futures::Stream;
use http::StatusCode;
use skylarkshed_core::{AttemptNumber, GenerationId};
use skylarkshed_upstream::wire::{
    CacheEventsRequest, CancelRequest, EngineOrder, GenerateRequest, LoadReport, OrderState,
    ResumeRequest, StreamMessage,
};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use volo_http::response::Response;
use volo_http::server::response::sse::{Event, Sse};
use volo_http::server::route::{post, MethodRouter, Router};
use volo_http::server::IntoResponse;

const STREAM_BUFFER: usize = 64;
/// How long a load report is reused before it is refreshed.
const MAX_LOAD_REPORT_AGE: Duration = Duration::from_millis(200);

struct EngineState {
    batch: Arc<Mutex<EngineBatch>>,
    orders: Mutex<OrderState>,
    checks_fencing: bool,
    last_load_report: Mutex<(Instant, LoadReport)>,
}

type SharedState = Arc<EngineState>;
type HandlerResult = Result<Response, StatusCode>;

/// Runs the fake engine on `address`.
///
/// # Errors
///
/// Returns an error if it can't listen on `address`.
pub async fn run_engine(
    address: SocketAddr,
    version: String,
    config: EngineConfig,
    checks_fencing: bool,
) -> std::io::Result<()> {
    let batch = Arc::new(Mutex::new(EngineBatch::new(version.clone(), config)));
    tokio::spawn(run_steps(batch.clone()));
    let orders = OrderState {
        version,
        ..OrderState::default()
    };
    let state = Arc::new(EngineState {
        batch,
        orders: Mutex::new(orders),
        checks_fencing,
        last_load_report: Mutex::new((Instant::now(), LoadReport::default())),
    });
    let router = Router::new()
        .route("/v1/generate", handler_route(&state, generate))
        .route("/v1/resume", handler_route(&state, resume))
        .route("/v1/cancel", handler_route(&state, cancel))
        .route("/v1/load", handler_route(&state, load))
        .route("/v1/orders", handler_route(&state, order))
        .route("/v1/cache-events", handler_route(&state, cache_events))
        .route("/computed", handler_route(&state, computed))
        .route("/control", handler_route(&state, control));
    response::serve(address, router).await
}

fn handler_route(
    state: &SharedState,
    handler: fn(&SharedState, &[u8]) -> HandlerResult,
) -> MethodRouter {
    let state = state.clone();
    post(move |body: Bytes| {
        let state = state.clone();
        async move { handler(&state, &body).unwrap_or_else(response::status) }
    })
}

fn generate(state: &SharedState, body: &[u8]) -> HandlerResult {
    let request: GenerateRequest = response::parse(body)?;
    let mut batch = state.batch.lock().expect("not poisoned");
    if rand::random_range(0..100) < batch.faults.fail_percent {
        return Err(StatusCode::INTERNAL_SERVER_ERROR);
    }
    if batch.faults.leaving || request.version != batch.version {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let id = (request.generation, request.attempt);
    let from = request.emitted.len();
    let length = batch.admit(request);
    Ok(stream(state, id, id.1, from, length))
}

fn resume(state: &SharedState, body: &[u8]) -> HandlerResult {
    let request: ResumeRequest = response::parse(body)?;
    let batch = state.batch.lock().expect("not poisoned");
    let id = (request.generation, request.held_attempt);
    let retained = batch.find(&id).filter(|_| request.version == batch.version);
    let sequence = retained.ok_or(StatusCode::NOT_FOUND)?;
    let length = sequence.length.subscribe();
    Ok(stream(
        state,
        id,
        request.attempt,
        request.from_index as usize,
        length,
    ))
}

/// Starts to stream a generation's tokens from index `from` on.
fn stream(
    state: &SharedState,
    id: (GenerationId, AttemptNumber),
    message_attempt: AttemptNumber,
    from: usize,
    length: watch::Receiver<usize>,
) -> Response {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
    let writer = StreamWriter {
        batch: state.batch.clone(),
        id,
        message_attempt,
        sender,
    };
    tokio::spawn(writer.run(from, length));
    Sse::new(events(receiver)).into_response()
}

fn events(
    receiver: mpsc::Receiver<StreamMessage>,
) -> impl Stream<Item = Result<Event, Infallible>> + Send + Sync {
    futures::StreamExt::map(ReceiverStream::new(receiver), |message| {
        let data = serde_json::to_string(&message).expect("messages are plain data");
        Ok(Event::new().data(data))
    })
}

/// Streams the tokens of one generation to one client, with the injected faults.
struct StreamWriter {
    batch: Arc<Mutex<EngineBatch>>,
    id: (GenerationId, AttemptNumber),
    /// The attempt number in the messages; after a resume it differs from that in `id`.
    message_attempt: AttemptNumber,
    sender: mpsc::Sender<StreamMessage>,
}

impl StreamWriter {
    async fn run(self, from: usize, mut length: watch::Receiver<usize>) {
        let mut next = from;
        loop {
            let Some((messages, answer_length)) = self.messages(next) else {
                return;
            };
            next += messages.0;
            for message in messages.1 {
                if self.sender.send(message).await.is_err() {
                    return;
                }
            }
            if next >= answer_length {
                let _ = self.sender.send(self.message(answer_length, None)).await;
                return;
            }
            tokio::select! {
                changed = length.changed() => if changed.is_err() { return },
                () = self.sender.closed() => return,
            }
        }
    }

    /// Returns the number of tokens consumed from index `next` on with their messages,
    /// and the length of the complete answer; `None` if the generation was removed.
    #[allow(clippy::type_complexity)]
    fn messages(&self, next: usize) -> Option<((usize, Vec<StreamMessage>), usize)> {
        let batch = self.batch.lock().expect("not poisoned");
        let sequence = batch.find(&self.id)?;
        let tokens = sequence.tokens.get(next..).unwrap_or_default();
        let mut messages = Vec::with_capacity(tokens.len());
        for (offset, token) in tokens.iter().enumerate() {
            self.push_with_faults(&batch.faults, &mut messages, next + offset, token);
        }
        let count = self.hold_back_late_token(batch.faults.late_at, &mut messages, tokens.len());
        Some(((count, messages), sequence.answer_length()))
    }

    /// Moves the late token behind its successor, or leaves it for the next call if the
    /// successor is not computed yet. Returns the number of tokens consumed.
    fn hold_back_late_token(
        &self,
        late_at: Option<u32>,
        messages: &mut Vec<StreamMessage>,
        count: usize,
    ) -> usize {
        let late = messages
            .iter()
            .position(|message| Some(message.index) == late_at);
        match late {
            Some(late) if late + 1 < messages.len() => messages.swap(late, late + 1),
            Some(late) => {
                messages.truncate(late);
                return count - 1;
            }
            None => {}
        }
        count
    }

    fn push_with_faults(
        &self,
        faults: &EngineFaults,
        messages: &mut Vec<StreamMessage>,
        index: usize,
        token: &str,
    ) {
        let position = Some(index as u32);
        let mut message = self.message(index, Some(token.to_owned()));
        message.leaving = faults.leaving;
        if faults.crossed_at.is_some_and(|start| index as u32 >= start) {
            message.generation = GenerationId(!self.id.0 .0);
        }
        if faults.skip_at == position {
            return;
        }
        if faults.repeat_at == position {
            messages.push(message.clone());
            if faults.differ {
                message.token = Some(" differs".to_owned());
            }
        }
        messages.push(message);
    }

    fn message(&self, index: usize, token: Option<String>) -> StreamMessage {
        StreamMessage {
            generation: self.id.0,
            attempt: self.message_attempt,
            index: index as u32,
            token,
            leaving: false,
        }
    }
}

fn cancel(state: &SharedState, body: &[u8]) -> HandlerResult {
    let request: CancelRequest = response::parse(body)?;
    let mut batch = state.batch.lock().expect("not poisoned");
    batch.remove(&(request.generation, request.attempt));
    Ok(response::json(&()))
}

fn load(state: &SharedState, _body: &[u8]) -> HandlerResult {
    let mut report = state.last_load_report.lock().expect("not poisoned");
    let batch = state.batch.lock().expect("not poisoned");
    if report.0.elapsed() >= MAX_LOAD_REPORT_AGE {
        *report = (Instant::now(), batch.load());
    }
    report.1.leaving = batch.faults.leaving;
    Ok(response::json(&report.1))
}

fn cache_events(state: &SharedState, body: &[u8]) -> HandlerResult {
    let request: CacheEventsRequest = response::parse(body)?;
    let batch = state.batch.lock().expect("not poisoned");
    Ok(response::json(&batch.cache_events(request.after)))
}

fn order(state: &SharedState, body: &[u8]) -> HandlerResult {
    let order: EngineOrder = response::parse(body)?;
    let mut current = state.orders.lock().expect("not poisoned");
    if state.checks_fencing && order.fencing < current.fencing {
        return Err(StatusCode::CONFLICT);
    }
    state.batch.lock().expect("not poisoned").version = order.version.clone();
    *current = OrderState {
        fencing: current.fencing.max(order.fencing),
        version: order.version,
        adapter: order.adapter,
        role: order.role,
    };
    Ok(response::json(&*current))
}

fn computed(state: &SharedState, _body: &[u8]) -> HandlerResult {
    Ok(response::json(
        &state.batch.lock().expect("not poisoned").computed,
    ))
}

fn control(state: &SharedState, body: &[u8]) -> HandlerResult {
    let faults: EngineFaults = response::parse(body)?;
    if faults.die {
        std::process::exit(1);
    }
    state.batch.lock().expect("not poisoned").faults = faults;
    Ok(response::json(&()))
}
