//! The record of a run: what was sent, answered and run, and when.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the milliseconds since the start of the run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line and returns its time.
    pub fn note(&self, text: &str) -> u64 {
        let mut file = self.file.lock().unwrap();
        let now = self.now();
        let _ = writeln!(file, "{now:>7} ms  {text}");
        now
    }
}
