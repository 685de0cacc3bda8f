//! Decides which VM keeps the load ledger of an engine, and when ledgers are used.
//!
//! Load pattern: many VMs choose engines at the same moment from stale reports. All ask the
//! one VM that knows what the others have just placed, so that an engine is neither
//! overloaded by them nor asked by each of them.

use crate::engine_ledger::LedgerView;
use crate::engine_placement::{expected_first_event, EngineChoice, PromptSize};
use crate::feed_route::VmEntry;
use crate::rendezvous::weighted_rank;
use skylarkshed_core::{UpstreamName, ZoneName};

/// The number of VMs from which on ledgers are used. In smaller fleets each VM knows a large
/// part of the load itself.
pub const MIN_LEDGER_VMS: usize = 16;
/// The additional time, as a percentage of the usual prompt's, from which on engines of other
/// zones are considered as well: another prompt has to be prefilled first.
const BUSY_PERCENT: u64 = 40;

/// Returns the VM that keeps the ledger of an engine: one of the engine's zone, or of all VMs
/// if its zone has none. VMs keep a number of ledgers in proportion to their capacity.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{find_ledger_owner, VmEntry};
///
/// let vm = |name: &str, zone: &str| VmEntry {
///     name: name.into(),
///     zone: zone.into(),
///     address: ([10, 1, 0, 19], 8_748).into(),
///     announced_at: ClockTime::ZERO,
///     capacity: 1,
/// };
/// let vms = [vm("vm-1", "chag"), vm("vm-2", "brak")];
/// let owner = find_ledger_owner(&vms, &"engine-1".into(), &"brak".into());
/// assert_eq!(owner, Some(&vms[1]));
/// ```
pub fn find_ledger_owner<'a>(
    vms: &'a [VmEntry],
    engine: &UpstreamName,
    zone: &ZoneName,
) -> Option<&'a VmEntry> {
    let rank = |vm: &&VmEntry| weighted_rank((engine, &vm.name), vm.capacity);
    let in_zone = vms.iter().filter(|vm| vm.zone == *zone);
    in_zone
        .max_by_key(rank)
        .or_else(|| vms.iter().max_by_key(rank))
}

/// Reports whether even the best of the candidates is so busy that engines of other zones
/// should be considered as well; `choice` is the best one.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{needs_more_candidates, EngineChoice, PromptSize};
///
/// let size = PromptSize {
///     prompt_tokens: 8_000,
///     output_tokens: 100,
///     usual_prompt: 8_000,
///     usual_tokens_per_s: 8_000,
/// };
/// let idle = EngineChoice { index: 0, expected: ClockTime::from_millis(1_000), has_room: true };
/// assert!(!needs_more_candidates(&idle, &size));
/// let busy = EngineChoice { expected: ClockTime::from_millis(2_000), ..idle };
/// assert!(needs_more_candidates(&busy, &size));
/// ```
pub fn needs_more_candidates(choice: &EngineChoice, size: &PromptSize) -> bool {
    let idle = expected_first_event(&LedgerView::default(), size).as_millis();
    let usual_ms = size.usual_prompt * 1_000 / size.usual_tokens_per_s.max(1);
    let busy_ms = idle + usual_ms * BUSY_PERCENT / 100;
    !choice.has_room || choice.expected.as_millis() >= busy_ms
}
