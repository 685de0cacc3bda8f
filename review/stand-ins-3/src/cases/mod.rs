//! The cases. Each returns how often the rule was broken, or none if it did not come about.

mod cut_answer;
mod cut_stream;
mod foreign_entry;
mod odd_key;
mod old_entry;
mod other_part;

use crate::fleet::Bench;
use std::time::Duration;

pub fn play(name: &str, bench: &Bench, has_trouble: bool) -> Option<u32> {
    match name {
        "cut-answer" => cut_answer::play(bench, has_trouble),
        "cut-stream" => cut_stream::play(bench, has_trouble),
        "foreign-entry" => foreign_entry::play(bench, has_trouble),
        "odd-key" => odd_key::play(bench, has_trouble),
        "old-entry" => old_entry::play(bench, has_trouble),
        "other-part" => other_part::play(bench, has_trouble),
        _ => None,
    }
}

const ZONES: [&str; 3] = ["chag", "sando", "arima"];

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
