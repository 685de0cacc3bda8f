//! Reports of experiments, as JSON and as a text table.

use serde::Serialize;
use std::fmt::Write;

/// One measured value of a report.
#[derive(Clone, Debug, Serialize)]
pub struct ReportRow {
    /// The case that was run.
    pub case: String,
    /// The measured quantity.
    pub figure: String,
    /// The value.
    pub value: f64,
    /// The value's unit.
    pub unit: String,
    /// The bound, if there is one.
    pub bound: Option<String>,
    /// Whether the value is within its bound; true without a bound.
    pub kept: bool,
}

/// The measured values of one experiment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The experiment's name.
    pub experiment: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// The rows, in the order they were added.
    pub rows: Vec<ReportRow>,
}

impl Report {
    /// Creates an empty report.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_bench::Report;
    ///
    /// let mut report = Report::new("resume", 7);
    /// report.add("race", "resume median", 250.0, "ms");
    /// report.add_with_max("race", "resume worst", 900.0, "ms", 4_000.0);
    /// assert!(report.is_within_bounds());
    /// ```
    pub fn new(experiment: &str, seed: u64) -> Self {
        Report {
            experiment: experiment.to_owned(),
            seed,
            rows: Vec::new(),
        }
    }

    /// Adds a value without a bound.
    pub fn add(&mut self, case: &str, figure: &str, value: f64, unit: &str) {
        self.push(case, figure, value, unit, None, true);
    }

    /// Adds a value that must not exceed its bound.
    pub fn add_with_max(&mut self, case: &str, figure: &str, value: f64, unit: &str, bound: f64) {
        self.push(
            case,
            figure,
            value,
            unit,
            Some(format!("at most {bound}")),
            value <= bound,
        );
    }

    /// Adds a value that must not fall below its bound.
    pub fn add_with_min(&mut self, case: &str, figure: &str, value: f64, unit: &str, bound: f64) {
        self.push(
            case,
            figure,
            value,
            unit,
            Some(format!("at least {bound}")),
            value >= bound,
        );
    }

    /// Reports whether all values are within their bounds.
    pub fn is_within_bounds(&self) -> bool {
        self.rows.iter().all(|row| row.kept)
    }

    /// Formats the report as a text table.
    pub fn to_table(&self) -> String {
        let mut text = format!("experiment {}, seed {}\n", self.experiment, self.seed);
        for row in &self.rows {
            let bound = match &row.bound {
                None => String::new(),
                Some(bound) if row.kept => format!("  ({bound}: kept)"),
                Some(bound) => format!("  ({bound}: NOT KEPT)"),
            };
            let value = format!("{:.3}", row.value);
            let _ = writeln!(
                text,
                "  {:<28} {:<36} {value:>14} {}{bound}",
                row.case, row.figure, row.unit
            );
        }
        text
    }

    fn push(
        &mut self,
        case: &str,
        figure: &str,
        value: f64,
        unit: &str,
        bound: Option<String>,
        kept: bool,
    ) {
        let (case, figure, unit) = (case.to_owned(), figure.to_owned(), unit.to_owned());
        self.rows.push(ReportRow {
            case,
            figure,
            value,
            unit,
            bound,
            kept,
        });
    }
}
