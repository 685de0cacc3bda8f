//! Retries of application calls, and what their refusals report.

use skylarkshed_bench::{CallClient, CallResponse, Fleet, FleetBuilder};
use skylarkshed_testsuite::BOOKING_PATH;
use std::time::Duration;

const LOOKUP_PATH: &str = "stores-app/calls/lookup";

async fn start_fleet(builder: FleetBuilder) -> Fleet {
    let fleet = builder.start().await.unwrap();
    fleet.configure().await.unwrap();
    fleet
}

async fn kill_applications(fleet: &mut Fleet) {
    for application in &mut fleet.applications {
        application.process.kill();
        application.process.wait(Duration::from_secs(5)).await;
    }
}

async fn call(fleet: &Fleet, path: &str) -> CallResponse {
    let vm = fleet.vms[0].caller_address;
    CallClient::default()
        .call(vm, Fleet::CUSTOMER_KEY, path, None, "one meter")
        .await
}

async fn retries(fleet: &Fleet, reason: &str) -> f64 {
    let name = format!("retries_total{{reason=\"{reason}\"}}");
    fleet.metric_sum(&fleet.vms[0], &name).await.unwrap()
}

#[tokio::test]
async fn retry_budget_is_spent_only_on_retries_that_are_made() {
    let mut fleet = start_fleet(FleetBuilder::new().zones(1).applications_per_zone(3)).await;
    kill_applications(&mut fleet).await;
    let refused = call(&fleet, LOOKUP_PATH).await;
    assert_eq!(refused.outcome(), "not_run", "{refused:?}");
    assert_eq!(retries(&fleet, "idempotent_call").await, 2.0);
}

#[tokio::test]
async fn call_without_another_upstream_is_not_counted_as_retried() {
    let mut fleet = start_fleet(FleetBuilder::new().zones(1)).await;
    kill_applications(&mut fleet).await;
    for path in [LOOKUP_PATH, BOOKING_PATH] {
        let refused = call(&fleet, path).await;
        assert_eq!(refused.outcome(), "not_run", "{refused:?}");
    }
    assert_eq!(retries(&fleet, "idempotent_call").await, 0.0);
    assert_eq!(retries(&fleet, "call_not_sent").await, 0.0);
}
