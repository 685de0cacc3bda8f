//! Prints the table.

use crate::day::VersionKind;
use crate::play::{PlayReport, PlayResult};

/// Prints the names of the columns.
pub(crate) fn print_header() {
    println!("| deployment | version | seed | state | exposed | worth | without | store calls | broken rules |");
    println!("|---|---|---|---|---|---|---|---|---|");
}

/// Prints the line of a play beside the same day without the rollout.
pub(crate) fn print_row(
    deployment: &str,
    kind: &VersionKind,
    seed: u64,
    with: &PlayResult,
    without: &PlayResult,
) {
    let name = kind.name();
    let with = match with {
        PlayResult::Played(report) => report,
        PlayResult::NotPlayed(reason) => {
            println!("| {deployment} | {name} | {seed} | {reason} | | | | | |");
            return;
        }
    };
    let state = describe_state(kind, with);
    let exposed = describe_exposure(with);
    let (worth_without, calls) = match without {
        PlayResult::Played(report) => (
            format!("{:.3}", report.worth),
            format!("{:.2}", with.store_calls / report.store_calls),
        ),
        PlayResult::NotPlayed(reason) => (reason.clone(), String::new()),
    };
    let worth = with.worth;
    let breaks: Vec<String> = with
        .breaks
        .iter()
        .map(|(rule, count)| format!("{rule} {count}"))
        .collect();
    let breaks = breaks.join(", ");
    println!(
        "| {deployment} | {name} | {seed} | {state} | {exposed} | {worth:.3} | {worth_without} \
         | {calls} | {breaks} |"
    );
}

/// Returns how the rollout ended, as the bench judges it.
fn describe_state(kind: &VersionKind, report: &PlayReport) -> &'static str {
    let is_missed = report.missed.iter().any(|duty| duty.contains("rollout of"));
    match (kind, is_missed) {
        (VersionKind::Good, false) => "done in time",
        (VersionKind::Good, true) => "not done in time",
        (VersionKind::Bad(_), false) => "rolled back in time",
        (VersionKind::Bad(_), true) => "not rolled back in time",
    }
}

/// Returns the requests that the new version got, of all, if they were more than allowed;
/// the bench does not say how many they were otherwise.
fn describe_exposure(report: &PlayReport) -> String {
    let Some(text) = &report.exposure else {
        return "allowed".to_owned();
    };
    let numbers = text.split(|other: char| !other.is_ascii_digit());
    let numbers: Vec<&str> = numbers.filter(|number| !number.is_empty()).collect();
    match numbers.as_slice() {
        [.., new, all, allowed] => format!("{new} of {all}, allowed {allowed}"),
        _ => text.clone(),
    }
}
