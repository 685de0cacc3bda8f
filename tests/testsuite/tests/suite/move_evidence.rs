//! The evidence that a VM collects while traffic moves to another version.

use serde_json::Value;
use skylarkshed_bench::{Fleet, FleetBuilder, GenerationClient};
use skylarkshed_core::ClockTime;
use skylarkshed_operator::schema::StartMoveRequest;
use skylarkshed_peer::wire::{MoveId, PeerBody};
use skylarkshed_peer::{PeerClient, PeerKey};
use skylarkshed_testsuite::generation_spec;

/// More than are left out because caches are still cold.
const GENERATIONS: u64 = 40;

/// Requests a VM's evidence of a move of the service with model engines.
async fn read_evidence(fleet: &Fleet, revision: u64) -> Value {
    let vm = &fleet.vms[0];
    let id = MoveId {
        service: Fleet::MODEL_SERVICE.to_owned(),
        revision,
    };
    let timeout = ClockTime::from_millis(5_000);
    let reply = PeerClient::new(PeerKey::parse(Fleet::PEER_KEY).unwrap(), vm.ip)
        .request(vm.peer_address, PeerBody::RequestEvidence(id), timeout)
        .await;
    match reply {
        Ok(PeerBody::Evidence(text)) => serde_json::from_str(&text).unwrap(),
        other => panic!("evidence, not {other:?}"),
    }
}

#[tokio::test]
async fn generations_of_one_token_count_as_completed() {
    let fleet = FleetBuilder::new().zones(1).start().await.unwrap();
    fleet.configure().await.unwrap();
    let engines = fleet.start_engines("v2", 1).await.unwrap();
    fleet
        .put_version(Fleet::MODEL_SERVICE, "v2", &engines)
        .await
        .unwrap();
    let request = StartMoveRequest {
        change_id: "the-move".into(),
        service: Fleet::MODEL_SERVICE.into(),
        to_version: "v2".into(),
        within_ms: 600_000,
    };
    let operator = fleet.operator_client(0);
    let revision = operator.start_move(request).await.unwrap();
    let vm = fleet.vms[0].caller_address;
    for number in 0..GENERATIONS {
        let spec = generation_spec(&format!("one token {number}"), 1);
        let result = GenerationClient::default().generate(vm, &spec).await;
        assert!(result.is_finished(), "{result:?}");
    }
    let evidence = read_evidence(&fleet, revision.into_inner().revision).await;
    let completed = |version: &str| {
        let counts = &evidence[version]["routes"]["generation"];
        counts["total"].as_u64().unwrap_or(0)
    };
    assert_eq!(
        completed("old") + completed("new"),
        GENERATIONS,
        "{evidence}"
    );
}
