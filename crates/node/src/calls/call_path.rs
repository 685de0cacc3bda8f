//! Runs application calls: with retries, once, or once for an idempotency key.

use crate::calls::application_call::ApplicationCall;
use crate::calls::call_result::CallResult;
use crate::calls::call_sender::{send_once, send_with_retries};
use crate::calls::claimed_call::run_claimed_call;
use crate::calls::claims;
use crate::calls::minted_call::run_minted_call;
use crate::calls::minted_key;
use crate::refusal::{Refusal, RefusalReason};
use crate::state::NodeShared;
use skylarkshed_core::UnsentCall;
use std::sync::Arc;

/// Runs a call in the way that its route and its idempotency key allow.
///
/// An idempotent call is retried. Any other call runs at most once; if it has a key,
/// it is sent only after the key was claimed or, for a minted key, consumed.
pub(crate) async fn run_call(
    shared: &Arc<NodeShared>,
    call: ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    let catalog = shared.configuration.current();
    let service = catalog.services.get(&call.service);
    if service.is_some_and(|service| service.entry.is_idempotent(&call.route)) {
        return send_with_retries(shared, &call, unsent).await;
    }
    let Some(key) = call.key.clone() else {
        return send_once(shared, &call, unsent).await;
    };
    if minted_key::has_minted_form(&key) {
        return match minted_key::parse_key(shared, &call.customer, &call.service, &key) {
            Some(minted) => run_minted_call(shared, minted, call, unsent).await,
            None => Err(Refusal::not_run(unsent, RefusalReason::KeyNotMinted)),
        };
    }
    let row_key = claims::claim_row_key(&call.customer, &call.service, &key);
    let outcome = claims::claim(shared, row_key, call.request_hash()).await;
    run_claimed_call(shared, outcome, call, unsent).await
}
