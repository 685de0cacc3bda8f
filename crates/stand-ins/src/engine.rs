//! A fake model engine over HTTP.

use crate::engine_batch::{run_steps, EngineBatch, EngineFaults, EngineSpeed};
use crate::reply;
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
const LOAD_LAG: Duration = Duration::from_millis(200);

struct EngineState {
    batch: Arc<Mutex<EngineBatch>>,
    orders: Mutex<OrderState>,
    checks_fencing: bool,
    reported: Mutex<(Instant, LoadReport)>,
}

type SharedState = Arc<EngineState>;
type Answer = Result<Response, StatusCode>;

/// Runs the fake engine.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub async fn run_engine(
    address: SocketAddr,
    version: String,
    speed: EngineSpeed,
    checks_fencing: bool,
) -> std::io::Result<()> {
    let batch = Arc::new(Mutex::new(EngineBatch::new(version.clone(), speed)));
    tokio::spawn(run_steps(batch.clone()));
    let orders = OrderState {
        version,
        ..OrderState::default()
    };
    let state = Arc::new(EngineState {
        batch,
        orders: Mutex::new(orders),
        checks_fencing,
        reported: Mutex::new((Instant::now(), LoadReport::default())),
    });
    let router = Router::new()
        .route("/v1/generate", operation(&state, generate))
        .route("/v1/resume", operation(&state, resume))
        .route("/v1/cancel", operation(&state, cancel))
        .route("/v1/load", operation(&state, load))
        .route("/v1/orders", operation(&state, order))
        .route("/v1/cache-events", operation(&state, cache_events))
        .route("/computed", operation(&state, computed))
        .route("/control", operation(&state, control));
    reply::serve(address, router).await
}

fn operation(state: &SharedState, run: fn(&SharedState, &[u8]) -> Answer) -> MethodRouter {
    let state = state.clone();
    post(move |body: Bytes| {
        let state = state.clone();
        async move { run(&state, &body).unwrap_or_else(reply::status) }
    })
}

fn generate(state: &SharedState, body: &[u8]) -> Answer {
    let request: GenerateRequest = reply::parse(body)?;
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

fn resume(state: &SharedState, body: &[u8]) -> Answer {
    let request: ResumeRequest = reply::parse(body)?;
    let batch = state.batch.lock().expect("not poisoned");
    let id = (request.generation, request.held_attempt);
    let held = batch.find(&id).filter(|_| request.version == batch.version);
    let sequence = held.ok_or(StatusCode::NOT_FOUND)?;
    let length = sequence.length.subscribe();
    Ok(stream(
        state,
        id,
        request.attempt,
        request.from_index as usize,
        length,
    ))
}

fn stream(
    state: &SharedState,
    id: (GenerationId, AttemptNumber),
    echoed: AttemptNumber,
    from: usize,
    length: watch::Receiver<usize>,
) -> Response {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
    let writer = StreamWriter {
        batch: state.batch.clone(),
        id,
        echoed,
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

/// Sends the tokens of one generation to one reader, with the faults set.
struct StreamWriter {
    batch: Arc<Mutex<EngineBatch>>,
    id: (GenerationId, AttemptNumber),
    echoed: AttemptNumber,
    sender: mpsc::Sender<StreamMessage>,
}

impl StreamWriter {
    async fn run(self, from: usize, mut length: watch::Receiver<usize>) {
        let mut next = from;
        loop {
            let Some((messages, target)) = self.messages(next) else {
                return;
            };
            next += messages.0;
            for message in messages.1 {
                if self.sender.send(message).await.is_err() {
                    return;
                }
            }
            if next >= target {
                let _ = self.sender.send(self.message(target, None)).await;
                return;
            }
            tokio::select! {
                changed = length.changed() => if changed.is_err() { return },
                () = self.sender.closed() => return,
            }
        }
    }

    #[allow(clippy::type_complexity)]
    fn messages(&self, next: usize) -> Option<((usize, Vec<StreamMessage>), usize)> {
        let batch = self.batch.lock().expect("not poisoned");
        let sequence = batch.find(&self.id)?;
        let tokens = sequence.tokens.get(next..).unwrap_or_default();
        let mut messages = Vec::with_capacity(tokens.len());
        for (offset, token) in tokens.iter().enumerate() {
            self.push_faulty(&batch.faults, &mut messages, next + offset, token);
        }
        let count = self.hold_late(batch.faults.late_at, &mut messages, tokens.len());
        Some(((count, messages), sequence.target()))
    }

    /// Sends the late token after the one that follows it; returns the tokens taken.
    fn hold_late(
        &self,
        late_at: Option<u32>,
        messages: &mut Vec<StreamMessage>,
        count: usize,
    ) -> usize {
        let place = messages
            .iter()
            .position(|message| Some(message.index) == late_at);
        match place {
            Some(place) if place + 1 < messages.len() => messages.swap(place, place + 1),
            Some(place) => {
                messages.truncate(place);
                return count - 1;
            }
            None => {}
        }
        count
    }

    fn push_faulty(
        &self,
        faults: &EngineFaults,
        messages: &mut Vec<StreamMessage>,
        index: usize,
        token: &str,
    ) {
        let place = Some(index as u32);
        let mut message = self.message(index, Some(token.to_owned()));
        message.leaving = faults.leaving;
        if faults.crossed_at.is_some_and(|from| index as u32 >= from) {
            message.generation = GenerationId(!self.id.0 .0);
        }
        if faults.skip_at == place {
            return;
        }
        if faults.repeat_at == place {
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
            attempt: self.echoed,
            index: index as u32,
            token,
            leaving: false,
        }
    }
}

fn cancel(state: &SharedState, body: &[u8]) -> Answer {
    let request: CancelRequest = reply::parse(body)?;
    let mut batch = state.batch.lock().expect("not poisoned");
    batch.remove(&(request.generation, request.attempt));
    Ok(reply::json(&()))
}

fn load(state: &SharedState, _body: &[u8]) -> Answer {
    let mut reported = state.reported.lock().expect("not poisoned");
    let batch = state.batch.lock().expect("not poisoned");
    if reported.0.elapsed() >= LOAD_LAG {
        *reported = (Instant::now(), batch.load());
    }
    reported.1.leaving = batch.faults.leaving;
    Ok(reply::json(&reported.1))
}

fn cache_events(state: &SharedState, body: &[u8]) -> Answer {
    let request: CacheEventsRequest = reply::parse(body)?;
    let batch = state.batch.lock().expect("not poisoned");
    Ok(reply::json(&batch.cache_events(request.after)))
}

fn order(state: &SharedState, body: &[u8]) -> Answer {
    let order: EngineOrder = reply::parse(body)?;
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
    Ok(reply::json(&*current))
}

fn computed(state: &SharedState, _body: &[u8]) -> Answer {
    Ok(reply::json(
        &state.batch.lock().expect("not poisoned").computed,
    ))
}

fn control(state: &SharedState, body: &[u8]) -> Answer {
    let faults: EngineFaults = reply::parse(body)?;
    if faults.die {
        std::process::exit(1);
    }
    state.batch.lock().expect("not poisoned").faults = faults;
    Ok(reply::json(&()))
}
