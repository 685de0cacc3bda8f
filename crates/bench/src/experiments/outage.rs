//! The platform out for a while: what share of bookings still succeeds.

use crate::client::{CallClient, CallResponse};
use crate::fleet::{Fleet, FleetBuilder, FleetError};
use crate::load::CallLoad;
use crate::report::Report;
use skylarkshed_stand_ins::PlatformFaults;
use std::net::SocketAddr;
use std::time::Duration;

const OUTAGE: Duration = Duration::from_secs(60);
const PER_S: f64 = 20.0;
const KEYS_PER_VM: usize = 600;

/// Runs bookings through an outage, with callers' keys and with minted keys.
pub(crate) async fn run(seed: u64) -> Result<Report, FleetError> {
    let fleet = FleetBuilder::new().start().await?;
    fleet.configure().await?;
    fleet.wait_for_members(fleet.vms.len() - 1).await?;
    let vms: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.caller_address).collect();
    let mut minted = Vec::new();
    for vm in &vms {
        let caller = CallClient::default();
        minted.push(
            caller
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
        per_s: PER_S,
        time: OUTAGE,
    };
    let own_key = |number: usize| Some(format!("own-{number}"));
    // Each call goes to another VM than the one that minted its key.
    let minted_key = |number: usize| {
        minted[(number + 1) % vms.len()]
            .get(number / vms.len())
            .cloned()
    };
    let (own, with_minted) = tokio::join!(
        load.run(&vms, seed, own_key),
        load.run(&vms, seed + 1, minted_key)
    );
    fleet.set_platform_faults(PlatformFaults::default()).await?;
    let counts = fleet.call_counts().await?;
    let most_runs = counts.values().copied().max().unwrap_or(0);
    let mut report = Report::new("outage", seed);
    add_rows(&mut report, "callers' keys", &own);
    add_rows(&mut report, "minted keys", &with_minted);
    report.add_with_max("all", "runs of one booking", most_runs as f64, "", 1.0);
    let refused: Vec<&CallResponse> = own.iter().filter(|call| !call.is_success()).collect();
    let not_run = refused
        .iter()
        .filter(|call| call.outcome() == "not_run")
        .count();
    let share = not_run as f64 / refused.len().max(1) as f64;
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
