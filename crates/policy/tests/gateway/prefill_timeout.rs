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
    status: PrefillStatus::Running,
    waited: ClockTime::from_millis(2_300),
    prefilling_for: ClockTime::from_millis(2_300),
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
#[case::hung(WaitingPrefill { prefilling_for: ClockTime::from_millis(4_100), ..WAITING }, false)]
#[case::running_after_a_queue(
    WaitingPrefill { waited: ClockTime::from_millis(6_900), prefilling_for: ClockTime::from_millis(1_200), ..WAITING },
    true
)]
#[case::hung_queue(
    WaitingPrefill { status: PrefillStatus::Queued, waited: ClockTime::from_millis(4_100), ..WAITING },
    false
)]
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
    let load = EngineLoad {
        running: PROMPTS,
        used_tokens: PROMPTS * 8_000,
        ..EngineLoad::default()
    };
    let status = load.prefill_status("own", 8_000);
    let mut now_ms = 3_200;
    while now_ms < 8_000 * PROMPTS / 8 {
        let waiting = WaitingPrefill {
            prompt_tokens: 8_000,
            other_tokens: load.other_tokens(8_000, status, 8_000),
            status,
            waited: millis(now_ms),
            prefilling_for: millis(now_ms),
            target_time_left: millis(4_500).since(millis(now_ms)),
        };
        let PrefillVerdict::Wait(wait) = judge_prefill(&waiting, &estimator) else {
            panic!("given up after {now_ms} ms");
        };
        now_ms += wait.as_millis();
    }
}

#[test]
fn a_hung_engine_is_given_up_after_a_few_prefills() {
    let mut now_ms = 2_300;
    loop {
        let waiting = WaitingPrefill {
            waited: millis(now_ms),
            prefilling_for: millis(now_ms),
            ..WAITING
        };
        match judge_prefill(&waiting, &PrefillEstimator::default()) {
            PrefillVerdict::Wait(wait) => now_ms += wait.as_millis(),
            PrefillVerdict::Abandon => break,
        }
    }
    assert!(now_ms <= 5_300, "{now_ms} ms");
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

/// Reports list only requests that have produced events; the others are counted, and
/// take room for their whole prompt.
#[test]
fn a_report_tells_what_an_engine_does() {
    let load = EngineLoad {
        running: 2,
        runs: vec![EngineRun {
            request: "b".into(),
            tokens: 9_000,
        }],
        used_tokens: 17_000,
        ..EngineLoad::default()
    };
    assert_eq!(load.prefill_status("a", 8_000), PrefillStatus::Running);
    assert_eq!(load.prefill_status("b", 9_000), PrefillStatus::Started);
    // The prompt that is being prefilled is shorter than this one.
    assert_eq!(load.prefill_status("c", 14_000), PrefillStatus::Unknown);
    let queued = EngineLoad {
        waiting: 2,
        ..load.clone()
    };
    assert_eq!(queued.prefill_status("c", 14_000), PrefillStatus::Queued);
    assert_eq!(
        queued.other_tokens(8_000, PrefillStatus::Queued, 14_000),
        16_000
    );
    assert_eq!(load.other_tokens(8_000, PrefillStatus::Running, 8_000), 0);
}
