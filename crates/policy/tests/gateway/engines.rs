//! Selection of the engine that prefills a prompt.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshed_policy::{are_all_busy, choose_engine, EngineLoad, EngineRun};

const USUAL_PROMPT: u64 = 8_000;

fn prefilling(prefilled: u64) -> EngineLoad {
    EngineLoad {
        running: 1,
        runs: vec![EngineRun {
            request: "other".into(),
            tokens: prefilled,
            events: 0,
        }],
        ..EngineLoad::default()
    }
}

#[test]
fn a_prompt_avoids_an_engine_that_prefills_another() {
    let decoding = EngineLoad {
        running: 4,
        ..EngineLoad::default()
    };
    let reports = [Some(prefilling(1_000)), Some(decoding), Some(prefilling(0))];
    assert_eq!(choose_engine(&reports, USUAL_PROMPT), Some(1));
}

#[test]
fn a_recently_sent_prompt_counts_although_it_is_not_reported() {
    let sent = EngineLoad {
        unreported: 1,
        ..EngineLoad::default()
    };
    assert_eq!(
        choose_engine(&[Some(sent), Some(prefilling(6_000))], USUAL_PROMPT),
        Some(1)
    );
}

#[test]
fn an_engine_that_does_not_report_is_not_chosen() {
    assert_eq!(
        choose_engine(&[None, Some(prefilling(0))], USUAL_PROMPT),
        Some(1)
    );
    assert_eq!(choose_engine(&[None, None], USUAL_PROMPT), None);
}

#[test]
fn engines_are_busy_unless_one_has_almost_finished_its_prefill() {
    assert!(are_all_busy(
        &[Some(prefilling(0)), Some(prefilling(500))],
        USUAL_PROMPT
    ));
    assert!(!are_all_busy(
        &[Some(prefilling(0)), Some(prefilling(7_500))],
        USUAL_PROMPT
    ));
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
                    prefilling(0)
                } else {
                    EngineLoad::default()
                })
            });
            let reports: Vec<Option<EngineLoad>> = reports.collect();
            let index = indices[choose_engine(&reports, USUAL_PROMPT).unwrap()];
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
            0..3 => prefilling(rng.random_range(0..8_000)),
            _ => EngineLoad {
                running: rng.random_range(0..4),
                ..EngineLoad::default()
            },
        })
    };
    let mut found = 0;
    for _ in 0..1_000 {
        let first: Vec<Option<EngineLoad>> = (0..3).map(|_| report(&mut rng)).collect();
        let second: Vec<Option<EngineLoad>> = (0..3).map(|_| report(&mut rng)).collect();
        let same = choose_engine(&first, USUAL_PROMPT) == choose_engine(&second, USUAL_PROMPT);
        found += u32::from(same);
    }
    assert!(found >= 500, "{found} of 1000");
}

#[test]
fn a_shorter_wait_is_worth_more_than_the_cache_of_a_caller_that_may_return() {
    let reports = [Some(prefilling(1_000)), Some(EngineLoad::default())];
    assert_eq!(choose_engine(&reports, USUAL_PROMPT), Some(1));
}

/// The same reports mean less work where prompts are short.
#[test]
fn costs_follow_from_the_usual_prompt() {
    let waiting = EngineLoad {
        waiting: 1,
        ..EngineLoad::default()
    };
    assert_eq!(waiting.cost(2_000), 2_000);
    assert!(are_all_busy(&[Some(prefilling(0))], 2_000));
    assert!(!are_all_busy(&[Some(prefilling(1_600))], 2_000));
}
