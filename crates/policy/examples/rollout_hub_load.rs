//! Prints what the reports of a rollout cost a hub, by the number of VMs and the rate of
//! requests.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{
    compare_rollout, overdue_times, slow_paces, RolloutSamples, RolloutTimes, RouteSamples,
    VersionSamples, ROLLOUT_SLICES,
};
use std::time::Instant;

const ROLLBACK: ClockTime = ClockTime::from_millis(5_000);
const ROLLOUT_S: usize = 15;
const ROUTES: usize = 4;
const CUSTOMERS: usize = 6;
const CANARY_SHARE: f64 = 0.1;

fn record(samples: &mut RouteSamples, random: &mut StdRng) {
    let mut time = |median: f64| {
        let factor: f64 = random.random_range(-1.0..1.0);
        ClockTime::from_millis((median * factor.exp()) as u64)
    };
    samples.sent += 1;
    samples.total += 1;
    samples.first.record(time(900.0));
    samples.pace.record(time(30.0));
}

/// Returns the samples of one VM at the end of a rollout.
fn samples_of_vm(requests: usize, random: &mut StdRng) -> RolloutSamples {
    let mut before = VersionSamples::default();
    for _ in 0..requests {
        let route = format!("route-{}", random.random_range(0..ROUTES));
        record(before.route(&route), random);
    }
    let mut samples = RolloutSamples::new(before);
    for _ in 0..requests {
        let is_new = random.random_bool(CANARY_SHARE);
        let route = format!("route-{}", random.random_range(0..ROUTES));
        let pair = samples.slice(random.random_range(0..ROLLOUT_SLICES));
        let version = match is_new {
            true => &mut pair.new,
            false => &mut pair.old,
        };
        record(version.route(&route), random);
        let customer = format!("customer-{}", random.random_range(0..CUSTOMERS));
        samples.record_customer(&customer.as_str().into(), is_new, false);
    }
    samples
}

fn main() {
    println!("| VMs | requests/s | bytes a report | reports/s at a hub | kB/s at a hub | parsing, % of a core | review, ms | review, % of a core |");
    println!("|---|---|---|---|---|---|---|---|");
    for (vms, rate) in [(9, 25), (100, 25), (100, 500), (300, 25), (300, 500)] {
        let random = &mut StdRng::seed_from_u64(1);
        let requests = (rate * ROLLOUT_S).div_ceil(vms);
        let reports: Vec<String> = (0..vms)
            .map(|_| serde_json::to_string(&samples_of_vm(requests, random)).expect("it is JSON"))
            .collect();
        let bytes = reports.iter().map(String::len).sum::<usize>() / vms;
        let interval = RolloutTimes::new(ROLLBACK).report_interval(vms);
        let per_second = 1_000.0 / interval.as_millis() as f64;
        let started = Instant::now();
        let parsed: Vec<RolloutSamples> = reports
            .iter()
            .map(|report| serde_json::from_str(report).expect("it is a report"))
            .collect();
        let parsing_ms = started.elapsed().as_secs_f64() * 1_000.0;
        let started = Instant::now();
        let mut sum = RolloutSamples::default();
        parsed.iter().for_each(|samples| sum.merge(samples));
        let limits = overdue_times(&sum).len() + slow_paces(&sum).len();
        let is_proven = compare_rollout(&sum).is_proven();
        let review_ms = started.elapsed().as_secs_f64() * 1_000.0;
        assert!(limits > 0 && !is_proven);
        let reports_per_s = vms as f64 * per_second;
        println!(
            "| {vms} | {rate} | {bytes} | {reports_per_s:.0} | {:.0} | {:.1} | {review_ms:.1} | {:.1} |",
            reports_per_s * bytes as f64 / 1_000.0,
            parsing_ms * per_second / 10.0,
            review_ms * per_second / 10.0,
        );
    }
}
