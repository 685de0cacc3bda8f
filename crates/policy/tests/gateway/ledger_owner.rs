//! Which VM keeps the ledger of an engine.

use skylarkshed_core::{ClockTime, UpstreamName};
use skylarkshed_policy::{find_ledger_owner, VmEntry};

const ENGINES: usize = 300;

fn vm(number: u16, zone: &str, capacity: u64) -> VmEntry {
    VmEntry {
        name: format!("vm-{number}").as_str().into(),
        zone: zone.into(),
        address: ([10, 1, 0, 19], number).into(),
        announced_at: ClockTime::ZERO,
        capacity,
    }
}

fn engines() -> Vec<UpstreamName> {
    let names = (0..ENGINES).map(|number| format!("engine-{number}"));
    names.map(|name| name.as_str().into()).collect()
}

fn owners(vms: &[VmEntry]) -> Vec<VmEntry> {
    let engines = engines();
    let owners = engines
        .iter()
        .map(|engine| find_ledger_owner(vms, engine, &"chag".into()).unwrap());
    owners.cloned().collect()
}

/// Guards against ledgers that all start empty whenever a VM comes or goes.
#[test]
fn ledgers_move_only_from_or_to_the_vm_that_comes_or_goes() {
    let mut vms: Vec<VmEntry> = (0..20).map(|number| vm(number, "chag", 4)).collect();
    let before = owners(&vms);
    let removed = vms.remove(7);
    let after = owners(&vms);
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
    let moved: Vec<_> = moved.collect();
    assert!(moved.iter().all(|(old, _)| **old == removed));
    let owned = before.iter().filter(|owner| **owner == removed).count();
    assert_eq!(moved.len(), owned);
    assert!((5..30).contains(&owned), "{owned} of {ENGINES}");
}

#[test]
fn ledgers_stay_in_the_zone_in_proportion_to_capacity() {
    let mut vms = vec![vm(1, "chag", 1), vm(2, "chag", 9)];
    vms.extend((3..9).map(|number| vm(number, "brak", 9)));
    let owners = owners(&vms);
    assert!(owners.iter().all(|owner| owner.zone == "chag".into()));
    let small = owners.iter().filter(|owner| **owner == vms[0]).count();
    assert!((10..60).contains(&small), "{small} of {ENGINES}");
    let elsewhere = find_ledger_owner(&vms, &engines()[0], &"kochi".into());
    assert!(elsewhere.is_some(), "a zone without VMs uses all VMs");
}
