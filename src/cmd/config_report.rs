//! The output of a check of a configuration.

use serde::Serialize;
use skylarkshed_policy::{
    ConfigDiff, ConfigFinding, EntryChanges, EntryKind, FieldChange, FindingKind,
};

/// The findings of a check, and the differences from the version in force, if it is known.
#[derive(Debug, Default, Serialize)]
pub(crate) struct ConfigReport {
    pub(crate) findings: Vec<ConfigFinding>,
    pub(crate) differences: Option<ConfigDiff>,
}

impl ConfigReport {
    /// Returns the number of findings that are errors.
    pub(crate) fn error_count(&self) -> usize {
        let findings = self.findings.iter();
        findings
            .filter(|finding| finding.kind == FindingKind::Error)
            .count()
    }

    /// Returns the report as one JSON object.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report is plain data")
    }

    /// Returns the report as text: a line for each finding and each difference, and one
    /// with their number.
    pub(crate) fn to_text(&self) -> String {
        let mut lines = Vec::new();
        for finding in &self.findings {
            lines.push(format!(
                "{} {} {} `{}`: {}",
                finding.kind.as_str(),
                finding.label.as_str(),
                finding.entry.as_str(),
                finding.subject,
                finding.message
            ));
        }
        if let Some(diff) = &self.differences {
            add_differences(diff, &mut lines);
        }
        let errors = self.error_count();
        let warnings = self.findings.len() - errors;
        lines.push(format!("errors: {errors}, warnings: {warnings}"));
        lines.iter().map(|line| escape(line) + "\n").collect()
    }
}

fn add_differences(diff: &ConfigDiff, lines: &mut Vec<String>) {
    let (old, new) = (diff.version.old, diff.version.new);
    lines.push(format!("version {old} -> {new}"));
    add_entries(EntryKind::Route, &diff.routes, lines);
    add_entries(EntryKind::Service, &diff.services, lines);
    add_entries(EntryKind::Customer, &diff.customers, lines);
    for field in &diff.limits {
        lines.push(format!("changed limits: {}", describe_field(field)));
    }
}

fn add_entries(kind: EntryKind, changes: &EntryChanges, lines: &mut Vec<String>) {
    let kind = kind.as_str();
    let added = changes.added.iter();
    lines.extend(added.map(|name| format!("added {kind} `{name}`")));
    let removed = changes.removed.iter();
    lines.extend(removed.map(|name| format!("removed {kind} `{name}`")));
    for entry in &changes.changed {
        let fields: Vec<String> = entry.fields.iter().map(describe_field).collect();
        lines.push(format!(
            "changed {kind} `{}`: {}",
            entry.name,
            fields.join(", ")
        ));
    }
}

fn describe_field(change: &FieldChange) -> String {
    match change {
        FieldChange::Value { field, old, new } => format!("{field} {old} -> {new}"),
        FieldChange::Keys {
            field,
            added,
            removed,
        } => format!("{field} {added} added and {removed} removed"),
    }
}

/// Escapes control characters, so that a name can neither break a line nor control the
/// terminal.
fn escape(line: &str) -> String {
    let mut escaped = String::with_capacity(line.len());
    for character in line.chars() {
        match character.is_control() {
            true => escaped.extend(character.escape_default()),
            false => escaped.push(character),
        }
    }
    escaped
}
