//! The common steps of all requests of callers: authorisation, limits and admission.

use super::auth;
use crate::refusal::{Refusal, RefusalReason};
use crate::state::{AdmissionError, AdmissionPermit, NodeShared};
use bytes::Bytes;
use http::HeaderMap;
use skylarkshed_core::{CatalogState, ClockTime, CustomerEntry, ServiceName, UnsentCall};
use skylarkshed_http_link::{read_body, BodyError, BodyLimits};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use volo_http::request::Request;

const RETRY_AFTER_DRAINING: ClockTime = ClockTime::from_millis(1_000);
const RETRY_AFTER_NOT_READY: ClockTime = ClockTime::from_millis(1_000);

/// A request that passed all checks and holds a permit.
pub(crate) struct AdmittedRequest {
    pub(crate) customer: Arc<CustomerEntry>,
    pub(crate) service: ServiceName,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) permit: AdmissionPermit,
    pub(crate) unsent: UnsentCall,
}

/// Checks a request, reads its body and waits for a permit.
pub(crate) async fn admit(
    shared: &NodeShared,
    service: &str,
    request: Request,
) -> Result<AdmittedRequest, Refusal> {
    let unsent = UnsentCall::for_new_request();
    let catalog = shared.configuration.current();
    let customer = match authorize(shared, &catalog, service, request.headers()) {
        Ok(customer) => customer,
        Err((reason, wait)) => return Err(refuse(unsent, reason, wait)),
    };
    let (parts, body) = request.into_parts();
    let limits = &shared.settings.limits;
    let reading = read_body(body, BodyLimits::request(limits.body_bytes));
    let body = match tokio::time::timeout(limits.body_time.to_duration(), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLong(_) | BodyError::TooManyPieces(_))) => {
            return Err(Refusal::not_run(unsent, RefusalReason::BodyTooLong))
        }
        Ok(Err(_)) => return Err(Refusal::not_run(unsent, RefusalReason::BadRequest)),
        Err(_) => return Err(Refusal::not_run(unsent, RefusalReason::BodyTooSlow)),
    };
    let permit = match shared.admission.acquire(&customer).await {
        Ok(permit) => permit,
        Err(error) => {
            let (reason, wait) = refusal_reason(error);
            return Err(refuse(unsent, reason, Some(wait)));
        }
    };
    // The process may have begun to drain while the request waited.
    if shared.is_refusing.load(Ordering::Relaxed) {
        return Err(refuse(
            unsent,
            RefusalReason::Draining,
            Some(RETRY_AFTER_DRAINING),
        ));
    }
    let service = ServiceName::from(service);
    Ok(AdmittedRequest {
        customer,
        service,
        headers: parts.headers,
        body,
        permit,
        unsent,
    })
}

fn refuse(unsent: UnsentCall, reason: RefusalReason, wait: Option<ClockTime>) -> Refusal {
    let refusal = Refusal::not_run(unsent, reason);
    match wait {
        Some(wait) => refusal.retry_after(wait),
        None => refusal,
    }
}

fn authorize(
    shared: &NodeShared,
    catalog: &CatalogState,
    service: &str,
    headers: &HeaderMap,
) -> Result<Arc<CustomerEntry>, (RefusalReason, Option<ClockTime>)> {
    if shared.is_refusing.load(Ordering::Relaxed) {
        return Err((RefusalReason::Draining, Some(RETRY_AFTER_DRAINING)));
    }
    if !shared.is_ready.load(Ordering::Relaxed) {
        return Err((RefusalReason::NotReady, Some(RETRY_AFTER_NOT_READY)));
    }
    if headers.len() > shared.settings.limits.headers {
        return Err((RefusalReason::TooManyHeaders, None));
    }
    let customer = auth::find_customer(catalog, headers).map_err(|reason| (reason, None))?;
    let service = ServiceName::from(service);
    if !catalog.services.contains_key(&service) {
        return Err((RefusalReason::UnknownService, None));
    }
    auth::check_allowed(&customer, &service).map_err(|reason| (reason, None))?;
    Ok(customer)
}

fn refusal_reason(error: AdmissionError) -> (RefusalReason, ClockTime) {
    match error {
        AdmissionError::RateLimit(wait) => (RefusalReason::RateLimit, wait),
        AdmissionError::Concurrency(wait) => (RefusalReason::CustomerConcurrency, wait),
        AdmissionError::QueueTooLong(wait) => (RefusalReason::QueueTooLong, wait),
        AdmissionError::QueueTimeout(wait) => (RefusalReason::QueueTimeout, wait),
    }
}
