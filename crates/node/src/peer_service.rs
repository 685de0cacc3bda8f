//! Answers the requests of other VMs.

use crate::answers;
use crate::call_path::ApplicationCall;
use crate::evidence_registry::MoveKey;
use crate::minting;
use crate::refusal::{Refusal, RefusalReason};
use crate::shared::NodeShared;
use crate::sync_task::{make_batch, take_batch};
use bytes::Bytes;
use skylarkshed_core::{RevisionNumber, UnsentCall};
use skylarkshed_peer::wire::{ForwardedCall, ForwardedOutcome, MoveId, PeerBody};
use skylarkshed_peer::PeerHandler;
use std::sync::Arc;

/// Answers the requests of other VMs.
#[derive(Clone)]
pub(crate) struct PeerService {
    pub(crate) shared: Arc<NodeShared>,
}

impl PeerHandler for PeerService {
    async fn handle(&self, body: PeerBody) -> PeerBody {
        match body {
            PeerBody::Push(batch) => PeerBody::Done(take_batch(&self.shared, &batch)),
            PeerBody::Pull(after) => {
                PeerBody::Changes(make_batch(&self.shared, RevisionNumber(after)))
            }
            PeerBody::Forward(call) => PeerBody::Outcome(self.spend(call).await),
            PeerBody::RequestEvidence(name) => {
                PeerBody::Evidence(self.shared.evidence.to_text(&move_key(&name)))
            }
            PeerBody::StopMove(name) => {
                let (service, revision) = move_key(&name);
                PeerBody::Done(self.shared.stop_move(&service, revision))
            }
            PeerBody::Changes(_)
            | PeerBody::Outcome(_)
            | PeerBody::Done(_)
            | PeerBody::Evidence(_)
            | PeerBody::RequestFeed(_)
            | PeerBody::Feed(_) => PeerBody::Done(false),
        }
    }
}

fn move_key(name: &MoveId) -> MoveKey {
    (name.service.as_str().into(), RevisionNumber(name.revision))
}

impl PeerService {
    async fn spend(&self, forwarded: ForwardedCall) -> ForwardedOutcome {
        if forwarded.incarnation != self.shared.incarnation.0 {
            let refusal = Refusal::unknown(RefusalReason::KeyNotMinted);
            return answers::to_forwarded(Err(refusal));
        }
        let call = ApplicationCall {
            customer: forwarded.customer.as_str().into(),
            service: forwarded.service.as_str().into(),
            route: forwarded.route,
            key: Some(forwarded.key),
            body: Bytes::from(forwarded.body),
        };
        let unsent = UnsentCall::for_new_request();
        let result = minting::spend(&self.shared, forwarded.serial, call, unsent).await;
        answers::to_forwarded(result)
    }
}
