//! Prompts and the engines that read them.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshed_policy::{are_all_busy, choose_engine, EngineLoad};

fn reading(read: u64) -> EngineLoad {
    EngineLoad {
        running: 1,
        prefill_progress: vec![read],
        ..EngineLoad::default()
    }
}

#[test]
fn a_prompt_avoids_an_engine_that_reads_another() {
    let deciding = EngineLoad {
        running: 4,
        ..EngineLoad::default()
    };
    let reports = [Some(reading(1_000)), Some(deciding), Some(reading(0))];
    assert_eq!(choose_engine(&reports), Some(1));
}

#[test]
fn a_prompt_sent_just_before_counts_although_no_report_has_it() {
    let sent = EngineLoad {
        unreported: 1,
        ..EngineLoad::default()
    };
    assert_eq!(choose_engine(&[Some(sent), Some(reading(6_000))]), Some(1));
}

#[test]
fn an_engine_that_does_not_report_is_not_chosen() {
    assert_eq!(choose_engine(&[None, Some(reading(0))]), Some(1));
    assert_eq!(choose_engine(&[None, None]), None);
}

#[test]
fn engines_of_other_zones_are_asked_when_the_own_all_read() {
    assert!(are_all_busy(&[Some(reading(0)), Some(reading(500))]));
    assert!(!are_all_busy(&[Some(reading(0)), Some(reading(7_500))]));
}

/// Six prompts a second over 24 engines, each read for a second: the best of
/// three reports meets a busy engine far less often than a blind draw.
#[test]
fn best_of_three_rarely_meets_a_busy_engine() {
    let mut rng = SmallRng::seed_from_u64(1);
    let met = |asked: usize, rng: &mut SmallRng| {
        let mut busy_until = [0_u64; 24];
        let mut met = 0;
        for prompt in 0..600 {
            let now = prompt * 160;
            let places: Vec<usize> = (0..asked).map(|_| rng.random_range(0..24)).collect();
            let reports = places.iter().map(|&place| {
                let is_busy = busy_until[place] > now;
                Some(if is_busy {
                    reading(0)
                } else {
                    EngineLoad::default()
                })
            });
            let reports: Vec<Option<EngineLoad>> = reports.collect();
            let place = places[choose_engine(&reports).unwrap()];
            met += u32::from(busy_until[place] > now);
            busy_until[place] = busy_until[place].max(now) + 1_050;
        }
        met
    };
    let (blind, best) = (met(1, &mut rng), met(3, &mut rng));
    assert!(best * 4 < blind, "{best} of three, {blind} blind");
}
