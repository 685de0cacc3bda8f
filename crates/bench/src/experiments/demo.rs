//! The main job: a generation over a killed engine, and a booking.

use crate::client::{CallClient, GenerationClient, GenerationResult, GenerationSpec};
use crate::fleet::{Fleet, FleetBuilder, FleetError};
use crate::report::Report;
use skylarkshed_stand_ins::check_answer;
use std::io::{IsTerminal, Write};
use std::time::Duration;
use tokio::sync::mpsc;

const TOKENS: u32 = 300;
const KILL_AT: usize = 100;
const BOOKING: &str = "demo-booking";
/// Output has to go on within this time.
const GAP_BOUND_MS: f64 = 4_000.0;

/// Runs the main job.
pub(crate) async fn run(seed: u64) -> Result<Report, FleetError> {
    let fleet = FleetBuilder::new().engines_per_zone(2).start().await?;
    fleet.configure().await?;
    let mut report = Report::new("demo", seed);
    let query = GenerationSpec {
        service: Fleet::MODEL_SERVICE.to_owned(),
        key: Fleet::CUSTOMER_KEY.to_owned(),
        prompt: "summarise the meters of bin seven".to_owned(),
        max_tokens: TOKENS,
    };
    let trace = generate_over_kill(&fleet, &query).await?;
    let checked = check_answer("v1", &query.prompt, &trace.tokens, TOKENS as usize);
    let is_whole = checked.is_ok() && trace.is_finished() && trace.is_in_order;
    let gap_ms = trace.max_token_gap().as_secs_f64() * 1_000.0;
    report.add_with_min(
        "generation",
        "answer whole",
        f64::from(u8::from(is_whole)),
        "",
        1.0,
    );
    report.add_with_max(
        "generation",
        "gap over the killed engine",
        gap_ms,
        "ms",
        GAP_BOUND_MS,
    );
    let runs = book(&fleet).await?;
    report.add_with_min("booking", "runs", runs, "", 1.0);
    report.add_with_max("booking", "runs", runs, "", 1.0);
    Ok(report)
}

async fn generate_over_kill(
    fleet: &Fleet,
    query: &GenerationSpec,
) -> Result<GenerationResult, FleetError> {
    let (progress, mut killing) = mpsc::unbounded_channel();
    let (vm, query) = (fleet.vms[0].caller_address, query.clone());
    let answer = tokio::spawn(async move {
        let caller = GenerationClient::default();
        let told = move |count| {
            show(count);
            // The listener goes once the engine is killed.
            let _ = progress.send(count);
        };
        caller
            .generate_with_progress(vm, &query, None, None, told)
            .await
    });
    while let Some(count) = killing.recv().await {
        if count == KILL_AT {
            kill_serving(fleet).await;
            break;
        }
    }
    let trace = tokio::time::timeout(Duration::from_secs(60), answer).await;
    let trace = trace.ok().and_then(Result::ok);
    trace.ok_or_else(|| FleetError::Timeout("the demo's answer".to_owned()))
}

/// Kills the engine that has computed the most.
async fn kill_serving(fleet: &Fleet) {
    let mut serving = 0;
    let mut most = 0;
    for place in 0..fleet.engines.len() {
        let computed = fleet.tokens_computed_by_index(place).await;
        if computed > most {
            (serving, most) = (place, computed);
        }
    }
    println!(
        "\nkilling {} after {KILL_AT} tokens",
        fleet.engines[serving].name
    );
    fleet.engines[serving].process.kill();
}

async fn book(fleet: &Fleet) -> Result<f64, FleetError> {
    let caller = CallClient::default();
    let path = format!("{}/calls/book", Fleet::PLAIN_SERVICE);
    for vm in &fleet.vms {
        caller
            .call(
                vm.caller_address,
                Fleet::CUSTOMER_KEY,
                &path,
                Some(BOOKING),
                "one meter",
            )
            .await;
    }
    let counts = fleet.call_counts().await?;
    Ok(counts.get(BOOKING).copied().unwrap_or(0) as f64)
}

fn show(count: usize) {
    if std::io::stdout().is_terminal() {
        print!("\r{count} of {TOKENS} tokens");
        let _ = std::io::stdout().flush();
    }
}
