//! The path of a quick call from its caller to an upstream.

use crate::answers::CallResult;
use crate::claims;
use crate::counters;
use crate::minting;
use crate::refusal::{Refusal, RefusalReason};
use crate::registry::{InFlightGuard, UpstreamState};
use crate::shared::NodeShared;
use bytes::Bytes;
use skylarkshed_core::{
    ClockTime, CustomerName, GenerationId, ServiceName, UnsentCall, UpstreamName, VersionEntry,
    VersionName,
};
use skylarkshed_upstream::{ApplicationClient, ApplicationRequest, ApplicationResponse, CallError};
use std::sync::Arc;

const RETRY: ClockTime = ClockTime::from_millis(500);
const MOST_SENDS: usize = 3;
const FIRST_SERVER_ERROR: u16 = 500;

/// A quick call as its caller asked for it.
#[derive(Clone, Debug)]
pub(crate) struct ApplicationCall {
    pub(crate) customer: CustomerName,
    pub(crate) service: ServiceName,
    pub(crate) route: String,
    pub(crate) key: Option<String>,
    pub(crate) body: Bytes,
}

impl ApplicationCall {
    /// Returns the hash of route and body, by which a key's requests are compared.
    pub(crate) fn request_hash(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.route.as_bytes());
        hasher.update(&[0]);
        hasher.update(&self.body);
        hasher.finalize().to_hex()[..32].to_owned()
    }

    fn to_plain(&self) -> ApplicationRequest {
        ApplicationRequest {
            route: self.route.clone(),
            call_id: GenerationId::random().to_string(),
            key: self.key.clone(),
            body: self.body.clone(),
        }
    }
}

/// Where a call is sent.
struct CallTarget {
    record: Arc<UpstreamState>,
    version: VersionName,
}

/// Why one sending got no answer.
enum SendFailure {
    /// Nothing was sent; the proof is given back.
    NotSent(UnsentCall),
    /// The call may have run.
    Lost(RefusalReason),
}

/// Runs a call.
pub(crate) async fn run_call(
    shared: &Arc<NodeShared>,
    call: ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    let catalog = shared.configuration.current();
    let service = catalog.services.get(&call.service);
    if service.is_some_and(|service| service.entry.is_idempotent(&call.route)) {
        return send_repeatedly(shared, &call, unsent).await;
    }
    let Some(key) = call.key.clone() else {
        return send_once(shared, &call, unsent).await;
    };
    if minting::is_minted_form(&key) {
        return match minting::read_key(shared, &call.customer, &call.service, &key) {
            Some(minted) => minting::call(shared, minted, call, unsent).await,
            None => Err(Refusal::not_run(unsent, RefusalReason::KeyNotMinted)),
        };
    }
    let row = claims::claim_key(&call.customer, &call.service, &key);
    let outcome = claims::claim(shared, row, call.request_hash()).await;
    minting::call_claimed(shared, outcome, call, unsent).await
}

/// Sends a call that may not be repeated; tries others only while nothing left.
pub(crate) async fn send_once(
    shared: &Arc<NodeShared>,
    call: &ApplicationCall,
    mut unsent: UnsentCall,
) -> CallResult {
    let mut avoid = Vec::new();
    for _ in 0..MOST_SENDS {
        let target = match choose(shared, call, &avoid) {
            Ok(target) => target,
            Err(reason) => return Err(Refusal::not_run(unsent, reason).retry_after(RETRY)),
        };
        match send(shared, &target, call, unsent).await {
            Ok(answer) => return Ok(answer),
            Err(SendFailure::NotSent(proof)) => unsent = proof,
            Err(SendFailure::Lost(reason)) => return Err(Refusal::unknown(reason)),
        }
        counters::count_retry("call_not_sent");
        avoid.push(target.record.entry.name.clone());
    }
    Err(Refusal::not_run(unsent, RefusalReason::UpstreamUnreachable).retry_after(RETRY))
}

/// Sends a call that may be repeated, within the retry budget.
async fn send_repeatedly(
    shared: &Arc<NodeShared>,
    call: &ApplicationCall,
    unsent: UnsentCall,
) -> CallResult {
    shared.retry_budget.earn(1);
    let mut proof = Some(unsent);
    let mut avoid = Vec::new();
    let mut reason = RefusalReason::UpstreamUnreachable;
    for _ in 0..MOST_SENDS {
        let target = match choose(shared, call, &avoid) {
            Ok(target) => target,
            Err(choice) => return Err(refuse(proof, choice)),
        };
        // A repetition needs no proof of its own: running twice does no harm.
        let unsent = proof.take().unwrap_or_else(UnsentCall::for_new_request);
        match send(shared, &target, call, unsent).await {
            Ok(answer) => return Ok(answer),
            Err(SendFailure::NotSent(unsent)) if reason == RefusalReason::UpstreamUnreachable => {
                proof = Some(unsent);
            }
            Err(SendFailure::NotSent(_)) => {}
            Err(SendFailure::Lost(lost)) => reason = lost,
        }
        avoid.push(target.record.entry.name.clone());
        if !shared.retry_budget.try_spend(1) {
            counters::count_retry("denied_by_budget");
            break;
        }
        counters::count_retry("idempotent_call");
    }
    Err(refuse(proof, reason))
}

fn refuse(proof: Option<UnsentCall>, reason: RefusalReason) -> Refusal {
    let refusal = match proof {
        Some(proof) => Refusal::not_run(proof, reason),
        None => Refusal::unknown(reason),
    };
    refusal.retry_after(RETRY)
}

async fn send(
    shared: &Arc<NodeShared>,
    target: &CallTarget,
    call: &ApplicationCall,
    unsent: UnsentCall,
) -> Result<ApplicationResponse, SendFailure> {
    let record = &target.record;
    if !record.try_start_call() {
        return Err(SendFailure::NotSent(unsent));
    }
    let _guard = InFlightGuard::new(record.clone());
    let started = shared.clock.now();
    let plain = call.to_plain();
    let sending = shared
        .application
        .call(record.entry.address, &plain, unsent);
    let limit = shared.settings.calls.timeout.to_duration();
    let result = tokio::time::timeout(limit, sending).await;
    let now = shared.clock.now();
    let latency = result
        .as_ref()
        .ok()
        .filter(|result| result.is_ok())
        .map(|_| now.since(started));
    record.finish_call(latency, now);
    let is_good = matches!(&result, Ok(Ok(answer)) if answer.status < FIRST_SERVER_ERROR);
    let time = latency.filter(|_| is_good);
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
        Ok(Ok(answer)) => {
            record.note_success();
            Ok(answer)
        }
        Ok(Err(CallError::NotSent(proof))) => {
            record.note_failure(now);
            Err(SendFailure::NotSent(proof))
        }
        Ok(Err(CallError::ResponseLost(..))) => {
            record.note_failure(now);
            Err(SendFailure::Lost(RefusalReason::AnswerLost))
        }
        Ok(Err(CallError::MismatchedResponse(_))) => {
            Err(SendFailure::Lost(RefusalReason::WrongAnswer))
        }
        Err(_) => {
            record.note_failure(now);
            Err(SendFailure::Lost(RefusalReason::AnswerTimeout))
        }
    }
}

/// Picks a version by its share and an upstream of it.
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
    let version = pick_share(&shares, rand::random()).ok_or(RefusalReason::NoUpstream)?;
    let prefix = rand::random();
    let record = shared
        .registry
        .choose(version, prefix, &shared.settings.zone, avoid);
    let record = record.ok_or(RefusalReason::NoUpstream)?;
    Ok(CallTarget {
        record,
        version: version.name.clone(),
    })
}

/// Picks one of several versions by their shares.
pub(crate) fn pick_share<'a>(
    shares: &[(&'a Arc<VersionEntry>, u32)],
    draw: u32,
) -> Option<&'a Arc<VersionEntry>> {
    let total: u64 = shares.iter().map(|(_, share)| u64::from(*share)).sum();
    let mut rest = u64::from(draw) % total.max(1);
    for (version, share) in shares {
        if rest < u64::from(*share) {
            return Some(version);
        }
        rest -= u64::from(*share);
    }
    None
}
