//! Runs one case of the review: `review-stand-ins CASE FOLDER`.
//!
//! The process plays consumers, replicas and the store, and starts the project's gateways
//! as processes. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! couldn't run. With TROUBLE=0 in the environment it plays the same without the disruption.

mod base64;
mod cases;
mod client;
mod config;
mod engine;
mod gateway;
mod http;
mod json;
mod record;
mod replica;
mod store;

use gateway::Folders;
use record::Record;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A run that takes longer is ended.
const MAX_RUN_TIME: Duration = Duration::from_secs(110);

/// What a case needs.
pub struct Run {
    pub folders: Folders,
    pub record: Record,
    /// Whether the disruption is played.
    pub has_trouble: bool,
}

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    /// It couldn't run.
    Failed(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-stand-ins CASE FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let code = match run(case, &folder) {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::Failed(problem) => {
            eprintln!("the case couldn't run: {problem}");
            2
        }
    };
    std::process::exit(code);
}

fn run(case: &str, folder: &Path) -> Outcome {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let prepared = std::fs::create_dir_all(&temporary);
    let record = Record::create(&folder.join("record.txt"));
    let (Ok(()), Ok(record)) = (prepared, record) else {
        return Outcome::Failed("a folder is not writable".to_owned());
    };
    let run = Run {
        folders: Folders {
            root: std::env::current_dir().expect("the folder exists"),
            temporary,
        },
        record,
        has_trouble,
    };
    std::thread::spawn(|| {
        std::thread::sleep(MAX_RUN_TIME);
        eprintln!("the case took too long");
        gateway::end_all();
        std::process::exit(2);
    });
    let play = || match case {
        "silent-store" => cases::silent_store::play(&run),
        "next-rollout" => cases::next_rollout::play(&run),
        "quarantined-prompt" => cases::quarantined_prompt::play(&run),
        "quarantined-route" => cases::quarantined_route::play(&run),
        "killed-rollout" => cases::killed_rollout::play(&run),
        _ => Outcome::Failed(format!("there is no case {case}")),
    };
    let outcome = catch_unwind(AssertUnwindSafe(play));
    let outcome = outcome.unwrap_or_else(|_| Outcome::Failed("it panicked".to_owned()));
    gateway::end_all();
    if let Some(target) = std::env::var_os("KEEP_LOGS") {
        gateway::keep_logs(&run.folders, Path::new(&target));
    }
    let _ = std::fs::remove_dir_all(&run.folders.temporary);
    let text = match &outcome {
        Outcome::Held => "the rule held".to_owned(),
        Outcome::Broken => "the rule was broken".to_owned(),
        Outcome::Failed(problem) => format!("couldn't run: {problem}"),
    };
    run.record.note(&text);
    outcome
}
