//! The `skylarkshed-bench` program, which runs load experiments.

use clap::{value_parser, Arg, ArgMatches, Command};
use skylarkshed_bench::{find_experiment, EXPERIMENTS};
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = make_command().get_matches();
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(execute(name, matches))
}

fn make_command() -> Command {
    let mut command = Command::new("skylarkshed-bench")
        .about("Runs experiments on real processes and checks their bounds")
        .subcommand_required(true);
    for experiment in EXPERIMENTS {
        let seed = Arg::new("seed")
            .long("seed")
            .help("The seed of all random choices")
            .value_parser(value_parser!(u64))
            .default_value("1");
        let json = Arg::new("json")
            .long("json")
            .value_name("FILE")
            .help("Writes the report as JSON")
            .value_parser(value_parser!(PathBuf));
        let subcommand = Command::new(experiment.name).about(experiment.about);
        command = command.subcommand(subcommand.arg(seed).arg(json));
    }
    command
}

async fn execute(name: &str, matches: &ArgMatches) -> ExitCode {
    let experiment = find_experiment(name).expect("clap knows the names");
    let seed = *matches.get_one::<u64>("seed").expect("has a default");
    let report = match (experiment.run)(seed).await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    print!("{}", report.to_table());
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        let text = serde_json::to_string_pretty(&report).expect("a report is plain data");
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("error: {}: {error}", path.display());
            return ExitCode::FAILURE;
        }
    }
    if report.is_within_bounds() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
