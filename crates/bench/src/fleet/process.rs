//! One process: start, signals, end.

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

const START_WAIT: Duration = Duration::from_secs(20);
const LOG_FOLDER: &str = "SKYLARKSHED_LOGS";

/// Why a process could not be started or asked.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The program could not be started.
    #[error("`{program}` can't be started: {source}")]
    Start {
        /// The program's path.
        program: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The program did not tell its addresses.
    #[error("`{0}` did not tell its addresses")]
    NoAddress(PathBuf),
    /// A request to a fake or a VM failed.
    #[error("{0}")]
    Request(String),
    /// Something did not happen in time.
    #[error("{0} did not happen in time")]
    Timeout(String),
}

/// A process that is killed when this is dropped.
pub struct ProcessHandle {
    child: Child,
    addresses: Vec<Value>,
}

impl ProcessHandle {
    /// Starts a program of this workspace; waits for its lines of addresses.
    pub(crate) async fn start(
        program: &str,
        args: &[String],
        lines: usize,
    ) -> Result<Self, FleetError> {
        let path = program_path(program);
        let mut command = Command::new(&path);
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_target(args));
        command.kill_on_drop(true);
        let start_error = |source| FleetError::Start {
            program: path.clone(),
            source,
        };
        let mut child = command.spawn().map_err(start_error)?;
        let silent = || FleetError::NoAddress(path.clone());
        let stdout = child.stdout.take().ok_or_else(silent)?;
        let mut reader = BufReader::new(stdout).lines();
        let mut addresses = Vec::new();
        for _ in 0..lines {
            let line = tokio::time::timeout(START_WAIT, reader.next_line()).await;
            let line = line
                .ok()
                .and_then(Result::ok)
                .flatten()
                .ok_or_else(silent)?;
            addresses.push(serde_json::from_str(&line).map_err(|_| silent())?);
        }
        Ok(ProcessHandle { child, addresses })
    }

    /// Returns an address that the process told.
    pub(crate) fn address(&self, name: &str) -> SocketAddr {
        let found = self.addresses.iter().find_map(|line| line[name].as_str());
        found
            .and_then(|text| text.parse().ok())
            .expect("the process told its addresses")
    }

    /// Ends the process at once.
    pub fn kill(&self) {
        self.signal(Signal::SIGKILL);
    }

    /// Stops the process until [`ProcessHandle::thaw`].
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to end.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Returns the process's number, if it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Waits for the end of the process; tells whether it ended well.
    pub async fn wait(&mut self, limit: Duration) -> Option<bool> {
        let status = tokio::time::timeout(limit, self.child.wait())
            .await
            .ok()?
            .ok()?;
        Some(status.success())
    }

    fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.id().and_then(|id| i32::try_from(id).ok()) {
            // The process may have ended by itself.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }
}

/// Finds a program beside the running one, or one folder up.
fn program_path(program: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folders = own.ancestors().skip(1).take(2);
    let mut paths = folders.map(|folder| folder.join(program));
    paths
        .find(|path| path.is_file())
        .unwrap_or_else(|| PathBuf::from(program))
}

/// Keeps a process's log in a folder, if one is named.
fn log_target(args: &[String]) -> Stdio {
    let Some(folder) = std::env::var_os(LOG_FOLDER) else {
        return Stdio::null();
    };
    let name = args
        .last()
        .map(|text| text.replace(['/', ':'], "_"))
        .unwrap_or_default();
    let path = PathBuf::from(folder).join(format!("{name}.log"));
    let file = std::fs::File::options()
        .create(true)
        .append(true)
        .open(path);
    file.map_or_else(|_| Stdio::null(), Stdio::from)
}
