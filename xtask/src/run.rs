//! Running other programs.

use std::error::Error;
use std::process::Command;

/// Makes a call of the cargo that runs this task.
pub(crate) fn cargo() -> Command {
    Command::new(env!("CARGO"))
}

/// Runs a command; fails if it does.
pub(crate) fn run(command: &mut Command) -> Result<(), Box<dyn Error>> {
    let status = command.status()?;
    if status.success() {
        return Ok(());
    }
    Err(format!("{command:?} ended with {status}").into())
}
