//! `version`: creates a version of a service.

use super::operator::{
    change_id, print_change, required_arg, run, string_value, string_values, with_change_args,
};
use crate::exit::CommandResult;
use clap::{Arg, ArgAction, ArgMatches, Command};
use skylarkshed_operator::schema::{PutVersionRequest, Upstream};

/// Returns the command line definition of `version`.
pub(crate) fn make_subcommand() -> Command {
    let upstream = Arg::new("upstream")
        .long("upstream")
        .value_name("NAME,ADDRESS,ZONE")
        .help("An upstream of the version; may be given more than once")
        .action(ArgAction::Append)
        .required(true);
    let ignores_fencing = Arg::new("ignores-fencing")
        .long("ignores-fencing")
        .help("The upstreams accept commands with an outdated fencing number")
        .action(ArgAction::SetTrue);
    let command = Command::new("version")
        .about("Creates a version of a service, with its upstreams")
        .arg(required_arg("service", "The service's name"))
        .arg(required_arg("name", "The version's name"))
        .arg(
            Arg::new("adapter")
                .long("adapter")
                .help("The adapter that the engines load"),
        )
        .arg(upstream)
        .arg(ignores_fencing);
    with_change_args(command)
}

/// Sends the change and prints the revision it created.
pub(crate) fn execute(matches: &ArgMatches) -> CommandResult {
    let checks_fencing = !matches.get_flag("ignores-fencing");
    let upstreams = string_values(matches, "upstream");
    let upstreams = upstreams
        .iter()
        .map(|text| parse_upstream(text, checks_fencing));
    let adapter = matches
        .get_one::<String>("adapter")
        .cloned()
        .unwrap_or_default();
    let request = PutVersionRequest {
        change_id: change_id(matches).into(),
        service: string_value(matches, "service").into(),
        name: string_value(matches, "name").into(),
        adapter: adapter.into(),
        upstreams: upstreams.collect(),
    };
    let reply = run(matches, |client| async move {
        client.put_version(request).await
    })?;
    print_change(matches, &reply)
}

/// Splits `NAME,ADDRESS,ZONE`; the VM validates the parts.
fn parse_upstream(text: &str, checks_fencing: bool) -> Upstream {
    let mut parts = text.splitn(3, ',').map(str::to_owned);
    let mut part = || parts.next().unwrap_or_default().into();
    Upstream {
        name: part(),
        address: part(),
        zone: part(),
        checks_fencing,
    }
}
