//! Overload: goodput at three times the capacity, and a small customer next to a large
//! one.

use crate::client::CallResponse;
use crate::fleet::{Fleet, FleetBuilder, FleetError};
use crate::load::{CallLoad, DurationHistogram};
use crate::report::Report;
use serde_json::json;
use skylarkshed_stand_ins::ApplicationFaults;
use std::time::Duration;

/// The service time of one call.
const SERVICE_MS: u64 = 40;
/// The limit on requests in progress on one VM.
const SLOTS: usize = 8;
/// Calls per second that one VM can serve with its slots.
const CAPACITY: f64 = SLOTS as f64 * 1_000.0 / SERVICE_MS as f64;
const LOAD_TIME: Duration = Duration::from_secs(6);
const SMALL_CALLS_PER_S: f64 = 10.0;
/// The highest load of the large customer, relative to the capacity.
const FLOOD_FACTOR: f64 = 3.0;
/// The minimum goodput under overload, relative to its peak.
const MIN_GOODPUT_RATIO: f64 = 0.9;

/// Runs all load levels on one VM.
pub(crate) async fn run(seed: u64) -> Result<Report, FleetError> {
    let settings = json!({"limits": {"in_progress": SLOTS, "queue_time": "200ms"}});
    let fleet = FleetBuilder::new()
        .zones(1)
        .settings(settings)
        .start()
        .await?;
    fleet.configure().await?;
    fleet.put_customer("small", "small-key", 1, 0, 0).await?;
    let slow = ApplicationFaults {
        delay_ms: SERVICE_MS,
        ..ApplicationFaults::default()
    };
    fleet
        .set_application_faults(&fleet.applications[0], &slow)
        .await?;
    let mut report = Report::new("overload", seed);
    report.add("one VM", "capacity of its places", CAPACITY, "calls/s");
    let alone = small_load()
        .run(&[fleet.vms[0].caller_address], seed, |_| None)
        .await;
    let alone_p95 = answered_durations(&alone).quantile_ms(0.95);
    let mut peak: f64 = 0.0;
    for factor in [0.8, 1.0, FLOOD_FACTOR] {
        let (large, small) = run_both_customers(&fleet, factor, seed).await;
        let goodput = count_answered(&large) / LOAD_TIME.as_secs_f64();
        peak = peak.max(goodput);
        let case = format!("large customer at {factor} of capacity");
        report.add(&case, "goodput", goodput, "calls/s");
        report.add(
            &case,
            "refused at once",
            share_refused_at_once(&large),
            "share",
        );
        report.add(
            &case,
            "small customer answered",
            count_answered(&small) / small.len() as f64,
            "share",
        );
        let ratio = answered_durations(&small).quantile_ms(0.95) / alone_p95;
        report.add(&case, "small customer's 95th over unloaded", ratio, "");
        if factor == FLOOD_FACTOR {
            report.add_with_min(
                &case,
                "goodput over its peak",
                goodput / peak,
                "",
                MIN_GOODPUT_RATIO,
            );
        }
    }
    Ok(report)
}

async fn run_both_customers(
    fleet: &Fleet,
    factor: f64,
    seed: u64,
) -> (Vec<CallResponse>, Vec<CallResponse>) {
    let vms = [fleet.vms[0].caller_address];
    let large = CallLoad {
        key: Fleet::CUSTOMER_KEY.to_owned(),
        rate_per_s: CAPACITY * factor,
        ..small_load()
    };
    let small = small_load();
    tokio::join!(
        large.run(&vms, seed, |_| None),
        small.run(&vms, seed + 1, |_| None)
    )
}

fn small_load() -> CallLoad {
    CallLoad {
        key: "small-key".to_owned(),
        path: format!("{}/calls/lookup", Fleet::PLAIN_SERVICE),
        rate_per_s: SMALL_CALLS_PER_S,
        duration: LOAD_TIME,
    }
}

fn count_answered(calls: &[CallResponse]) -> f64 {
    calls.iter().filter(|call| call.is_success()).count() as f64
}

fn answered_durations(calls: &[CallResponse]) -> DurationHistogram {
    DurationHistogram::from_durations(
        calls
            .iter()
            .filter(|call| call.is_success())
            .map(|call| call.duration),
    )
}

/// Returns the share of refusals that arrived within 100 ms.
fn share_refused_at_once(calls: &[CallResponse]) -> f64 {
    let refused: Vec<&CallResponse> = calls.iter().filter(|call| !call.is_success()).collect();
    let fast = refused
        .iter()
        .filter(|call| call.duration < Duration::from_millis(100))
        .count();
    fast as f64 / refused.len().max(1) as f64
}
