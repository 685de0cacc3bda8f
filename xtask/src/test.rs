//! Builds all programs and runs all tests.

use crate::run::{cargo, run, workspace};
use clap::Command;
use std::error::Error;
use std::fs;

const KNOWN_RED: &str = "KNOWN-RED.txt";
const ENTRY: &str = "test: ";
/// The tests with processes need the machine's cores for themselves.
const PROCESS_TEST_THREADS: &str = "--test-threads=2";

/// Builds the command line of `test`.
pub(crate) fn make_subcommand() -> Command {
    Command::new("test").about("Builds all programs and runs all tests")
}

/// Runs all tests but those in KNOWN-RED.txt, which it prints.
pub(crate) fn execute() -> Result<(), Box<dyn Error>> {
    let known = known_red();
    run(cargo().args(["build", "--workspace", "--locked"]))?;
    let suite = "skylarkshed-testsuite";
    let others = ["test", "--workspace", "--locked", "--exclude", suite, "--"];
    run(cargo().args(others).args(skips(&known)))?;
    let processes = [
        "test",
        "--locked",
        "--package",
        suite,
        "--",
        PROCESS_TEST_THREADS,
    ];
    run(cargo().args(processes).args(skips(&known)))?;
    for test in &known {
        println!("known red, passed over: {test}");
    }
    Ok(())
}

/// Returns the names of the tests that are known to fail.
fn known_red() -> Vec<String> {
    let text = fs::read_to_string(workspace().join(KNOWN_RED)).unwrap_or_default();
    let names = text.lines().filter_map(|line| line.strip_prefix(ENTRY));
    names.map(|name| name.trim().to_owned()).collect()
}

fn skips(known: &[String]) -> Vec<String> {
    known
        .iter()
        .flat_map(|test| ["--skip".to_owned(), test.clone()])
        .collect()
}
