//! Starts engines as processes, and collects what they do.

use crate::config::ENGINES;
use crate::processes::{record_end, record_start};
use crate::record::{unix_ms, Record};
use crate::store::{Entry, Heartbeats, Store};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

const SLOTS: u32 = 16;

/// An engine's process; dropping it ends it.
pub struct EngineProcess {
    pub id: String,
    process: Child,
    heartbeats: Heartbeats,
    lines: Arc<Mutex<Vec<String>>>,
}

impl EngineProcess {
    pub fn start(store: &Store, record: &Record, id: &str, zone: &str) -> Result<Self, String> {
        let born = unix_ms();
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut process = Command::new(program)
            .args(["engine", id, &born.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        record_start(process.id());
        let output = process.stdout.take().ok_or("the engine has no output")?;
        let mut output = BufReader::new(output).lines();
        let first = output.next().and_then(Result::ok).unwrap_or_default();
        let address: SocketAddr = first.parse().map_err(|_| "the engine has no address")?;
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let (collected, record, name) = (lines.clone(), record.clone(), id.to_owned());
        record.write(format!(
            "engine {id} at {address} in {zone} starts, pid {}",
            process.id()
        ));
        std::thread::spawn(move || {
            for line in output.map_while(Result::ok) {
                let text = line.split_once(' ').map_or("", |(_, text)| text).to_owned();
                record.write(format!("engine {name}: {text}"));
                collected.lock().expect("no writer panics").push(text);
            }
        });
        let entry = Entry {
            born,
            ..Entry::new(id, ENGINES, address, zone, SLOTS)
        };
        Ok(EngineProcess {
            id: id.to_owned(),
            process,
            heartbeats: Heartbeats::start(store, entry),
            lines,
        })
    }

    /// Returns what the engine has done.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("no writer panics").clone()
    }

    /// Kills the process.
    pub fn crash(&mut self) {
        self.heartbeats.stop();
        let _ = self.process.kill();
        let _ = self.process.wait();
        record_end(self.process.id());
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        record_end(self.process.id());
    }
}
