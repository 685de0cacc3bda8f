//! Writes what was sent, answered and run to `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record of one run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line with the time since the start.
    pub fn write(&self, line: impl AsRef<str>) {
        let text = format!("{:8.3} s  {}\n", self.now().as_secs_f64(), line.as_ref());
        print!("{text}");
        let mut file = self.file.lock().expect("no writer panics");
        let _ = file.write_all(text.as_bytes());
    }
}

/// Returns the time of day in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
