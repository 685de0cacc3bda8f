//! `check`: checks a settings file, or a configuration before it is sent.

use super::config_report::ConfigReport;
use crate::exit::{CommandError, CommandResult};
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use skylarkshed_core::{ClockTime, NodeSettings, SettingsError};
use skylarkshed_policy::{check_config, ConfigDiff};
use skylarkshed_users_platform::{read_config, PlatformSettingsError};
use std::path::{Path, PathBuf};

/// Returns the command line definition of `check`.
pub(crate) fn make_subcommand() -> Command {
    let file_arg = |name, help| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .help(help)
            .value_parser(value_parser!(PathBuf))
    };
    Command::new("check")
        .about("Checks a settings file, or a configuration of the users' platform")
        .arg(
            settings_arg()
                .required(false)
                .required_unless_present("config")
                .help(
                    "The settings file; with --config one of the users' platform, whose \
                     grace is compared with the timeouts",
                ),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .help("Expects the TOML format of the users' platform instead of JSON")
                .action(ArgAction::SetTrue),
        )
        .arg(file_arg(
            "config",
            "A configuration as the operators write it to the users' platform, in JSON",
        ))
        .arg(
            file_arg(
                "in-force",
                "The configuration in force, to print the differences",
            )
            .requires("config"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints the findings and differences of the configuration as JSON")
                .requires("config")
                .action(ArgAction::SetTrue),
        )
}

/// Checks the configuration, if there is one. Otherwise checks the settings and prints them
/// with all defaults filled in.
pub(crate) fn execute(matches: &ArgMatches) -> CommandResult {
    if let Some(path) = matches.get_one::<PathBuf>("config") {
        return check_configuration(path, matches);
    }
    if matches.get_flag("platform") {
        return check_platform_settings(matches);
    }
    let mut settings = read_settings(matches)?;
    settings.peer_key = "hidden".to_owned();
    let text = serde_json::to_string_pretty(&settings).expect("settings are plain data");
    println!("{text}");
    Ok(())
}

fn check_configuration(path: &Path, matches: &ArgMatches) -> CommandResult {
    let longest_response = read_longest_response(matches)?;
    let mut report = ConfigReport::default();
    let config = match read_config(path) {
        Ok(draft) => {
            report.findings.extend(draft.findings);
            let findings = check_config(&draft.config, longest_response);
            report.findings.extend(findings);
            Some(draft.config)
        }
        Err(finding) => {
            report.findings.push(finding);
            None
        }
    };
    let in_force = matches.get_one::<PathBuf>("in-force");
    match (in_force.map(|path| read_config(path)), config) {
        (Some(Err(finding)), _) => report.findings.push(finding),
        (Some(Ok(old)), Some(new)) => {
            let diff = ConfigDiff::between(&old.config, &new);
            report.findings.extend(diff.findings());
            report.differences = Some(diff);
        }
        (Some(Ok(_)), None) | (None, _) => {}
    }
    match matches.get_flag("json") {
        true => println!("{}", report.to_json()),
        false => print!("{}", report.to_text()),
    }
    match report.error_count() {
        0 => Ok(()),
        errors => Err(CommandError::Configuration {
            path: path.to_owned(),
            errors,
        }),
    }
}

/// Returns the time in which a VM that leaves can still answer, if settings are given.
fn read_longest_response(matches: &ArgMatches) -> Result<Option<ClockTime>, PlatformSettingsError> {
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return Ok(None);
    };
    let settings = skylarkshed_users_platform::read_settings(path)?;
    Ok(Some(settings.gateway.times.longest_response()))
}

fn check_platform_settings(matches: &ArgMatches) -> CommandResult {
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("clap requires it");
    let settings = skylarkshed_users_platform::read_settings(path)?;
    println!("{settings:#?}");
    Ok(())
}

/// Returns the argument with the path of the settings file.
pub(crate) fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("The settings file, in JSON")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

/// Reads the settings file.
pub(crate) fn read_settings(matches: &ArgMatches) -> Result<NodeSettings, SettingsError> {
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("clap requires it");
    NodeSettings::read(path)
}
