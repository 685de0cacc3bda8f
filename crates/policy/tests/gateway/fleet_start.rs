//! VMs that start, one by one or all at once, and where they read the tables.

use skylarkshed_core::{ClockTime, VmName, ZoneName};
use skylarkshed_policy::{hash_rank, FeedEndpoint, FeedRoute, TableServer, VmEntry};
use std::net::SocketAddr;

const NOW: ClockTime = ClockTime::from_millis(50);
/// The VMs of the largest fleet that is planned.
const FLEET_VMS: u16 = 425;

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number + 1).into()
}

fn seeds() -> Vec<SocketAddr> {
    (0..3).map(address).collect()
}

fn fresh_route(number: u16) -> FeedRoute {
    let others = seeds();
    let is_seed = others.contains(&address(number));
    let others = others.into_iter().filter(|seed| *seed != address(number));
    FeedRoute::new(
        VmName::new(format!("vm-{number}")),
        ZoneName::new(format!("zone-{}", number % 5)),
    )
    .with_seeds(others.collect(), is_seed)
}

fn entry(number: u16) -> VmEntry {
    VmEntry {
        name: VmName::new(format!("vm-{number}")),
        zone: ZoneName::new(format!("zone-{}", number % 5)),
        address: address(number),
        announced_at: ClockTime::ZERO,
        capacity: 1,
    }
}

/// Guards against a store that gets hundreds of reads of whole tables at the moment
/// when the whole fleet starts.
#[test]
fn only_the_seeds_read_the_store_when_the_whole_fleet_starts() {
    let readers = (0..FLEET_VMS).filter(|number| {
        let endpoints = fresh_route(*number).table_endpoints(NOW, u64::from(*number));
        endpoints.contains(&FeedEndpoint::Store)
    });
    assert_eq!(readers.count(), 3);
}

#[test]
fn a_vm_that_restarts_asks_vms_of_its_zone_and_then_seeds() {
    let vms: Vec<VmEntry> = (0..50).map(entry).collect();
    let mut route = fresh_route(7);
    route.set_vms(&vms);
    let endpoints = route.table_endpoints(NOW, 9);
    let in_zone = |endpoint: &FeedEndpoint| {
        vms.iter()
            .any(|vm| *endpoint == FeedEndpoint::Peer(vm.address) && vm.zone.as_str() == "zone-2")
    };
    assert!(endpoints[..2].iter().all(in_zone), "{endpoints:?}");
    assert!(!endpoints.contains(&FeedEndpoint::Store));
}

#[test]
fn a_vm_that_reaches_no_other_vm_reads_the_store_after_a_few_rounds() {
    let mut route = fresh_route(7);
    for _ in 0..3 {
        assert!(!route.table_endpoints(NOW, 1).contains(&FeedEndpoint::Store));
        seeds()
            .iter()
            .for_each(|seed| route.mark_without_table(*seed, NOW));
        route.mark_table_failed();
    }
    assert_eq!(route.table_endpoints(NOW, 1), [FeedEndpoint::Store]);
    route.mark_table_read();
    let later = NOW + ClockTime::from_millis(1_000);
    assert!(!route
        .table_endpoints(later, 1)
        .contains(&FeedEndpoint::Store));
}

/// A seed that answers, though it has no tables yet, will have them within moments.
#[test]
fn a_vm_asks_the_store_first_only_while_no_seed_answers() {
    let mut route = fresh_route(7);
    let asked_at = NOW;
    let later = NOW + ClockTime::from_millis(900);
    route.mark_unreachable(seeds()[0], asked_at, later);
    assert!(!route.asks_store_first(later));
    route.mark_without_table(seeds()[1], later);
    route.mark_unreachable(seeds()[2], later, later);
    route.mark_unreachable(seeds()[0], later, later);
    // Refused at once: the seeds are starting.
    assert!(!route.asks_store_first(later));
    assert!(route.asks_store_first(later + ClockTime::from_millis(900)));
    route.mark_healthy(seeds()[0]);
    assert!(!route.asks_store_first(later + ClockTime::from_millis(900)));
}

#[test]
fn a_vm_that_is_not_listed_yet_reads_changes_from_a_seed() {
    let mut route = fresh_route(7);
    assert!(matches!(route.endpoints(NOW)[0], FeedEndpoint::Peer(seed) if seeds().contains(&seed)));
    route.set_vms(&[entry(7)]);
    assert_eq!(route.endpoints(NOW)[0], FeedEndpoint::Store);
}

#[test]
fn a_vm_without_seeds_reads_the_store() {
    let route = FeedRoute::new("vm-1".into(), "zone-1".into());
    assert_eq!(route.table_endpoints(NOW, 1), [FeedEndpoint::Store]);
}

/// Replays the start of the whole fleet on the slowest links: each VM asks one that
/// has the table every 100 ms, first a seed and then those that it is referred to.
/// Without referral the three seeds would need 17 seconds.
#[test]
fn the_whole_fleet_has_the_tables_in_three_seconds() {
    // 10 Mbit/s, of which half may be used.
    const BYTES_PER_MS: u64 = 625;
    const TABLE_BYTES: u64 = 75_000;
    let mut servers: Vec<TableServer> = (0..FLEET_VMS)
        .map(|_| TableServer::new(BYTES_PER_MS))
        .collect();
    let mut receives_at: Vec<Option<u64>> = vec![None; usize::from(FLEET_VMS)];
    receives_at[..3].fill(Some(0));
    let mut next_ask: Vec<u16> = (0..FLEET_VMS).map(|number| number % 3).collect();
    let mut now_ms = 0;
    while receives_at.iter().any(Option::is_none) {
        now_ms += 100;
        for number in 0..FLEET_VMS {
            if receives_at[usize::from(number)].is_some() {
                continue;
            }
            let random = hash_rank((number, now_ms));
            let asked = next_ask[usize::from(number)];
            if receives_at[usize::from(asked)].is_none_or(|at| at > now_ms) {
                next_ask[usize::from(number)] = (random % 3) as u16;
                continue;
            }
            let now = ClockTime::from_millis(now_ms);
            let server = &mut servers[usize::from(asked)];
            match server.admit(Some(address(number)), TABLE_BYTES, now, random) {
                // The transfer waits for the burst before it.
                Ok(()) => {
                    let transfer_ms = 250 + TABLE_BYTES / BYTES_PER_MS;
                    receives_at[usize::from(number)] = Some(now_ms + transfer_ms);
                }
                Err(others) => {
                    let other = others.first().map_or(0, |other| other.port() - 1);
                    next_ask[usize::from(number)] = other;
                }
            }
        }
    }
    let last = receives_at.iter().flatten().max().unwrap();
    assert!(*last <= 3_000, "{last} ms");
}
