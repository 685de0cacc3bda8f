//! Every caller gets the whole answer to its own request.

use skylarkshed_bench::{CallClient, Fleet, FleetBuilder, GenerationClient};
use skylarkshed_stand_ins::ApplicationFaults;
use skylarkshed_testsuite::{assert_complete_answer, query, RunningAnswer, SERVICE_CALLS};

const LOOKUP: &str = "stores-app/calls/lookup";

#[tokio::test]
async fn caller_whose_vm_dies_goes_on_at_another_with_its_cursor() {
    let fleet = FleetBuilder::new()
        .engines_per_zone(2)
        .start()
        .await
        .unwrap();
    fleet.configure().await.unwrap();
    let query = query("the vm dies", 200);
    let caller = GenerationClient::default();
    let mut answer = RunningAnswer::start(&fleet, 0, &query);
    answer.wait_for_tokens(60).await;
    fleet.vms[0].process.kill();
    let mut trace = answer.wait_for_end().await;
    assert!(!trace.is_finished());
    let rest = caller
        .resume(fleet.vms[1].caller_address, &query, &trace, false)
        .await;
    trace.append(rest);
    assert_complete_answer("v1", &query, &trace);
}

#[tokio::test]
async fn cursor_of_another_request_is_refused() {
    let fleet = FleetBuilder::new().zones(1).start().await.unwrap();
    fleet.configure().await.unwrap();
    let caller = GenerationClient::default();
    let vm = fleet.vms[0].caller_address;
    let trace = caller.generate(vm, &query("one request", 5)).await;
    let stolen = caller
        .resume(vm, &query("another request", 5), &trace, false)
        .await;
    assert_eq!(stolen.status, 400);
    assert_eq!(stolen.problem.unwrap()["reason"], "bad_header");
}

#[tokio::test]
async fn crossed_answers_reach_no_caller() {
    let fleet = FleetBuilder::new()
        .zones(1)
        .applications_per_zone(2)
        .start()
        .await
        .unwrap();
    fleet.configure().await.unwrap();
    let caller = CallClient::default();
    let vm = fleet.vms[0].caller_address;
    let crossed = ApplicationFaults {
        crossed: 1,
        ..ApplicationFaults::default()
    };
    fleet
        .set_application_faults(&fleet.applications[0], &crossed)
        .await
        .unwrap();
    fleet
        .set_application_faults(&fleet.applications[1], &crossed)
        .await
        .unwrap();
    let booking = caller
        .call(vm, Fleet::CUSTOMER_KEY, SERVICE_CALLS, None, "booked once")
        .await;
    assert_eq!(
        (booking.reason(), booking.outcome()),
        ("wrong_answer", "unknown")
    );
    let lookup = caller
        .call(vm, Fleet::CUSTOMER_KEY, LOOKUP, None, "bin seven")
        .await;
    assert!(lookup.is_success(), "{lookup:?}");
    assert_eq!(lookup.body["echo"], "bin seven");
    assert_eq!(fleet.call_counts().await.unwrap()["booked once"], 1);
}

#[tokio::test]
async fn many_callers_on_reused_connections_get_their_own_answers() {
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
    let caller = CallClient::default();
    let generations = GenerationClient::default();
    let calls = (0..60).map(|number| {
        let (caller, generations, vm) = (caller.clone(), generations.clone(), number % 3);
        let vm = fleet.vms[vm].caller_address;
        tokio::spawn(async move {
            let body = format!("bin {number}");
            let trace = caller
                .call(vm, Fleet::CUSTOMER_KEY, LOOKUP, None, body.clone())
                .await;
            assert_eq!(trace.body["echo"], body);
            let query = query(&body, 20);
            let answer = generations.generate(vm, &query).await;
            assert_complete_answer("v1", &query, &answer);
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.unwrap();
    }
}
