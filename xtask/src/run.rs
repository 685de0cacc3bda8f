//! Helpers that run other programs.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Returns a command for the cargo that runs this task, in the workspace root.
pub(crate) fn cargo() -> Command {
    let mut cargo = Command::new(env!("CARGO"));
    cargo.current_dir(workspace_root());
    cargo
}

/// Returns the workspace root.
pub(crate) fn workspace_root() -> PathBuf {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    package.parent().unwrap_or(package).to_owned()
}

/// Returns cargo's target directory, which settings or the environment may move.
pub(crate) fn target_directory() -> Result<PathBuf, Box<dyn Error>> {
    let output = cargo()
        .args(["metadata", "--format-version", "1", "--no-deps"])
        .output()?;
    let metadata: serde_json::Value = serde_json::from_slice(&output.stdout)?;
    let directory = metadata["target_directory"].as_str();
    Ok(directory
        .ok_or("`cargo metadata` printed no target directory")?
        .into())
}

/// Runs a command and fails if it exits with an error.
pub(crate) fn run(command: &mut Command) -> Result<(), Box<dyn Error>> {
    let status = command
        .status()
        .map_err(|error| format!("failed to run {:?}: {error}", command.get_program()))?;
    if status.success() {
        return Ok(());
    }
    Err(format!("{command:?} exited with {status}").into())
}
