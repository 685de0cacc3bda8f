//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The time of day in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
    pub started_unix_ms: u64,
}

impl Record {
    pub fn create(path: &str) -> Record {
        Record {
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record can be written"),
            )),
            started: Instant::now(),
            started_unix_ms: unix_ms(),
        }
    }

    /// Writes a line with the time since the start.
    pub fn note(&self, line: &str) {
        let elapsed = self.started.elapsed().as_millis();
        let line = format!("{elapsed:>6} ms  {line}\n");
        print!("{line}");
        let mut file = self.file.lock().expect("no panic");
        file.write_all(line.as_bytes())
            .expect("the record can be written");
    }

    /// Writes a replica's log, with the times since the start.
    pub fn note_log(&self, text: &str) {
        for line in text.lines() {
            let Some((time, rest)) = line.split_once(' ') else {
                continue;
            };
            let time: u64 = time.parse().unwrap_or(0);
            let elapsed = time.saturating_sub(self.started_unix_ms);
            let mut file = self.file.lock().expect("no panic");
            let line = format!("{elapsed:>6} ms  at a replica: {rest}\n");
            file.write_all(line.as_bytes())
                .expect("the record can be written");
        }
    }
}
