//! Log lines that never hold up the process.
//!
//! Lines go through a bounded queue to a thread of their own. What the queue
//! has no room for is dropped and counted, so a reader that stops reading
//! standard output costs lines, not requests.

use crate::counters;
use flexi_logger::writers::LogWriter;
use flexi_logger::{json_format, DeferredNow, Logger, LoggerHandle};
use log::Record;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Lines that wait for standard output; a second's worth at full load.
const QUEUE_LINES: usize = 2_000;
/// Lines a second; more than a VM's requests at the target size.
const LINES_PER_S: u64 = 1_000;

/// Why logging could not be started.
#[derive(Debug, Error)]
#[error("logging could not be started: {0}")]
pub struct LogError(String);

/// Starts logging as JSON lines on standard output.
///
/// # Errors
///
/// Fails if a logger runs already or `filter` can't be read.
pub fn start_logging(filter: &str) -> Result<LoggerHandle, LogError> {
    let writer = QueueWriter::start().map_err(|error| LogError(error.to_string()))?;
    Logger::try_with_env_or_str(filter)
        .map(|logger| logger.log_to_writer(Box::new(writer)))
        .and_then(Logger::start)
        .map_err(|error| LogError(error.to_string()))
}

/// Hands lines to the thread that writes them.
struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    /// The second of the last line, and the lines of that second.
    second: AtomicU64,
    in_second: AtomicU64,
}

impl QueueWriter {
    fn start() -> std::io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let writing = std::thread::Builder::new().name("log".to_owned());
        writing.spawn(move || write_lines(&queue))?;
        Ok(QueueWriter {
            lines,
            second: AtomicU64::new(0),
            in_second: AtomicU64::new(0),
        })
    }

    /// Tells whether this second has room for another line.
    fn has_room(&self) -> bool {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        // A wall clock before 1970 only makes all lines share one second.
        let second = elapsed.map_or(0, |elapsed| elapsed.as_secs());
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.in_second.store(0, Ordering::Relaxed);
        }
        self.in_second.fetch_add(1, Ordering::Relaxed) < LINES_PER_S
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        if !self.has_room() {
            counters::count_dropped_line();
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        json_format(&mut line, now, record)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            counters::count_dropped_line();
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(line) = queue.recv() {
        // Nobody is left to be told that standard output is closed.
        let _ = out.write_all(&line).and_then(|()| out.flush());
    }
}
