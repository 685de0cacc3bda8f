//! The `skylarkshed` program: the processes of a VM and the operators' commands.

mod cmd;
mod exit;

use clap::{crate_version, Command};
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = make_command().get_matches();
    let result = match matches.subcommand() {
        Some(("serve", matches)) => cmd::serve::execute(matches),
        Some(("explain", matches)) => cmd::explain::execute(matches),
        Some(("gateway", matches)) => cmd::gateway::execute(matches),
        Some(("check", matches)) => cmd::check::execute(matches),
        Some(("service", matches)) => cmd::service::execute(matches),
        Some(("version", matches)) => cmd::version::execute(matches),
        Some(("customer", matches)) => cmd::customer::execute(matches),
        Some(("move", matches)) => cmd::traffic_move::execute(matches),
        Some(("watch", matches)) => cmd::watch::execute(matches),
        Some(("describe", matches)) => cmd::describe::execute(matches),
        _ => unreachable!("clap requires a subcommand"),
    };
    exit::report(result)
}

fn make_command() -> Command {
    Command::new("skylarkshed")
        .about("Serves long generations on engines that fail")
        .version(crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(cmd::serve::make_subcommand())
        .subcommand(cmd::gateway::make_subcommand())
        .subcommand(cmd::explain::make_subcommand())
        .subcommand(cmd::check::make_subcommand())
        .subcommand(cmd::service::make_subcommand())
        .subcommand(cmd::version::make_subcommand())
        .subcommand(cmd::customer::make_subcommand())
        .subcommand(cmd::traffic_move::make_subcommand())
        .subcommand(cmd::watch::make_subcommand())
        .subcommand(cmd::describe::make_subcommand())
}
