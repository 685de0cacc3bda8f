//! Running other programs.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Makes a call of the cargo that runs this task, in the workspace's folder.
pub(crate) fn cargo() -> Command {
    let mut cargo = Command::new(env!("CARGO"));
    cargo.current_dir(workspace());
    cargo
}

/// Returns the workspace's folder.
pub(crate) fn workspace() -> PathBuf {
    let own = Path::new(env!("CARGO_MANIFEST_DIR"));
    own.parent().unwrap_or(own).to_owned()
}

/// Returns the folder that cargo builds into, wherever settings or the
/// environment put it.
pub(crate) fn build_folder() -> Result<PathBuf, Box<dyn Error>> {
    let output = cargo()
        .args(["metadata", "--format-version", "1", "--no-deps"])
        .output()?;
    let metadata: serde_json::Value = serde_json::from_slice(&output.stdout)?;
    let folder = metadata["target_directory"].as_str();
    Ok(folder.ok_or("cargo names no build folder")?.into())
}

/// Runs a command; fails if it does.
pub(crate) fn run(command: &mut Command) -> Result<(), Box<dyn Error>> {
    let status = command
        .status()
        .map_err(|error| format!("{:?} can't be run: {error}", command.get_program()))?;
    if status.success() {
        return Ok(());
    }
    Err(format!("{command:?} ended with {status}").into())
}
