//! Platform outage: the share of bookings that still succeed.

use crate::client::{CallClient, CallResponse};
use crate::fleet::{Fleet, FleetBuilder, FleetError};
use crate::load::CallLoad;
use crate::report::Report;
use skylarkshed_stand_ins::PlatformFaults;
use std::net::SocketAddr;
use std::time::Duration;

const OUTAGE_TIME: Duration = Duration::from_secs(60);
const CALLS_PER_S: f64 = 20.0;
const KEYS_PER_VM: usize = 600;

/// Runs bookings during an outage, with callers' keys and with minted keys.
pub(crate) async fn run(seed: u64) -> Result<Report, FleetError> {
    let fleet = FleetBuilder::new().start().await?;
    fleet.configure().await?;
    fleet.wait_for_members(fleet.vms.len() - 1).await?;
    let vms: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.caller_address).collect();
    let mut minted = Vec::new();
    for vm in &vms {
        let client = CallClient::default();
        minted.push(
            client
                .mint(*vm, Fleet::CUSTOMER_KEY, Fleet::PLAIN_SERVICE, KEYS_PER_VM)
                .await,
        );
    }
    fleet
        .set_platform_faults(PlatformFaults {
            out: true,
            ..PlatformFaults::default()
        })
        .await?;
    let load = CallLoad {
        key: Fleet::CUSTOMER_KEY.to_owned(),
        path: format!("{}/calls/book", Fleet::PLAIN_SERVICE),
        rate_per_s: CALLS_PER_S,
        duration: OUTAGE_TIME,
    };
    let caller_key = |number: usize| Some(format!("own-{number}"));
    // Each call goes to a different VM than the one that minted its key.
    let minted_key = |number: usize| {
        minted[(number + 1) % vms.len()]
            .get(number / vms.len())
            .cloned()
    };
    let (with_caller_keys, with_minted_keys) = tokio::join!(
        load.run(&vms, seed, caller_key),
        load.run(&vms, seed + 1, minted_key)
    );
    fleet.set_platform_faults(PlatformFaults::default()).await?;
    let counts = fleet.call_counts().await?;
    let max_runs = counts.values().copied().max().unwrap_or(0);
    let mut report = Report::new("outage", seed);
    add_rows(&mut report, "callers' keys", &with_caller_keys);
    add_rows(&mut report, "minted keys", &with_minted_keys);
    report.add_with_max("all", "runs of one booking", max_runs as f64, "", 1.0);
    let failed: Vec<&CallResponse> = with_caller_keys
        .iter()
        .filter(|call| !call.is_success())
        .collect();
    let not_run = failed
        .iter()
        .filter(|call| call.outcome() == "not_run")
        .count();
    let share = not_run as f64 / failed.len().max(1) as f64;
    report.add("callers' keys", "refusals that say not_run", share, "share");
    Ok(report)
}

fn add_rows(report: &mut Report, case: &str, calls: &[CallResponse]) {
    let answered = calls.iter().filter(|call| call.is_success()).count();
    report.add(case, "bookings", calls.len() as f64, "");
    report.add(
        case,
        "answered",
        answered as f64 / calls.len().max(1) as f64,
        "share",
    );
}
