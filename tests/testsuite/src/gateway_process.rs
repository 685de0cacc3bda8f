//! Starts gateway processes and reads their pages.

use crate::raw_caller::{RawAnswer, RawCaller};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};

/// No state of the tests takes so long to be reached.
pub(crate) const STATE_WAIT: Duration = Duration::from_secs(20);
pub(crate) const POLL_PAUSE: Duration = Duration::from_millis(10);

static FILES: AtomicU64 = AtomicU64::new(1);

/// Returns the metric of a configuration in force.
pub fn config_metric(version: u64) -> String {
    format!("gateway_config_version {version}\n")
}

/// Waits until a process's metrics contain some text.
pub async fn wait_metric(metrics: SocketAddr, text: &str) {
    let waiting = async {
        loop {
            let answer = get(metrics, "/metrics").await;
            if answer.is_some_and(|answer| answer.body.contains(text)) {
                return;
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    };
    tokio::time::timeout(STATE_WAIT, waiting)
        .await
        .unwrap_or_else(|_| panic!("no metric has `{text}`"));
}

pub(crate) type StartedProcess = (Child, PathBuf, Vec<SocketAddr>, BufReader<ChildStdout>);

pub(crate) async fn start_process(text: &str) -> StartedProcess {
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let file = format!("skylarkshed-gateway-{}-{number}.toml", std::process::id());
    let settings = std::env::temp_dir().join(file);
    std::fs::write(&settings, text).expect("a temporary file");
    let mut process = Command::new(program())
        .arg("gateway")
        .env("SKYLARKSHED_NODE_FILE", &settings)
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the program is built");
    let output = process.stdout.take().expect("it is piped");
    let (addresses, output) = read_addresses(output).await;
    (process, settings, addresses, output)
}

pub(crate) async fn get(address: SocketAddr, path: &str) -> Option<RawAnswer> {
    let mut caller = RawCaller::connect(address).await;
    let request = format!("GET {path} HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
    caller.send(request.as_bytes()).await;
    caller.answer().await
}

/// Returns the path of the program, which stands beside the tests.
pub fn program() -> PathBuf {
    let own = std::env::current_exe().expect("the test runs");
    let folder = own
        .ancestors()
        .nth(2)
        .expect("it stands in the build folder");
    folder.join("skylarkshed")
}

/// Reads lines until the one that names the addresses.
async fn read_addresses(output: ChildStdout) -> (Vec<SocketAddr>, BufReader<ChildStdout>) {
    let mut reader = BufReader::new(output);
    loop {
        let mut line = String::new();
        let reading = tokio::time::timeout(STATE_WAIT, reader.read_line(&mut line)).await;
        let read = reading.expect("the process starts").expect("its output");
        assert!(read > 0, "the process ended before it listened");
        let line: Value = serde_json::from_str(&line).expect("a line of JSON");
        if line["text"] == "the process starts" {
            let address = |name: &str| {
                let text = line["kv"][name].as_str().expect("an address");
                text.parse().expect("an address")
            };
            let names = ["callers", "readiness", "metrics"];
            return (names.map(address).to_vec(), reader);
        }
    }
}

/// Writes a process's output to a file as it comes.
pub(crate) async fn keep_output(mut output: BufReader<ChildStdout>, log: PathBuf) {
    let mut file = tokio::fs::File::create(log)
        .await
        .expect("a temporary file");
    let mut line = String::new();
    while output.read_line(&mut line).await.is_ok_and(|read| read > 0) {
        // Nobody explains from a log that can't be written.
        if file.write_all(line.as_bytes()).await.is_err() || file.flush().await.is_err() {
            return;
        }
        line.clear();
    }
}
