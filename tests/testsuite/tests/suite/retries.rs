//! Retries of application calls, and what their refusals report.

use rstest::rstest;
use skylarkshed_bench::{CallClient, CallResponse, Fleet, FleetBuilder};
use skylarkshed_stand_ins::ApplicationFaults;
use skylarkshed_testsuite::BOOKING_PATH;
use std::time::Duration;

const LOOKUP_PATH: &str = "stores-app/calls/lookup";
/// More calls at once than an upstream that has not responded yet may get.
const BURST: usize = 60;

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

#[rstest]
#[case::idempotent(LOOKUP_PATH)]
#[case::not_idempotent(BOOKING_PATH)]
#[tokio::test]
async fn call_to_a_busy_upstream_is_refused_as_upstream_busy(#[case] path: &'static str) {
    let fleet = start_fleet(FleetBuilder::new().zones(1)).await;
    let slow = ApplicationFaults {
        delay_ms: 1_500,
        ..ApplicationFaults::default()
    };
    let application = &fleet.applications[0];
    fleet
        .set_application_faults(application, &slow)
        .await
        .unwrap();
    let calls = (0..BURST).map(|_| {
        let vm = fleet.vms[0].caller_address;
        tokio::spawn(async move {
            CallClient::default()
                .call(vm, Fleet::CUSTOMER_KEY, path, None, "one meter")
                .await
        })
    });
    let calls: Vec<_> = calls.collect();
    let mut refused = 0;
    for call in calls {
        let response = call.await.unwrap();
        if response.is_success() {
            continue;
        }
        refused += 1;
        assert_eq!(
            (response.reason(), response.outcome()),
            ("upstream_busy", "not_run")
        );
        assert!(response.retry_after.is_some());
    }
    assert!((1..BURST).contains(&refused), "{refused} refused");
}
