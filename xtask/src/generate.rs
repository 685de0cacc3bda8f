//! Regenerates the committed code of the operators' schema.

use clap::Command;
use std::error::Error;
use std::path::PathBuf;

/// Builds the command line of `generate`.
pub(crate) fn make_subcommand() -> Command {
    Command::new("generate").about("Regenerates crates/operator/src/generated.rs")
}

/// Writes the generated code next to the operator crate's sources.
pub(crate) fn execute() -> Result<(), Box<dyn Error>> {
    let schema = PathBuf::from("crates/operator/schema");
    volo_build::Builder::protobuf()
        .add_service(schema.join("operator.proto"))
        .include_dirs(vec![schema])
        .out_dir("crates/operator/src")
        .filename(PathBuf::from("generated.rs"))
        .write()?;
    Ok(())
}
