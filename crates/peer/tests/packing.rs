//! The time in which a relay passes a large configuration on to its zone.

use skylarkshed_peer::wire::FeedRowWire;
use skylarkshed_peer::{pack_rows, unpack_rows};

/// The slowest link of a VM, in bytes per millisecond (10 Mbit/s).
const SLOWEST_LINK_BYTES_PER_MS: usize = 1_250;
/// The VMs of a zone of the largest deployments.
const ZONE_VMS: usize = 85;
/// The time within which a configuration has to be active on all VMs.
const CONFIG_BOUND_MS: usize = 3_000;
const ROUTES: u32 = 1_500;

/// Returns a configuration row in the operators' format, with names that do not repeat.
fn large_config() -> FeedRowWire {
    let routes = (0..ROUTES).map(|number| {
        let name = blake3::hash(&number.to_le_bytes()).to_hex();
        format!(
            "{{\"name\":\"{}\",\"host\":\"{}.example\",\"prefix\":\"/{}/\",\"kind\":\"safe\",\
             \"service\":\"counter-app\",\"timeout_ms\":1000,\"target_latency_ms\":120,\
             \"priority\":2,\"attempts\":2,\"public_access\":false}}",
            &name[..8],
            &name[8..14],
            &name[14..22]
        )
    });
    let routes = routes.collect::<Vec<String>>().join(",");
    FeedRowWire {
        key: "config".to_owned(),
        revision: 9,
        value: Some(format!("{{\"version\":9,\"routes\":[{routes}]}}").into_bytes()),
    }
}

/// Guards against a large configuration that reaches the last VMs of a zone after the
/// bound: uncompressed, a relay with a slow link needs many seconds to send it to all.
#[test]
fn a_relay_with_the_slowest_link_sends_a_large_configuration_in_time() {
    let packed = pack_rows(vec![large_config()]).unwrap();
    let sending_ms = packed.len() * ZONE_VMS / SLOWEST_LINK_BYTES_PER_MS;
    assert!(sending_ms < CONFIG_BOUND_MS, "{sending_ms} ms");
}

#[test]
fn rows_and_tombstones_are_unchanged_by_packing() {
    let tombstone = FeedRowWire {
        key: "upstream-1".to_owned(),
        revision: 4,
        value: None,
    };
    let rows = vec![large_config(), tombstone];
    assert_eq!(
        unpack_rows(&pack_rows(rows.clone()).unwrap()).unwrap(),
        rows
    );
}

#[test]
fn malformed_rows_are_rejected() {
    assert!(unpack_rows(b"\x07\x00garbage").is_err());
    let packed = pack_rows(vec![large_config()]).unwrap();
    assert!(unpack_rows(&packed[..packed.len() / 2]).is_err());
}
