//! `serve`: runs a VM's process.

use super::check::{read_settings, settings_arg};
use crate::exit::{CommandError, CommandResult};
use clap::{ArgMatches, Command};
use flexi_logger::{json_format, Logger};
use skylarkshed_node::run_node;

const DEFAULT_LOG_LEVEL: &str = "info, volo_http=off, volo_grpc=off";

/// Returns the command line definition of `serve`.
pub(crate) fn make_subcommand() -> Command {
    Command::new("serve")
        .about("Serves callers and operators on this VM")
        .arg(settings_arg())
}

/// Serves until the process gets a termination signal.
pub(crate) fn execute(matches: &ArgMatches) -> CommandResult {
    let settings = read_settings(matches)?;
    let logger = Logger::try_with_env_or_str(DEFAULT_LOG_LEVEL)
        .map(|logger| logger.format(json_format).log_to_stderr())
        .and_then(Logger::start);
    let _handle = logger.map_err(|error| CommandError::Start(error.to_string()))?;
    let runtime = tokio::runtime::Runtime::new();
    let runtime = runtime.map_err(|error| CommandError::Start(error.to_string()))?;
    runtime
        .block_on(run_node(settings))
        .map_err(CommandError::Node)
}
