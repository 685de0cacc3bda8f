//! Decides which VM keeps the load ledger of an engine.
//!
//! Load pattern: many VMs choose engines at the same moment from stale reports. All ask the
//! one VM that knows what the others have just placed, so that an engine is neither
//! overloaded by them nor asked by each of them.

use crate::feed_route::VmEntry;
use crate::rendezvous::weighted_rank;
use skylarkshed_core::{UpstreamName, ZoneName};

/// The number of VMs from which on ledgers are used. In smaller fleets each VM knows a large
/// part of the load itself.
pub const MIN_LEDGER_VMS: usize = 16;

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
