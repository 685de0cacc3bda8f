//! Capacity: the cost of the control plane by VMs, replicas and customers, and the cost
//! per token.

use crate::fleet::{Fleet, FleetBuilder, FleetError, VmHandle};
use crate::load::{AnswerRecord, DurationHistogram, GenerationLoad};
use crate::report::Report;
use skylarkshed_operator::schema::{PutVersionRequest, Upstream};
use std::time::{Duration, Instant};

/// The time over which an idle VM is measured.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// The time to wait before a measurement, until the fleet is idle.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const VM_COUNTS: [usize; 4] = [3, 9, 18, 36];
const REPLICA_COUNTS: [usize; 3] = [25, 100, 400];
const CUSTOMER_COUNTS: [usize; 3] = [10, 100, 470];
/// The number of configuration changes that are timed.
const CHANGES: usize = 20;
const TOKEN_LOAD_TIME: Duration = Duration::from_secs(8);
/// The clock ticks per second in which the kernel counts processor time.
const TICKS_PER_S: f64 = 100.0;
const BYTES_PER_KB: f64 = 1_000.0;

/// The resources that one VM used over a period.
struct UsedResources {
    core_percent: f64,
    memory_mb: f64,
    peer_kb_per_s: f64,
}

/// Runs all measurements.
pub(crate) async fn run(seed: u64) -> Result<Report, FleetError> {
    let mut report = Report::new("capacity", seed);
    for count in VM_COUNTS {
        measure_vm_counts(&mut report, count).await?;
    }
    for count in REPLICA_COUNTS {
        measure_replica_counts(&mut report, count).await?;
    }
    measure_customer_counts(&mut report).await?;
    measure_tokens(&mut report, seed).await?;
    Ok(report)
}

async fn measure_vm_counts(report: &mut Report, count: usize) -> Result<(), FleetError> {
    let builder = FleetBuilder::new()
        .vms_per_zone(count / 3)
        .applications_per_zone(0);
    let fleet = builder.start().await?;
    fleet.wait_for_members(count - 1).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let used = measure_idle(&fleet, &fleet.vms[0]).await?;
    add_resources(report, &format!("{count} VMs, idle"), &used);
    let start = Instant::now();
    for number in 0..CHANGES {
        fleet
            .put_customer(&format!("customer-{number}"), "key", 1, 0, 0)
            .await?;
    }
    fleet.wait_for_revision(CHANGES as u64).await?;
    let per_change_ms = start.elapsed().as_secs_f64() * 1_000.0 / CHANGES as f64;
    report.add(
        &format!("{count} VMs"),
        "a change, in force everywhere",
        per_change_ms,
        "ms",
    );
    Ok(())
}

async fn measure_replica_counts(report: &mut Report, count: usize) -> Result<(), FleetError> {
    let fleet = FleetBuilder::new().start().await?;
    fleet.configure().await?;
    // The replicas share the addresses of the fleet's three engines, but each is polled
    // separately.
    let upstreams = (0..count).map(|number| {
        let engine = &fleet.engines[number % fleet.engines.len()];
        Upstream {
            name: format!("replica-{number}").into(),
            address: engine.address.to_string().into(),
            zone: engine.zone.clone().into(),
            checks_fencing: true,
        }
    });
    let request = PutVersionRequest {
        change_id: "replicas".into(),
        service: Fleet::MODEL_SERVICE.into(),
        name: "v1".into(),
        adapter: "".into(),
        upstreams: upstreams.collect(),
    };
    let reply = fleet.operator_client(0).put_version(request).await;
    reply.map_err(|status| FleetError::Request(status.to_string()))?;
    tokio::time::sleep(SETTLE_TIME).await;
    let used = measure_idle(&fleet, &fleet.vms[0]).await?;
    add_resources(report, &format!("{count} replicas, 3 VMs, idle"), &used);
    Ok(())
}

async fn measure_customer_counts(report: &mut Report) -> Result<(), FleetError> {
    let fleet = FleetBuilder::new().applications_per_zone(0).start().await?;
    let mut created = 0;
    for count in CUSTOMER_COUNTS {
        while created < count {
            let name = format!("customer-{created}");
            fleet
                .put_customer(&name, &format!("key of {name}"), 1, 100, 10)
                .await?;
            created += 1;
        }
        fleet.wait_for_revision(created as u64).await?;
        let memory_mb = memory_mb(&fleet.vms[0]).unwrap_or_default();
        report.add(&format!("{count} customers"), "memory", memory_mb, "MB");
    }
    Ok(())
}

/// Measures the cost of tokens on one VM and the latency that the VM adds.
async fn measure_tokens(report: &mut Report, seed: u64) -> Result<(), FleetError> {
    let args = [
        "--step-us",
        "20000",
        "--per-generation-us",
        "0",
        "--batch",
        "512",
    ];
    let builder = FleetBuilder::new()
        .zones(1)
        .engines_per_zone(2)
        .engine_args(&args);
    let fleet = builder.start().await?;
    fleet.configure().await?;
    for rate_per_s in [20.0, 60.0, 120.0] {
        let load = GenerationLoad {
            rate_per_s,
            duration: TOKEN_LOAD_TIME,
            tokens: (100, 200),
            words: (10, 20),
        };
        let before = processor_s(&fleet.vms[0]).unwrap_or_default();
        let start = Instant::now();
        let answers = load.run(&fleet, seed).await;
        let elapsed_s = start.elapsed().as_secs_f64();
        let core_s = processor_s(&fleet.vms[0]).unwrap_or_default() - before;
        add_token_rows(report, rate_per_s, &answers, elapsed_s, core_s);
        let memory_mb = memory_mb(&fleet.vms[0]).unwrap_or_default();
        report.add(
            &format!("{rate_per_s} generations/s"),
            "memory",
            memory_mb,
            "MB",
        );
    }
    Ok(())
}

fn add_token_rows(
    report: &mut Report,
    rate_per_s: f64,
    answers: &[AnswerRecord],
    elapsed_s: f64,
    core_s: f64,
) {
    // The engines' `--step-us`.
    const STEP: Duration = Duration::from_millis(20);
    let case = format!("{rate_per_s} generations/s");
    let tokens: usize = answers
        .iter()
        .map(|answer| answer.result.tokens.len())
        .sum();
    let complete = answers.iter().filter(|answer| answer.is_complete()).count();
    report.add_with_min(
        &case,
        "whole answers",
        complete as f64,
        "",
        answers.len() as f64,
    );
    report.add(&case, "tokens", tokens as f64 / elapsed_s, "tokens/s");
    report.add(
        &case,
        "processor time",
        core_s * 1e6 / tokens.max(1) as f64,
        "us/token",
    );
    let gaps = answers.iter().flat_map(|answer| {
        answer
            .result
            .token_times
            .windows(2)
            .map(|pair| pair[1].saturating_sub(pair[0]))
    });
    let added = DurationHistogram::from_durations(gaps.map(|gap| gap.saturating_sub(STEP)));
    report.add(
        &case,
        "gap beyond the engine's step, 99th",
        added.quantile_ms(0.99),
        "ms",
    );
    let first = DurationHistogram::from_durations(
        answers
            .iter()
            .filter_map(|answer| answer.result.token_times.first().copied()),
    );
    report.add(&case, "first token, 95th", first.quantile_ms(0.95), "ms");
}

async fn measure_idle(fleet: &Fleet, vm: &VmHandle) -> Result<UsedResources, FleetError> {
    let before = (
        processor_s(vm),
        fleet.metric_sum(vm, "peer_bytes_total").await?,
    );
    let start = Instant::now();
    tokio::time::sleep(IDLE_TIME).await;
    let after = (
        processor_s(vm),
        fleet.metric_sum(vm, "peer_bytes_total").await?,
    );
    let elapsed_s = start.elapsed().as_secs_f64();
    let core_s = after.0.unwrap_or_default() - before.0.unwrap_or_default();
    Ok(UsedResources {
        core_percent: core_s / elapsed_s * 100.0,
        memory_mb: memory_mb(vm).unwrap_or_default(),
        peer_kb_per_s: (after.1 - before.1) / elapsed_s / BYTES_PER_KB,
    })
}

fn add_resources(report: &mut Report, case: &str, used: &UsedResources) {
    report.add(case, "processor", used.core_percent, "% of a core");
    report.add(case, "memory", used.memory_mb, "MB");
    report.add(case, "sent to peers", used.peer_kb_per_s, "KB/s");
}

/// Returns the processor time that a VM's process has used, in seconds.
fn processor_s(vm: &VmHandle) -> Option<f64> {
    const USER_TIME: usize = 11;
    const SYSTEM_TIME: usize = 12;
    let text = std::fs::read_to_string(format!("/proc/{}/stat", vm.process.id()?)).ok()?;
    // Fields are counted after the program's name, which may contain spaces.
    let fields: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some((ticks(USER_TIME)? + ticks(SYSTEM_TIME)?) / TICKS_PER_S)
}

/// Returns the resident memory of a VM's process.
fn memory_mb(vm: &VmHandle) -> Option<f64> {
    const KB_PER_MB: f64 = 1_000.0;
    let text = std::fs::read_to_string(format!("/proc/{}/status", vm.process.id()?)).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb / KB_PER_MB)
}
