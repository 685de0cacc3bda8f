//! Writes log lines without blocking the process.
//!
//! Lines go through a bounded queue to a separate thread. Lines that don't fit are
//! dropped and counted, so that a stalled reader of standard output costs lines,
//! not requests.

use crate::counters;
use flexi_logger::writers::LogWriter;
use flexi_logger::{json_format, DeferredNow, Logger, LoggerHandle};
use log::Record;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// The lines that the queue holds: a second's worth at full load.
const QUEUE_LINES: usize = 2_000;
/// The limit of lines per second; above a VM's request rate at the fleet's target size.
const MAX_LINES_PER_S: u64 = 1_000;
/// How long the end of the process waits for the queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// An error that keeps logging from starting.
#[derive(Debug, Error)]
#[error("can't start logging: {0}")]
pub struct LogError(String);

/// Starts logging as JSON lines on standard output.
///
/// # Errors
///
/// Fails if a logger is already running or `filter` is malformed.
pub fn start_logging(filter: &str) -> Result<LoggerHandle, LogError> {
    let writer = QueueWriter::start().map_err(|error| LogError(error.to_string()))?;
    Logger::try_with_env_or_str(filter)
        .map(|logger| logger.log_to_writer(Box::new(writer)))
        .and_then(Logger::start)
        .map_err(|error| LogError(error.to_string()))
}

/// An entry of the queue.
enum QueueEntry {
    Line(Vec<u8>),
    /// The sender is dropped when all entries before it are written.
    Flush(SyncSender<()>),
}

/// Queues lines for the thread that writes them.
struct QueueWriter {
    lines: SyncSender<QueueEntry>,
    /// The Unix second of the last line.
    second: AtomicU64,
    /// The number of lines in that second.
    lines_in_second: AtomicU64,
}

impl QueueWriter {
    fn start() -> std::io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let writing = std::thread::Builder::new().name("log".to_owned());
        writing.spawn(move || write_lines(&queue))?;
        Ok(QueueWriter {
            lines,
            second: AtomicU64::new(0),
            lines_in_second: AtomicU64::new(0),
        })
    }

    /// Counts a line; reports whether it is within this second's limit.
    fn admit_line(&self) -> bool {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        // With a wall clock before 1970 all lines count towards one second.
        let second = elapsed.map_or(0, |elapsed| elapsed.as_secs());
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines_in_second.store(0, Ordering::Relaxed);
        }
        self.lines_in_second.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_S
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        if !self.admit_line() {
            counters::count_dropped_line();
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        json_format(&mut line, now, record)?;
        line.push(b'\n');
        if self.lines.try_send(QueueEntry::Line(line)).is_err() {
            counters::count_dropped_line();
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (written, is_written) = sync_channel(0);
        if self.lines.try_send(QueueEntry::Flush(written)).is_ok() {
            // Nothing is sent; a reader that has stopped is not waited for.
            let _ = is_written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_lines(queue: &Receiver<QueueEntry>) {
    let mut out = std::io::stdout();
    while let Ok(entry) = queue.recv() {
        match entry {
            // A closed standard output can't be reported anywhere.
            QueueEntry::Line(line) => drop(out.write_all(&line).and_then(|()| out.flush())),
            QueueEntry::Flush(written) => drop(written),
        }
    }
}
