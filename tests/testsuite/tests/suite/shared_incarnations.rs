//! Two VMs that start in the same millisecond have the same incarnation; their keys and
//! claims are told apart all the same.

use crate::at_most_once::{book, start_fleet};
use skylarkshed_bench::{CallClient, Fleet, FleetBuilder};
use skylarkshed_core::ClockTime;
use skylarkshed_peer::PeerKey;
use skylarkshed_platform::wire::{RowWrite, Transaction};
use skylarkshed_platform::{HttpPlatformClient, TableStore};
use skylarkshed_policy::{ClaimRow, ClaimState};
use std::collections::HashSet;
use std::time::Duration;

/// Returns a minted key with another VM's name and the same incarnation and serial.
fn key_of_another_vm(key: &str) -> String {
    let fields: Vec<&str> = key.split('~').collect();
    let signed_text = format!("{}~vm-9~{}~{}", fields[0], fields[2], fields[3]);
    let text = format!("depot~{}~{signed_text}", Fleet::PLAIN_SERVICE);
    let peer_key = PeerKey::parse(Fleet::PEER_KEY).unwrap();
    let code = peer_key.authentication_code(text.as_bytes());
    let code: String = code.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{signed_text}~{code}")
}

fn platform_client(fleet: &Fleet) -> HttpPlatformClient {
    HttpPlatformClient::new(fleet.platform_address(), ClockTime::from_millis(2_000))
}

#[tokio::test]
async fn minted_key_of_a_vm_with_the_same_incarnation_is_not_consumed() {
    let fleet = start_fleet(FleetBuilder::new().zones(1)).await;
    let client = CallClient::default();
    let vm = fleet.vms[0].caller_address;
    let keys = client
        .mint(vm, Fleet::CUSTOMER_KEY, Fleet::PLAIN_SERVICE, 1)
        .await;
    let refused = book(&fleet, 0, &key_of_another_vm(&keys[0])).await;
    assert_eq!(
        (refused.reason(), refused.outcome()),
        ("minter_unreachable", "unknown")
    );
    assert!(fleet.call_counts().await.unwrap().is_empty());
    assert!(book(&fleet, 0, &keys[0]).await.is_success());
}

#[tokio::test]
async fn shutdown_of_a_vm_does_not_release_the_keys_of_a_vm_with_the_same_incarnation() {
    let mut fleet = start_fleet(FleetBuilder::new().zones(1).vms_per_zone(2)).await;
    fleet.wait_for_members(1).await.unwrap();
    let client = CallClient::default();
    let vm = fleet.vms[0].caller_address;
    let keys = client
        .mint(vm, Fleet::CUSTOMER_KEY, Fleet::PLAIN_SERVICE, 1)
        .await;
    fleet.vms[0].process.terminate();
    let ended = fleet.vms[0].process.wait(Duration::from_secs(20)).await;
    assert_eq!(ended, Some(true));
    let refused = book(&fleet, 1, &key_of_another_vm(&keys[0])).await;
    assert_eq!(
        (refused.reason(), refused.outcome()),
        ("minter_unreachable", "unknown")
    );
    assert!(fleet.call_counts().await.unwrap().is_empty());
    assert!(book(&fleet, 1, &keys[0]).await.is_success());
}

/// A claim whose reply was lost is recognised by incarnation and serial, and two VMs may
/// have the same incarnation.
#[tokio::test]
async fn serials_of_two_vms_differ() {
    let fleet = start_fleet(FleetBuilder::new().zones(2)).await;
    let client = CallClient::default();
    let (mut minted, mut claimed) = (HashSet::new(), HashSet::new());
    let platform = platform_client(&fleet);
    for (index, vm) in fleet.vms.iter().enumerate() {
        let (key, service) = (Fleet::CUSTOMER_KEY, Fleet::PLAIN_SERVICE);
        let keys = client.mint(vm.caller_address, key, service, 1).await;
        minted.insert(keys[0].split('~').nth(3).unwrap().to_owned());
        let key = format!("key-{index}");
        assert!(book(&fleet, index, &key).await.is_success());
        let row = platform.read(&format!("claim/depot/{service}/{key}")).await;
        let row: ClaimRow = serde_json::from_str(&row.unwrap().unwrap().value).unwrap();
        claimed.insert(row.serial);
    }
    assert_eq!(minted.len(), 2, "{minted:?}");
    assert_eq!(claimed.len(), 2, "{claimed:?}");
}

#[tokio::test]
async fn closing_row_of_another_vm_does_not_count_as_written() {
    let builder = FleetBuilder::new().zones(1).log_files();
    let mut fleet = start_fleet(builder).await;
    let vm = fleet.vms[0].caller_address;
    let keys = CallClient::default()
        .mint(vm, Fleet::CUSTOMER_KEY, Fleet::PLAIN_SERVICE, 1)
        .await;
    let incarnation = keys[0].split('~').nth(2).unwrap();
    let row = ClaimRow {
        claimant: incarnation.parse().unwrap(),
        serial: 0,
        request: "vm-9".to_owned(),
        state: ClaimState::Released,
    };
    let write = RowWrite {
        key: format!("minter/{incarnation}"),
        value: Some(serde_json::to_string(&row).unwrap()),
    };
    let transaction = Transaction {
        conditions: Vec::new(),
        writes: vec![write],
    };
    let written = platform_client(&fleet).transact(&transaction).await;
    assert!(written.unwrap().committed);
    fleet.vms[0].process.terminate();
    let ended = fleet.vms[0].process.wait(Duration::from_secs(20)).await;
    assert_eq!(ended, Some(true));
    let log = std::fs::read_to_string(fleet.vms[0].log_file.as_ref().unwrap()).unwrap();
    assert!(log.contains("can't persist the minted keys"), "{log}");
}
