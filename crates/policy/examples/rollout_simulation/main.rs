//! Prints how rollouts end, by fault, rate and number of VMs.

mod simulation;

use simulation::{play, Fault, Outcome, Traffic, SOUND_STREAMS, UNRELIABLE_CALLS};

const PLAYS: u64 = 200;
const FAULTS: [(&str, Fault); 10] = [
    ("good", Fault::None),
    ("slow x1.5", Fault::Slow(1.5)),
    ("slow x2", Fault::Slow(2.0)),
    ("slow x4", Fault::Slow(4.0)),
    ("2% errors", Fault::Errors(0.02)),
    ("10% errors", Fault::Errors(0.1)),
    ("50% errors", Fault::Errors(0.5)),
    ("one route", Fault::OneRoute),
    ("late", Fault::Late(9_000)),
    ("at the end", Fault::Late(12_000)),
];
const TRAFFICS: [(&str, Traffic); 2] = [
    ("sound streams", SOUND_STREAMS),
    ("unreliable calls", UNRELIABLE_CALLS),
];
/// Requests per second, and VMs.
const FLEETS: [(f64, usize); 6] = [
    (1.0, 1),
    (6.0, 9),
    (25.0, 87),
    (100.0, 9),
    (500.0, 30),
    (500.0, 300),
];

fn main() {
    println!("| routes | fault | requests/s | VMs | rolled back | mean time to it | share of the allowed exposure, mean and largest |");
    println!("|---|---|---|---|---|---|---|");
    for (routes, traffic) in TRAFFICS {
        for (name, fault) in FAULTS {
            for (per_s, vms) in FLEETS {
                let plays = (0..PLAYS).map(|seed| play(traffic, fault, per_s, vms, seed));
                let outcomes: Vec<Outcome> = plays.collect();
                print_row(&format!("{routes} | {name}"), per_s, vms, &outcomes);
            }
        }
    }
}

fn print_row(name: &str, per_s: f64, vms: usize, outcomes: &[Outcome]) {
    let rolled_back = outcomes.iter().filter(|outcome| outcome.is_rolled_back);
    let rolled_back: Vec<&Outcome> = rolled_back.collect();
    let total_ms: u64 = rolled_back.iter().map(|outcome| outcome.ended_ms).sum();
    let seconds = total_ms as f64 / 1_000.0 / rolled_back.len().max(1) as f64;
    let shares = outcomes
        .iter()
        .map(|outcome| outcome.arrivals as f64 / outcome.allowed as f64);
    let mean = shares.clone().sum::<f64>() / outcomes.len() as f64;
    let largest = shares.fold(0.0, f64::max);
    println!(
        "| {name} | {per_s} | {vms} | {:.1}% | {seconds:.1} s | {:.0}%, {:.0}% |",
        100.0 * rolled_back.len() as f64 / outcomes.len() as f64,
        100.0 * mean,
        100.0 * largest,
    );
}
