//! Builds the programs and runs the main job.

use crate::run::{build_folder, cargo, run};
use clap::Command;
use std::error::Error;

const PACKAGES: [&str; 3] = ["skylarkshed", "skylarkshed-stand-ins", "skylarkshed-bench"];

/// Builds the command line of `demo`.
pub(crate) fn make_subcommand() -> Command {
    Command::new("demo").about("Builds all programs in release mode and runs the main job")
}

/// Builds the programs, then runs the load tool's `demo` experiment.
pub(crate) fn execute() -> Result<(), Box<dyn Error>> {
    let mut build = cargo();
    build.args(["build", "--release", "--locked"]);
    for package in PACKAGES {
        build.args(["--package", package]);
    }
    run(&mut build)?;
    let program = build_folder()?.join("release/skylarkshed-bench");
    run(std::process::Command::new(program).arg("demo"))
}
