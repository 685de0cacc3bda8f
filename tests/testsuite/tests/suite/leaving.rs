//! Leaving (draining) upstreams get no new work, and leaving VMs finish their requests.

use rstest::rstest;
use skylarkshed_bench::{CallClient, Fleet, FleetBuilder, GenerationClient};
use skylarkshed_stand_ins::{EngineFaults, PlatformFaults};
use skylarkshed_testsuite::{
    assert_complete_answer, generation_spec, RunningGeneration, BOOKING_PATH,
};
use std::time::Duration;

/// A leaving upstream gets no new work after this time.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// What first reports an engine as leaving: the engine itself or the platform's list.
#[derive(Clone, Copy, Debug)]
enum LeavingSource {
    Engine,
    List,
}

#[rstest]
#[case::engine_first(LeavingSource::Engine)]
#[case::list_first(LeavingSource::List)]
#[tokio::test]
async fn leaving_engine_gets_no_new_work(#[case] source: LeavingSource) {
    let fleet = FleetBuilder::new()
        .engines_per_zone(2)
        .start()
        .await
        .unwrap();
    fleet.configure().await.unwrap();
    fleet.wait_for_members(2).await.unwrap();
    let client = GenerationClient::default();
    let leaving = 0;
    let name = fleet.engines[leaving].name.as_str();
    match source {
        // The platform's list still reports the engine as alive.
        LeavingSource::Engine => {
            let faults = EngineFaults {
                leaving: true,
                ..EngineFaults::default()
            };
            fleet
                .set_engine_faults(&fleet.engines[leaving], &faults)
                .await
                .unwrap();
        }
        LeavingSource::List => fleet.publish_listing_with_leaving(&[name]).await.unwrap(),
    }
    tokio::time::sleep(LEAVING_BOUND).await;
    let before = fleet.tokens_computed_by_index(leaving).await;
    for number in 0..60 {
        let spec = generation_spec(&format!("{source:?} {number}"), 2);
        let vm = fleet.vms[number % 3].caller_address;
        assert_complete_answer("v1", &spec, &client.generate(vm, &spec).await);
    }
    assert_eq!(
        fleet.tokens_computed_by_index(leaving).await,
        before,
        "a leaving engine gets no work"
    );
    for vm in &fleet.vms {
        let refused = fleet.metric_sum(vm, "engine_refused").await.unwrap();
        assert_eq!(refused, 0.0, "{} sent no request to it", vm.name);
    }
}

#[tokio::test]
async fn shutdown_finishes_running_generations_and_refuses_new_work() {
    let mut fleet = FleetBuilder::new()
        .engines_per_zone(2)
        .start()
        .await
        .unwrap();
    fleet.configure().await.unwrap();
    let spec = generation_spec("over a shutdown", 300);
    let mut generation = RunningGeneration::start(&fleet, 0, &spec);
    generation.wait_for_tokens(30).await;
    fleet.vms[0].process.terminate();
    while fleet.readiness(&fleet.vms[0]).await == Some(200) {
        tokio::task::yield_now().await;
    }
    let client = CallClient::default();
    let vm = fleet.vms[0].caller_address;
    let refused = loop {
        let response = client
            .call(vm, Fleet::CUSTOMER_KEY, BOOKING_PATH, None, "while leaving")
            .await;
        if !response.is_success() {
            break response;
        }
    };
    assert_eq!(
        (refused.reason(), refused.outcome()),
        ("draining", "not_run")
    );
    assert!(refused.retry_after.is_some());
    assert_complete_answer("v1", &spec, &generation.wait_for_end().await);
    let ended = fleet.vms[0].process.wait(Duration::from_secs(40)).await;
    assert_eq!(ended, Some(true), "the process ends by itself");
}

/// The HTTP library's own shutdown waits only about 30 s for responses in progress.
#[tokio::test]
async fn shutdown_waits_for_a_generation_longer_than_30_seconds() {
    let builder = FleetBuilder::new()
        .zones(1)
        .engine_args(&["--step-us", "400000"]);
    let settings = serde_json::json!({"resume": {"shortest_silence": "1s"}});
    let mut fleet = builder.settings(settings).start().await.unwrap();
    fleet.configure().await.unwrap();
    let spec = generation_spec("a long one over a shutdown", 90);
    let mut generation = RunningGeneration::start(&fleet, 0, &spec);
    generation.wait_for_tokens(2).await;
    fleet.vms[0].process.terminate();
    assert_complete_answer("v1", &spec, &generation.wait_for_end().await);
    let ended = fleet.vms[0].process.wait(Duration::from_secs(40)).await;
    assert_eq!(ended, Some(true), "the process ends by itself");
}

#[tokio::test]
async fn minted_keys_of_a_stopped_vm_still_allow_one_run() {
    let mut fleet = FleetBuilder::new().start().await.unwrap();
    fleet.configure().await.unwrap();
    fleet.wait_for_members(2).await.unwrap();
    let client = CallClient::default();
    let first = fleet.vms[0].caller_address;
    let keys = client
        .mint(first, Fleet::CUSTOMER_KEY, Fleet::PLAIN_SERVICE, 2)
        .await;
    let first_response = client
        .call(
            first,
            Fleet::CUSTOMER_KEY,
            BOOKING_PATH,
            Some(&keys[0]),
            "spent",
        )
        .await;
    assert!(first_response.is_success());
    fleet.vms[0].process.terminate();
    assert_eq!(
        fleet.vms[0].process.wait(Duration::from_secs(40)).await,
        Some(true)
    );
    let second = fleet.vms[1].caller_address;
    let again = client
        .call(
            second,
            Fleet::CUSTOMER_KEY,
            BOOKING_PATH,
            Some(&keys[0]),
            "spent",
        )
        .await;
    assert_eq!(
        again.body, first_response.body,
        "the stored response is available after its VM stopped"
    );
    for vm in &fleet.vms[1..] {
        let response = client
            .call(
                vm.caller_address,
                Fleet::CUSTOMER_KEY,
                BOOKING_PATH,
                Some(&keys[1]),
                "unspent",
            )
            .await;
        assert!(
            response.is_success() || response.outcome() == "unknown",
            "{response:?}"
        );
    }
    let counts = fleet.call_counts().await.unwrap();
    assert_eq!((counts[&keys[0]], counts[&keys[1]]), (1, 1));
}

#[tokio::test]
async fn shutdown_logs_that_its_minted_keys_stay_unknown() {
    let builder = FleetBuilder::new().zones(1).log_files();
    let mut fleet = builder.start().await.unwrap();
    fleet.configure().await.unwrap();
    let outage = PlatformFaults {
        out: true,
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(outage).await.unwrap();
    fleet.vms[0].process.terminate();
    let ended = fleet.vms[0].process.wait(Duration::from_secs(60)).await;
    assert_eq!(ended, Some(true), "the process ends by itself");
    let log = std::fs::read_to_string(fleet.vms[0].log_file.as_ref().unwrap()).unwrap();
    let line = log.lines().find(|line| line.contains("minted keys"));
    assert!(line.is_some_and(|line| line.contains("WARN")), "{log}");
}
