//! `service`: creates a service or replaces its settings.

use super::operator::{
    change_id, print_change, required_arg, run, string_value, string_values, with_change_args,
};
use crate::exit::CommandResult;
use clap::{Arg, ArgAction, ArgMatches, Command};
use skylarkshed_operator::schema::{PutServiceRequest, Route, ServiceKind};

/// Returns the command line definition of `service`.
pub(crate) fn make_subcommand() -> Command {
    let kind = required_arg("kind", "The kind of its upstreams").value_parser(["model", "plain"]);
    let route_arg = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("ROUTE")
            .help(help)
            .action(ArgAction::Append)
    };
    let command = Command::new("service")
        .about("Creates a service or replaces its settings")
        .arg(required_arg("name", "The service's name"))
        .arg(kind)
        .arg(route_arg(
            "repeatable",
            "A route whose calls may be retried",
        ))
        .arg(route_arg("once", "A route whose calls run at most once"));
    with_change_args(command)
}

/// Sends the change and prints the revision it created.
pub(crate) fn execute(matches: &ArgMatches) -> CommandResult {
    let kind = match string_value(matches, "kind").as_str() {
        "plain" => ServiceKind::SERVICE_KIND_PLAIN,
        _ => ServiceKind::SERVICE_KIND_MODEL,
    };
    let routes = |name: &str, idempotent: bool| {
        string_values(matches, name)
            .into_iter()
            .map(move |name| Route {
                name: name.into(),
                idempotent,
            })
    };
    let request = PutServiceRequest {
        change_id: change_id(matches).into(),
        name: string_value(matches, "name").into(),
        kind,
        routes: routes("repeatable", true)
            .chain(routes("once", false))
            .collect(),
    };
    let reply = run(matches, |client| async move {
        client.put_service(request).await
    })?;
    print_change(matches, &reply)
}
