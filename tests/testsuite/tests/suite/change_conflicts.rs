//! A change that conflicts with one that the VM knows only by its result.

use crate::configuration::put_customer;
use skylarkshed_bench::{Fleet, FleetBuilder};
use skylarkshed_core::{
    CatalogState, ChangeRecord, ClockTime, ConfigurationChange, CustomerEntry, RevisionNumber,
};
use skylarkshed_peer::wire::{ChangeBatch, PeerBody};
use skylarkshed_peer::{PeerClient, PeerKey};
use skylarkshed_platform::wire::{RowWrite, Transaction};
use skylarkshed_platform::{HttpPlatformClient, TableStore};
use skylarkshed_stand_ins::PlatformFaults;
use volo_grpc::Code;

/// A first change, of the customer `van`, as another VM commits it.
fn first_change() -> ChangeRecord {
    let entry = CustomerEntry {
        name: "van".into(),
        keys: Vec::new(),
        services: Vec::new(),
        weight: 1,
        requests_per_s: 0,
        concurrency: 0,
    };
    ChangeRecord {
        revision: RevisionNumber(1),
        change_id: "left".to_owned(),
        change: ConfigurationChange::PutCustomer(entry),
    }
}

async fn commit_first_change(fleet: &Fleet, record: &ChangeRecord) {
    let keys = ["config/change/000000000001", "config/id/left"];
    let values = [serde_json::to_string(record).unwrap(), "1".to_owned()];
    let transaction = Transaction {
        conditions: Vec::new(),
        writes: std::iter::zip(keys, values)
            .map(|(key, value)| RowWrite {
                key: key.to_owned(),
                value: Some(value),
            })
            .collect(),
    };
    let timeout = ClockTime::from_millis(10_000);
    let platform = HttpPlatformClient::new(fleet.platform_address(), timeout);
    assert!(platform.transact(&transaction).await.unwrap().committed);
}

/// A VM that is far behind gets a snapshot, without the changes that led to it.
#[tokio::test]
async fn change_conflicts_with_one_that_arrived_in_a_snapshot() {
    let fleet = FleetBuilder::new().zones(1).start().await.unwrap();
    // Longer than the VM's timeout: its commit is retried until the delay ends.
    let slow = PlatformFaults {
        delay_ms: 1_000,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(slow).await.unwrap();
    let operator = fleet.operator_client(0);
    let change = tokio::spawn(async move { put_customer(&operator, "right", "van", 2).await });
    let record = first_change();
    commit_first_change(&fleet, &record).await;
    let snapshot = CatalogState::default().apply(&record).unwrap();
    let batch = ChangeBatch {
        records: Vec::new(),
        revision: 1,
        snapshot: serde_json::to_string(&snapshot).unwrap(),
    };
    let peer_key = PeerKey::parse(Fleet::PEER_KEY).unwrap();
    let vm = &fleet.vms[0];
    let pushed = PeerClient::new(peer_key, vm.ip)
        .request(
            vm.peer_address,
            PeerBody::Push(batch),
            ClockTime::from_millis(5_000),
        )
        .await;
    assert_eq!(pushed.unwrap(), PeerBody::Done(true));
    assert_eq!(fleet.revision(0).await.unwrap(), 1);
    fleet
        .set_platform_faults(PlatformFaults::default())
        .await
        .unwrap();
    let conflict = change.await.unwrap().unwrap_err();
    assert_eq!(conflict.code(), Code::Aborted, "{conflict}");
    assert!(conflict.message().contains("revision 1"), "{conflict}");
}
