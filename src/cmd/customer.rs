//! `customer`: creates a customer or replaces its limits and keys.

use super::operator::{
    change_id, print_change, required_arg, run, string_value, string_values, with_change_args,
};
use crate::exit::CommandResult;
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use skylarkshed_operator::schema::PutCustomerRequest;

/// Returns the command line definition of `customer`.
pub(crate) fn make_subcommand() -> Command {
    let repeated_arg = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .action(ArgAction::Append)
    };
    let number_arg = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .value_parser(value_parser!(u32))
            .default_value(default)
    };
    let command = Command::new("customer")
        .about("Creates a customer or replaces its limits and keys")
        .arg(required_arg("name", "The customer's name"))
        .arg(repeated_arg("key", "A bearer key; only its hash is stored"))
        .arg(repeated_arg(
            "service",
            "A service that the customer may call",
        ))
        .arg(number_arg(
            "weight",
            "1",
            "The weight of its share under overload",
        ))
        .arg(number_arg(
            "requests-per-s",
            "0",
            "Requests per second over all VMs; 0 for no limit",
        ))
        .arg(number_arg(
            "concurrency",
            "0",
            "Concurrent requests over all VMs; 0 for no limit",
        ));
    with_change_args(command)
}

/// Sends the change and prints the revision it created.
pub(crate) fn execute(matches: &ArgMatches) -> CommandResult {
    let number = |name: &str| *matches.get_one::<u32>(name).expect("has a default");
    let request = PutCustomerRequest {
        change_id: change_id(matches).into(),
        name: string_value(matches, "name").into(),
        keys: string_values(matches, "key")
            .into_iter()
            .map(Into::into)
            .collect(),
        services: string_values(matches, "service")
            .into_iter()
            .map(Into::into)
            .collect(),
        weight: number("weight"),
        requests_per_s: number("requests-per-s"),
        concurrency: number("concurrency"),
    };
    let reply = run(matches, |client| async move {
        client.put_customer(request).await
    })?;
    print_change(matches, &reply)
}
