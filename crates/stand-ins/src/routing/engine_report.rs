//! The load report of a fake engine.

use serde::Serialize;

/// A running request that has produced events: identifier, tokens in the KV cache, events
/// produced and rank.
#[derive(Clone, Debug, Serialize)]
pub struct ReportedRun(pub String, pub u64, pub u64, pub i64);

/// The load of a fake engine, with the field names of the platform.
///
/// # Examples
///
/// ```
/// use skylarkshed_stand_ins::{EngineReport, ReportedRun};
///
/// let runs = vec![ReportedRun("r1".to_owned(), 803, 3, 0)];
/// let report = EngineReport { running: 2, runs, ..EngineReport::default() };
/// assert!(report.to_json().contains(r#""runs":[["r1",803,3,0]]"#));
/// ```
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineReport {
    /// When the engine started, in Unix milliseconds.
    pub born: u64,
    /// The requests that wait for room.
    pub waiting: usize,
    /// The requests in the memory, also those whose prompt is being prefilled.
    pub running: usize,
    /// The tokens in the KV cache that cannot yield.
    pub cache_used: u64,
    /// The capacity of the KV cache, in tokens.
    pub cache_total: u64,
    /// The running requests that have produced events.
    pub runs: Vec<ReportedRun>,
}

impl EngineReport {
    /// Returns the body of the response to a request for the report.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a report is plain data")
    }
}
