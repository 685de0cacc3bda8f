//! Recovery of streams after a failure of their upstream.

use rstest::rstest;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{
    decide_recovery, silence_limit, EventLedger, EventVerdict, LossCause, RecoveryDecision,
    StreamPhase, StreamState,
};

/// The maximum interval between events that callers allow.
const TARGET_EVENT_GAP: ClockTime = ClockTime::from_millis(700);
/// The interval between events while an engine prefills another prompt.
const PREFILL_EVENT_INTERVAL: ClockTime = ClockTime::from_millis(330);
/// The time that resuming from a copy takes.
const RESUME_TIME: ClockTime = ClockTime::from_millis(150);

const STARTED: StreamState = StreamState {
    sends: 1,
    max_sends: 5,
    ended_engines: 0,
    is_resumable: true,
    may_have_run: true,
    has_copy: true,
};

#[rstest]
#[case::copy(STARTED, RecoveryDecision::ResumeFromCopy)]
#[case::no_copy(StreamState { has_copy: false, ..STARTED }, RecoveryDecision::RestartPrefill)]
#[case::spent(StreamState { sends: 5, ..STARTED }, RecoveryDecision::Stop)]
#[case::one_engine_ended(StreamState { ended_engines: 1, ..STARTED }, RecoveryDecision::ResumeFromCopy)]
#[case::two_engines_ended(StreamState { ended_engines: 2, ..STARTED }, RecoveryDecision::Stop)]
#[case::not_resumable(StreamState { is_resumable: false, ..STARTED }, RecoveryDecision::Stop)]
#[case::not_run(
    StreamState { is_resumable: false, may_have_run: false, has_copy: false, ..STARTED },
    RecoveryDecision::RestartPrefill
)]
fn recovery_depends_on_the_state_of_the_stream(
    #[case] state: StreamState,
    #[case] decision: RecoveryDecision,
) {
    assert_eq!(decide_recovery(&state), decision);
}

#[test]
fn silence_limit_meets_the_target_but_tolerates_another_prefill() {
    let limit = silence_limit(StreamPhase::Decoding, true);
    assert!(limit > PREFILL_EVENT_INTERVAL);
    assert!(limit + RESUME_TIME < TARGET_EVENT_GAP);
}

#[rstest]
#[case::usual(8_000)]
#[case::longest(14_400)]
fn first_event_limit_leaves_time_for_another_engine(#[case] tokens: u64) {
    let target_latency = ClockTime::from_millis(4_500);
    let prefill = ClockTime::from_millis(tokens / 8);
    let phase = StreamPhase::Prefill {
        usual_time: prefill,
        target_time_left: target_latency,
    };
    let limit = silence_limit(phase, true);
    assert!(
        limit > prefill,
        "a prefill at an idle engine must fit into the limit"
    );
    assert!(limit + prefill < target_latency);
}

#[test]
fn first_event_limit_is_longer_if_the_target_cannot_be_met() {
    let phase = |left| StreamPhase::Prefill {
        usual_time: ClockTime::from_millis(1_000),
        target_time_left: ClockTime::from_millis(left),
    };
    assert!(silence_limit(phase(0), true) > silence_limit(phase(3_200), true));
}

#[test]
fn only_some_causes_exclude_that_the_request_ran() {
    assert!(LossCause::Unsent.is_not_run());
    assert!(LossCause::NotRun.is_not_run());
    assert!(LossCause::InstanceReplaced.is_not_run());
    for cause in [LossCause::Broken, LossCause::Silence, LossCause::WrongEvent] {
        assert!(!cause.is_not_run());
    }
}

#[test]
fn each_event_is_accepted_once_and_in_order() {
    let mut ledger = EventLedger::resume_after(Some(4));
    let offered = [3, 4, 5, 5, 6, 8, 7, 8];
    let accepted = offered
        .into_iter()
        .filter(|id| ledger.offer(*id) == EventVerdict::Accepted);
    assert_eq!(accepted.collect::<Vec<u64>>(), [5, 6, 7, 8]);
    assert_eq!((ledger.last(), ledger.accepted()), (Some(8), 4));
}
