//! Developer tasks: `cargo xtask demo`, `cargo xtask test`, `cargo xtask soak` and
//! `cargo xtask generate`.

mod demo;
mod generate;
mod run;
mod soak;
mod test;

use clap::Command;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = Command::new("xtask")
        .about("Developer tasks of skylarkshed")
        .subcommand_required(true)
        .subcommand(demo::make_subcommand())
        .subcommand(generate::make_subcommand())
        .subcommand(soak::make_subcommand())
        .subcommand(test::make_subcommand())
        .get_matches();
    let result = match matches.subcommand() {
        Some(("generate", _)) => generate::execute(),
        Some(("soak", matches)) => soak::execute(matches),
        Some(("test", _)) => test::execute(),
        _ => demo::execute(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
