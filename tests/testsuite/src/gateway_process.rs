//! Starts gateway processes and queries their HTTP endpoints.

use crate::raw_client::{RawClient, RawResponse};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};

/// A test fails if a process does not reach the expected state within this time.
pub(crate) const STATE_TIMEOUT: Duration = Duration::from_secs(20);
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(10);

static NEXT_FILE_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Returns the metric line that shows that a configuration version is active.
pub fn config_metric(version: u64) -> String {
    format!("gateway_config_version {version}\n")
}

/// Waits until a process's metrics contain a text.
///
/// # Panics
///
/// Panics if the text does not appear in time.
pub async fn wait_for_metric(metrics: SocketAddr, text: &str) {
    let waiting = async {
        loop {
            let response = get(metrics, "/metrics").await;
            if response.is_some_and(|response| response.body.contains(text)) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(STATE_TIMEOUT, waiting)
        .await
        .unwrap_or_else(|_| panic!("the metrics never contained `{text}`"));
}

/// A process, its settings file, its addresses for callers, readiness checks, metrics
/// and VMs that start (in this order), and the rest of its output.
pub(crate) type StartedProcess = (Child, PathBuf, Vec<SocketAddr>, BufReader<ChildStdout>);

/// Starts a gateway; `max_files` limits its open files.
pub(crate) async fn start_process(settings: &str, max_files: Option<u64>) -> StartedProcess {
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
    let file = format!("skylarkshed-gateway-{}-{number}.toml", std::process::id());
    let settings_path = std::env::temp_dir().join(file);
    std::fs::write(&settings_path, settings).expect("temporary files can be written");
    let mut process = make_command(max_files)
        .env("SKYLARKSHED_NODE_FILE", &settings_path)
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the program is built");
    let output = process.stdout.take().expect("its standard output is piped");
    let (addresses, output) = read_addresses(output).await;
    (process, settings_path, addresses, output)
}

fn make_command(max_files: Option<u64>) -> Command {
    let program = program_path();
    let Some(max_files) = max_files else {
        let mut command = Command::new(program);
        command.arg("gateway");
        return command;
    };
    // The shell becomes the program, so the process identifier stays the same.
    let mut command = Command::new("sh");
    command
        .arg("-c")
        .arg("ulimit -n \"$1\"; exec \"$0\" gateway");
    command.arg(program).arg(max_files.to_string());
    command
}

pub(crate) async fn get(address: SocketAddr, path: &str) -> Option<RawResponse> {
    let mut client = RawClient::connect(address).await;
    let request = format!("GET {path} HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
    client.send(request.as_bytes()).await;
    client.read_response().await
}

/// Returns the path of the program, which is in the build folder of the tests.
pub fn program_path() -> PathBuf {
    let own = std::env::current_exe().expect("the path of the test is known");
    let folder = own
        .ancestors()
        .nth(2)
        .expect("the test is in the build folder");
    folder.join("skylarkshed")
}

/// Returns the peak of a process's resident memory.
pub fn peak_memory_kib(process: u32) -> u64 {
    read_memory_kib(process, "VmHWM:")
}

/// Returns a process's resident memory.
pub(crate) fn resident_memory_kib(process: u32) -> u64 {
    read_memory_kib(process, "VmRSS:")
}

fn read_memory_kib(process: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let value = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let value = value.and_then(|value| value.parse().ok());
    value.expect("the kernel reports it in kB")
}

/// Returns the processor time that a process has used, in clock ticks.
pub(crate) fn processor_ticks(process: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"));
    let stat = stat.expect("the process runs");
    // The fields after the program's name; the user and system times are the 14th and
    // 15th of the line.
    let (_, fields) = stat.rsplit_once(')').expect("the name is in parentheses");
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = fields[11..=12].iter().map(|field| field.parse::<u64>());
    ticks.map(|ticks| ticks.expect("times are numbers")).sum()
}

/// Reads log lines up to the one that contains the process's addresses.
async fn read_addresses(output: ChildStdout) -> (Vec<SocketAddr>, BufReader<ChildStdout>) {
    let mut reader = BufReader::new(output);
    loop {
        let mut line = String::new();
        let reading = tokio::time::timeout(STATE_TIMEOUT, reader.read_line(&mut line)).await;
        let read = reading
            .expect("the process starts in time")
            .expect("its output is readable");
        assert!(read > 0, "the process ended before it listened");
        let line: Value = serde_json::from_str(&line).expect("log lines are JSON");
        if line["text"] == "the process starts" {
            let address = |name: &str| {
                let text = line["kv"][name]
                    .as_str()
                    .expect("the line contains the address");
                text.parse().expect("the line contains the address")
            };
            let names = ["callers", "readiness", "metrics", "seed"];
            return (names.map(address).to_vec(), reader);
        }
    }
}

/// Copies a process's output to a file as it arrives.
pub(crate) async fn copy_output(mut output: BufReader<ChildStdout>, log: PathBuf) {
    let mut file = tokio::fs::File::create(log)
        .await
        .expect("temporary files can be written");
    let mut line = String::new();
    while output.read_line(&mut line).await.is_ok_and(|read| read > 0) {
        // A failed write loses the rest of the output; only tests that read the log need it.
        if file.write_all(line.as_bytes()).await.is_err() || file.flush().await.is_err() {
            return;
        }
        line.clear();
    }
}
