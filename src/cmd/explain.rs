//! `explain`: prints the log entries of one request from the logs of several VMs.

use crate::exit::{CommandError, CommandResult};
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use serde_json::{Map, Value};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// The log field with the request's identifier, which the output leaves out.
const REQUEST_FIELD: &str = "request";

/// A log entry of the request.
struct RequestLogEntry {
    timestamp: String,
    vm: String,
    text: String,
    fields: Map<String, Value>,
}

/// Returns the command line definition of `explain`.
pub(crate) fn make_subcommand() -> Command {
    Command::new("explain")
        .about("Prints the log entries of one request from the VMs' logs")
        .arg(
            Arg::new("request")
                .value_name("ID")
                .help("The request's identifier")
                .required(true),
        )
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .help("Log files with JSON lines, one per VM; the file stem is taken as the VM's name")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Prints the request's entries from all logs in the order of their timestamps.
pub(crate) fn execute(matches: &ArgMatches) -> CommandResult {
    let request = matches
        .get_one::<String>("request")
        .expect("clap requires it");
    let logs = matches.get_many::<PathBuf>("logs").unwrap_or_default();
    let mut entries = Vec::new();
    for log in logs {
        read_entries(log, request, &mut entries)?;
    }
    if entries.is_empty() {
        return Err(CommandError::NotFound(request.clone()));
    }
    entries.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    for entry in &entries {
        println!("{}", entry.to_text());
    }
    let vms: std::collections::BTreeSet<&str> =
        entries.iter().map(|entry| entry.vm.as_str()).collect();
    if vms.len() > 1 {
        println!(
            "entries of {} VMs; their clocks may differ by some milliseconds",
            vms.len()
        );
    }
    Ok(())
}

fn read_entries(
    path: &Path,
    request: &str,
    entries: &mut Vec<RequestLogEntry>,
) -> Result<(), CommandError> {
    let unreadable = |source| CommandError::Log {
        path: path.to_owned(),
        source,
    };
    let file = File::open(path).map_err(unreadable)?;
    let vm = path.file_stem().unwrap_or_default().to_string_lossy();
    for line in BufReader::new(file).lines() {
        let line = line.map_err(unreadable)?;
        // A log collector may put a prefix before the JSON object.
        let json = line.find('{').map_or("", |start| &line[start..]);
        let Ok(value) = serde_json::from_str::<Value>(json) else {
            continue;
        };
        let fields = value["kv"].as_object().cloned().unwrap_or_default();
        if fields.get(REQUEST_FIELD).and_then(Value::as_str) != Some(request) {
            continue;
        }
        entries.push(RequestLogEntry {
            timestamp: value["timestamp"].as_str().unwrap_or_default().to_owned(),
            vm: vm.clone().into_owned(),
            text: value["text"].as_str().unwrap_or_default().to_owned(),
            fields,
        });
    }
    Ok(())
}

impl RequestLogEntry {
    fn to_text(&self) -> String {
        let fields = self
            .fields
            .iter()
            .filter(|(name, value)| name.as_str() != REQUEST_FIELD && !value.is_null());
        let fields = fields.map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        });
        let fields: Vec<String> = fields.collect();
        format!(
            "{} {} {}: {}",
            self.timestamp,
            self.vm,
            self.text,
            fields.join(" ")
        )
    }
}
