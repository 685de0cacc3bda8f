//! The program's command line: the settings check and the operator commands.

use skylarkshed_bench::{Fleet, FleetBuilder};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

static NEXT_FILE_NUMBER: AtomicU32 = AtomicU32::new(0);

const VALID_SETTINGS: &str = r#"{
    "name": "vm-a1",
    "zone": "scot-east-a",
    "region": "scot-east",
    "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
    "platform": {"address": "127.0.0.1:7000", "timeout": "500ms"},
    "peer_key": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
}"#;

fn program_path() -> PathBuf {
    let test_binary = std::env::current_exe().unwrap();
    test_binary.ancestors().nth(2).unwrap().join("skylarkshed")
}

fn run(args: &[&str]) -> Output {
    Command::new(program_path()).args(args).output().unwrap()
}

fn check_settings(name: &str, text: &str) -> Output {
    // Tests run concurrently, so each file needs a unique name.
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
    let file = format!("skylarkshed-{name}-{}-{number}.json", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).unwrap();
    let output = run(&["check", "--settings", path.to_str().unwrap()]);
    std::fs::remove_file(path).unwrap();
    output
}

#[test]
fn valid_settings_are_accepted() {
    let output = check_settings("good", VALID_SETTINGS);
    assert!(output.status.success(), "{output:?}");
}

#[rstest::rstest]
#[case::unknown_key("\"region\"", "\"regoin\"", ":4:", "unknown field `regoin`")]
#[case::bad_unit("500ms", "500 parsecs", ":6:", "`250ms`")]
#[case::invalid_value("000102", "zz0102", ":7:", "64 hexadecimal digits")]
fn invalid_settings_are_reported_with_line_and_remedy(
    #[case] right: &str,
    #[case] wrong: &str,
    #[case] line: &str,
    #[case] remedy: &str,
) {
    let output = check_settings("bad", &VALID_SETTINGS.replace(right, wrong));
    assert_eq!(output.status.code(), Some(2));
    // The message is wrapped to the width of a terminal.
    let message = String::from_utf8_lossy(&output.stderr).replace('│', " ");
    let message = message.split_whitespace().collect::<Vec<_>>().join(" ");
    assert!(message.contains(line), "{message}");
    assert!(message.contains(remedy), "{message}");
}

#[tokio::test]
async fn operator_commands_change_and_describe_the_configuration() {
    let fleet = FleetBuilder::new().start().await.unwrap();
    let first = fleet.vms[0].operator_address.to_string();
    let last = fleet.vms[2].operator_address.to_string();
    let created = run(&[
        "service",
        "--vm",
        &first,
        "--name",
        "scribe-pool",
        "--kind",
        "model",
        "--output",
        "json",
    ]);
    assert!(created.status.success(), "{created:?}");
    assert_eq!(
        String::from_utf8_lossy(&created.stdout).trim(),
        r#"{"revision":1}"#
    );
    fleet.wait_for_revision(1).await.unwrap();
    let described = run(&["describe", "--vm", &last, "--output", "json"]);
    let description: serde_json::Value = serde_json::from_slice(&described.stdout).unwrap();
    assert!(
        description["configuration"]["services"]["scribe-pool"].is_object(),
        "{description}"
    );
    let refused = run(&[
        "move",
        "start",
        "--vm",
        &first,
        "--service",
        Fleet::MODEL_SERVICE,
        "--to",
        "v2",
        "--within-s",
        "60",
    ]);
    assert_eq!(refused.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&refused.stderr).contains("there is no service"));
}
