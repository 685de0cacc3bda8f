//! Generations: attempts at engines, and cursors with which callers resume.

pub(crate) mod attempt_runner;
pub(crate) mod cursor;
pub(crate) mod generation_environment;
pub(crate) mod generation_task;
pub(crate) mod prompt;
pub(crate) mod reason_texts;
