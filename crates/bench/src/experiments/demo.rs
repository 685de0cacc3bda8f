//! The demo: a generation whose engine is killed, and a booking that runs once.

use crate::client::{CallClient, GenerationClient, GenerationResult, GenerationSpec};
use crate::fleet::{Fleet, FleetBuilder, FleetError};
use crate::report::Report;
use skylarkshed_stand_ins::check_answer;
use std::io::{IsTerminal, Write};
use std::time::Duration;
use tokio::sync::mpsc;

const TOKENS: u32 = 300;
/// The engine is killed after this many tokens.
const KILL_AT: usize = 100;
/// The idempotency key of the booking.
const BOOKING_KEY: &str = "demo-booking";
/// The longest allowed time without a token.
const MAX_GAP_MS: f64 = 4_000.0;

/// Runs the generation and the booking.
pub(crate) async fn run(seed: u64) -> Result<Report, FleetError> {
    let fleet = FleetBuilder::new().engines_per_zone(2).start().await?;
    fleet.configure().await?;
    let mut report = Report::new("demo", seed);
    let spec = GenerationSpec {
        service: Fleet::MODEL_SERVICE.to_owned(),
        key: Fleet::CUSTOMER_KEY.to_owned(),
        prompt: "summarise the meters of bin seven".to_owned(),
        max_tokens: TOKENS,
    };
    let result = generate_with_engine_kill(&fleet, &spec).await?;
    let checked = check_answer("v1", &spec.prompt, &result.tokens, TOKENS as usize);
    let is_complete = checked.is_ok() && result.is_finished() && result.is_in_order;
    let gap_ms = result.max_token_gap().as_secs_f64() * 1_000.0;
    report.add_with_min(
        "generation",
        "answer whole",
        f64::from(u8::from(is_complete)),
        "",
        1.0,
    );
    report.add_with_max(
        "generation",
        "gap over the killed engine",
        gap_ms,
        "ms",
        MAX_GAP_MS,
    );
    let runs = book(&fleet).await?;
    report.add_with_min("booking", "runs", runs, "", 1.0);
    report.add_with_max("booking", "runs", runs, "", 1.0);
    Ok(report)
}

async fn generate_with_engine_kill(
    fleet: &Fleet,
    spec: &GenerationSpec,
) -> Result<GenerationResult, FleetError> {
    let (progress_tx, mut progress_rx) = mpsc::unbounded_channel();
    let (vm, spec) = (fleet.vms[0].caller_address, spec.clone());
    let answer = tokio::spawn(async move {
        let client = GenerationClient::default();
        let on_token = move |count| {
            print_progress(count);
            // The receiver is dropped once the engine is killed.
            let _ = progress_tx.send(count);
        };
        client
            .generate_with_progress(vm, &spec, None, None, on_token)
            .await
    });
    while let Some(count) = progress_rx.recv().await {
        if count == KILL_AT {
            kill_busiest(fleet).await;
            break;
        }
    }
    let result = tokio::time::timeout(Duration::from_secs(60), answer).await;
    let result = result.ok().and_then(Result::ok);
    result.ok_or_else(|| FleetError::Timeout("the demo's answer".to_owned()))
}

/// Kills the engine that has computed the most tokens, which serves the generation.
async fn kill_busiest(fleet: &Fleet) {
    let mut busiest = 0;
    let mut max_computed = 0;
    for index in 0..fleet.engines.len() {
        let computed = fleet.tokens_computed_by_index(index).await;
        if computed > max_computed {
            (busiest, max_computed) = (index, computed);
        }
    }
    println!(
        "\nkilling {} after {KILL_AT} tokens",
        fleet.engines[busiest].name
    );
    fleet.engines[busiest].process.kill();
}

/// Sends the same booking through every VM and returns how often it ran.
async fn book(fleet: &Fleet) -> Result<f64, FleetError> {
    let client = CallClient::default();
    let path = format!("{}/calls/book", Fleet::PLAIN_SERVICE);
    for vm in &fleet.vms {
        client
            .call(
                vm.caller_address,
                Fleet::CUSTOMER_KEY,
                &path,
                Some(BOOKING_KEY),
                "one meter",
            )
            .await;
    }
    let counts = fleet.call_counts().await?;
    Ok(counts.get(BOOKING_KEY).copied().unwrap_or(0) as f64)
}

fn print_progress(count: usize) {
    if std::io::stdout().is_terminal() {
        print!("\r{count} of {TOKENS} tokens");
        let _ = std::io::stdout().flush();
    }
}
