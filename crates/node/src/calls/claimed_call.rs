//! Calls that may be sent once their idempotency key was claimed.

use crate::calls::application_call::ApplicationCall;
use crate::calls::call_result::{self, CallResult};
use crate::calls::call_sender::send_once;
use crate::calls::claims::ClaimOutcome;
use crate::refusal::{Refusal, RefusalReason};
use crate::state::NodeShared;
use skylarkshed_core::{ClockTime, UnsentCall};
use std::sync::Arc;

const RETRY_AFTER: ClockTime = ClockTime::from_millis(1_000);

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
    let result = send_once(shared, &call, unsent).await;
    match &result {
        Ok(response) => claim.store_response(shared, call_result::to_stored(response)),
        Err(refusal) if refusal.is_not_run() => claim.release(shared),
        Err(_) => {}
    }
    result
}
