//! Idempotency keys that this VM mints, and calls that use such keys.
//!
//! Only the process that minted a key may consume it, so such a call doesn't
//! need the platform. Other VMs forward the call to the minter.

use crate::call_path::{self, ApplicationCall};
use crate::call_result::{self, CallResult};
use crate::claims::{self, ClaimOutcome};
use crate::refusal::{Refusal, RefusalReason};
use crate::shared::NodeShared;
use skylarkshed_core::{ClockTime, CustomerName, IncarnationId, ServiceName, UnsentCall, VmName};
use skylarkshed_peer::wire::{ForwardedCall, PeerBody};
use skylarkshed_peer::PeerError;
use skylarkshed_platform::TableStore;
use skylarkshed_policy::{ClaimRow, ClaimState, MintedState, MintedVerdict};
use std::net::SocketAddr;
use std::sync::Arc;

const KEY_PREFIX: &str = "mk1";
const SEPARATOR: char = '~';
const RETRY_AFTER: ClockTime = ClockTime::from_millis(1_000);
/// How much longer a forwarded call may take than the minter's own attempt.
const FORWARD_TIMEOUT_MARGIN: ClockTime = ClockTime::from_millis(1_000);
const CLOSED_ROW_PREFIX: &str = "minter/";

/// A minted key, parsed from its text.
#[derive(Clone, Debug)]
pub(crate) struct MintedKey {
    vm: VmName,
    incarnation: IncarnationId,
    serial: u64,
}

/// Mints keys for a customer and a service; fewer if the limit of kept keys is reached.
pub(crate) fn mint(
    shared: &NodeShared,
    customer: &CustomerName,
    service: &ServiceName,
    count: usize,
) -> Vec<String> {
    let mut minted_keys = shared.minted_keys.lock().expect("not poisoned");
    let serials = (0..count).map_while(|_| minted_keys.mint());
    serials
        .map(|serial| format_key(shared, customer, service, serial))
        .collect()
}

/// Reports whether a text has the form of a minted key.
pub(crate) fn has_minted_form(text: &str) -> bool {
    text.split(SEPARATOR).next() == Some(KEY_PREFIX) && text.contains(SEPARATOR)
}

/// Parses a minted key; returns `None` if it was not minted for this customer and service.
pub(crate) fn parse_key(
    shared: &NodeShared,
    customer: &CustomerName,
    service: &ServiceName,
    text: &str,
) -> Option<MintedKey> {
    let fields: Vec<&str> = text.split(SEPARATOR).collect();
    let [KEY_PREFIX, vm, incarnation, serial, code] = <[&str; 5]>::try_from(fields).ok()? else {
        return None;
    };
    let signed_text = format!("{KEY_PREFIX}~{vm}~{incarnation}~{serial}");
    let expected = code_hex(shared, customer, service, &signed_text);
    // The comparison of `blake3` hashes takes constant time.
    if blake3::hash(expected.as_bytes()) != blake3::hash(code.as_bytes()) {
        return None;
    }
    Some(MintedKey {
        vm: vm.into(),
        incarnation: incarnation.parse().ok()?,
        serial: serial.parse().ok()?,
    })
}

/// Runs a call that uses a minted key.
pub(crate) async fn run_minted_call(
    shared: &Arc<NodeShared>,
    key: MintedKey,
    call: ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    if key.incarnation == shared.incarnation {
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
    let result = call_path::send_once(shared, &call, unsent).await;
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
            log::warn!("can't persist the consumed minted keys: the platform is unavailable");
            return;
        }
    }
    let row = ClaimRow {
        claimant: shared.incarnation,
        serial: 0,
        request: String::new(),
        state: ClaimState::Released,
    };
    claims::store_row(shared, closed_row_key(shared.incarnation), &row).await;
}

/// Runs a call whose minter is unreachable, if the minter persisted its keys.
async fn run_call_without_minter(
    shared: &Arc<NodeShared>,
    key: &MintedKey,
    call: ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    let closed = shared.platform.read(&closed_row_key(key.incarnation)).await;
    if !matches!(closed, Ok(Some(_))) {
        // The minter may have consumed the key before, so the outcome is `unknown` even
        // if the call was not forwarded.
        let refusal = Refusal::unknown(RefusalReason::MinterUnreachable);
        return Err(refusal.retry_after(RETRY_AFTER));
    }
    let row_key = persisted_row_key(key.incarnation, key.serial);
    let outcome = claims::claim(shared, row_key, call.request_hash()).await;
    run_claimed_call(shared, outcome, call, unsent).await
}

/// Continues a call with the result of its claim.
pub(crate) async fn run_claimed_call(
    shared: &Arc<NodeShared>,
    outcome: ClaimOutcome,
    call: ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    let claim = match outcome {
        ClaimOutcome::Granted(claim) => claim,
        ClaimOutcome::Replay(response) => return Ok(call_result::from_stored(response)),
        ClaimOutcome::NotRun => {
            let refusal = Refusal::not_run(unsent, RefusalReason::ClaimUnavailable);
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        ClaimOutcome::InUse => {
            return Err(Refusal::unknown(RefusalReason::KeyInUse).retry_after(RETRY_AFTER))
        }
        ClaimOutcome::Mismatch => return Err(Refusal::unknown(RefusalReason::KeyMismatch)),
    };
    claim.record_sent(shared);
    let result = call_path::send_once(shared, &call, unsent).await;
    match &result {
        Ok(response) => claim.store_response(shared, call_result::to_stored(response)),
        Err(refusal) if refusal.is_not_run() => claim.release(shared),
        Err(_) => {}
    }
    result
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

fn format_key(
    shared: &NodeShared,
    customer: &CustomerName,
    service: &ServiceName,
    serial: u64,
) -> String {
    let vm = &shared.settings.name;
    let signed_text = format!("{KEY_PREFIX}~{vm}~{}~{serial}", shared.incarnation);
    let code = code_hex(shared, customer, service, &signed_text);
    format!("{signed_text}~{code}")
}

fn code_hex(
    shared: &NodeShared,
    customer: &CustomerName,
    service: &ServiceName,
    signed_text: &str,
) -> String {
    let code = shared
        .peer_key
        .authentication_code(format!("{customer}~{service}~{signed_text}").as_bytes());
    code.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn persisted_row_key(incarnation: IncarnationId, serial: u64) -> String {
    format!("claim/minted/{incarnation}/{serial}")
}

/// Returns the key of the row that a minter writes once all its consumed keys are persisted.
fn closed_row_key(incarnation: IncarnationId) -> String {
    format!("{CLOSED_ROW_PREFIX}{incarnation}")
}
