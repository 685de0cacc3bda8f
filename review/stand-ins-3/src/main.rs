//! Stand-ins and cases of the review: `review-case case NAME ...` plays a case against
//! gateway processes, `review-case replica ...` is a replica that a case starts.
//!
//! A case exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.

mod callers;
mod cases;
mod fleet;
mod http;
mod json;
mod options;
mod proxy;
mod record;
mod replica;
mod store;

use fleet::Bench;
use options::Options;
use record::Record;
use std::process::exit;
use std::time::Duration;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match words.first().map(String::as_str) {
        Some("replica") => replica::run(&Options::parse(&words[1..])),
        Some("case") => exit(run_case(&Options::parse(&words[1..]))),
        _ => {
            eprintln!("usage: review-case case|replica --NAME VALUE...");
            exit(2)
        }
    }
}

/// The longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(100);

fn run_case(options: &Options) -> i32 {
    fleet::limit_time(TIME_LIMIT);
    let bench = Bench {
        record: Record::create(&options.text("record")),
        folder: options.text("folder").into(),
        gateway_program: options.text("gateway"),
        store: store::Store::start(),
    };
    let record = bench.record.clone();
    let has_trouble = options.text("trouble") != "0";
    let name = options.text("name");
    // A panic is a case that couldn't run; the unwinding ends the processes.
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        cases::play(&name, &bench, has_trouble)
    }));
    match played {
        Ok(Some(violations)) => {
            record.note(&format!("the rule was broken {violations} times"));
            i32::from(violations > 0)
        }
        Ok(None) => {
            record.note("the case did not come about");
            2
        }
        Err(_) => {
            record.note("the case couldn't run");
            2
        }
    }
}
