//! Integration tests: real processes, a module per feature.

mod command_line;
mod requests;
