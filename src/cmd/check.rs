//! `check`: checks a settings file.

use crate::exit::CommandResult;
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use skylarkshed_core::{NodeSettings, SettingsError};
use std::path::PathBuf;

/// Returns the command line definition of `check`.
pub(crate) fn make_subcommand() -> Command {
    Command::new("check")
        .about("Checks a settings file")
        .arg(settings_arg())
        .arg(
            Arg::new("platform")
                .long("platform")
                .help("Expects the TOML format of the users' platform instead of JSON")
                .action(ArgAction::SetTrue),
        )
}

/// Checks the file and prints the settings with all defaults filled in.
pub(crate) fn execute(matches: &ArgMatches) -> CommandResult {
    if matches.get_flag("platform") {
        return check_platform_settings(matches);
    }
    let mut settings = read_settings(matches)?;
    settings.peer_key = "hidden".to_owned();
    let text = serde_json::to_string_pretty(&settings).expect("settings are plain data");
    println!("{text}");
    Ok(())
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
