//! The HTTP client of model engines; tokens arrive as server-sent events.

use crate::engine::{EngineClient, EngineError, EngineEvent};
use crate::wire::{
    CancelRequest, CommandState, EngineCommand, GenerateRequest, LoadReport, ResumeRequest,
};
use serde::{de::DeserializeOwned, Serialize};
use skylarkshed_http_client::{is_unsent, make_client};
use skylarkshed_http_link::{read_body, BodyLimits};
use std::net::SocketAddr;
use volo_http::body::Body;
use volo_http::client::sse::{SseExt, SseReader};
use volo_http::client::Client;
use volo_http::error::client::ClientError;
use volo_http::response::Response;

/// Replies and reports are small.
const RESPONSE_LIMITS: BodyLimits = BodyLimits::response(1 << 20);

/// The HTTP client of model engines; one client serves all addresses.
#[derive(Clone)]
pub struct HttpEngineClient {
    client: Client,
}

impl Default for HttpEngineClient {
    fn default() -> Self {
        HttpEngineClient {
            client: make_client(),
        }
    }
}

/// The event stream of one attempt.
pub struct EngineStream {
    reader: SseReader<Body>,
}

impl HttpEngineClient {
    async fn post<Q: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        request: &Q,
    ) -> Result<Response<Body>, EngineError> {
        let uri = format!("http://{address}{path}");
        let response = self
            .client
            .post(uri)
            .json(request)
            .send()
            .await
            .map_err(to_engine_error)?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(EngineError::Refused(response.status().as_u16()))
    }

    async fn stream<Q: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        request: &Q,
    ) -> Result<EngineStream, EngineError> {
        let response = self.post(address, path, request).await?;
        let reader = response.into_sse();
        let reader = reader.map_err(|error| EngineError::Malformed(error.to_string()))?;
        Ok(EngineStream { reader })
    }

    async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        request: &Q,
    ) -> Result<R, EngineError> {
        let response = self.post(address, path, request).await?;
        let bytes = read_body(response.into_body(), RESPONSE_LIMITS).await;
        let bytes = bytes.map_err(|error| EngineError::Broken(error.to_string()))?;
        serde_json::from_slice(&bytes).map_err(|error| EngineError::Malformed(error.to_string()))
    }
}

impl EngineClient for HttpEngineClient {
    type Stream = EngineStream;

    async fn generate(
        &self,
        address: SocketAddr,
        request: &GenerateRequest,
    ) -> Result<EngineStream, EngineError> {
        self.stream(address, "/v1/generate", request).await
    }

    async fn resume(
        &self,
        address: SocketAddr,
        request: &ResumeRequest,
    ) -> Result<EngineStream, EngineError> {
        self.stream(address, "/v1/resume", request).await
    }

    async fn next_event(stream: &mut EngineStream) -> EngineEvent {
        let event = match stream.reader.read().await {
            Ok(Some(event)) => event,
            Ok(None) => return EngineEvent::Closed(EngineError::Broken("end of stream".into())),
            Err(error) => return EngineEvent::Closed(EngineError::Broken(error.to_string())),
        };
        match serde_json::from_str(event.data.as_deref().unwrap_or_default()) {
            Ok(message) => EngineEvent::Message(message),
            Err(error) => EngineEvent::Closed(EngineError::Malformed(error.to_string())),
        }
    }

    async fn cancel(
        &self,
        address: SocketAddr,
        request: &CancelRequest,
    ) -> Result<(), EngineError> {
        self.call(address, "/v1/cancel", request).await
    }

    async fn load(&self, address: SocketAddr) -> Result<LoadReport, EngineError> {
        self.call(address, "/v1/load", &()).await
    }

    async fn send_command(
        &self,
        address: SocketAddr,
        command: &EngineCommand,
    ) -> Result<CommandState, EngineError> {
        self.call(address, "/v1/orders", command).await
    }
}

fn to_engine_error(error: ClientError) -> EngineError {
    match is_unsent(&error) {
        true => EngineError::Unreachable,
        false => EngineError::Broken(error.to_string()),
    }
}
