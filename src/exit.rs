//! The errors of the commands and their exit codes.

use miette::{Diagnostic, Report};
use skylarkshed_core::SettingsError;
use skylarkshed_gateway::GatewayError;
use skylarkshed_node::NodeError;
use skylarkshed_users_platform::PlatformSettingsError;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;
use volo_grpc::Status;

const EXIT_SETTINGS: u8 = 2;
const EXIT_REFUSED: u8 = 3;

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum CommandError {
    /// The settings are invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The users' platform's settings are invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    PlatformSettings(#[from] PlatformSettingsError),
    /// A configuration has errors, which are printed as findings.
    #[error("the check of {} found errors: {errors}", path.display())]
    Configuration {
        /// The file.
        path: PathBuf,
        /// The number of errors.
        errors: usize,
    },
    /// The gateway failed.
    #[error("the gateway failed: {0}")]
    Gateway(GatewayError),
    /// The VM's process failed.
    #[error("the process failed")]
    Node(#[source] NodeError),
    /// The runtime or the logger could not be started.
    #[error("failed to start the process: {0}")]
    Start(String),
    /// A log file can't be read.
    #[error("failed to read the log {}: {source}", path.display())]
    Log {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// No log has an entry of the request.
    #[error("no entry of these logs belongs to the request `{0}`")]
    #[diagnostic(help(
        "pass the logs of all VMs in the caller's zone that cover the time of the request"
    ))]
    NotFound(String),
    /// The configuration in a VM's reply can't be read.
    #[error("the VM's configuration can't be read: {0}")]
    Description(#[source] serde_json::Error),
    /// The VM rejected an operator's command.
    #[error("the VM rejected the command ({:?}): {}", .0.code(), .0.message())]
    Refused(Box<Status>),
}

/// The result of a command.
pub(crate) type CommandResult = Result<(), CommandError>;

impl From<Status> for CommandError {
    fn from(status: Status) -> Self {
        CommandError::Refused(Box::new(status))
    }
}

/// Prints the error, if any, and returns the exit code.
pub(crate) fn report(result: CommandResult) -> ExitCode {
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    let code = match &error {
        CommandError::Settings(_)
        | CommandError::PlatformSettings(_)
        | CommandError::Configuration { .. } => ExitCode::from(EXIT_SETTINGS),
        CommandError::Refused(_) => ExitCode::from(EXIT_REFUSED),
        CommandError::Gateway(_)
        | CommandError::Node(_)
        | CommandError::Start(_)
        | CommandError::Log { .. }
        | CommandError::NotFound(_)
        | CommandError::Description(_) => ExitCode::FAILURE,
    };
    eprintln!("{:?}", Report::new(error));
    code
}
