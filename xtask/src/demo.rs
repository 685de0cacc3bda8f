//! `cargo xtask demo`: builds the programs and runs the demo experiment.

use crate::run::{cargo, run, target_directory};
use clap::Command;
use std::error::Error;

const PACKAGES: [&str; 3] = ["skylarkshed", "skylarkshed-stand-ins", "skylarkshed-bench"];

/// Returns the command line definition of `demo`.
pub(crate) fn make_subcommand() -> Command {
    Command::new("demo").about("Builds all programs in release mode and runs the demo experiment")
}

/// Builds the programs, then runs the `demo` experiment of the load tool.
pub(crate) fn execute() -> Result<(), Box<dyn Error>> {
    let mut build = cargo();
    build.args(["build", "--release", "--locked"]);
    for package in PACKAGES {
        build.args(["--package", package]);
    }
    run(&mut build)?;
    let program = target_directory()?.join("release/skylarkshed-bench");
    run(std::process::Command::new(program).arg("demo"))
}
