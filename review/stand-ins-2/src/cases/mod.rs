//! The cases by name.

mod header_limit;
mod last_tenant;
mod slow_reader;
mod unframed_stream;

use crate::record::Record;
use std::path::PathBuf;

/// Whether a rule held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
}

impl Verdict {
    pub fn from_broken(is_broken: bool) -> Self {
        match is_broken {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    }
}

/// What a case needs.
pub struct CaseContext {
    /// The repository.
    pub root: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

type Case = fn(&CaseContext) -> Result<Verdict, String>;

/// Finds a case by its name.
pub fn find(name: &str) -> Option<Case> {
    let cases: [(&str, Case); 4] = [
        ("slow-reader", slow_reader::play),
        ("header-limit", header_limit::play),
        ("unframed-stream", unframed_stream::play),
        ("last-tenant", last_tenant::play),
    ];
    cases
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, case)| *case)
}

/// Turns an error into a text.
pub fn problem(error: impl std::fmt::Display) -> String {
    error.to_string()
}
