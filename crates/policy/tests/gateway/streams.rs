//! Streams that lose their upstream.

use rstest::rstest;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{
    decide_recovery, silence_limit, EventLedger, EventVerdict, LossCause, RecoveryDecision,
    StreamPhase, StreamState,
};

/// The longest pause between events that the users allow.
const GAP_OBJECTIVE: ClockTime = ClockTime::from_millis(700);
/// The pause between events while an engine reads another prompt.
const READING_PAUSE: ClockTime = ClockTime::from_millis(330);
/// The time that going on from a copy takes.
const RESUME: ClockTime = ClockTime::from_millis(150);

const BEGUN: StreamState = StreamState {
    sends: 1,
    max_sends: 5,
    is_resumable: true,
    may_have_run: true,
    has_copy: true,
};

#[rstest]
#[case::copy(BEGUN, RecoveryDecision::ResumeFromCopy)]
#[case::no_copy(StreamState { has_copy: false, ..BEGUN }, RecoveryDecision::RestartPrefill)]
#[case::spent(StreamState { sends: 5, ..BEGUN }, RecoveryDecision::Stop)]
#[case::not_resumable(StreamState { is_resumable: false, ..BEGUN }, RecoveryDecision::Stop)]
#[case::not_run(
    StreamState { is_resumable: false, may_have_run: false, has_copy: false, ..BEGUN },
    RecoveryDecision::RestartPrefill
)]
fn a_loss_is_answered_by_what_is_left(#[case] state: StreamState, #[case] step: RecoveryDecision) {
    assert_eq!(decide_recovery(&state), step);
}

#[test]
fn a_silence_is_acted_on_in_time_but_not_while_another_prompt_is_read() {
    let limit = silence_limit(StreamPhase::Decoding, true);
    assert!(limit > READING_PAUSE);
    assert!(limit + RESUME < GAP_OBJECTIVE);
}

#[rstest]
#[case::usual(8_000)]
#[case::longest(14_400)]
fn a_first_event_is_waited_for_while_another_engine_can_be_in_time(#[case] tokens: u64) {
    let target_latency = ClockTime::from_millis(4_500);
    let prefill = ClockTime::from_millis(tokens / 8);
    let phase = StreamPhase::Prefill {
        tokens,
        objective_left: target_latency,
    };
    let limit = silence_limit(phase, true);
    assert!(
        limit > prefill,
        "a prefill beside nothing else ends in time"
    );
    assert!(limit + prefill < target_latency);
}

#[test]
fn an_objective_that_is_lost_is_no_reason_to_start_over() {
    let phase = |left| StreamPhase::Prefill {
        tokens: 8_000,
        objective_left: ClockTime::from_millis(left),
    };
    assert!(silence_limit(phase(0), true) > silence_limit(phase(3_200), true));
}

#[test]
fn only_causes_without_a_run_prove_none() {
    assert!(LossCause::Unsent.is_not_run());
    assert!(LossCause::NotRun.is_not_run());
    assert!(LossCause::InstanceReplaced.is_not_run());
    for cause in [LossCause::Broken, LossCause::Silence, LossCause::WrongEvent] {
        assert!(!cause.is_not_run());
    }
}

#[test]
fn each_event_is_let_through_once_and_in_order() {
    let mut ledger = EventLedger::resume_after(Some(4));
    let offered = [3, 4, 5, 5, 6, 8, 7, 8];
    let accepted = offered
        .into_iter()
        .filter(|id| ledger.offer(*id) == EventVerdict::Accepted);
    assert_eq!(accepted.collect::<Vec<u64>>(), [5, 6, 7, 8]);
    assert_eq!((ledger.last(), ledger.accepted()), (Some(8), 4));
}
