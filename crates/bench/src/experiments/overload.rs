//! Overload: goodput at three times the capacity, and a small customer beside a large one.

use crate::client::CallResponse;
use crate::fleet::{Fleet, FleetBuilder, FleetError};
use crate::load::{CallLoad, TimeHistogram};
use crate::report::Report;
use serde_json::json;
use skylarkshed_stand_ins::ApplicationFaults;
use std::time::Duration;

const SERVICE_MS: u64 = 40;
const PLACES: usize = 8;
/// Calls a second that one VM's places carry.
const CAPACITY: f64 = PLACES as f64 * 1_000.0 / SERVICE_MS as f64;
const LOAD_TIME: Duration = Duration::from_secs(6);
const SMALL_PER_S: f64 = 10.0;
const FLOOD: f64 = 3.0;
/// Goodput under overload, over its peak.
const GOODPUT_BOUND: f64 = 0.9;

/// Runs the load levels on one VM.
pub(crate) async fn run(seed: u64) -> Result<Report, FleetError> {
    let settings = json!({"limits": {"in_progress": PLACES, "queue_time": "200ms"}});
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
    let alone_p95 = answered_times(&alone).quantile_ms(0.95);
    let mut peak: f64 = 0.0;
    for factor in [0.8, 1.0, FLOOD] {
        let (large, small) = flood(&fleet, factor, seed).await;
        let goodput = answered(&large) / LOAD_TIME.as_secs_f64();
        peak = peak.max(goodput);
        let case = format!("large customer at {factor} of capacity");
        report.add(&case, "goodput", goodput, "calls/s");
        report.add(&case, "refused at once", refused_at_once(&large), "share");
        report.add(
            &case,
            "small customer answered",
            answered(&small) / small.len() as f64,
            "share",
        );
        let ratio = answered_times(&small).quantile_ms(0.95) / alone_p95;
        report.add(&case, "small customer's 95th over unloaded", ratio, "");
        if factor == FLOOD {
            report.add_with_min(
                &case,
                "goodput over its peak",
                goodput / peak,
                "",
                GOODPUT_BOUND,
            );
        }
    }
    Ok(report)
}

async fn flood(fleet: &Fleet, factor: f64, seed: u64) -> (Vec<CallResponse>, Vec<CallResponse>) {
    let vms = [fleet.vms[0].caller_address];
    let large = CallLoad {
        key: Fleet::CUSTOMER_KEY.to_owned(),
        per_s: CAPACITY * factor,
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
        per_s: SMALL_PER_S,
        time: LOAD_TIME,
    }
}

fn answered(calls: &[CallResponse]) -> f64 {
    calls.iter().filter(|call| call.is_success()).count() as f64
}

fn answered_times(calls: &[CallResponse]) -> TimeHistogram {
    TimeHistogram::of(
        calls
            .iter()
            .filter(|call| call.is_success())
            .map(|call| call.duration),
    )
}

/// Returns the share of refusals that came in a tenth of a second.
fn refused_at_once(calls: &[CallResponse]) -> f64 {
    let refused: Vec<&CallResponse> = calls.iter().filter(|call| !call.is_success()).collect();
    let fast = refused
        .iter()
        .filter(|call| call.duration < Duration::from_millis(100))
        .count();
    fast as f64 / refused.len().max(1) as f64
}
