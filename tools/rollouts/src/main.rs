//! Plays rollouts on the users' bench and prints one table: each kind of version on each
//! deployment with each seed, beside the same day without the rollout.

mod day;
mod play;
mod table;

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use day::{Deployment, VersionKind};
use play::{Bench, PlayResult};
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const DEFAULT_KINDS: &str = "slow,errors,one_class,late,good";

fn main() -> ExitCode {
    match run(&make_command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn make_command() -> Command {
    Command::new("rollouts")
        .about("Plays rollouts on the users' bench and prints a table")
        .arg(
            Arg::new("bench")
                .long("bench")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The program `fleetbench`"),
        )
        .arg(
            Arg::new("kinds")
                .long("kinds")
                .default_value(DEFAULT_KINDS)
                .value_delimiter(',')
                .help("The faults of the new version; `good` has none"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("1")
                .value_delimiter(',')
                .value_parser(value_parser!(u64))
                .help("The seeds of each day"),
        )
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .default_value("2")
                .value_parser(value_parser!(u32))
                .help("The number of cores that the bench may use"),
        )
        .arg(
            Arg::new("minutes")
                .long("minutes")
                .default_value("60")
                .value_parser(value_parser!(u64))
                .help("No play starts after this time"),
        )
        .arg(
            Arg::new("why")
                .long("why")
                .required(true)
                .help("The reason that the bench's journal gives"),
        )
        .arg(
            Arg::new("sites")
                .value_name("SITE")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf))
                .help("The site files"),
        )
}

fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let why = matches.get_one::<String>("why").ok_or("no reason")?;
    let bench = Bench {
        program: matches
            .get_one::<PathBuf>("bench")
            .ok_or("no bench")?
            .clone(),
        jobs: *matches.get_one("jobs").ok_or("no number of jobs")?,
        why: why.clone(),
        work_directory: std::env::temp_dir().join(format!("rollouts-{}", std::process::id())),
    };
    std::fs::create_dir_all(&bench.work_directory)?;
    let kinds = matches.get_many::<String>("kinds").unwrap_or_default();
    let kinds: Vec<VersionKind> = kinds.map(|name| VersionKind::parse(name)).collect();
    let seeds: Vec<u64> = matches
        .get_many("seeds")
        .unwrap_or_default()
        .copied()
        .collect();
    let minutes: u64 = *matches.get_one("minutes").ok_or("no time limit")?;
    let deadline = Instant::now() + Duration::from_secs(minutes * 60);
    table::print_header();
    for site in matches.get_many::<PathBuf>("sites").unwrap_or_default() {
        let deployment = Deployment::read(site)?;
        for seed in &seeds {
            play_seed(&bench, &deployment, &kinds, *seed, deadline)?;
        }
    }
    std::fs::remove_dir_all(&bench.work_directory)?;
    Ok(())
}

/// Plays all kinds of versions with one seed, and prints a line for each.
fn play_seed(
    bench: &Bench,
    deployment: &Deployment,
    kinds: &[VersionKind],
    seed: u64,
    deadline: Instant,
) -> Result<(), Box<dyn Error>> {
    let play = |kind: Option<&VersionKind>| match Instant::now() < deadline {
        true => bench.play(deployment, kind, seed),
        false => Ok(PlayResult::NotPlayed("not played: out of time".to_owned())),
    };
    let without = play(None)?;
    for kind in kinds {
        let with = play(Some(kind))?;
        table::print_row(&deployment.name, kind, seed, &with, &without);
    }
    Ok(())
}
