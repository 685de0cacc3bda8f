//! The cases of the second review, and the stand-ins that they use.
//!
//! `review-cases CASE FOLDER` plays one case and writes `record.txt` into its folder. The
//! exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod application;
mod base64;
mod cases;
mod client;
mod config;
mod engine;
mod engines;
mod fleet;
mod http;
mod json;
mod processes;
mod record;
mod store;
mod stream;

use cases::{CaseContext, Verdict};
use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|word| word == "engine") {
        return engine::run(&words[1..]);
    }
    match play(&words) {
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("the case couldn't run: {problem}");
            ExitCode::from(2)
        }
    }
}

fn play(words: &[String]) -> Result<Verdict, String> {
    let [name, folder] = words else {
        return Err("usage: review-cases CASE FOLDER".to_owned());
    };
    let case = cases::find(name).ok_or_else(|| format!("there is no case {name}"))?;
    processes::start_watchdog();
    let record = Record::create(&PathBuf::from(folder)).map_err(|error| error.to_string())?;
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.write(format!("case {name}, disruption: {has_trouble}"));
    let context = CaseContext {
        root: std::env::current_dir().map_err(|error| error.to_string())?,
        record: record.clone(),
        has_trouble,
    };
    let verdict = case(&context)?;
    record.write(match verdict {
        Verdict::Broken => "the rule is BROKEN",
        Verdict::Held => "the rule held",
    });
    Ok(verdict)
}
