//! The endpoint for application calls.

use super::request::{admit, AdmittedRequest};
use super::PathValues;
use crate::calls::application_call::ApplicationCall;
use crate::calls::call_path::run_call;
use crate::calls::call_result;
use crate::counters;
use crate::refusal::{Refusal, RefusalReason};
use crate::state::NodeShared;
use http::HeaderMap;
use skylarkshed_core::ServiceKind;
use std::sync::Arc;
use volo_http::request::Request;
use volo_http::response::Response;

const KEY_HEADER: &str = "idempotency-key";
const MAX_KEY_BYTES: usize = 256;

/// Handles an application call.
pub(crate) async fn handle(
    shared: Arc<NodeShared>,
    values: PathValues,
    request: Request,
) -> Response {
    let [service, route] = <[String; 2]>::try_from(values).unwrap_or_default();
    match admit(&shared, &service, request).await {
        Ok(admitted) => run(shared, admitted, route).await,
        Err(refusal) => refusal.into_response(),
    }
}

async fn run(shared: Arc<NodeShared>, admitted: AdmittedRequest, route: String) -> Response {
    let AdmittedRequest {
        customer,
        service,
        headers,
        body,
        permit,
        unsent,
    } = admitted;
    let catalog = shared.configuration.current();
    let kind = catalog.services.get(&service).map(|state| state.entry.kind);
    if kind != Some(ServiceKind::Plain) {
        let refusal = Refusal::not_run(unsent, RefusalReason::BadRequest);
        return refusal
            .detail("the service has model engines; ask for generations")
            .into_response();
    }
    let key = match read_idempotency_key(&headers) {
        Ok(key) => key,
        Err(detail) => {
            let refusal = Refusal::not_run(unsent, RefusalReason::BadHeader);
            return refusal.detail(detail).into_response();
        }
    };
    let call = ApplicationCall {
        customer: customer.name.clone(),
        service,
        route,
        key,
        body,
    };
    // The call continues if its caller disconnects, so that its response can be stored.
    let task = tokio::spawn(async move {
        let result = run_call(&shared, call, unsent).await;
        drop(permit);
        result
    });
    let result = task
        .await
        .unwrap_or_else(|_| Err(Refusal::unknown(RefusalReason::AnswerLost)));
    counters::count_finished("call");
    call_result::to_response(result)
}

fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, &'static str> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    // `to_str` accepts only visible ASCII characters, spaces and tabs.
    let text = value
        .to_str()
        .map_err(|_| "the idempotency key has bytes that can't be read")?;
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err("an idempotency key has from 1 to 256 bytes");
    }
    Ok(Some(text.to_owned()))
}
