//! Calls that use a minted key.
//!
//! Only the process that minted a key may consume it, so such a call doesn't
//! need the platform. Other VMs forward the call to the minter.

use crate::calls::application_call::ApplicationCall;
use crate::calls::call_result::{self, CallResult};
use crate::calls::call_sender::send_once;
use crate::calls::claimed_call::run_claimed_call;
use crate::calls::claims;
use crate::calls::minted_key::MintedKey;
use crate::refusal::{Refusal, RefusalReason};
use crate::state::NodeShared;
use skylarkshed_core::{ClockTime, IncarnationId, UnsentCall};
use skylarkshed_peer::wire::{ForwardedCall, PeerBody};
use skylarkshed_peer::PeerError;
use skylarkshed_platform::TableStore;
use skylarkshed_policy::{ClaimRow, ClaimState, MintedState, MintedVerdict};
use std::net::SocketAddr;
use std::sync::Arc;

const RETRY_AFTER: ClockTime = ClockTime::from_millis(1_000);
/// How much longer a forwarded call may take than the minter's own attempt.
const FORWARD_TIMEOUT_MARGIN: ClockTime = ClockTime::from_millis(1_000);
const CLOSED_ROW_PREFIX: &str = "minter/";

/// Runs a call that uses a minted key.
pub(crate) async fn run_minted_call(
    shared: &Arc<NodeShared>,
    key: MintedKey,
    call: ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    if key.is_own(shared) {
        return consume(shared, key.serial, call, unsent).await;
    }
    let minter = find_minter(shared, &key);
    let result = match minter {
        Some(address) => forward(shared, address, &key, &call).await,
        None => Err(PeerError::Unreachable),
    };
    match result {
        Ok(PeerBody::Outcome(outcome)) => call_result::from_forwarded(outcome, unsent),
        _ => run_call_without_minter(shared, &key, call, unsent).await,
    }
}

/// Consumes a key of this process and sends its call.
pub(crate) async fn consume(
    shared: &Arc<NodeShared>,
    serial: u64,
    call: ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    let request = call.request_hash();
    let verdict = shared
        .minted_keys
        .lock()
        .expect("not poisoned")
        .consume(serial, &request);
    match verdict {
        MintedVerdict::Send => {}
        MintedVerdict::Unknown => {
            return Err(Refusal::unknown(RefusalReason::KeyInUse).retry_after(RETRY_AFTER))
        }
        MintedVerdict::Replay(response) => return Ok(call_result::from_stored(response)),
        MintedVerdict::Mismatch => return Err(Refusal::unknown(RefusalReason::KeyMismatch)),
        MintedVerdict::NotMinted => return Err(Refusal::unknown(RefusalReason::KeyNotMinted)),
    }
    let result = send_once(shared, &call, unsent).await;
    let mut minted_keys = shared.minted_keys.lock().expect("not poisoned");
    match &result {
        Ok(response) => minted_keys.store_response(serial, call_result::to_stored(response)),
        Err(refusal) if refusal.is_not_run() => minted_keys.release_key(serial),
        Err(_) => {}
    }
    result
}

/// Writes the consumed keys to the table, so that they outlive this process.
///
/// Afterwards any VM may claim a key that was not consumed.
pub(crate) async fn persist_used_keys(shared: &Arc<NodeShared>) {
    if !try_persist_used_keys(shared).await {
        log::warn!("can't persist the minted keys; calls with them will be refused as unknown");
    }
}

/// Writes a row for each consumed key and then the closing row; reports whether all of
/// them are written.
async fn try_persist_used_keys(shared: &Arc<NodeShared>) -> bool {
    let consumed = shared.minted_keys.lock().expect("not poisoned").close();
    for (serial, request, state) in consumed {
        let state = match state {
            MintedState::Consumed => ClaimState::Claimed,
            MintedState::Answered(response) => ClaimState::Answered(response),
        };
        let row = ClaimRow {
            claimant: shared.incarnation,
            serial,
            request,
            state,
        };
        let row_key = persisted_row_key(shared.incarnation, serial);
        if !claims::store_row(shared, row_key, &row).await {
            return false;
        }
    }
    let row = ClaimRow {
        claimant: shared.incarnation,
        serial: 0,
        request: shared.settings.name.to_string(),
        state: ClaimState::Released,
    };
    claims::store_row(shared, closed_row_key(shared.incarnation), &row).await
}

/// Runs a call whose minter is unreachable, if the minter persisted its keys.
async fn run_call_without_minter(
    shared: &Arc<NodeShared>,
    key: &MintedKey,
    call: ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    if !is_closed(shared, key).await {
        // The minter may have consumed the key before, so the outcome is `unknown` even
        // if the call was not forwarded.
        let refusal = Refusal::unknown(RefusalReason::MinterUnreachable);
        return Err(refusal.retry_after(RETRY_AFTER));
    }
    let row_key = persisted_row_key(key.incarnation, key.serial);
    let outcome = claims::claim(shared, row_key, call.request_hash()).await;
    run_claimed_call(shared, outcome, call, unsent).await
}

/// Reports whether the minter of a key has persisted its consumed keys.
async fn is_closed(shared: &NodeShared, key: &MintedKey) -> bool {
    let row = shared.platform.read(&closed_row_key(key.incarnation)).await;
    let Ok(Some(row)) = row else { return false };
    match serde_json::from_str::<ClaimRow>(&row.value) {
        // Earlier builds left the VM's name out.
        Ok(row) => row.request.is_empty() || row.request == key.vm.as_str(),
        Err(error) => {
            log::warn!(row = row.key.as_str(), error = error.to_string(); "can't read the closing row of a VM");
            false
        }
    }
}

fn find_minter(shared: &NodeShared, key: &MintedKey) -> Option<SocketAddr> {
    let membership = shared.membership.lock().expect("not poisoned");
    let mut members = membership.members();
    let minter =
        members.find(|record| record.name == key.vm && record.incarnation == key.incarnation);
    minter.map(|record| record.address)
}

async fn forward(
    shared: &NodeShared,
    address: SocketAddr,
    key: &MintedKey,
    call: &ApplicationCall,
) -> Result<PeerBody, PeerError> {
    let forwarded = ForwardedCall {
        incarnation: key.incarnation.0,
        serial: key.serial,
        customer: call.customer.to_string(),
        service: call.service.to_string(),
        route: call.route.clone(),
        body: call.body.to_vec(),
        key: call.key.clone().unwrap_or_default(),
    };
    // Longer than the timeout of the minter's own attempt, so that its result arrives.
    let timeout = shared.settings.calls.timeout + FORWARD_TIMEOUT_MARGIN;
    shared
        .peers
        .request(address, PeerBody::Forward(forwarded), timeout)
        .await
}

fn persisted_row_key(incarnation: IncarnationId, serial: u64) -> String {
    format!("claim/minted/{incarnation}/{serial}")
}

/// Returns the key of the row that a minter writes once all its consumed keys are persisted.
/// Its `request` is the name of the minter, as another VM may have the same incarnation.
fn closed_row_key(incarnation: IncarnationId) -> String {
    format!("{CLOSED_ROW_PREFIX}{incarnation}")
}
