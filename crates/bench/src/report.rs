//! Reports of experiments: JSON and a readable table.

use serde::Serialize;
use std::fmt::Write;

/// One figure of a report.
#[derive(Clone, Debug, Serialize)]
pub struct ReportRow {
    /// What was tried.
    pub case: String,
    /// What was measured.
    pub figure: String,
    /// The value.
    pub value: f64,
    /// The value's unit.
    pub unit: String,
    /// The bound, if there is one, and whether the value keeps it.
    pub bound: Option<String>,
    /// Whether the bound is kept; true without a bound.
    pub kept: bool,
}

/// The figures of one experiment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The experiment's name.
    pub experiment: String,
    /// The seed.
    pub seed: u64,
    /// The figures.
    pub rows: Vec<ReportRow>,
}

impl Report {
    /// Starts a report.
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

    /// Adds a figure.
    pub fn add(&mut self, case: &str, figure: &str, value: f64, unit: &str) {
        self.push(case, figure, value, unit, None, true);
    }

    /// Adds a figure that must not be above its bound.
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

    /// Adds a figure that must not be below its bound.
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

    /// Tells whether all bounds are kept.
    pub fn is_within_bounds(&self) -> bool {
        self.rows.iter().all(|row| row.kept)
    }

    /// Returns the report as a table.
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
