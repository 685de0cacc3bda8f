//! Sends application calls to upstreams, and again if that is allowed.

use crate::calls::application_call::ApplicationCall;
use crate::calls::call_result::CallResult;
use crate::counters;
use crate::refusal::{Refusal, RefusalReason};
use crate::state::{InFlightGuard, NodeShared, UpstreamState};
use skylarkshed_core::{ClockTime, UnsentCall, UpstreamName, VersionName};
use skylarkshed_policy::choose_by_share;
use skylarkshed_upstream::{ApplicationClient, ApplicationResponse, CallError};
use std::sync::Arc;

const RETRY_AFTER: ClockTime = ClockTime::from_millis(500);
const MAX_ATTEMPTS: usize = 3;
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// The upstream that a call is sent to, and its version.
struct CallTarget {
    state: Arc<UpstreamState>,
    version: VersionName,
}

/// Why an attempt got no response.
enum SendFailure {
    /// Nothing was sent; carries the proof.
    NotSent(UnsentCall, RefusalReason),
    /// The call may have run.
    Lost(RefusalReason),
}

/// Sends a call that may run only once; retries on another upstream only if nothing
/// was sent.
pub(crate) async fn send_once(
    shared: &Arc<NodeShared>,
    call: &ApplicationCall,
    mut unsent: UnsentCall,
) -> CallResult {
    let mut avoid = Vec::new();
    let mut reason = None;
    for attempt in 0..MAX_ATTEMPTS {
        let target = match choose(shared, call, &avoid) {
            Ok(target) => target,
            Err(choose_error) => {
                reason.get_or_insert(choose_error);
                break;
            }
        };
        if attempt > 0 {
            counters::count_retry("call_not_sent");
        }
        match send(shared, &target, call, unsent).await {
            Ok(response) => return Ok(response),
            Err(SendFailure::NotSent(proof, not_sent)) => {
                unsent = proof;
                reason = Some(not_sent);
            }
            Err(SendFailure::Lost(lost)) => return Err(Refusal::unknown(lost)),
        }
        avoid.push(target.state.entry.name.clone());
    }
    Err(to_refusal(Some(unsent), reason))
}

/// Sends an idempotent call, with retries within the retry budget.
pub(crate) async fn send_with_retries(
    shared: &Arc<NodeShared>,
    call: &ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    shared.retry_budget.earn(1);
    let mut proof = Some(unsent);
    let mut avoid = Vec::new();
    let mut reason = None;
    for attempt in 0..MAX_ATTEMPTS {
        let target = match choose(shared, call, &avoid) {
            Ok(target) => target,
            Err(choose_error) => {
                reason.get_or_insert(choose_error);
                break;
            }
        };
        if attempt > 0 && !try_retry(shared) {
            break;
        }
        // A retry needs no proof that nothing was sent: the call is idempotent.
        let is_proven = proof.is_some();
        let unsent = proof.take().unwrap_or_else(UnsentCall::for_new_request);
        match send(shared, &target, call, unsent).await {
            Ok(response) => return Ok(response),
            Err(SendFailure::NotSent(unsent, not_sent)) if is_proven => {
                proof = Some(unsent);
                reason = Some(not_sent);
            }
            // An earlier attempt may have run, and its reason stays.
            Err(SendFailure::NotSent(..)) => {}
            Err(SendFailure::Lost(lost)) => reason = Some(lost),
        }
        avoid.push(target.state.entry.name.clone());
    }
    Err(to_refusal(proof, reason))
}

/// Spends a retry of the budget, counts it, and reports whether the budget allows it.
fn try_retry(shared: &NodeShared) -> bool {
    let is_allowed = shared.retry_budget.try_spend(1);
    counters::count_retry(match is_allowed {
        true => "idempotent_call",
        false => "denied_by_budget",
    });
    is_allowed
}

/// Refuses a call with the reason of its last attempt.
fn to_refusal(proof: Option<UnsentCall>, reason: Option<RefusalReason>) -> Refusal {
    let reason = reason.unwrap_or(RefusalReason::NoUpstream);
    let refusal = match proof {
        Some(proof) => Refusal::not_run(proof, reason),
        None => Refusal::unknown(reason),
    };
    refusal.retry_after(RETRY_AFTER)
}

async fn send(
    shared: &Arc<NodeShared>,
    target: &CallTarget,
    call: &ApplicationCall,
    unsent: UnsentCall,
) -> Result<ApplicationResponse, SendFailure> {
    let state = &target.state;
    if !state.try_start_call() {
        return Err(SendFailure::NotSent(unsent, RefusalReason::UpstreamBusy));
    }
    let _guard = InFlightGuard::new(state.clone());
    let started = shared.clock.now();
    let request = call.to_request();
    let exchange = shared
        .application
        .call(state.entry.address, &request, unsent);
    let limit = shared.settings.calls.timeout.to_duration();
    let result = tokio::time::timeout(limit, exchange).await;
    let now = shared.clock.now();
    let latency = result
        .as_ref()
        .ok()
        .filter(|result| result.is_ok())
        .map(|_| now.since(started));
    state.finish_call(latency, now);
    let is_success =
        matches!(&result, Ok(Ok(response)) if response.status < MIN_SERVER_ERROR_STATUS);
    let time = latency.filter(|_| is_success);
    let catalog = shared.configuration.current();
    let (service, version) = (&call.service, &target.version);
    shared.evidence.record(
        &catalog,
        service,
        version,
        &call.route,
        &call.customer,
        time,
    );
    match result {
        Ok(Ok(response)) => {
            state.mark_healthy();
            Ok(response)
        }
        Ok(Err(CallError::NotSent(proof))) => {
            state.mark_suspect(now);
            let reason = RefusalReason::UpstreamUnreachable;
            Err(SendFailure::NotSent(proof, reason))
        }
        Ok(Err(CallError::ResponseLost(..))) => {
            state.mark_suspect(now);
            Err(SendFailure::Lost(RefusalReason::AnswerLost))
        }
        Ok(Err(CallError::MismatchedResponse(_))) => {
            Err(SendFailure::Lost(RefusalReason::WrongAnswer))
        }
        Err(_) => {
            state.mark_suspect(now);
            Err(SendFailure::Lost(RefusalReason::AnswerTimeout))
        }
    }
}

/// Chooses a version by its traffic share, and an upstream of it.
fn choose(
    shared: &NodeShared,
    call: &ApplicationCall,
    avoid: &[UpstreamName],
) -> Result<CallTarget, RefusalReason> {
    let catalog = shared.configuration.current();
    let service = catalog
        .services
        .get(&call.service)
        .ok_or(RefusalReason::UnknownService)?;
    let shares = shared.usable_shares(service);
    let version = choose_by_share(&shares, rand::random()).ok_or(RefusalReason::NoUpstream)?;
    // Application calls share no KV cache, so they need no common prefix hash.
    let prefix = rand::random();
    let state = shared
        .registry
        .choose(version, prefix, &shared.settings.zone, avoid);
    let state = state.ok_or(RefusalReason::NoUpstream)?;
    Ok(CallTarget {
        state,
        version: version.name.clone(),
    })
}
