//! State that the tasks of the process share; none of it depends on a task.

mod admission;
mod claim_writer;
mod configuration_store;
mod evidence_registry;
mod sent_keys;
mod shared;
mod upstream_registry;

pub(crate) use admission::{AdmissionController, AdmissionError, AdmissionPermit};
pub(crate) use claim_writer::{ClaimWriter, ConditionalWrite, WriteOutcome};
pub(crate) use configuration_store::{ChangeError, ConfigurationStore};
pub(crate) use evidence_registry::{EvidenceRegistry, MoveEvidence, MoveKey};
pub(crate) use sent_keys::SentKeys;
pub(crate) use shared::NodeShared;
pub(crate) use upstream_registry::{InFlightGuard, PrefillGuard, UpstreamRegistry, UpstreamState};
