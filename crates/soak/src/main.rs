//! Runs one soak and fails if a rule was broken.

use clap::{value_parser, Arg, Command};
use skylarkshed_core::ClockTime;
use skylarkshed_soak::{run_soak, SoakOptions};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

#[tokio::main]
async fn main() -> std::io::Result<ExitCode> {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(default)
    };
    let program = Arg::new("program")
        .long("program")
        .value_parser(value_parser!(PathBuf))
        .required(true);
    let matches = Command::new("skylarkshed-soak")
        .about("Injects faults into real gateway processes and checks what callers see")
        .arg(number("seed", "1"))
        .arg(number("seconds", "60"))
        .arg(number("vms", "8"))
        .arg(program)
        .get_matches();
    let value = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    let program = matches.get_one::<PathBuf>("program");
    let running = run_soak(SoakOptions {
        seed: value("seed"),
        length: ClockTime::from_millis(value("seconds") * 1_000),
        vms: usize::try_from(value("vms")).unwrap_or(usize::MAX),
        program: program.expect("it is required").clone(),
    });
    let mut terminate = signal(SignalKind::terminate())?;
    let report = tokio::select! {
        report = running => report?,
        // The processes are killed as their tasks are dropped.
        _ = terminate.recv() => return Ok(ExitCode::FAILURE),
        _ = tokio::signal::ctrl_c() => return Ok(ExitCode::FAILURE),
    };
    print!("{report}");
    report.clean_up()?;
    Ok(match report.is_passed() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
