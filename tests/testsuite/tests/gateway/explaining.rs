//! From a request's identifier to its cause, by the program's own commands.

use rstest::rstest;
use skylarkshed_stand_ins::{ScriptedResponse, StreamEnd};
use skylarkshed_testsuite::{program, GatewayHarness, HarnessBuilder, KEY};
use std::process::{Command, Output};
use std::time::Duration;

fn run(args: &[&str]) -> Output {
    Command::new(program()).args(args).output().unwrap()
}

fn identifier(request: &str) -> String {
    let rest = request.split("X-Attempt-Id: ").nth(1).unwrap();
    rest.split("\r\n").next().unwrap().to_owned()
}

/// Explains a request once its last line stands in the log.
async fn explain(rig: &GatewayHarness, id: &str) -> String {
    let explaining = async {
        loop {
            let output = run(&["explain", id, rig.log.to_str().unwrap()]);
            let story = String::from_utf8(output.stdout).unwrap();
            if story.contains("request ended") || story.contains("request refused") {
                return story;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let explained = tokio::time::timeout(Duration::from_secs(20), explaining).await;
    explained.expect("the request's last line comes")
}

#[tokio::test]
async fn a_stream_that_broke_off_is_explained() {
    let rig = HarnessBuilder::default().engines(2).start().await;
    rig.engines[0].enqueue_response(ScriptedResponse::stream(3, StreamEnd::Reset));
    rig.engines[1].set_default_response(ScriptedResponse::Reset);
    rig.engines[0].set_default_response(ScriptedResponse::Reset);
    let request = GatewayHarness::request("POST", "/write/7", KEY, "prompt");
    assert!(!rig.ask_raw(&request).await.unwrap().is_complete);
    let story = explain(&rig, &identifier(&request)).await;
    for part in [
        "cause=broken",
        "is_from_copy=true",
        "outcome=broken_off",
        "events=3",
    ] {
        assert!(story.contains(part), "`{part}` is missing in {story}");
    }
}

#[tokio::test]
async fn a_booking_told_as_unknown_is_explained() {
    let rig = HarnessBuilder::default().applications(1).start().await;
    rig.applications[0].enqueue_response(ScriptedResponse::Reset);
    let request = GatewayHarness::request("POST", "/book/7", KEY, "x");
    assert_eq!(rig.ask_raw(&request).await.unwrap().status, 502);
    let story = explain(&rig, &identifier(&request)).await;
    for part in [
        "send failed",
        "is_unsent=false",
        "upstream=app-0",
        "status=502",
    ] {
        assert!(story.contains(part), "`{part}` is missing in {story}");
    }
}

#[tokio::test]
async fn a_rejected_key_is_explained() {
    let rig = HarnessBuilder::default().start().await;
    let request = GatewayHarness::request("POST", "/book/7", "no-key", "x");
    assert_eq!(rig.ask_raw(&request).await.unwrap().status, 401);
    let story = explain(&rig, &identifier(&request)).await;
    for part in ["outcome=unknown_key", "config_version=1", "config_age_ms="] {
        assert!(story.contains(part), "`{part}` is missing in {story}");
    }
}

#[test]
fn an_unknown_request_is_told() {
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
async fn bad_platform_settings_are_told(#[case] text: &str, #[case] problem: &str) {
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
async fn wrong_values_are_told_with_their_key(
    #[case] right: &str,
    #[case] wrong: &str,
    #[case] problem: &str,
) {
    let rig = HarnessBuilder::default().start().await;
    let text = std::fs::read_to_string(&rig.settings).unwrap();
    assert!(text.contains(right));
    let path = rig.settings.with_extension("wrong");
    std::fs::write(&path, text.replace(right, wrong)).unwrap();
    let output = run(&["check", "--platform", "--settings", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).replace('│', " ");
    let message = message.split_whitespace().collect::<Vec<_>>().join(" ");
    assert!(message.contains(problem), "{message}");
}
