//! Developer tasks: `cargo xtask generate` and `cargo xtask demo`.

mod demo;
mod generate;

use clap::Command;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = Command::new("xtask")
        .about("Developer tasks of skylarkshed")
        .subcommand_required(true)
        .subcommand(generate::make_subcommand())
        .subcommand(demo::make_subcommand())
        .get_matches();
    let result = match matches.subcommand_name() {
        Some("generate") => generate::execute(),
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
