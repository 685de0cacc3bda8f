//! Integration tests of the serving process in a fleet of real processes.

mod at_most_once;
mod change_conflicts;
mod command_line;
mod config_command;
mod configuration;
mod documentation;
mod fault_schedules;
mod leaving;
mod limits;
mod move_evidence;
mod moves;
mod requests;
mod response_matching;
mod retries;
mod shared_incarnations;
mod tokens;
