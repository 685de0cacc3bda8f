//! Callers: what they send and what they keep of the answers.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use volo_http::body::{Body, BodyConversion};
use volo_http::client::sse::SseExt;
use volo_http::client::Client;

/// A generation to ask for.
#[derive(Clone, Debug)]
pub struct GenerationSpec {
    /// The service.
    pub service: String,
    /// The customer's bearer key.
    pub key: String,
    /// The prompt.
    pub prompt: String,
    /// The number of tokens.
    pub max_tokens: u32,
}

/// What came back of a generation.
#[derive(Clone, Debug, Default)]
pub struct GenerationResult {
    /// The HTTP status; 0 if there was none.
    pub status: u16,
    /// The tokens.
    pub tokens: Vec<String>,
    /// When each token came, after the request was sent.
    pub token_times: Vec<Duration>,
    /// The upstream that each token came from, as its cursor tells.
    pub sources: Vec<Arc<str>>,
    /// The last event's identifier.
    pub cursor: Option<String>,
    /// The number of tokens that the end named.
    pub total_tokens: Option<u32>,
    /// The problem document of a refusal or a failed answer.
    pub problem: Option<Value>,
    /// Why the stream broke.
    pub transport_error: Option<String>,
    /// Whether every index followed on the one before.
    pub is_in_order: bool,
}

impl GenerationResult {
    /// Tells whether the answer came to its end.
    pub fn is_finished(&self) -> bool {
        self.total_tokens.is_some()
    }

    /// Returns the longest time between two tokens.
    pub fn max_token_gap(&self) -> Duration {
        let gaps = self
            .token_times
            .windows(2)
            .map(|pair| pair[1].saturating_sub(pair[0]));
        gaps.max().unwrap_or_default()
    }

    /// Adds the rest of the answer, as another VM gave it.
    pub fn append(&mut self, rest: GenerationResult) {
        self.tokens.extend(rest.tokens);
        self.cursor = rest.cursor.or(self.cursor.take());
        self.total_tokens = rest.total_tokens;
        self.problem = rest.problem;
        self.transport_error = rest.transport_error;
        self.is_in_order &= rest.is_in_order;
    }
}

#[derive(Deserialize)]
struct TokenData {
    index: usize,
    token: String,
}

#[derive(Deserialize)]
struct EndData {
    tokens: u32,
}

/// Asks for generations.
#[derive(Clone, Default)]
pub struct GenerationClient {
    client: Client,
}

impl GenerationClient {
    /// Asks a VM for a generation and reads it to its end.
    pub async fn generate(&self, vm: SocketAddr, query: &GenerationSpec) -> GenerationResult {
        self.generate_with_progress(vm, query, None, None, |_| {})
            .await
    }

    /// Asks a VM for the rest of an answer; `with_text` sends back what was received.
    pub async fn resume(
        &self,
        vm: SocketAddr,
        query: &GenerationSpec,
        trace: &GenerationResult,
        with_text: bool,
    ) -> GenerationResult {
        let received = with_text.then_some(trace.tokens.as_slice());
        self.generate_with_progress(vm, query, trace.cursor.as_deref(), received, |_| {})
            .await
    }

    /// Asks a VM; `on_token` is told how many tokens have come after each.
    pub async fn generate_with_progress(
        &self,
        vm: SocketAddr,
        query: &GenerationSpec,
        cursor: Option<&str>,
        received: Option<&[String]>,
        mut on_token: impl FnMut(usize) + Send,
    ) -> GenerationResult {
        self.generate_with_tokens(vm, query, cursor, received, |count, _| on_token(count))
            .await
    }

    /// Asks a VM; `on_token` is told the number of tokens and each token.
    pub async fn generate_with_tokens(
        &self,
        vm: SocketAddr,
        query: &GenerationSpec,
        cursor: Option<&str>,
        received: Option<&[String]>,
        mut on_token: impl FnMut(usize, &str) + Send,
    ) -> GenerationResult {
        let mut body = json!({"prompt": query.prompt, "max_tokens": query.max_tokens});
        if let Some(received) = received {
            body["received"] = json!(received);
        }
        let uri = format!("http://{vm}/v1/services/{}/generations", query.service);
        let mut request = self.client.post(uri).json(&body);
        request = request.header("authorization", format!("Bearer {}", query.key));
        if let Some(cursor) = cursor {
            request = request.header("last-event-id", cursor);
        }
        let start = Instant::now();
        let mut trace = GenerationResult {
            is_in_order: true,
            ..GenerationResult::default()
        };
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => {
                trace.transport_error = Some(error.to_string());
                return trace;
            }
        };
        trace.status = response.status().as_u16();
        if trace.status != 200 {
            let bytes = response.into_bytes().await.unwrap_or_default();
            trace.problem = serde_json::from_slice(&bytes).ok();
            return trace;
        }
        let mut events = match response.into_sse() {
            Ok(events) => events,
            Err(error) => {
                trace.transport_error = Some(error.to_string());
                return trace;
            }
        };
        let mut next = None;
        loop {
            let event = match events.read().await {
                Ok(Some(event)) => event,
                Ok(None) => {
                    trace.transport_error = Some("the stream ended too early".to_owned());
                    return trace;
                }
                Err(error) => {
                    trace.transport_error = Some(error.to_string());
                    return trace;
                }
            };
            let data = event.data().unwrap_or_default();
            match event.event() {
                "end" => {
                    trace.total_tokens = serde_json::from_str::<EndData>(data)
                        .ok()
                        .map(|end| end.tokens);
                    return trace;
                }
                "error" => {
                    trace.problem = serde_json::from_str(data).ok();
                    return trace;
                }
                _ => {}
            }
            let Ok(token) = serde_json::from_str::<TokenData>(data) else {
                continue;
            };
            trace.is_in_order &= next.is_none_or(|next| next == token.index);
            next = Some(token.index + 1);
            trace
                .sources
                .push(source_of(event.id(), trace.sources.last()));
            trace.cursor = event.id().map(str::to_owned).or(trace.cursor);
            trace.token_times.push(start.elapsed());
            on_token(trace.tokens.len() + 1, &token.token);
            trace.tokens.push(token.token);
        }
    }
}

/// Returns the upstream that a cursor names; shares the text of the one before.
fn source_of(cursor: Option<&str>, last: Option<&Arc<str>>) -> Arc<str> {
    const UPSTREAM_FIELD: usize = 2;
    let name = cursor
        .and_then(|text| text.split('~').nth(UPSTREAM_FIELD))
        .unwrap_or_default();
    match last {
        Some(last) if **last == *name => last.clone(),
        _ => Arc::from(name),
    }
}

/// What came back of a quick call.
#[derive(Clone, Debug, Default)]
pub struct CallResponse {
    /// The HTTP status; 0 if there was none.
    pub status: u16,
    /// The body as JSON.
    pub body: Value,
    /// Seconds after which to come back.
    pub retry_after: Option<u64>,
    /// How long the call took.
    pub duration: Duration,
}

impl CallResponse {
    /// Tells whether the call was answered.
    pub fn is_success(&self) -> bool {
        self.status == 200
    }

    /// Returns the outcome that a refusal tells.
    pub fn outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or_default()
    }

    /// Returns the reason that a refusal tells.
    pub fn reason(&self) -> &str {
        self.body["reason"].as_str().unwrap_or_default()
    }
}

/// Sends quick calls.
#[derive(Clone, Default)]
pub struct CallClient {
    client: Client,
}

impl CallClient {
    /// Sends a call.
    pub async fn call(
        &self,
        vm: SocketAddr,
        key: &str,
        path: &str,
        idempotency_key: Option<&str>,
        body: impl Into<Bytes>,
    ) -> CallResponse {
        let uri = format!("http://{vm}/v1/services/{path}");
        let mut request = self.client.post(uri);
        request = request.header("authorization", format!("Bearer {key}"));
        if let Some(idempotency_key) = idempotency_key {
            request = request.header("idempotency-key", idempotency_key.to_owned());
        }
        let start = Instant::now();
        let body = Body::from(body.into());
        let Ok(response) = request.body(body).send().await else {
            return CallResponse {
                duration: start.elapsed(),
                ..CallResponse::default()
            };
        };
        let status = response.status().as_u16();
        let wait = response
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok());
        let retry_after = wait.and_then(|text| text.parse().ok());
        let bytes = response.into_bytes().await.unwrap_or_default();
        let body = serde_json::from_slice(&bytes).unwrap_or_default();
        CallResponse {
            status,
            body,
            retry_after,
            duration: start.elapsed(),
        }
    }

    /// Mints idempotency keys at a VM.
    pub async fn mint(
        &self,
        vm: SocketAddr,
        key: &str,
        service: &str,
        count: usize,
    ) -> Vec<String> {
        let body = json!({ "count": count }).to_string();
        let trace = self
            .call(vm, key, &format!("{service}/keys"), None, body)
            .await;
        let keys = trace.body["keys"].as_array().cloned().unwrap_or_default();
        keys.iter()
            .filter_map(|key| key.as_str().map(str::to_owned))
            .collect()
    }
}
