//! Identifies the customer of a request and checks its permissions.

use crate::refusal::RefusalReason;
use http::{header, HeaderMap};
use skylarkshed_core::{CatalogState, CustomerEntry, KeyHash, ServiceName};
use std::sync::Arc;

const BEARER: &str = "Bearer ";

/// Returns the customer whose API key the request carries.
pub(crate) fn find_customer(
    catalog: &CatalogState,
    headers: &HeaderMap,
) -> Result<Arc<CustomerEntry>, RefusalReason> {
    let Some(value) = headers.get(header::AUTHORIZATION) else {
        return Err(RefusalReason::UnknownKey);
    };
    let text = value.to_str().map_err(|_| RefusalReason::BadHeader)?;
    let key = text.strip_prefix(BEARER).ok_or(RefusalReason::BadHeader)?;
    let hash = KeyHash::of(key);
    let mut customers = catalog.customers.values();
    let found = customers.find(|customer| customer.keys.contains(&hash));
    found.cloned().ok_or(RefusalReason::UnknownKey)
}

/// Checks that a customer may call a service.
pub(crate) fn check_allowed(
    customer: &CustomerEntry,
    service: &ServiceName,
) -> Result<(), RefusalReason> {
    match customer.services.contains(service) {
        true => Ok(()),
        false => Err(RefusalReason::NotAllowed),
    }
}
