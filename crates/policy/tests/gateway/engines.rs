//! Selection of the engine that prefills a prompt.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshed_policy::{are_all_busy, choose_engine, EngineLoad, EngineRun};

const USUAL_PROMPT: u64 = 8_000;

/// Returns the report of an engine that prefills a prompt of this length beside a
/// running generation.
fn prefilling(tokens: u64) -> EngineLoad {
    EngineLoad {
        running: 2,
        used_tokens: tokens + 8_200,
        ..decoding(1)
    }
}

fn decoding(running: u64) -> EngineLoad {
    let run = |number| EngineRun {
        request: format!("other-{number}").into(),
        tokens: 8_200,
    };
    EngineLoad {
        running,
        runs: (0..running).map(run).collect(),
        used_tokens: running * 8_200,
        ..EngineLoad::default()
    }
}

#[test]
fn a_prompt_avoids_an_engine_that_prefills_another() {
    let reports = [
        Some(prefilling(8_000)),
        Some(decoding(2)),
        Some(prefilling(7_000)),
    ];
    assert_eq!(choose_engine(&reports, &[], USUAL_PROMPT), Some(1));
}

#[test]
fn a_recently_sent_prompt_counts_although_it_is_not_reported() {
    let sent = EngineLoad {
        unreported: 1,
        ..EngineLoad::default()
    };
    assert_eq!(
        choose_engine(&[Some(sent), Some(prefilling(6_000))], &[], USUAL_PROMPT),
        Some(1)
    );
}

#[test]
fn an_idle_engine_that_has_just_failed_is_not_chosen() {
    let failed = EngineLoad {
        is_suspect: true,
        ..EngineLoad::default()
    };
    assert_eq!(
        choose_engine(
            &[Some(failed.clone()), Some(decoding(3))],
            &[],
            USUAL_PROMPT
        ),
        Some(1)
    );
    // Many engines are suspect after a network fault, and the others can't serve all.
    let busy = EngineLoad {
        waiting: 2,
        ..decoding(3)
    };
    assert_eq!(
        choose_engine(&[Some(failed), Some(busy)], &[], USUAL_PROMPT),
        Some(0)
    );
}

#[test]
fn an_engine_that_does_not_report_is_not_chosen() {
    assert_eq!(
        choose_engine(&[None, Some(prefilling(8_000))], &[], USUAL_PROMPT),
        Some(1)
    );
    assert_eq!(choose_engine(&[None, None], &[], USUAL_PROMPT), None);
}

/// Reports don't tell how far a prefill is, only that there is one.
#[test]
fn engines_that_prefill_are_busy_and_those_that_only_decode_are_not() {
    let busy = [Some(prefilling(8_000)), Some(prefilling(9_000))];
    assert!(are_all_busy(&busy, USUAL_PROMPT));
    let [first, _] = busy;
    assert!(!are_all_busy(&[first, Some(decoding(3))], USUAL_PROMPT));
}

/// Guards against sending a prompt to a busy engine: with six prompts per second
/// over 24 engines and a second of prefill each, the best of three reports is busy
/// far less often than an engine chosen at random.
#[test]
fn best_of_three_engines_is_rarely_busy() {
    let mut rng = SmallRng::seed_from_u64(1);
    let busy_count = |sampled: usize, rng: &mut SmallRng| {
        let mut busy_until = [0_u64; 24];
        let mut busy_count = 0;
        for prompt in 0..600 {
            let now = prompt * 160;
            let indices: Vec<usize> = (0..sampled).map(|_| rng.random_range(0..24)).collect();
            let reports = indices.iter().map(|&index| {
                let is_busy = busy_until[index] > now;
                Some(if is_busy {
                    prefilling(8_000)
                } else {
                    EngineLoad::default()
                })
            });
            let reports: Vec<Option<EngineLoad>> = reports.collect();
            let index = indices[choose_engine(&reports, &[], USUAL_PROMPT).unwrap()];
            busy_count += u32::from(busy_until[index] > now);
            busy_until[index] = busy_until[index].max(now) + 1_050;
        }
        busy_count
    };
    let (random, best) = (busy_count(1, &mut rng), busy_count(3, &mut rng));
    assert!(
        best * 4 < random,
        "{best} busy of the best of three, {random} at random"
    );
}

/// Replays the return of callers whose VMs were killed: each prompt was prefilled at one
/// of the three engines that its hash ranks first, and its caller returns at a VM that
/// knows nothing of it. Most must find their prompt.
#[test]
fn most_callers_that_return_find_their_prompt() {
    let mut rng = SmallRng::seed_from_u64(2);
    let report = |rng: &mut SmallRng| {
        Some(match rng.random_range(0..10) {
            0..3 => prefilling(8_000),
            _ => decoding(rng.random_range(0..4)),
        })
    };
    let mut found = 0;
    for _ in 0..1_000 {
        let first: Vec<Option<EngineLoad>> = (0..3).map(|_| report(&mut rng)).collect();
        let second: Vec<Option<EngineLoad>> = (0..3).map(|_| report(&mut rng)).collect();
        let same =
            choose_engine(&first, &[], USUAL_PROMPT) == choose_engine(&second, &[], USUAL_PROMPT);
        found += u32::from(same);
    }
    assert!(found >= 500, "{found} of 1000");
}

#[test]
fn a_cached_prompt_is_worth_waiting_for_less_than_a_prefill() {
    let reports = [
        Some(decoding(0)),
        Some(prefilling(8_000)),
        Some(EngineLoad {
            waiting: 2,
            ..prefilling(8_000)
        }),
    ];
    let choose = |cached: &[bool]| choose_engine(&reports, cached, USUAL_PROMPT);
    assert_eq!(choose(&[false, true, false]), Some(1));
    assert_eq!(choose(&[false, false, true]), Some(0));
}

#[test]
fn a_shorter_wait_is_worth_more_than_the_cache_of_a_caller_that_may_return() {
    let reports = [Some(prefilling(8_000)), Some(EngineLoad::default())];
    assert_eq!(choose_engine(&reports, &[], USUAL_PROMPT), Some(1));
}

/// The same reports mean less work where prompts are short.
#[test]
fn costs_follow_from_the_usual_prompt() {
    let waiting = EngineLoad {
        waiting: 1,
        ..EngineLoad::default()
    };
    assert_eq!(waiting.cost(2_000), 2_000);
    assert!(are_all_busy(&[Some(waiting.clone())], 2_000));
    assert_eq!(waiting.cost(8_000), 8_000);
}

/// Replays engines whose memory is taken by running requests and copies: nothing is being
/// prefilled there, but a prompt would wait until a generation ends.
#[test]
fn an_engine_without_room_is_chosen_after_one_that_prefills() {
    let full = EngineLoad {
        free_tokens: Some(6_000),
        ..decoding(4)
    };
    let prefills = EngineLoad {
        free_tokens: Some(60_000),
        ..prefilling(8_000)
    };
    assert!(!full.has_room(USUAL_PROMPT));
    let reports = [Some(full.clone()), Some(prefills)];
    assert_eq!(choose_engine(&reports, &[], USUAL_PROMPT), Some(1));
    assert!(are_all_busy(&[Some(full)], USUAL_PROMPT));
    // Prompts that wait there take the room first.
    let queued = EngineLoad {
        waiting: 2,
        free_tokens: Some(20_000),
        ..decoding(1)
    };
    assert!(!queued.has_room(USUAL_PROMPT));
    assert!(
        decoding(9).has_room(USUAL_PROMPT),
        "its capacity is unknown"
    );
}
