//! The endpoint that mints idempotency keys for later calls.

use super::request::{admit, AdmittedRequest};
use super::PathValues;
use crate::calls::minted_key;
use crate::refusal::{Refusal, RefusalReason};
use crate::state::NodeShared;
use serde::{Deserialize, Serialize};
use skylarkshed_core::UnsentCall;
use std::sync::Arc;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::extract::Json;
use volo_http::server::IntoResponse;

const MAX_KEYS: usize = 1_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeysRequest {
    count: usize,
}

#[derive(Serialize)]
struct KeysReply {
    keys: Vec<String>,
}

/// Handles a request for keys.
pub(crate) async fn handle(
    shared: Arc<NodeShared>,
    values: PathValues,
    request: Request,
) -> Response {
    let service = values.into_iter().next().unwrap_or_default();
    match admit(&shared, &service, request).await {
        Ok(admitted) => mint(&shared, admitted),
        Err(refusal) => refusal.into_response(),
    }
}

fn mint(shared: &NodeShared, admitted: AdmittedRequest) -> Response {
    let AdmittedRequest {
        customer,
        service,
        body,
        unsent,
        ..
    } = admitted;
    let count = match serde_json::from_slice::<KeysRequest>(&body) {
        Ok(request) if (1..=MAX_KEYS).contains(&request.count) => request.count,
        Ok(_) => return bad_request(unsent, "`count` must be from 1 to 1000"),
        Err(error) => return bad_request(unsent, &error.to_string()),
    };
    let keys = minted_key::mint(shared, &customer.name, &service, count);
    Json(KeysReply { keys }).into_response()
}

fn bad_request(unsent: UnsentCall, detail: &str) -> Response {
    Refusal::not_run(unsent, RefusalReason::BadRequest)
        .detail(detail)
        .into_response()
}
