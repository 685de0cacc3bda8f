//! `explain`: tells the story of one request from the VMs' logs.

use crate::exit::{CommandError, CommandResult};
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use serde_json::{Map, Value};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Fields that say nothing beyond the request's own identity.
const REQUEST_FIELD: &str = "request";

/// A line of a log that concerns the request, or the VM that served it.
struct StoryLine {
    timestamp: String,
    vm: String,
    text: String,
    fields: Map<String, Value>,
}

/// Builds the command line of `explain`.
pub(crate) fn make_subcommand() -> Command {
    Command::new("explain")
        .about("Tells the story of one request from the VMs' logs")
        .arg(
            Arg::new("request")
                .value_name("ID")
                .help("The request's identifier")
                .required(true),
        )
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .help("Files of JSON lines, one a VM; the file's name stands for the VM")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Prints the request's lines of all logs, by their timestamps.
pub(crate) fn execute(matches: &ArgMatches) -> CommandResult {
    let request = matches
        .get_one::<String>("request")
        .expect("clap requires it");
    let logs = matches.get_many::<PathBuf>("logs").unwrap_or_default();
    let mut story = Vec::new();
    for log in logs {
        read_story(log, request, &mut story)?;
    }
    if story.is_empty() {
        return Err(CommandError::NotFound(request.clone()));
    }
    story.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    for line in &story {
        println!("{}", line.to_text());
    }
    let vms: std::collections::BTreeSet<&str> = story.iter().map(|line| line.vm.as_str()).collect();
    if vms.len() > 1 {
        println!(
            "lines of {} VMs; their clocks may differ by some milliseconds",
            vms.len()
        );
    }
    Ok(())
}

fn read_story(path: &Path, request: &str, story: &mut Vec<StoryLine>) -> Result<(), CommandError> {
    let unreadable = |source| CommandError::Log {
        path: path.to_owned(),
        source,
    };
    let file = File::open(path).map_err(unreadable)?;
    let vm = path.file_stem().unwrap_or_default().to_string_lossy();
    for line in BufReader::new(file).lines() {
        let line = line.map_err(unreadable)?;
        // A line may begin with what collected it; the JSON begins at its brace.
        let json = line.find('{').map_or("", |start| &line[start..]);
        let Ok(value) = serde_json::from_str::<Value>(json) else {
            continue;
        };
        let fields = value["kv"].as_object().cloned().unwrap_or_default();
        if fields.get(REQUEST_FIELD).and_then(Value::as_str) != Some(request) {
            continue;
        }
        story.push(StoryLine {
            timestamp: value["timestamp"].as_str().unwrap_or_default().to_owned(),
            vm: vm.clone().into_owned(),
            text: value["text"].as_str().unwrap_or_default().to_owned(),
            fields,
        });
    }
    Ok(())
}

impl StoryLine {
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
