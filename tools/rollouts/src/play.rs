//! Runs the bench and reads its reports.

use crate::day::{Deployment, VersionKind};
use serde_json::Value;
use std::error::Error;
use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

/// A play that takes longer is ended; the largest site takes a few minutes.
const PLAY_LIMIT: Duration = Duration::from_secs(600);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const STORE_CALLS: &str = "cloud calls";
const EXPOSURE: &str = "EXPOSURE";

/// How the bench is run.
#[derive(Debug)]
pub(crate) struct Bench {
    pub(crate) program: PathBuf,
    pub(crate) jobs: u32,
    pub(crate) why: String,
    /// Holds the day files, reports and output of the plays.
    pub(crate) work_directory: PathBuf,
}

/// What a play's report says.
#[derive(Debug)]
pub(crate) enum PlayResult {
    /// The figures of a play.
    Played(PlayReport),
    /// Why there are no figures.
    NotPlayed(String),
}

/// The figures of a play.
#[derive(Debug)]
pub(crate) struct PlayReport {
    pub(crate) worth: f64,
    pub(crate) store_calls: f64,
    /// The broken rules, each with how often it was broken.
    pub(crate) breaks: Vec<(String, u64)>,
    /// What the bench says of the new version's requests, if they were too many.
    pub(crate) exposure: Option<String>,
    /// The duties that were missed.
    pub(crate) missed: Vec<String>,
}

impl Bench {
    /// Plays a day, and returns its figures.
    pub(crate) fn play(
        &self,
        deployment: &Deployment,
        kind: Option<&VersionKind>,
        seed: u64,
    ) -> Result<PlayResult, Box<dyn Error>> {
        let name = kind.map_or("none", VersionKind::name);
        let path = |suffix: &str| {
            let file = format!("{}-{name}-{seed}.{suffix}", deployment.name);
            self.work_directory.join(file)
        };
        let (day_path, report_path) = (path("toml"), path("json"));
        std::fs::write(&day_path, deployment.render_day(kind))?;
        let output = File::create(path("txt"))?;
        let child = Command::new(&self.program)
            .arg("run")
            .arg(&deployment.site_path)
            .arg(&day_path)
            .args(["--seed", &seed.to_string()])
            .args(["--jobs", &self.jobs.to_string()])
            .args(["--why", &format!("{}: rollout {name}", self.why)])
            .arg("--report")
            .arg(&report_path)
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        let Some(status) = wait(child)? else {
            return Ok(PlayResult::NotPlayed("ended: too long".to_owned()));
        };
        if !report_path.exists() {
            return Ok(PlayResult::NotPlayed(format!("no report, {status}")));
        }
        let report: Value = serde_json::from_slice(&std::fs::read(&report_path)?)?;
        Ok(match report["fault"].as_str() {
            Some(fault) => PlayResult::NotPlayed(format!("fault: {fault}")),
            None => PlayResult::Played(PlayReport::parse(&report)),
        })
    }
}

impl PlayReport {
    fn parse(report: &Value) -> Self {
        let items = |name: &str| report[name].as_array().into_iter().flatten();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let calls = items("prices").find(|price| price[0] == STORE_CALLS);
        let breaks = report["breaks"].as_object().into_iter().flatten();
        let mut exposures = items("first").filter(|first| first["rule"] == EXPOSURE);
        let sum = exposures.find(|first| text(&first["what"]).contains(" requests of "));
        PlayReport {
            worth: report["G"].as_f64().unwrap_or(f64::NAN),
            store_calls: calls
                .and_then(|price| price[1].as_f64())
                .unwrap_or(f64::NAN),
            breaks: breaks
                .map(|(rule, count)| (rule.clone(), count.as_u64().unwrap_or(0)))
                .collect(),
            exposure: sum.map(|first| text(&first["what"])),
            missed: items("missed").map(text).collect(),
        }
    }
}

/// Waits for a play to end; returns `None` if it had to be ended.
fn wait(mut child: Child) -> Result<Option<ExitStatus>, Box<dyn Error>> {
    let deadline = Instant::now() + PLAY_LIMIT;
    while Instant::now() < deadline {
        if let Some(status) = child.try_wait()? {
            return Ok(Some(status));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    child.kill()?;
    child.wait()?;
    Ok(None)
}
