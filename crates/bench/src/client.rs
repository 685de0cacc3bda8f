//! Clients that send requests like callers do, and the results they collect.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use volo_http::body::{Body, BodyConversion};
use volo_http::client::sse::SseExt;
use volo_http::client::Client;

/// A generation to request.
#[derive(Clone, Debug)]
pub struct GenerationSpec {
    /// The service's name.
    pub service: String,
    /// The customer's bearer key.
    pub key: String,
    /// The prompt.
    pub prompt: String,
    /// The number of tokens to generate.
    pub max_tokens: u32,
}

/// The result of a generation request, possibly incomplete.
#[derive(Clone, Debug, Default)]
pub struct GenerationResult {
    /// The HTTP status; 0 without a response.
    pub status: u16,
    /// The tokens received.
    pub tokens: Vec<String>,
    /// When each token arrived, since the request was sent.
    pub token_times: Vec<Duration>,
    /// The upstream that each token came from, according to its cursor.
    pub sources: Vec<Arc<str>>,
    /// The last event's identifier, from which the answer can be resumed.
    pub cursor: Option<String>,
    /// The number of tokens that the end event reports.
    pub total_tokens: Option<u32>,
    /// The problem document of a refusal or of a failed generation.
    pub problem: Option<Value>,
    /// Why the connection or the stream failed.
    pub transport_error: Option<String>,
    /// Whether the token indexes are consecutive.
    pub is_in_order: bool,
}

impl GenerationResult {
    /// Reports whether the end event was received.
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

    /// Appends the rest of the answer, received from another VM. `token_times` and
    /// `sources` stay those of the first part.
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

/// A client that requests generations.
#[derive(Clone, Default)]
pub struct GenerationClient {
    client: Client,
}

impl GenerationClient {
    /// Requests a generation from a VM and reads it to its end.
    pub async fn generate(&self, vm: SocketAddr, spec: &GenerationSpec) -> GenerationResult {
        self.generate_with_progress(vm, spec, None, None, |_| {})
            .await
    }

    /// Requests the rest of an answer from a VM. `with_text` also sends the tokens
    /// received so far.
    pub async fn resume(
        &self,
        vm: SocketAddr,
        spec: &GenerationSpec,
        result: &GenerationResult,
        with_text: bool,
    ) -> GenerationResult {
        let received = with_text.then_some(result.tokens.as_slice());
        self.generate_with_progress(vm, spec, result.cursor.as_deref(), received, |_| {})
            .await
    }

    /// Requests a generation, or with a cursor the rest of one; `received` are the tokens
    /// received so far. `on_token` is called with the number of tokens after each one.
    pub async fn generate_with_progress(
        &self,
        vm: SocketAddr,
        spec: &GenerationSpec,
        cursor: Option<&str>,
        received: Option<&[String]>,
        mut on_token: impl FnMut(usize) + Send,
    ) -> GenerationResult {
        self.generate_with_tokens(vm, spec, cursor, received, |count, _| on_token(count))
            .await
    }

    /// Like [`GenerationClient::generate_with_progress`]; `on_token` also receives the
    /// token itself.
    pub async fn generate_with_tokens(
        &self,
        vm: SocketAddr,
        spec: &GenerationSpec,
        cursor: Option<&str>,
        received: Option<&[String]>,
        mut on_token: impl FnMut(usize, &str) + Send,
    ) -> GenerationResult {
        let mut body = json!({"prompt": spec.prompt, "max_tokens": spec.max_tokens});
        if let Some(received) = received {
            body["received"] = json!(received);
        }
        let uri = format!("http://{vm}/v1/services/{}/generations", spec.service);
        let mut request = self.client.post(uri).json(&body);
        request = request.header("authorization", format!("Bearer {}", spec.key));
        if let Some(cursor) = cursor {
            request = request.header("last-event-id", cursor);
        }
        let start = Instant::now();
        let mut result = GenerationResult {
            is_in_order: true,
            ..GenerationResult::default()
        };
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => {
                result.transport_error = Some(error.to_string());
                return result;
            }
        };
        result.status = response.status().as_u16();
        if result.status != 200 {
            let bytes = response.into_bytes().await.unwrap_or_default();
            result.problem = serde_json::from_slice(&bytes).ok();
            return result;
        }
        let mut events = match response.into_sse() {
            Ok(events) => events,
            Err(error) => {
                result.transport_error = Some(error.to_string());
                return result;
            }
        };
        let mut next_index = None;
        loop {
            let event = match events.read().await {
                Ok(Some(event)) => event,
                Ok(None) => {
                    result.transport_error = Some("the stream ended too early".to_owned());
                    return result;
                }
                Err(error) => {
                    result.transport_error = Some(error.to_string());
                    return result;
                }
            };
            let data = event.data().unwrap_or_default();
            match event.event() {
                "end" => {
                    result.total_tokens = serde_json::from_str::<EndData>(data)
                        .ok()
                        .map(|end| end.tokens);
                    return result;
                }
                "error" => {
                    result.problem = serde_json::from_str(data).ok();
                    return result;
                }
                _ => {}
            }
            let Ok(token) = serde_json::from_str::<TokenData>(data) else {
                continue;
            };
            result.is_in_order &= next_index.is_none_or(|next| next == token.index);
            next_index = Some(token.index + 1);
            result
                .sources
                .push(source_of(event.id(), result.sources.last()));
            result.cursor = event.id().map(str::to_owned).or(result.cursor);
            result.token_times.push(start.elapsed());
            on_token(result.tokens.len() + 1, &token.token);
            result.tokens.push(token.token);
        }
    }
}

/// Returns the upstream that a cursor names; reuses the text of the previous one if it
/// is the same.
fn source_of(cursor: Option<&str>, previous: Option<&Arc<str>>) -> Arc<str> {
    const UPSTREAM_FIELD: usize = 2;
    let name = cursor
        .and_then(|text| text.split('~').nth(UPSTREAM_FIELD))
        .unwrap_or_default();
    match previous {
        Some(previous) if **previous == *name => previous.clone(),
        _ => Arc::from(name),
    }
}

/// The response to an application call.
#[derive(Clone, Debug, Default)]
pub struct CallResponse {
    /// The HTTP status; 0 without a response.
    pub status: u16,
    /// The body as JSON.
    pub body: Value,
    /// The value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// How long the call took.
    pub duration: Duration,
}

impl CallResponse {
    /// Reports whether the status is 200.
    pub fn is_success(&self) -> bool {
        self.status == 200
    }

    /// Returns the outcome that a refusal reports.
    pub fn outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or_default()
    }

    /// Returns the reason that a refusal reports.
    pub fn reason(&self) -> &str {
        self.body["reason"].as_str().unwrap_or_default()
    }
}

/// A client that sends application calls.
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
        let retry_after = response
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok());
        let retry_after = retry_after.and_then(|text| text.parse().ok());
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
        let result = self
            .call(vm, key, &format!("{service}/keys"), None, body)
            .await;
        let keys = result.body["keys"].as_array().cloned().unwrap_or_default();
        keys.iter()
            .filter_map(|key| key.as_str().map(str::to_owned))
            .collect()
    }
}
