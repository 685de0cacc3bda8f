//! What VMs pass on of the store, and whom they ask.

use skylarkshed_core::ClockTime;
use skylarkshed_policy::{
    FeedBatch, FeedCache, FeedEndpoint, FeedError, FeedRoute, FeedRow, VmEntry,
};

fn row(key: &'static str, revision: u64, value: Option<&'static str>) -> FeedRow {
    FeedRow {
        key: key.into(),
        revision,
        value: value.map(Into::into),
    }
}

fn reading(rows: Vec<FeedRow>, revision: u64) -> FeedBatch {
    FeedBatch {
        rows,
        revision,
        age: ClockTime::ZERO,
    }
}

const NOW: ClockTime = ClockTime::from_millis(50);

#[test]
fn changes_include_removals() {
    let mut cache = FeedCache::default();
    cache.replace(&reading(vec![row("a", 3, Some("x"))], 5), NOW);
    cache.apply(&reading(vec![row("a", 7, None)], 7), NOW);
    assert_eq!(cache.changes(Some(5)), Ok(vec![row("a", 7, None)]));
    assert_eq!(cache.changes(None), Ok(vec![]));
}

#[test]
fn an_asker_from_before_the_last_whole_reading_is_told_to_read_all() {
    let mut cache = FeedCache::default();
    cache.replace(&reading(vec![], 5), NOW);
    assert_eq!(cache.changes(Some(4)), Err(FeedError::HistoryLost));
}

#[test]
fn an_older_row_does_not_replace_a_newer_one() {
    let mut cache = FeedCache::default();
    cache.replace(&reading(vec![row("a", 9, Some("new"))], 9), NOW);
    cache.apply(&reading(vec![row("a", 3, Some("old"))], 9), NOW);
    assert_eq!(cache.changes(None), Ok(vec![row("a", 9, Some("new"))]));
}

#[test]
fn an_older_table_does_not_replace_a_newer_one() {
    let mut cache = FeedCache::default();
    cache.replace(&reading(vec![row("a", 9, Some("new"))], 9), NOW);
    cache.replace(&reading(vec![], 4), NOW);
    assert_eq!(cache.revision(), 9);
    assert_eq!(cache.changes(None).unwrap().len(), 1);
}

#[test]
fn an_old_proof_is_no_new_one() {
    let mut cache = FeedCache::default();
    cache.replace(&reading(vec![], 5), NOW);
    let proofs = cache.confirmations();
    cache.apply(&reading(vec![], 5), ClockTime::from_millis(20));
    assert_eq!((cache.confirmations(), cache.fresh_at()), (proofs, NOW));
}

#[test]
fn forgotten_removals_are_told_as_lost_history() {
    let mut cache = FeedCache::default();
    cache.replace(&reading(vec![], 0), NOW);
    for revision in 1..=600 {
        let key = format!("upstream-{revision}");
        let gone = FeedRow {
            key: key.into(),
            revision,
            value: None,
        };
        cache.apply(&reading(vec![gone], revision), NOW);
    }
    assert_eq!(cache.changes(Some(1)), Err(FeedError::HistoryLost));
    assert!(cache.changes(Some(590)).is_ok());
}

/// A zone's thousand engines end, and a VM that asks a moment later is told all.
#[test]
fn removals_of_a_large_table_are_remembered() {
    let mut cache = FeedCache::default();
    let present = (0..3_000).map(|number| {
        let key = format!("upstream-{number}");
        FeedRow {
            key: key.into(),
            revision: 1,
            value: Some("x".into()),
        }
    });
    cache.replace(&reading(present.collect(), 1), NOW);
    for number in 0..1_000 {
        let gone = FeedRow {
            key: format!("upstream-{number}").into(),
            revision: number + 2,
            value: None,
        };
        cache.apply(&reading(vec![gone], number + 2), NOW);
    }
    assert_eq!(cache.changes(Some(1)).map(|rows| rows.len()), Ok(1_000));
}

#[test]
fn whole_tables_are_read_at_the_store() {
    let vms = [vm("vm-a", "z", 1), vm("vm-b", "z", 2)];
    for route in routes(&vms) {
        assert_eq!(route.snapshot_endpoints(NOW)[0], FeedEndpoint::Store);
        assert_eq!(route.snapshot_endpoints(NOW).len(), 2);
    }
}

fn vm(name: &str, zone: &str, port: u16) -> VmEntry {
    VmEntry {
        name: name.into(),
        zone: zone.into(),
        address: ([127, 0, 0, 1], port).into(),
        announced_at: ClockTime::ZERO,
    }
}

fn vms_of_three_zones(count: u16) -> Vec<VmEntry> {
    let vm = |number| {
        let zone = format!("zone-{}", number % 3);
        vm(&format!("vm-{number}"), &zone, number)
    };
    (0..count).map(vm).collect()
}

fn routes(vms: &[VmEntry]) -> Vec<FeedRoute> {
    let route = |vm: &VmEntry| {
        let mut route = FeedRoute::new(vm.name.clone(), vm.zone.clone());
        route.set_vms(vms);
        route
    };
    vms.iter().map(route).collect()
}

#[test]
fn one_vm_of_the_fleet_asks_the_store_first() {
    let vms = vms_of_three_zones(30);
    let routes = routes(&vms);
    let first = routes.iter().map(|route| route.endpoints(NOW)[0]);
    assert_eq!(
        first.filter(|place| *place == FeedEndpoint::Store).count(),
        1
    );
}

/// The fleet's carrier is out of reach: a zone has one VM at the store, and the
/// others still ask that one.
#[test]
fn a_zone_that_is_cut_off_has_one_vm_at_the_store() {
    let vms = vms_of_three_zones(30);
    let zones = ["zone-0", "zone-1", "zone-2"];
    for zone in zones {
        let mut at_store = 0;
        for (route, vm) in routes(&vms).iter_mut().zip(&vms) {
            if vm.zone.as_str() != zone {
                continue;
            }
            for other in vms.iter().filter(|other| other.zone != vm.zone) {
                route.mark_failed(other.address, NOW);
            }
            at_store += usize::from(route.endpoints(NOW)[0] == FeedEndpoint::Store);
        }
        assert_eq!(at_store, 1);
    }
}

#[test]
fn a_peer_that_fails_again_and_again_is_asked_ever_less() {
    let vms = [vm("vm-a", "z", 1), vm("vm-b", "z", 2)];
    for mut route in routes(&vms) {
        let FeedEndpoint::Peer(carrier) = route.endpoints(NOW)[0] else {
            continue;
        };
        let mut asked = 0;
        for second in 0..60 {
            let now = ClockTime::from_millis(second * 1_000);
            if route.endpoints(now)[0] == FeedEndpoint::Peer(carrier) {
                route.mark_failed(carrier, now);
                asked += 1;
            }
        }
        assert!(asked <= 5, "{asked} times");
        route.mark_healthy(carrier);
        assert_eq!(route.endpoints(NOW)[0], FeedEndpoint::Peer(carrier));
    }
}

#[test]
fn a_failed_carrier_is_left_out_for_a_while() {
    let vms = [vm("vm-a", "z", 1), vm("vm-b", "z", 2), vm("vm-c", "z", 3)];
    let mut routes = routes(&vms);
    let mut asking = routes
        .iter_mut()
        .filter_map(|route| match route.endpoints(NOW)[0] {
            FeedEndpoint::Peer(carrier) => Some((route, carrier)),
            FeedEndpoint::Store => None,
        });
    let (route, carrier) = asking.next().unwrap();
    route.mark_failed(carrier, NOW);
    assert!(!route.endpoints(NOW).contains(&FeedEndpoint::Peer(carrier)));
    let later = NOW + ClockTime::from_millis(3_100);
    assert_eq!(route.endpoints(later)[0], FeedEndpoint::Peer(carrier));
}

/// The store is down for all: in ten seconds a fleet that loops every 600 ms
/// would call it a thousand times.
#[test]
fn a_store_that_is_down_is_left_to_the_carriers() {
    let vms = vms_of_three_zones(60);
    let mut calls = 0;
    for mut route in routes(&vms) {
        let before = calls;
        for step in 0..16 {
            let now = ClockTime::from_millis(step * 600);
            for place in route.endpoints(now) {
                match place {
                    FeedEndpoint::Store => calls += 1,
                    FeedEndpoint::Peer(peer) => route.mark_failed(peer, now),
                }
            }
            route.mark_all_failed(now);
        }
        assert!(calls - before >= 3, "a VM must see for itself every 3 s");
    }
    assert!(calls < 400, "{calls} calls");
}

#[test]
fn the_return_of_the_store_is_learned_from_the_carrier() {
    let vms = [vm("vm-a", "z", 1), vm("vm-b", "z", 2), vm("vm-c", "z", 3)];
    for mut route in routes(&vms) {
        let places = route.endpoints(NOW);
        let FeedEndpoint::Peer(carrier) = places[0] else {
            continue;
        };
        route.mark_failed(carrier, NOW);
        route.mark_all_failed(NOW);
        let soon = NOW + ClockTime::from_millis(300);
        assert_eq!(route.endpoints(soon)[0], FeedEndpoint::Peer(carrier));
    }
}

#[test]
fn a_carrier_that_has_just_started_is_asked_again_soon() {
    let vms = [vm("vm-a", "z", 1), vm("vm-b", "z", 2)];
    for mut route in routes(&vms) {
        let FeedEndpoint::Peer(carrier) = route.endpoints(NOW)[0] else {
            continue;
        };
        route.mark_starting(carrier, NOW);
        assert_eq!(route.endpoints(NOW)[0], FeedEndpoint::Store);
        let soon = NOW + ClockTime::from_millis(600);
        assert_eq!(route.endpoints(soon)[0], FeedEndpoint::Peer(carrier));
    }
}

#[test]
fn a_vm_that_the_store_turns_away_asks_others() {
    let vms = [
        vm("vm-a", "z", 1),
        vm("vm-b", "z", 2),
        vm("vm-c", "other", 3),
    ];
    for route in routes(&vms[..2]) {
        let places = route.endpoints(NOW);
        assert_eq!(places.len(), 2, "the store and the other VM of the zone");
    }
}
