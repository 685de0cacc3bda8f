//! HTTP requests to the fakes and the VMs.

use super::process::FleetError;
use serde::{de::DeserializeOwned, Serialize};
use std::net::SocketAddr;
use volo_http::body::BodyConversion;
use volo_http::client::Client;

/// Sends a JSON request and reads the JSON reply.
pub(crate) async fn post<Q: Serialize, R: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
    request: &Q,
) -> Result<R, FleetError> {
    let uri = format!("http://{address}{path}");
    let to_error = |error: String| FleetError::Request(format!("{path} at {address}: {error}"));
    let response = client.post(uri).json(request).send().await;
    let response = response.map_err(|error| to_error(error.to_string()))?;
    if !response.status().is_success() {
        return Err(to_error(response.status().to_string()));
    }
    let bytes = response
        .into_bytes()
        .await
        .map_err(|error| to_error(error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| to_error(error.to_string()))
}

/// Sends a GET request and returns the status and the body as text.
pub(crate) async fn get(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Result<(u16, String), FleetError> {
    let uri = format!("http://{address}{path}");
    let to_error = |error: String| FleetError::Request(format!("{path} at {address}: {error}"));
    let response = client
        .get(uri)
        .send()
        .await
        .map_err(|error| to_error(error.to_string()))?;
    let status = response.status().as_u16();
    let text = response
        .into_string()
        .await
        .map_err(|error| to_error(error.to_string()))?;
    Ok((status, text))
}
