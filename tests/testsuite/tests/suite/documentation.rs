//! The documentation covers the settings, reasons, metrics and log texts of the program.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Reads a file of the repository.
fn read_file(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join(name)).unwrap()
}

fn program_path() -> PathBuf {
    let test_binary = std::env::current_exe().unwrap();
    test_binary.ancestors().nth(2).unwrap().join("skylarkshed")
}

#[test]
fn documented_example_settings_are_accepted() {
    let text = read_file("docs/SETTINGS.md");
    let start = text.find("```json\n").unwrap() + "```json\n".len();
    let length = text[start..].find("```").unwrap();
    let path = std::env::temp_dir().join(format!("skylarkshed-page-{}.json", std::process::id()));
    std::fs::write(&path, &text[start..start + length]).unwrap();
    let output = Command::new(program_path())
        .arg("check")
        .arg("--settings")
        .arg(&path)
        .output();
    std::fs::remove_file(path).unwrap();
    let output = output.unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    // Every key that `check` prints occurs in the example and in its explanation.
    let printed: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    for (key, value) in printed.as_object().unwrap() {
        let keys = value
            .as_object()
            .map(|group| group.keys().cloned().collect::<Vec<_>>());
        for key in keys.unwrap_or_else(|| vec![key.clone()]) {
            assert!(
                text.matches(key.as_str()).count() >= 2,
                "`{key}` is not documented"
            );
        }
    }
}

#[test]
fn every_refusal_reason_of_the_node_is_documented() {
    let text = read_file("docs/OPERATORS.md");
    let source = read_file("crates/node/src/refusal.rs");
    let reasons = source.lines().filter_map(|line| {
        let (_, rest) = line.trim().split_once(" => \"")?;
        Some(rest.split_once('"')?.0)
    });
    let reasons: Vec<&str> = reasons.collect();
    assert!(reasons.len() > 20, "the reasons are found in the source");
    for reason in reasons {
        assert!(
            text.contains(&format!("`{reason}`")),
            "`{reason}` is not documented"
        );
    }
}

#[test]
fn every_retry_and_notice_reason_is_documented() {
    let text = read_file("docs/OPERATORS.md");
    let source = read_file("crates/node/src/generations/reason_texts.rs");
    let reasons = source.split('"').skip(1).step_by(2);
    for reason in reasons {
        assert!(
            text.contains(&format!("`{reason}`")),
            "`{reason}` is not documented"
        );
    }
}

/// Returns the string literals of a source file that look like labels.
fn labels(source: &str) -> Vec<&str> {
    let texts = source.split('"').skip(1).step_by(2);
    let is_label =
        |text: &&str| !text.is_empty() && text.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    texts.filter(is_label).collect()
}

#[test]
fn every_refusal_reason_of_the_gateway_is_documented() {
    let text = read_file("docs/OPERATIONS.md");
    let source = read_file("crates/gateway/src/refusal.rs");
    let reasons = source.lines().filter_map(|line| {
        let (_, rest) = line.trim().split_once(" => \"")?;
        Some(rest.split_once('"')?.0)
    });
    let reasons: Vec<&str> = reasons.collect();
    assert!(reasons.len() >= 14, "the reasons are found in the source");
    for reason in reasons {
        assert!(
            text.contains(&format!("`{reason}`")),
            "`{reason}` is not documented"
        );
    }
}

#[test]
fn every_cause_and_metric_of_the_gateway_is_documented() {
    let text = read_file("docs/OPERATIONS.md");
    let metrics = read_file("crates/gateway/src/counters.rs");
    let metrics = labels(&metrics)
        .into_iter()
        .filter(|label| label.starts_with("gateway_"));
    let causes = read_file("crates/policy/src/stream_recovery.rs");
    let causes = labels(&causes).into_iter().filter(|label| *label != "vec");
    let all: Vec<&str> = metrics.chain(causes).collect();
    assert!(all.len() >= 18, "the labels are found in the source");
    for label in all {
        assert!(
            text.contains(&format!("`{label}`")),
            "`{label}` is not documented"
        );
    }
}

#[test]
fn every_log_text_of_the_gateway_is_documented() {
    let text = read_file("docs/LOGS.md");
    for start in [
        "the process starts",
        "the process shuts down",
        "the process ends",
        "configuration activated",
        "request refused",
        "request ended",
        "send failed",
        "attempt failed",
        "stream request sent",
        "stream lost its upstream",
        "rollout ended",
    ] {
        assert!(
            text.contains(&format!("`{start}`")),
            "`{start}` is not documented"
        );
    }
}
