//! Keeps a call away from upstreams that have ended under its like.
//!
//! A call has no parts that it shares with others, but callers send the same one again: it
//! stands for itself, by its customer, method, target and body.

use crate::exchange::CallerRequest;
use crate::gateway_state::GatewayState;
use crate::process_check::has_ended;
use crate::quarantine::{Admission, ProbeTicket};
use crate::upstreams::UpstreamState;
use faststr::FastStr;
use skylarkshed_core::{ClockTime, CustomerName, ServiceName};
use skylarkshed_policy::{AttemptProgress, CrashReport};
use std::sync::Arc;

/// Distinguishes the identities of calls from the parts of prompts.
const IDENTITY_PREFIX: &str = "call-";

/// The quarantine's view of one call.
pub(crate) struct CallGuard {
    state: Arc<GatewayState>,
    service: ServiceName,
    identity: [FastStr; 1],
    probe: Option<ProbeTicket>,
}

impl CallGuard {
    pub(crate) fn new(state: Arc<GatewayState>, request: &CallerRequest) -> Self {
        CallGuard {
            state,
            service: request.service.clone(),
            identity: [identify(request)],
            probe: None,
        }
    }

    /// Returns for how long the call must not be sent; none if it may, perhaps as a probe.
    pub(crate) fn blocked_for(&mut self) -> Option<ClockTime> {
        if self.probe.is_some() {
            return None;
        }
        let quarantine = &self.state.quarantine;
        match quarantine.admit(&self.state, &self.service, &self.identity) {
            Admission::Allowed => None,
            Admission::Probe(ticket) => {
                self.probe = Some(ticket);
                None
            }
            Admission::Blocked { retry_after } => Some(retry_after),
        }
    }

    /// Records that an upstream has responded to the call.
    pub(crate) fn record_response(&mut self) {
        let quarantine = &self.state.quarantine;
        quarantine.record_sound(&self.state, &self.service, &self.identity);
        self.probe = None;
    }

    /// Finds out, beside the next attempt, whether the upstream of a broken attempt has
    /// ended.
    pub(crate) fn examine_loss(&mut self, upstream: Arc<UpstreamState>) {
        let quarantine = &self.state.quarantine;
        if quarantine.is_sound(&self.service, &self.identity) {
            return;
        }
        let (state, probe) = (self.state.clone(), self.probe.take());
        let report = CrashReport {
            service: self.service.clone(),
            engine: upstream.name().clone(),
            parts: self.identity.to_vec(),
            // Upstreams begin calls at once.
            progress: AttemptProgress::Begun,
        };
        tokio::spawn(async move {
            if !has_ended(upstream.record.address).await {
                return;
            }
            state.quarantine.report_crash(&state, &report);
            if let Some(probe) = probe {
                probe.fail();
            }
        });
    }
}

fn identify(request: &CallerRequest) -> FastStr {
    let customer = request.customer.as_ref().map_or("", CustomerName::as_str);
    let parts = &request.parts;
    let target = parts
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    let mut hasher = blake3::Hasher::new();
    for field in [customer, parts.method.as_str(), &request.head.host, target] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.update(&request.body);
    let hash = hasher.finalize().to_hex();
    FastStr::from_string(format!("{IDENTITY_PREFIX}{}", &hash[..16]))
}
