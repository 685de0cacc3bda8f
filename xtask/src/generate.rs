//! `cargo xtask generate`: regenerates the committed code of the operators' schema.

use crate::run::{cargo, run};
use clap::Command;
use std::error::Error;

/// Returns the command line definition of `generate`.
pub(crate) fn make_subcommand() -> Command {
    Command::new("generate").about("Regenerates crates/operator/src/generated.rs")
}

/// Runs the generator, which is a package outside the workspace.
pub(crate) fn execute() -> Result<(), Box<dyn Error>> {
    run(cargo().args(["run", "--manifest-path", "tools/schema/Cargo.toml"]))
}
