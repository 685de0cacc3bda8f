//! Handles the requests of other VMs.

use crate::calls::application_call::ApplicationCall;
use crate::calls::call_result;
use crate::calls::minted_call;
use crate::calls::minted_key::parse_key;
use crate::configuration::sync_task::{apply_batch, make_batch};
use crate::refusal::{Refusal, RefusalReason};
use crate::state::{MoveKey, NodeShared};
use bytes::Bytes;
use skylarkshed_core::{RevisionNumber, UnsentCall};
use skylarkshed_peer::wire::{ForwardedCall, ForwardedOutcome, MoveId, PeerBody};
use skylarkshed_peer::PeerHandler;
use std::sync::Arc;

/// Handles the requests of other VMs.
#[derive(Clone)]
pub(crate) struct PeerService {
    pub(crate) shared: Arc<NodeShared>,
}

impl PeerHandler for PeerService {
    async fn handle(&self, body: PeerBody) -> PeerBody {
        match body {
            PeerBody::Push(batch) => PeerBody::Done(apply_batch(&self.shared, &batch)),
            PeerBody::Pull(after) => {
                PeerBody::Changes(make_batch(&self.shared, RevisionNumber(after)))
            }
            PeerBody::Forward(call) => PeerBody::Outcome(self.run_forwarded(call).await),
            PeerBody::RequestEvidence(id) => {
                PeerBody::Evidence(self.shared.evidence.to_json(&move_key(&id)))
            }
            PeerBody::StopMove(id) => {
                let (service, revision) = move_key(&id);
                PeerBody::Done(self.shared.stop_move(&service, revision))
            }
            PeerBody::Changes(_)
            | PeerBody::Outcome(_)
            | PeerBody::Done(_)
            | PeerBody::Evidence(_)
            | PeerBody::RequestFeed(_)
            | PeerBody::Feed(_)
            | PeerBody::ReportRollout(_)
            | PeerBody::RolloutWord(_)
            | PeerBody::EndRollout(_)
            | PeerBody::ReportCrash(_)
            | PeerBody::ShareBlocks(_)
            | PeerBody::AskLedgers(_)
            | PeerBody::LedgerViews(_)
            | PeerBody::PlacePrompt(_)
            | PeerBody::PlacementReply(_)
            | PeerBody::PromptProgress(_)
            | PeerBody::RequestRetries(_)
            | PeerBody::LendRetries(_) => PeerBody::Done(false),
        }
    }
}

fn move_key(id: &MoveId) -> MoveKey {
    (id.service.as_str().into(), RevisionNumber(id.revision))
}

impl PeerService {
    async fn run_forwarded(&self, forwarded: ForwardedCall) -> ForwardedOutcome {
        let call = ApplicationCall {
            customer: forwarded.customer.as_str().into(),
            service: forwarded.service.as_str().into(),
            route: forwarded.route,
            key: Some(forwarded.key),
            body: Bytes::from(forwarded.body),
        };
        let text = call.key.as_deref().unwrap_or_default();
        let key = parse_key(&self.shared, &call.customer, &call.service, text);
        let Some(key) = key.filter(|key| key.is_own(&self.shared)) else {
            let refusal = Refusal::unknown(RefusalReason::KeyNotMinted);
            return call_result::to_forwarded(Err(refusal));
        };
        let unsent = UnsentCall::for_new_request();
        let result = minted_call::consume(&self.shared, key.serial, call, unsent).await;
        call_result::to_forwarded(result)
    }
}
