//! The command that checks a configuration of the users' platform before it is sent.

use rstest::rstest;
use serde_json::{json, Value};
use skylarkshed_stand_ins::{default_config, GatewayFile, DEPOT_KEY, VENDOR_KEY};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

/// A file that is removed at the end of a test.
struct InputFile(PathBuf);

impl InputFile {
    fn new(text: &str) -> Self {
        static NEXT_FILE_NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("skylarkshed-draft-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        InputFile(path)
    }
}

impl Drop for InputFile {
    fn drop(&mut self) {
        std::fs::remove_file(&self.0).unwrap();
    }
}

fn check(config: &Path, args: &[&str]) -> Output {
    let test_binary = std::env::current_exe().unwrap();
    let program = test_binary.ancestors().nth(2).unwrap().join("skylarkshed");
    let mut command = Command::new(program);
    command.arg("check").arg("--config").arg(config).args(args);
    command.output().unwrap()
}

fn check_text(text: &str) -> (Option<i32>, String) {
    let file = InputFile::new(text);
    let output = check(&file.0, &[]);
    (output.status.code(), stdout(&output))
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

#[test]
fn sound_configuration_is_accepted() {
    let (code, text) = check_text(&default_config(7).to_string());
    assert_eq!((code, text.as_str()), (Some(0), "errors: 0, warnings: 0\n"));
}

/// Guards against scripts that send a configuration with errors, or hold one back for
/// warnings.
#[rstest]
#[case::error("/routes/0/service", json!("shops"), 2,
    "error unknown_service route `book`: there is no service `shops`\nerrors: 1, warnings: 0\n")]
#[case::warning("/tenants/0/api_keys", json!([]), 0,
    "unreachable customer_without_keys customer `depot`: it has no keys, so no request is \
     its own\nerrors: 0, warnings: 1\n")]
#[case::name_of_two_lines("/services/0/name", json!("a\nb\u{1b}[2J"), 2,
    "unreachable unused_service service `a\\nb\\u{1b}[2J`: no route uses it\n")]
fn finding_is_printed_on_one_line(
    #[case] place: &str,
    #[case] value: Value,
    #[case] code: i32,
    #[case] line: &str,
) {
    let mut config = default_config(7);
    *config.pointer_mut(place).unwrap() = value;
    let (actual, text) = check_text(&config.to_string());
    assert_eq!(actual, Some(code));
    assert!(text.contains(line), "{text}");
}

#[rstest]
#[case::empty("")]
#[case::cut_off("{\"version\":")]
#[case::number_out_of_range("{\"version\": 1e999}")]
fn malformed_file_is_an_error(#[case] text: &str) {
    let (code, text) = check_text(text);
    assert_eq!(code, Some(2));
    assert!(text.starts_with("error unreadable file `"), "{text}");
}

#[rstest]
#[case::missing("/nonexistent/config.json")]
#[case::folder("/tmp")]
fn unreadable_file_is_an_error(#[case] path: &str) {
    let output = check(Path::new(path), &["--json"]);
    assert_eq!(output.status.code(), Some(2));
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["findings"][0]["label"], "unreadable");
    assert_eq!(report["findings"][0]["subject"], path);
    let file = InputFile::new(&default_config(7).to_string());
    let output = check(&file.0, &["--in-force", path]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn differences_are_printed_without_keys() {
    let in_force = InputFile::new(&default_config(7).to_string());
    let mut config = default_config(7);
    config["routes"][0]["timeout_ms"] = json!(2_000);
    config["routes"][3]["name"] = json!("draft");
    config["limits"]["idle_timeout_ms"] = json!(1_600);
    config["tenants"][0]["api_keys"] = json!(["new-key", "newer-key"]);
    let file = InputFile::new(&config.to_string());
    let in_force = in_force.0.to_str().unwrap();
    let output = check(&file.0, &["--in-force", in_force]);
    assert_eq!(output.status.code(), Some(0));
    let expected = "\
contradiction version_not_higher configuration `version`: VMs ignore version 7: version 7 is in force
version 7 -> 7
added route `draft`
removed route `write`
changed route `book`: timeout_ms 1000 -> 2000
changed customer `depot`: keys 2 added and 1 removed
changed limits: idle_timeout_ms 1500 -> 1600
errors: 0, warnings: 1
";
    assert_eq!(stdout(&output), expected);
    let output = check(&file.0, &["--in-force", in_force, "--json"]);
    let text = stdout(&output);
    for key in [DEPOT_KEY, VENDOR_KEY, "new-key", "newer-key"] {
        assert!(!text.contains(key), "{text}");
    }
    let report: Value = serde_json::from_str(&text).unwrap();
    let finding = json!({
        "kind": "contradiction",
        "label": "version_not_higher",
        "entry": "configuration",
        "subject": "version",
        "message": "VMs ignore version 7: version 7 is in force",
    });
    assert_eq!(report["findings"], json!([finding]));
    let differences = &report["differences"];
    assert_eq!(differences["routes"]["added"], json!(["draft"]));
    let keys = json!({"name": "depot", "fields": [{"field": "keys", "added": 2, "removed": 1}]});
    assert_eq!(differences["customers"]["changed"], json!([keys]));
}

/// Guards against a grace that is not the one of the settings.
#[rstest]
#[case::long_enough(21, None)]
#[case::too_short(8, Some("write"))]
fn timeouts_are_compared_with_the_grace(#[case] grace_s: u64, #[case] route: Option<&str>) {
    let mut settings = GatewayFile::new("vm-1", "127.0.0.1:1".parse().unwrap());
    settings.grace_s = grace_s;
    let settings = InputFile::new(&settings.render());
    let file = InputFile::new(&default_config(7).to_string());
    let args = ["--json", "--settings", settings.0.to_str().unwrap()];
    let output = check(&file.0, &args);
    assert_eq!(output.status.code(), Some(0));
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let findings = report["findings"].as_array().unwrap().iter();
    let routes: Vec<&str> = findings
        .map(|finding| finding["subject"].as_str().unwrap())
        .collect();
    assert_eq!(routes, route.into_iter().collect::<Vec<_>>());
}

#[test]
fn unreadable_settings_are_an_error() {
    let file = InputFile::new(&default_config(7).to_string());
    let output = check(&file.0, &["--settings", "/nonexistent/node.toml"]);
    assert_eq!(output.status.code(), Some(2));
}
