//! The commands `explain` and `check --platform` of the program.

use rstest::rstest;
use skylarkshed_stand_ins::{ScriptedResponse, StreamEnd};
use skylarkshed_testsuite::{program_path, GatewayHarness, HarnessBuilder, DEPOT_KEY};
use std::process::{Command, Output};
use std::time::Duration;

fn run(args: &[&str]) -> Output {
    Command::new(program_path()).args(args).output().unwrap()
}

fn request_id(request: &str) -> String {
    let rest = request.split("X-Attempt-Id: ").nth(1).unwrap();
    rest.split("\r\n").next().unwrap().to_owned()
}

/// Runs `explain` until the log contains the last line of the request.
async fn explain(harness: &GatewayHarness, id: &str) -> String {
    let polling = async {
        loop {
            let output = run(&["explain", id, harness.log_path.to_str().unwrap()]);
            let entries = String::from_utf8(output.stdout).unwrap();
            if entries.contains("request ended") || entries.contains("request refused") {
                return entries;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let entries = tokio::time::timeout(Duration::from_secs(20), polling).await;
    entries.expect("the last line of the request is logged in time")
}

#[tokio::test]
async fn broken_stream_is_explained() {
    let harness = HarnessBuilder::default().engines(2).start().await;
    harness.engines[0].enqueue_response(ScriptedResponse::stream(3, StreamEnd::Reset));
    harness.engines[1].set_default_response(ScriptedResponse::Reset);
    harness.engines[0].set_default_response(ScriptedResponse::Reset);
    let request = GatewayHarness::build_request("POST", "/write/7", DEPOT_KEY, "prompt");
    assert!(!harness.send_raw(&request).await.unwrap().is_complete);
    let entries = explain(&harness, &request_id(&request)).await;
    for part in [
        "cause=broken",
        "is_from_copy=true",
        "outcome=broken_off",
        "events=3",
    ] {
        assert!(entries.contains(part), "`{part}` is missing in {entries}");
    }
}

#[tokio::test]
async fn booking_with_unknown_outcome_is_explained() {
    let harness = HarnessBuilder::default().applications(1).start().await;
    harness.applications[0].enqueue_response(ScriptedResponse::Reset);
    let request = GatewayHarness::build_request("POST", "/book/7", DEPOT_KEY, "x");
    assert_eq!(harness.send_raw(&request).await.unwrap().status, 502);
    let entries = explain(&harness, &request_id(&request)).await;
    for part in [
        "send failed",
        "is_unsent=false",
        "upstream=app-0",
        "status=502",
    ] {
        assert!(entries.contains(part), "`{part}` is missing in {entries}");
    }
}

#[tokio::test]
async fn rejected_key_is_explained() {
    let harness = HarnessBuilder::default().start().await;
    let request = GatewayHarness::build_request("POST", "/book/7", "no-key", "x");
    assert_eq!(harness.send_raw(&request).await.unwrap().status, 401);
    let entries = explain(&harness, &request_id(&request)).await;
    for part in ["outcome=unknown_key", "config_version=1", "config_age_ms="] {
        assert!(entries.contains(part), "`{part}` is missing in {entries}");
    }
}

#[test]
fn unknown_request_is_reported() {
    let log = std::env::temp_dir().join(format!("skylarkshed-empty-{}.log", std::process::id()));
    std::fs::write(&log, "no json\n{}\n").unwrap();
    let output = run(&["explain", "r-none", log.to_str().unwrap()]);
    std::fs::remove_file(&log).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("r-none"));
}

#[rstest]
#[case::no_toml("zone = ", "not valid")]
#[case::missing_key("zone = \"z\"", "missing field")]
#[tokio::test]
async fn malformed_platform_settings_are_reported(#[case] text: &str, #[case] problem: &str) {
    let name = format!("skylarkshed-bad-{}-{}.toml", std::process::id(), text.len());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    let output = run(&["check", "--platform", "--settings", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains(problem), "{message}");
}

#[rstest]
#[case::grace("grace_s = 8", "grace_s = 0", "grace_s")]
#[case::ports("[0, 0]", "[7200, 7200]", "two ports")]
#[case::ports_reversed("[0, 0]", "[7200, 7100]", "internal_port_range")]
#[case::budget(
    "retry_budget_ratio = 0.8",
    "retry_budget_ratio = -1.0",
    "must not be negative"
)]
#[tokio::test]
async fn invalid_values_are_reported_with_their_key(
    #[case] right: &str,
    #[case] wrong: &str,
    #[case] problem: &str,
) {
    let harness = HarnessBuilder::default().start().await;
    let text = std::fs::read_to_string(&harness.settings_path).unwrap();
    assert!(text.contains(right));
    let path = harness.settings_path.with_extension("wrong");
    std::fs::write(&path, text.replace(right, wrong)).unwrap();
    let output = run(&["check", "--platform", "--settings", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).replace('│', " ");
    let message = message.split_whitespace().collect::<Vec<_>>().join(" ");
    assert!(message.contains(problem), "{message}");
}
