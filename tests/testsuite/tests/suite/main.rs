//! Integration tests: real processes, a module per feature.

mod at_most_once;
mod command_line;
mod configuration;
mod documents;
mod leaving;
mod limits;
mod moves;
mod own_answer;
mod requests;
mod schedules;
mod tokens;
