//! Builds the programs and runs the main job.

use clap::Command;
use std::error::Error;
use std::process;

/// Builds the command line of `demo`.
pub(crate) fn make_subcommand() -> Command {
    Command::new("demo").about("Builds all programs in release mode and runs the main job")
}

/// Builds the programs, then runs the load tool's `demo` experiment.
pub(crate) fn execute() -> Result<(), Box<dyn Error>> {
    let packages = ["skylarkshed", "skylarkshed-stand-ins", "skylarkshed-bench"];
    let mut build = process::Command::new(env!("CARGO"));
    build.args(["build", "--release", "--locked"]);
    for package in packages {
        build.args(["--package", package]);
    }
    run(&mut build)?;
    run(process::Command::new("target/release/skylarkshed-bench").arg("demo"))
}

fn run(command: &mut process::Command) -> Result<(), Box<dyn Error>> {
    let status = command.status()?;
    if status.success() {
        return Ok(());
    }
    Err(format!("{command:?} ended with {status}").into())
}
