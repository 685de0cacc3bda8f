//! Idempotency keys that this VM mints, and calls that name such keys.
//!
//! Only the process that minted a key may spend it, so a booking needs no
//! platform. Another VM forwards the call to the minter.

use crate::answers::{self, CallResult};
use crate::call_path::{self, ApplicationCall};
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

const PREFIX: &str = "mk1";
const SEPARATOR: char = '~';
const RETRY: ClockTime = ClockTime::from_millis(1_000);
const CLOSED_PREFIX: &str = "minter/";

/// A minted key, read from its text.
#[derive(Clone, Debug)]
pub(crate) struct MintedKey {
    vm: VmName,
    incarnation: IncarnationId,
    serial: u64,
}

/// Mints keys for a customer and a service; fewer if too many are kept.
pub(crate) fn mint(
    shared: &NodeShared,
    customer: &CustomerName,
    service: &ServiceName,
    count: usize,
) -> Vec<String> {
    let mut minted = shared.minted.lock().expect("not poisoned");
    let serials = (0..count).map_while(|_| minted.mint());
    serials
        .map(|serial| write_key(shared, customer, service, serial))
        .collect()
}

/// Tells whether a text has the form of a minted key.
pub(crate) fn is_minted_form(text: &str) -> bool {
    text.split(SEPARATOR).next() == Some(PREFIX) && text.contains(SEPARATOR)
}

/// Reads a minted key; none if it was not minted for this customer and service.
pub(crate) fn read_key(
    shared: &NodeShared,
    customer: &CustomerName,
    service: &ServiceName,
    text: &str,
) -> Option<MintedKey> {
    let fields: Vec<&str> = text.split(SEPARATOR).collect();
    let [PREFIX, vm, incarnation, serial, code] = <[&str; 5]>::try_from(fields).ok()? else {
        return None;
    };
    let signed = format!("{PREFIX}~{vm}~{incarnation}~{serial}");
    let expected = code_text(shared, customer, service, &signed);
    // Hashes are compared in constant time.
    if blake3::hash(expected.as_bytes()) != blake3::hash(code.as_bytes()) {
        return None;
    }
    Some(MintedKey {
        vm: vm.into(),
        incarnation: incarnation.parse().ok()?,
        serial: serial.parse().ok()?,
    })
}

/// Runs a call that names a minted key.
pub(crate) async fn call(
    shared: &Arc<NodeShared>,
    key: MintedKey,
    call: ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    if key.incarnation == shared.incarnation {
        return spend(shared, key.serial, call, unsent).await;
    }
    let minter = find_minter(shared, &key);
    let result = match minter {
        Some(address) => forward(shared, address, &key, &call).await,
        None => Err(PeerError::Unreachable),
    };
    match result {
        Ok(PeerBody::Outcome(outcome)) => answers::from_forwarded(outcome, unsent),
        // The key may have been spent before, so even an unsent forward is `unknown`.
        _ => call_after_minter(shared, &key, call, unsent).await,
    }
}

/// Spends a key of this process.
pub(crate) async fn spend(
    shared: &Arc<NodeShared>,
    serial: u64,
    call: ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    let request = call.request_hash();
    let verdict = shared
        .minted
        .lock()
        .expect("not poisoned")
        .consume(serial, &request);
    match verdict {
        MintedVerdict::Send => {}
        MintedVerdict::Unknown => {
            return Err(Refusal::unknown(RefusalReason::KeyInUse).retry_after(RETRY))
        }
        MintedVerdict::Replay(answer) => return Ok(answers::from_stored(answer)),
        MintedVerdict::Mismatch => return Err(Refusal::unknown(RefusalReason::KeyMismatch)),
        MintedVerdict::NotMinted => return Err(Refusal::unknown(RefusalReason::KeyNotMinted)),
    }
    let result = call_path::send_once(shared, &call, unsent).await;
    let mut minted = shared.minted.lock().expect("not poisoned");
    match &result {
        Ok(answer) => minted.store_response(serial, answers::to_stored(answer)),
        Err(refusal) if refusal.is_not_run() => minted.release_key(serial),
        Err(_) => {}
    }
    result
}

/// Writes the spent keys to the table, so that they outlast this process.
///
/// Afterwards any VM may claim a key that was not spent.
pub(crate) async fn persist_used_keys(shared: &Arc<NodeShared>) {
    let spent = shared.minted.lock().expect("not poisoned").close();
    for (serial, request, state) in spent {
        let state = match state {
            MintedState::Consumed => ClaimState::Claimed,
            MintedState::Answered(answer) => ClaimState::Answered(answer),
        };
        let row = ClaimRow {
            claimant: shared.incarnation,
            serial,
            request,
            state,
        };
        let key = settled_key(shared.incarnation, serial);
        if !claims::store_row(shared, key, &row).await {
            log::warn!("minted keys can't be settled: the platform is out");
            return;
        }
    }
    let row = ClaimRow {
        claimant: shared.incarnation,
        serial: 0,
        request: String::new(),
        state: ClaimState::Released,
    };
    claims::store_row(shared, closed_key(shared.incarnation), &row).await;
}

/// Runs a call whose minter is gone, if the minter settled its keys.
async fn call_after_minter(
    shared: &Arc<NodeShared>,
    key: &MintedKey,
    call: ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    let closed = shared.platform.read(&closed_key(key.incarnation)).await;
    if !matches!(closed, Ok(Some(_))) {
        let refusal = Refusal::unknown(RefusalReason::MinterUnreachable);
        return Err(refusal.retry_after(RETRY));
    }
    let row_key = settled_key(key.incarnation, key.serial);
    let outcome = claims::claim(shared, row_key, call.request_hash()).await;
    call_claimed(shared, outcome, call, unsent).await
}

/// Goes on after a claim.
pub(crate) async fn call_claimed(
    shared: &Arc<NodeShared>,
    outcome: ClaimOutcome,
    call: ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    let claim = match outcome {
        ClaimOutcome::Granted(claim) => claim,
        ClaimOutcome::Answered(answer) => return Ok(answers::from_stored(answer)),
        ClaimOutcome::NotRun => {
            let refusal = Refusal::not_run(unsent, RefusalReason::ClaimUnavailable);
            return Err(refusal.retry_after(RETRY));
        }
        ClaimOutcome::InUse => {
            return Err(Refusal::unknown(RefusalReason::KeyInUse).retry_after(RETRY))
        }
        ClaimOutcome::Mismatch => return Err(Refusal::unknown(RefusalReason::KeyMismatch)),
    };
    claim.note_sent(shared);
    let result = call_path::send_once(shared, &call, unsent).await;
    match &result {
        Ok(answer) => claim.answer(shared, answers::to_stored(answer)),
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
    let wait = shared.settings.calls.timeout + RETRY;
    shared
        .peers
        .request(address, PeerBody::Forward(forwarded), wait)
        .await
}

fn write_key(
    shared: &NodeShared,
    customer: &CustomerName,
    service: &ServiceName,
    serial: u64,
) -> String {
    let vm = &shared.settings.name;
    let signed = format!("{PREFIX}~{vm}~{}~{serial}", shared.incarnation);
    let code = code_text(shared, customer, service, &signed);
    format!("{signed}~{code}")
}

fn code_text(
    shared: &NodeShared,
    customer: &CustomerName,
    service: &ServiceName,
    signed: &str,
) -> String {
    let code = shared
        .peer_key
        .authentication_code(format!("{customer}~{service}~{signed}").as_bytes());
    code.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn settled_key(incarnation: IncarnationId, serial: u64) -> String {
    format!("claim/minted/{incarnation}/{serial}")
}

fn closed_key(incarnation: IncarnationId) -> String {
    format!("{CLOSED_PREFIX}{incarnation}")
}
