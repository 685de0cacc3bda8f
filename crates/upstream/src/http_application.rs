//! The HTTP client of plain applications.

use crate::application::{ApplicationClient, ApplicationRequest, ApplicationResponse, CallError};
use crate::wire::{CALL_ID_HEADER, CALL_KEY_HEADER};
use skylarkshed_core::UnsentCall;
use skylarkshed_http_client::{is_unsent, make_client};
use skylarkshed_http_link::{read_body, BodyLimits};
use std::net::SocketAddr;
use volo_http::body::Body;
use volo_http::client::Client;

/// The limits of a response, which is kept to answer a repeated call.
const RESPONSE_LIMITS: BodyLimits = BodyLimits::response(1 << 20);

/// The HTTP client of plain applications; one client serves all addresses.
#[derive(Clone)]
pub struct HttpApplicationClient {
    client: Client,
}

impl Default for HttpApplicationClient {
    fn default() -> Self {
        HttpApplicationClient {
            client: make_client(),
        }
    }
}

impl ApplicationClient for HttpApplicationClient {
    async fn call(
        &self,
        address: SocketAddr,
        call: &ApplicationRequest,
        unsent: UnsentCall,
    ) -> Result<ApplicationResponse, CallError> {
        let uri = format!("http://{address}/calls/{}", call.route);
        let mut request = self.client.post(uri).header(CALL_ID_HEADER, &call.call_id);
        if let Some(key) = &call.key {
            request = request.header(CALL_KEY_HEADER, key);
        }
        let response = match request.body(Body::from(call.body.clone())).send().await {
            Ok(response) => response,
            Err(error) if is_unsent(&error) => {
                return Err(CallError::NotSent(unsent));
            }
            Err(error) => {
                return Err(CallError::ResponseLost(
                    unsent.mark_sent(),
                    error.to_string(),
                ))
            }
        };
        let sent = unsent.mark_sent();
        let echoed = response.headers().get(CALL_ID_HEADER);
        if echoed.and_then(|value| value.to_str().ok()) != Some(call.call_id.as_str()) {
            return Err(CallError::MismatchedResponse(sent));
        }
        let status = response.status().as_u16();
        match read_body(response.into_body(), RESPONSE_LIMITS).await {
            Ok(body) => Ok(ApplicationResponse { status, body }),
            Err(error) => Err(CallError::ResponseLost(sent, error.to_string())),
        }
    }
}
