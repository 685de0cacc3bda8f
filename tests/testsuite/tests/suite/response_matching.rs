//! Every caller receives the complete response to its own request.

use skylarkshed_bench::{CallClient, Fleet, FleetBuilder, GenerationClient};
use skylarkshed_stand_ins::ApplicationFaults;
use skylarkshed_testsuite::{
    assert_complete_answer, generation_spec, RunningGeneration, BOOKING_PATH,
};

const LOOKUP_PATH: &str = "stores-app/calls/lookup";

#[tokio::test]
async fn generation_is_resumed_with_its_cursor_after_its_vm_is_killed() {
    let fleet = FleetBuilder::new()
        .engines_per_zone(2)
        .start()
        .await
        .unwrap();
    fleet.configure().await.unwrap();
    let spec = generation_spec("the vm dies", 200);
    let client = GenerationClient::default();
    let mut generation = RunningGeneration::start(&fleet, 0, &spec);
    generation.wait_for_tokens(60).await;
    fleet.vms[0].process.kill();
    let mut result = generation.wait_for_end().await;
    assert!(!result.is_finished());
    let rest = client
        .resume(fleet.vms[1].caller_address, &spec, &result, false)
        .await;
    result.append(rest);
    assert_complete_answer("v1", &spec, &result);
}

#[tokio::test]
async fn cursor_of_another_request_is_refused() {
    let fleet = FleetBuilder::new().zones(1).start().await.unwrap();
    fleet.configure().await.unwrap();
    let client = GenerationClient::default();
    let vm = fleet.vms[0].caller_address;
    let result = client
        .generate(vm, &generation_spec("one request", 5))
        .await;
    let refused = client
        .resume(vm, &generation_spec("another request", 5), &result, false)
        .await;
    assert_eq!(refused.status, 400);
    assert_eq!(refused.problem.unwrap()["reason"], "bad_header");
}

#[tokio::test]
async fn responses_to_other_requests_reach_no_caller() {
    let fleet = FleetBuilder::new()
        .zones(1)
        .applications_per_zone(2)
        .start()
        .await
        .unwrap();
    fleet.configure().await.unwrap();
    let client = CallClient::default();
    let vm = fleet.vms[0].caller_address;
    let mismatched = ApplicationFaults {
        crossed: 1,
        ..ApplicationFaults::default()
    };
    fleet
        .set_application_faults(&fleet.applications[0], &mismatched)
        .await
        .unwrap();
    fleet
        .set_application_faults(&fleet.applications[1], &mismatched)
        .await
        .unwrap();
    let booking = client
        .call(vm, Fleet::CUSTOMER_KEY, BOOKING_PATH, None, "booked once")
        .await;
    assert_eq!(
        (booking.reason(), booking.outcome()),
        ("wrong_answer", "unknown")
    );
    let lookup = client
        .call(vm, Fleet::CUSTOMER_KEY, LOOKUP_PATH, None, "bin seven")
        .await;
    assert!(lookup.is_success(), "{lookup:?}");
    assert_eq!(lookup.body["echo"], "bin seven");
    assert_eq!(fleet.call_counts().await.unwrap()["booked once"], 1);
}

#[tokio::test]
async fn concurrent_callers_on_reused_connections_get_their_own_responses() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    fleet.configure().await.unwrap();
    let slow = ApplicationFaults {
        delay_ms: 30,
        ..ApplicationFaults::default()
    };
    fleet
        .set_application_faults(&fleet.applications[0], &slow)
        .await
        .unwrap();
    let client = CallClient::default();
    let generation_client = GenerationClient::default();
    let calls = (0..60).map(|number| {
        let (client, generation_client, vm) =
            (client.clone(), generation_client.clone(), number % 3);
        let vm = fleet.vms[vm].caller_address;
        tokio::spawn(async move {
            let body = format!("bin {number}");
            let response = client
                .call(vm, Fleet::CUSTOMER_KEY, LOOKUP_PATH, None, body.clone())
                .await;
            assert_eq!(response.body["echo"], body);
            let spec = generation_spec(&body, 20);
            let result = generation_client.generate(vm, &spec).await;
            assert_complete_answer("v1", &spec, &result);
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.unwrap();
    }
}
