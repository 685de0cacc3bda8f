//! `move`: starts or reverses a gradual move of traffic between two versions.

use super::operator::{change_id, print_change, required_arg, run, string_value, with_change_args};
use crate::exit::CommandResult;
use clap::{value_parser, ArgMatches, Command};
use skylarkshed_operator::schema::{ReverseMoveRequest, StartMoveRequest};

const MS_PER_S: u64 = 1_000;

/// Returns the command line definition of `move`.
pub(crate) fn make_subcommand() -> Command {
    let within = required_arg("within-s", "Seconds within which the move must finish")
        .value_parser(value_parser!(u64).range(1..));
    let start = Command::new("start")
        .about("Moves a service's traffic to another version")
        .arg(required_arg("service", "The service's name"))
        .arg(required_arg("to", "The version that receives the traffic"))
        .arg(within);
    let reverse = Command::new("reverse")
        .about("Returns all traffic to the old version")
        .arg(required_arg("service", "The service's name"));
    Command::new("move")
        .about("Moves a service's traffic between versions")
        .subcommand_required(true)
        .subcommand(with_change_args(start))
        .subcommand(with_change_args(reverse))
}

/// Starts or reverses a move and prints the revision it created.
pub(crate) fn execute(matches: &ArgMatches) -> CommandResult {
    match matches.subcommand() {
        Some(("reverse", matches)) => reverse(matches),
        Some((_, matches)) => start(matches),
        None => unreachable!("clap requires a subcommand"),
    }
}

fn start(matches: &ArgMatches) -> CommandResult {
    let within_s = *matches
        .get_one::<u64>("within-s")
        .expect("clap requires it");
    let request = StartMoveRequest {
        change_id: change_id(matches).into(),
        service: string_value(matches, "service").into(),
        to_version: string_value(matches, "to").into(),
        within_ms: within_s.saturating_mul(MS_PER_S),
    };
    let reply = run(
        matches,
        |client| async move { client.start_move(request).await },
    )?;
    print_change(matches, &reply)
}

fn reverse(matches: &ArgMatches) -> CommandResult {
    let request = ReverseMoveRequest {
        change_id: change_id(matches).into(),
        service: string_value(matches, "service").into(),
    };
    let reply = run(matches, |client| async move {
        client.reverse_move(request).await
    })?;
    print_change(matches, &reply)
}
