//! Each token is delivered once, and a response never mixes two generations.

use rstest::rstest;
use skylarkshed_bench::{Fleet, FleetBuilder, GenerationClient, GenerationResult, GenerationSpec};
use skylarkshed_stand_ins::{EngineFaults, ProxyFaults};
use skylarkshed_testsuite::{assert_complete_answer, generation_spec, RunningGeneration};
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;

/// Output continues within this time after an engine failure.
const RESUME_BOUND: Duration = Duration::from_secs(4);

/// Starts a fleet with six engines and a generation on it.
async fn start(
    builder: FleetBuilder,
    name: &str,
    tokens: u32,
) -> (Fleet, GenerationSpec, RunningGeneration) {
    let fleet = builder.engines_per_zone(2).start().await.unwrap();
    fleet.configure().await.unwrap();
    let spec = generation_spec(name, tokens);
    let generation = RunningGeneration::start(&fleet, 0, &spec);
    (fleet, spec, generation)
}

/// Returns the index of an engine that is computing tokens.
async fn find_serving_engine(fleet: &Fleet) -> usize {
    let mut before = Vec::new();
    for index in 0..fleet.engines.len() {
        before.push(fleet.tokens_computed_by_index(index).await);
    }
    loop {
        for (index, count) in before.iter().enumerate() {
            if fleet.tokens_computed_by_index(index).await > *count {
                return index;
            }
        }
    }
}

fn assert_resumed(spec: &GenerationSpec, result: &GenerationResult) {
    assert_complete_answer("v1", spec, result);
    let gap = result.max_token_gap();
    assert!(gap < RESUME_BOUND, "output continued after {gap:?}");
}

#[tokio::test]
async fn generation_is_resumed_after_its_engine_is_killed() {
    let (fleet, spec, mut generation) = start(FleetBuilder::new(), "killed", 200).await;
    generation.wait_for_tokens(50).await;
    fleet.engines[find_serving_engine(&fleet).await]
        .process
        .kill();
    assert_resumed(&spec, &generation.wait_for_end().await);
}

#[tokio::test]
async fn generation_is_resumed_after_its_engine_freezes_and_late_tokens_are_dropped() {
    let (fleet, spec, mut generation) = start(FleetBuilder::new(), "frozen", 300).await;
    generation.wait_for_tokens(50).await;
    let frozen = find_serving_engine(&fleet).await;
    fleet.engines[frozen].process.freeze();
    generation.wait_for_tokens(150).await;
    fleet.engines[frozen].process.thaw();
    assert_resumed(&spec, &generation.wait_for_end().await);
}

#[tokio::test]
async fn generation_is_resumed_after_its_engines_output_is_cut_off() {
    let builder = FleetBuilder::new().proxy_upstreams();
    let (fleet, spec, mut generation) = start(builder, "half cut", 300).await;
    generation.wait_for_tokens(50).await;
    let cut = &fleet.engines[find_serving_engine(&fleet).await];
    let held = ProxyFaults {
        hold_from_target: true,
        ..ProxyFaults::default()
    };
    fleet
        .set_proxy_faults(cut.proxy.as_ref(), &held)
        .await
        .unwrap();
    generation.wait_for_tokens(150).await;
    fleet
        .set_proxy_faults(cut.proxy.as_ref(), &ProxyFaults::default())
        .await
        .unwrap();
    assert_resumed(&spec, &generation.wait_for_end().await);
}

#[rstest]
#[case::repeated(EngineFaults { repeat_at: Some(60), ..EngineFaults::default() })]
#[case::conflicting(
    EngineFaults { repeat_at: Some(60), differ: true, ..EngineFaults::default() })]
#[case::skipped(EngineFaults { skip_at: Some(60), ..EngineFaults::default() })]
#[case::late(EngineFaults { late_at: Some(60), ..EngineFaults::default() })]
#[case::other_generation(EngineFaults { crossed_at: Some(60), ..EngineFaults::default() })]
#[tokio::test]
async fn faulty_tokens_reach_no_caller(#[case] faults: EngineFaults) {
    let (fleet, spec, mut generation) = start(FleetBuilder::new(), "faulty", 150).await;
    generation.wait_for_tokens(20).await;
    let faulty = find_serving_engine(&fleet).await;
    fleet
        .set_engine_faults(&fleet.engines[faulty], &faults)
        .await
        .unwrap();
    assert_resumed(&spec, &generation.wait_for_end().await);
    let notices = fleet
        .metric_sum(&fleet.vms[0], "upstream_notices_total")
        .await
        .unwrap();
    assert!(notices >= 1.0, "the fault is counted");
}

#[tokio::test]
async fn generation_survives_two_engine_failures() {
    let (fleet, spec, mut generation) = start(FleetBuilder::new(), "two losses", 300).await;
    generation.wait_for_tokens(50).await;
    fleet.engines[find_serving_engine(&fleet).await]
        .process
        .kill();
    generation.wait_for_tokens(120).await;
    fleet.engines[find_serving_engine(&fleet).await]
        .process
        .freeze();
    assert_resumed(&spec, &generation.wait_for_end().await);
}

#[tokio::test]
async fn generation_survives_an_engine_failure_during_resumption() {
    // A slow prefill of the resumed attempt leaves time to kill its engine as well.
    let builder = FleetBuilder::new().engine_args(&["--prefill-us", "4000"]);
    let (fleet, spec, mut generation) = start(builder, "loss in resumption", 200).await;
    generation.wait_for_tokens(100).await;
    fleet.engines[find_serving_engine(&fleet).await]
        .process
        .kill();
    let second = find_serving_engine(&fleet).await;
    fleet.engines[second].process.kill();
    assert_resumed(&spec, &generation.wait_for_end().await);
}

#[tokio::test]
async fn generation_is_resumed_from_returned_text_after_engine_and_vm_are_killed() {
    let (fleet, spec, mut generation) = start(FleetBuilder::new(), "both lost", 200).await;
    generation.wait_for_tokens(60).await;
    fleet.engines[find_serving_engine(&fleet).await]
        .process
        .kill();
    fleet.vms[0].process.kill();
    let mut result = generation.wait_for_end().await;
    assert!(!result.is_finished() && result.transport_error.is_some());
    let client = GenerationClient::default();
    let rest = client
        .resume(fleet.vms[1].caller_address, &spec, &result, true)
        .await;
    result.append(rest);
    assert_complete_answer("v1", &spec, &result);
}

#[tokio::test]
async fn reversed_move_ends_the_generation_with_version_withdrawn_after_an_engine_failure() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    fleet.configure().await.unwrap();
    let engines = fleet.start_engines("v2", 2).await.unwrap();
    fleet
        .put_version(Fleet::MODEL_SERVICE, "v2", &engines)
        .await
        .unwrap();
    let operator = fleet.operator_client(0);
    start_move(&operator, "v2").await;
    let (spec, mut generation) = start_generation_of_version(&fleet, "v2").await;
    generation.wait_for_tokens(30).await;
    reverse_move(&operator).await;
    engines.iter().for_each(|engine| engine.process.kill());
    let result = generation.wait_for_end().await;
    assert!(!result.is_finished());
    assert_eq!(result.problem.unwrap()["reason"], "version_withdrawn");
    let checked = skylarkshed_stand_ins::check_answer(
        "v2",
        &spec.prompt,
        &result.tokens,
        result.tokens.len(),
    );
    assert_eq!(
        checked,
        Ok(()),
        "the delivered tokens are of one generation"
    );
}

#[tokio::test]
async fn retained_generation_of_a_withdrawn_version_is_not_resumed() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    fleet.configure().await.unwrap();
    let engines = fleet.start_engines("v2", 2).await.unwrap();
    fleet
        .put_version(Fleet::MODEL_SERVICE, "v2", &engines)
        .await
        .unwrap();
    start_move(&fleet.operator_client(0), "v2").await;
    let (spec, mut generation) = start_generation_of_version(&fleet, "v2").await;
    generation.wait_for_tokens(30).await;
    fleet.vms[0].process.kill();
    let result = generation.wait_for_end().await;
    reverse_move(&fleet.operator_client(1)).await;
    let vm = fleet.vms[1].caller_address;
    let rest = GenerationClient::default()
        .resume(vm, &spec, &result, false)
        .await;
    assert_eq!(rest.tokens, Vec::<String>::new());
    assert_eq!(rest.problem.unwrap()["reason"], "version_withdrawn");
}

async fn start_move(operator: &skylarkshed_operator::schema::OperatorClient, to: &'static str) {
    use skylarkshed_operator::schema::StartMoveRequest;
    let request = StartMoveRequest {
        change_id: "start-move".into(),
        service: Fleet::MODEL_SERVICE.into(),
        to_version: to.into(),
        within_ms: 600_000,
    };
    operator.start_move(request).await.unwrap();
}

async fn reverse_move(operator: &skylarkshed_operator::schema::OperatorClient) {
    use skylarkshed_operator::schema::ReverseMoveRequest;
    let request = ReverseMoveRequest {
        change_id: "reverse-move".into(),
        service: Fleet::MODEL_SERVICE.into(),
    };
    operator.reverse_move(request).await.unwrap();
}

/// Starts generations until `version` computes one; most go to the version that the
/// move shifts traffic away from.
async fn start_generation_of_version(
    fleet: &Fleet,
    version: &str,
) -> (GenerationSpec, RunningGeneration) {
    for number in 0..1_000 {
        let short = generation_spec(&format!("find {number}"), 1);
        let mut reference = skylarkshed_stand_ins::TokenOracle::new(version, "", &short.prompt);
        let long = GenerationSpec {
            max_tokens: 400,
            ..short
        };
        let (sender, progress) = unbounded_channel();
        let (first_sender, first) = tokio::sync::oneshot::channel();
        let task = tokio::spawn(stream_generation(
            fleet.vms[0].caller_address,
            long.clone(),
            sender,
            first_sender,
        ));
        let Ok(token) = first.await else { continue };
        if token == reference.next_token() {
            return (long, RunningGeneration { task, progress });
        }
        task.abort();
    }
    panic!("no generation was computed by {version}");
}

async fn stream_generation(
    vm: std::net::SocketAddr,
    spec: GenerationSpec,
    sender: tokio::sync::mpsc::UnboundedSender<usize>,
    first_sender: tokio::sync::oneshot::Sender<String>,
) -> GenerationResult {
    let mut first_sender = Some(first_sender);
    let client = GenerationClient::default();
    let on_token = move |count: usize, token: &str| {
        if let Some(first_sender) = first_sender.take() {
            let _ = first_sender.send(token.to_owned());
        }
        let _ = sender.send(count);
    };
    client
        .generate_with_tokens(vm, &spec, None, None, on_token)
        .await
}

/// A step of 700 ms is longer than any earlier interval between tokens, but the engine
/// still responds to liveness checks.
#[tokio::test]
async fn slowed_engine_is_not_treated_as_failed() {
    let builder = FleetBuilder::new().engine_args(&["--step-us", "20000"]);
    let (fleet, spec, mut generation) = start(builder, "slow", 56).await;
    generation.wait_for_tokens(50).await;
    let slow = EngineFaults {
        slow: 35,
        ..EngineFaults::default()
    };
    let engine = &fleet.engines[find_serving_engine(&fleet).await];
    fleet.set_engine_faults(engine, &slow).await.unwrap();
    assert_resumed(&spec, &generation.wait_for_end().await);
    for vm in &fleet.vms {
        let suspected = fleet.metric_sum(vm, "silent_attempt").await.unwrap();
        assert_eq!(suspected, 0.0, "{} suspected it", vm.name);
    }
}
