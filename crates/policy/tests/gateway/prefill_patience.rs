//! Engines that are late with a first event: sound, crashed, mute, stuck and overloaded
//! ones.

use rstest::rstest;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{
    judge_prefill, EngineLoad, EngineRun, PrefillEstimator, PrefillStatus, PrefillVerdict,
    WaitingPrefill,
};

fn millis(value: u64) -> ClockTime {
    ClockTime::from_millis(value)
}

const WAITING: WaitingPrefill = WaitingPrefill {
    prompt_tokens: 8_000,
    other_tokens: 0,
    status: PrefillStatus::Running { prefilled: 3_000 },
    previous: None,
    target_time_left: ClockTime::from_millis(1_500),
};

fn waits(waiting: &WaitingPrefill) -> bool {
    let verdict = judge_prefill(waiting, &PrefillEstimator::default());
    matches!(verdict, PrefillVerdict::Wait(_))
}

#[rstest]
#[case::sound(WAITING, true)]
#[case::event_on_its_way(WaitingPrefill { status: PrefillStatus::Started, ..WAITING }, true)]
#[case::queued(WaitingPrefill { status: PrefillStatus::Queued, ..WAITING }, true)]
#[case::mute(WaitingPrefill { status: PrefillStatus::Unknown, ..WAITING }, false)]
#[case::stuck(WaitingPrefill { previous: Some(WAITING.status), ..WAITING }, false)]
#[case::overloaded(WaitingPrefill { other_tokens: 24_000, ..WAITING }, false)]
#[case::overloaded_as_all(
    WaitingPrefill { other_tokens: 24_000, target_time_left: ClockTime::ZERO, ..WAITING },
    true
)]
fn only_engines_that_will_not_send_soon_are_given_up(
    #[case] waiting: WaitingPrefill,
    #[case] is_spared: bool,
) {
    assert_eq!(waits(&waiting), is_spared);
}

/// Replays ten prompts that arrive together at an engine that prefills eight tokens a
/// millisecond, beside each other: each first event takes ten seconds, and no prompt may
/// be sent to another engine that is as busy.
#[test]
fn no_sound_engine_is_given_up_when_prompts_arrive_together() {
    const PROMPTS: u64 = 10;
    let estimator = PrefillEstimator::default();
    let mut previous = None;
    let mut now_ms = 2_300;
    while now_ms < 8_000 * PROMPTS / 8 {
        let prefilled = now_ms * 8 / PROMPTS;
        let status = PrefillStatus::Running { prefilled };
        let waiting = WaitingPrefill {
            prompt_tokens: 8_000,
            other_tokens: (PROMPTS - 1) * (8_000 - prefilled),
            status,
            previous,
            target_time_left: millis(1_300).since(millis(now_ms)),
        };
        let PrefillVerdict::Wait(wait) = judge_prefill(&waiting, &estimator) else {
            panic!("given up after {now_ms} ms");
        };
        previous = Some(status);
        now_ms += wait.as_millis();
    }
}

#[test]
fn a_stuck_engine_is_given_up_at_the_second_question() {
    let first = judge_prefill(&WAITING, &PrefillEstimator::default());
    assert!(matches!(first, PrefillVerdict::Wait(wait) if wait <= millis(1_200)));
    let second = WaitingPrefill {
        previous: Some(WAITING.status),
        ..WAITING
    };
    assert!(!waits(&second));
}

#[test]
fn the_rate_is_measured() {
    let estimator = PrefillEstimator::default();
    for _ in 0..100 {
        // Five tokens a millisecond.
        estimator.record_first_event(5_000, millis(1_000));
    }
    let prefill_ms = estimator.duration(5_000).as_millis();
    assert!((950..=1_100).contains(&prefill_ms), "{prefill_ms} ms");
    // A few prompts from the cache hardly matter.
    (0..3).for_each(|_| estimator.record_first_event(5_000, millis(50)));
    assert!(estimator.duration(5_000) > millis(600));
}

#[test]
fn a_report_tells_what_an_engine_does() {
    let run = |request: &'static str, tokens, events| EngineRun {
        request: request.into(),
        tokens,
        events,
    };
    let load = EngineLoad {
        running: 3,
        runs: vec![run("a", 2_000, 0), run("b", 9_000, 4), run("c", 5_000, 0)],
        ..EngineLoad::default()
    };
    let prefilling = PrefillStatus::Running { prefilled: 2_000 };
    assert_eq!(load.prefill_status("a"), prefilling);
    assert_eq!(load.prefill_status("b"), PrefillStatus::Started);
    assert_eq!(load.prefill_status("d"), PrefillStatus::Unknown);
    let queued = EngineLoad {
        waiting: 1,
        ..load.clone()
    };
    assert_eq!(queued.prefill_status("d"), PrefillStatus::Queued);
    assert_eq!(load.tokens_to_prefill(8_000, Some("a")), 3_000);
}
