//! `gateway`: routes plain HTTP requests on the users' platform.

use crate::exit::{CommandError, CommandResult};
use clap::{ArgMatches, Command};
use skylarkshed_gateway::{run_gateway, start_logging};
use skylarkshed_users_platform::{read_settings, settings_path, PlatformProtocol, PlatformStore};

const DEFAULT_LOG_LEVEL: &str = "info";
/// A VM has a quarter of a core. A second thread serves while the first one is
/// busy; more threads would only wake each other.
const WORKER_THREADS: usize = 2;

/// Returns the command line definition of `gateway`.
pub(crate) fn make_subcommand() -> Command {
    Command::new("gateway").about("Routes plain HTTP requests on the users' platform")
}

/// Serves until the process gets a termination signal.
pub(crate) fn execute(_matches: &ArgMatches) -> CommandResult {
    let path = settings_path()?;
    let settings = read_settings(&path)?;
    let start_error = |error: &dyn std::fmt::Display| CommandError::Start(error.to_string());
    let logger = start_logging(DEFAULT_LOG_LEVEL).map_err(|error| start_error(&error))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(|error| start_error(&error))?;
    let store = PlatformStore::new(settings.store);
    let reload = move || {
        let settings = read_settings(&path);
        settings
            .map(|settings| settings.gateway)
            .map_err(|error| error.to_string())
    };
    let serving = run_gateway::<PlatformProtocol, _, _>(settings.gateway, store, reload);
    let result = runtime.block_on(serving);
    // Requests that the exit cuts are logged as their tasks are dropped.
    drop(runtime);
    logger.flush();
    result.map_err(CommandError::Gateway)
}
