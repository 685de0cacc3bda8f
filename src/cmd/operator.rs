//! Helpers shared by the operators' commands.

use crate::exit::{CommandError, CommandResult};
use clap::{value_parser, Arg, ArgMatches, Command};
use serde::Serialize;
use skylarkshed_operator::schema::{ChangeReply, OperatorClient};
use std::future::Future;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};
use volo_grpc::{Response, Status};

const OUTPUT_TEXT: &str = "text";
const OUTPUT_JSON: &str = "json";

/// Adds the arguments that all operators' commands have.
pub(crate) fn with_operator_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("vm")
                .long("vm")
                .value_name("ADDRESS")
                .help("The address for operators of any VM")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .help("How to print the result")
                .value_parser([OUTPUT_TEXT, OUTPUT_JSON])
                .default_value(OUTPUT_TEXT),
        )
}

/// Adds the arguments of commands that change the configuration.
pub(crate) fn with_change_args(command: Command) -> Command {
    let change_id = Arg::new("change-id")
        .long("change-id")
        .value_name("ID")
        .help("Identifies the change, so that it can be retried; generated if left out");
    with_operator_args(command.arg(change_id))
}

/// Returns a required argument that takes a value.
pub(crate) fn required_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).required(true)
}

/// Returns the value of a required argument.
pub(crate) fn string_value(matches: &ArgMatches, name: &str) -> String {
    matches
        .get_one::<String>(name)
        .expect("clap requires it")
        .clone()
}

/// Returns the values of an argument that may be given more than once.
pub(crate) fn string_values(matches: &ArgMatches, name: &str) -> Vec<String> {
    matches
        .get_many::<String>(name)
        .unwrap_or_default()
        .cloned()
        .collect()
}

/// Returns the change's identifier; generates one if none was given.
pub(crate) fn change_id(matches: &ArgMatches) -> String {
    let generated = || {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        format!("cli-{}-{}", elapsed.as_nanos(), std::process::id())
    };
    matches
        .get_one::<String>("change-id")
        .cloned()
        .unwrap_or_else(generated)
}

/// Creates a client of the VM and makes one call with it.
pub(crate) fn run<F, T>(
    matches: &ArgMatches,
    call: impl FnOnce(OperatorClient) -> F,
) -> Result<T, CommandError>
where
    F: Future<Output = Result<Response<T>, Status>>,
{
    let address = *matches
        .get_one::<SocketAddr>("vm")
        .expect("clap requires it");
    let runtime = tokio::runtime::Runtime::new();
    let runtime = runtime.map_err(|error| CommandError::Start(error.to_string()))?;
    let reply = runtime.block_on(async { call(skylarkshed_operator::connect(address)).await });
    Ok(reply?.into_inner())
}

/// Prints the revision that a change created.
pub(crate) fn print_change(matches: &ArgMatches, reply: &ChangeReply) -> CommandResult {
    #[derive(Serialize)]
    struct Change {
        revision: u64,
    }
    let change = Change {
        revision: reply.revision,
    };
    print(matches, &change, || format!("revision {}", reply.revision));
    Ok(())
}

/// Prints a value as JSON or as text.
pub(crate) fn print<T: Serialize>(
    matches: &ArgMatches,
    value: &T,
    to_text: impl FnOnce() -> String,
) {
    let is_json = matches
        .get_one::<String>("output")
        .is_some_and(|output| output == OUTPUT_JSON);
    if is_json {
        println!(
            "{}",
            serde_json::to_string(value).expect("output is plain data")
        );
    } else {
        println!("{}", to_text());
    }
}
