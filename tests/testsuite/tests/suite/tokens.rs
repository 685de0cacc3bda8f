//! Each token once, and never two generations in one answer.

use rstest::rstest;
use skylarkshed_bench::{Fleet, FleetBuilder, GenerationClient, GenerationResult, GenerationSpec};
use skylarkshed_stand_ins::{EngineFaults, ProxyFaults};
use skylarkshed_testsuite::{assert_complete_answer, query, RunningAnswer};
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;

/// Output has to go on within this time of a loss.
const RESUME_BOUND: Duration = Duration::from_secs(4);

/// Starts a fleet with six engines, and an answer on it.
async fn start(
    builder: FleetBuilder,
    name: &str,
    tokens: u32,
) -> (Fleet, GenerationSpec, RunningAnswer) {
    let fleet = builder.engines_per_zone(2).start().await.unwrap();
    fleet.configure().await.unwrap();
    let query = query(name, tokens);
    let answer = RunningAnswer::start(&fleet, 0, &query);
    (fleet, query, answer)
}

/// Returns the engine that computes most at the moment.
async fn serving(fleet: &Fleet) -> usize {
    let mut before = Vec::new();
    for place in 0..fleet.engines.len() {
        before.push(fleet.tokens_computed_by_index(place).await);
    }
    loop {
        for (place, count) in before.iter().enumerate() {
            if fleet.tokens_computed_by_index(place).await > *count {
                return place;
            }
        }
    }
}

fn check_resumed(query: &GenerationSpec, trace: &GenerationResult) {
    assert_complete_answer("v1", query, trace);
    let gap = trace.max_token_gap();
    assert!(gap < RESUME_BOUND, "output went on after {gap:?}");
}

#[tokio::test]
async fn killed_engine_is_taken_over() {
    let (fleet, query, mut answer) = start(FleetBuilder::new(), "killed", 200).await;
    answer.wait_for_tokens(50).await;
    fleet.engines[serving(&fleet).await].process.kill();
    check_resumed(&query, &answer.wait_for_end().await);
}

#[tokio::test]
async fn frozen_engine_is_taken_over_and_its_late_tokens_are_dropped() {
    let (fleet, query, mut answer) = start(FleetBuilder::new(), "frozen", 300).await;
    answer.wait_for_tokens(50).await;
    let frozen = serving(&fleet).await;
    fleet.engines[frozen].process.freeze();
    answer.wait_for_tokens(150).await;
    fleet.engines[frozen].process.thaw();
    check_resumed(&query, &answer.wait_for_end().await);
}

#[tokio::test]
async fn engine_cut_off_one_way_is_taken_over() {
    let builder = FleetBuilder::new().proxy_upstreams();
    let (fleet, query, mut answer) = start(builder, "half cut", 300).await;
    answer.wait_for_tokens(50).await;
    let cut = &fleet.engines[serving(&fleet).await];
    let held = ProxyFaults {
        hold_from_target: true,
        ..ProxyFaults::default()
    };
    fleet
        .set_proxy_faults(cut.proxy.as_ref(), &held)
        .await
        .unwrap();
    answer.wait_for_tokens(150).await;
    fleet
        .set_proxy_faults(cut.proxy.as_ref(), &ProxyFaults::default())
        .await
        .unwrap();
    check_resumed(&query, &answer.wait_for_end().await);
}

#[rstest]
#[case::repeated(EngineFaults { repeat_at: Some(60), ..EngineFaults::default() })]
#[case::conflicting(
    EngineFaults { repeat_at: Some(60), differ: true, ..EngineFaults::default() })]
#[case::skipped(EngineFaults { skip_at: Some(60), ..EngineFaults::default() })]
#[case::late(EngineFaults { late_at: Some(60), ..EngineFaults::default() })]
#[case::crossed(EngineFaults { crossed_at: Some(60), ..EngineFaults::default() })]
#[tokio::test]
async fn faulty_tokens_reach_no_caller(#[case] faults: EngineFaults) {
    let (fleet, query, mut answer) = start(FleetBuilder::new(), "faulty", 150).await;
    answer.wait_for_tokens(20).await;
    let faulty = serving(&fleet).await;
    fleet
        .set_engine_faults(&fleet.engines[faulty], &faults)
        .await
        .unwrap();
    check_resumed(&query, &answer.wait_for_end().await);
    let noticed = fleet
        .metric_sum(&fleet.vms[0], "upstream_notices_total")
        .await
        .unwrap();
    assert!(noticed >= 1.0, "the fault is counted");
}

#[tokio::test]
async fn two_losses_in_one_answer_are_survived() {
    let (fleet, query, mut answer) = start(FleetBuilder::new(), "two losses", 300).await;
    answer.wait_for_tokens(50).await;
    fleet.engines[serving(&fleet).await].process.kill();
    answer.wait_for_tokens(120).await;
    fleet.engines[serving(&fleet).await].process.freeze();
    check_resumed(&query, &answer.wait_for_end().await);
}

#[tokio::test]
async fn loss_during_the_resumption_is_survived() {
    // The prefill of the resumption takes long enough to lose its engine as well.
    let builder = FleetBuilder::new().engine_args(&["--prefill-us", "4000"]);
    let (fleet, query, mut answer) = start(builder, "loss in resumption", 200).await;
    answer.wait_for_tokens(100).await;
    fleet.engines[serving(&fleet).await].process.kill();
    let second = serving(&fleet).await;
    fleet.engines[second].process.kill();
    check_resumed(&query, &answer.wait_for_end().await);
}

#[tokio::test]
async fn engine_and_vm_lost_together_are_survived_by_text_sent_back() {
    let (fleet, query, mut answer) = start(FleetBuilder::new(), "both lost", 200).await;
    answer.wait_for_tokens(60).await;
    fleet.engines[serving(&fleet).await].process.kill();
    fleet.vms[0].process.kill();
    let mut trace = answer.wait_for_end().await;
    assert!(!trace.is_finished() && trace.transport_error.is_some());
    let caller = GenerationClient::default();
    let rest = caller
        .resume(fleet.vms[1].caller_address, &query, &trace, true)
        .await;
    trace.append(rest);
    assert_complete_answer("v1", &query, &trace);
}

#[tokio::test]
async fn version_taken_back_ends_the_answer_clearly_after_a_loss() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    fleet.configure().await.unwrap();
    let engines = fleet.start_engines("v2", 2).await.unwrap();
    fleet
        .put_version(Fleet::MODEL_SERVICE, "v2", &engines)
        .await
        .unwrap();
    let operator = fleet.operator_client(0);
    start_move(&operator, "v2").await;
    let (query, mut answer) = answer_of_version(&fleet, "v2").await;
    answer.wait_for_tokens(30).await;
    reverse_move(&operator).await;
    engines.iter().for_each(|engine| engine.process.kill());
    let trace = answer.wait_for_end().await;
    assert!(!trace.is_finished());
    assert_eq!(trace.problem.unwrap()["reason"], "version_withdrawn");
    let whole =
        skylarkshed_stand_ins::check_answer("v2", &query.prompt, &trace.tokens, trace.tokens.len());
    assert_eq!(whole, Ok(()), "what was delivered is of one generation");
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

/// Asks until an answer comes from a version; most come from the other one.
async fn answer_of_version(fleet: &Fleet, version: &str) -> (GenerationSpec, RunningAnswer) {
    for number in 0..1_000 {
        let short = query(&format!("find {number}"), 1);
        let mut oracle = skylarkshed_stand_ins::TokenOracle::new(version, "", &short.prompt);
        let long = GenerationSpec {
            max_tokens: 400,
            ..short
        };
        let (sender, progress) = unbounded_channel();
        let (first, came) = tokio::sync::oneshot::channel();
        let task = tokio::spawn(stream_answer(
            fleet.vms[0].caller_address,
            long.clone(),
            sender,
            first,
        ));
        let Ok(token) = came.await else { continue };
        if token == oracle.next_token() {
            return (long, RunningAnswer { task, progress });
        }
        task.abort();
    }
    panic!("no answer came from {version}");
}

async fn stream_answer(
    vm: std::net::SocketAddr,
    query: GenerationSpec,
    sender: tokio::sync::mpsc::UnboundedSender<usize>,
    first: tokio::sync::oneshot::Sender<String>,
) -> GenerationResult {
    let mut first = Some(first);
    let caller = GenerationClient::default();
    let told = move |count: usize, token: &str| {
        if let Some(first) = first.take() {
            let _ = first.send(token.to_owned());
        }
        let _ = sender.send(count);
    };
    caller
        .generate_with_tokens(vm, &query, None, None, told)
        .await
}

/// A step of 700 ms is longer than any silence before it, but the engine still
/// answers when it is asked.
#[tokio::test]
async fn engine_that_turns_slow_is_not_taken_for_lost() {
    let builder = FleetBuilder::new().engine_args(&["--step-us", "20000"]);
    let (fleet, query, mut answer) = start(builder, "slow", 56).await;
    answer.wait_for_tokens(50).await;
    let slow = EngineFaults {
        slow: 35,
        ..EngineFaults::default()
    };
    let engine = &fleet.engines[serving(&fleet).await];
    fleet.set_engine_faults(engine, &slow).await.unwrap();
    check_resumed(&query, &answer.wait_for_end().await);
    for vm in &fleet.vms {
        let suspected = fleet.metric_sum(vm, "silent_attempt").await.unwrap();
        assert_eq!(suspected, 0.0, "{} suspected it", vm.name);
    }
}
