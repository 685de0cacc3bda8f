//! `cargo xtask soak`: runs the real gateway under random faults.

use crate::run::{cargo, run, target_directory, workspace_root};
use clap::{value_parser, Arg, ArgMatches, Command};
use std::error::Error;
use std::fs;

/// The seeds that failed once, each followed by its cause.
const SEEDS_FILE: &str = "crates/soak/seeds.txt";
/// The run that belongs to the tests.
const TEST_SEED: u64 = 7;
const TEST_SECONDS: u64 = 25;
const TEST_VMS: u64 = 8;

/// Returns the command line definition of `soak`.
pub(crate) fn make_subcommand() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    let replay = Arg::new("replay")
        .long("replay")
        .action(clap::ArgAction::SetTrue)
        .help("Run the seeds listed in crates/soak/seeds.txt instead");
    Command::new("soak")
        .about("Runs the gateway under random faults and checks what callers see")
        .arg(number("seed", "1", "Draws faults, callers and responses"))
        .arg(number("seconds", "60", "How long callers send requests"))
        .arg(number("vms", "8", "The number of gateway processes"))
        .arg(replay)
}

/// Runs one seed, or all seeds that failed once.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    run(cargo().args(["build", "--locked", "--package", "skylarkshed"]))?;
    run(cargo().args(["build", "--locked", "--package", "skylarkshed-soak"]))?;
    let value = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    if !matches.get_flag("replay") {
        return run_seed(value("seed"), value("seconds"), value("vms"));
    }
    let mut failed = Vec::new();
    for seed in read_seeds()? {
        if run_seed(seed, value("seconds"), value("vms")).is_err() {
            failed.push(seed);
        }
    }
    match failed.is_empty() {
        true => Ok(()),
        false => Err(format!("seeds failed: {failed:?}").into()),
    }
}

/// Runs the soak of the tests; the programs are built already.
pub(crate) fn run_test_seed() -> Result<(), Box<dyn Error>> {
    run_seed(TEST_SEED, TEST_SECONDS, TEST_VMS)
}

fn run_seed(seed: u64, seconds: u64, vms: u64) -> Result<(), Box<dyn Error>> {
    let programs = target_directory()?.join("debug");
    let mut soak = std::process::Command::new(programs.join("skylarkshed-soak"));
    for (name, value) in [("--seed", seed), ("--seconds", seconds), ("--vms", vms)] {
        soak.args([name, &value.to_string()]);
    }
    run(soak.arg("--program").arg(programs.join("skylarkshed")))
}

fn read_seeds() -> Result<Vec<u64>, Box<dyn Error>> {
    let text = fs::read_to_string(workspace_root().join(SEEDS_FILE))?;
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let seeds = lines.filter_map(|line| line.split_whitespace().next());
    Ok(seeds.map(str::parse).collect::<Result<_, _>>()?)
}
