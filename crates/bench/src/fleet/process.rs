//! Starts, signals and stops one process.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The environment variable with the directory for the processes' logs.
const LOG_DIRECTORY_VAR: &str = "SKYLARKSHED_LOGS";

/// Why a fleet operation failed.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The program can't be started.
    #[error("failed to start `{program}`: {source}")]
    Start {
        /// The program's path.
        program: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The program printed no valid addresses in time.
    #[error("`{0}` printed no addresses")]
    NoAddress(PathBuf),
    /// A request to a fake or a VM failed, or the fleet's files or ports could not be set
    /// up.
    #[error("{0}")]
    Request(String),
    /// This condition was not met in time.
    #[error("timed out waiting for {0}")]
    Timeout(String),
}

/// A running process; it is killed when the handle is dropped.
pub struct ProcessHandle {
    child: Child,
    addresses: Vec<Value>,
}

impl ProcessHandle {
    /// Starts a program of this workspace and waits for `lines` lines of addresses.
    pub(crate) async fn start(
        program: &str,
        args: &[String],
        lines: usize,
    ) -> Result<Self, FleetError> {
        ProcessHandle::start_with_log(program, args, lines, log_target(args)).await
    }

    /// Starts a program whose log goes to `log`.
    pub(crate) async fn start_with_log(
        program: &str,
        args: &[String],
        lines: usize,
        log: Stdio,
    ) -> Result<Self, FleetError> {
        let path = program_path(program);
        let mut command = Command::new(&path);
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log);
        command.kill_on_drop(true);
        let start_error = |source| FleetError::Start {
            program: path.clone(),
            source,
        };
        let mut child = command.spawn().map_err(start_error)?;
        let no_address = || FleetError::NoAddress(path.clone());
        let stdout = child.stdout.take().ok_or_else(no_address)?;
        let mut reader = BufReader::new(stdout).lines();
        let mut addresses = Vec::new();
        for _ in 0..lines {
            let line = tokio::time::timeout(START_TIMEOUT, reader.next_line()).await;
            let line = line
                .ok()
                .and_then(Result::ok)
                .flatten()
                .ok_or_else(no_address)?;
            addresses.push(serde_json::from_str(&line).map_err(|_| no_address())?);
        }
        Ok(ProcessHandle { child, addresses })
    }

    /// Returns the address that the process printed under `name`.
    pub(crate) fn address(&self, name: &str) -> SocketAddr {
        let found = self.addresses.iter().find_map(|line| line[name].as_str());
        found
            .and_then(|text| text.parse().ok())
            .expect("the process printed its addresses")
    }

    /// Kills the process.
    pub fn kill(&self) {
        self.signal(Signal::SIGKILL);
    }

    /// Suspends the process until [`ProcessHandle::thaw`].
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Sends the process a termination signal.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Returns the process ID, if the process is running.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Waits for the process to exit and reports whether it succeeded; `None` after
    /// `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Option<bool> {
        let status = tokio::time::timeout(limit, self.child.wait())
            .await
            .ok()?
            .ok()?;
        Some(status.success())
    }

    fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.id().and_then(|id| i32::try_from(id).ok()) {
            // The process may have exited by itself.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }
}

/// Returns the path of a program in the directory of the running one or in its parent.
fn program_path(program: &str) -> PathBuf {
    let current = std::env::current_exe().unwrap_or_default();
    let directories = current.ancestors().skip(1).take(2);
    let mut paths = directories.map(|directory| directory.join(program));
    paths
        .find(|path| path.is_file())
        .unwrap_or_else(|| PathBuf::from(program))
}

/// Returns the target of a process's standard error: a file in the log directory, named
/// after the last argument; the null device if no directory is set.
pub(crate) fn log_target(args: &[String]) -> Stdio {
    let Some(directory) = std::env::var_os(LOG_DIRECTORY_VAR) else {
        return Stdio::null();
    };
    let name = args
        .last()
        .map(|text| text.replace(['/', ':'], "_"))
        .unwrap_or_default();
    let path = PathBuf::from(directory).join(format!("{name}.log"));
    let file = std::fs::File::options()
        .create(true)
        .append(true)
        .open(path);
    file.map_or_else(|_| Stdio::null(), Stdio::from)
}
