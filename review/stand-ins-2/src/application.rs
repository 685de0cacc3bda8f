//! A stand-in for an application's replica.

use crate::config::APPLICATION;
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::{Entry, Heartbeats, Store};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a call takes.
const WORK_TIME: Duration = Duration::from_millis(60);
const SLOTS: u32 = 6;

/// A call that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// What is booked: the request's path.
    pub target: String,
}

/// What a replica answers after it has run a call.
pub struct Reply {
    pub status: &'static str,
    pub body: Vec<u8>,
}

/// An application's replica.
pub struct Application {
    runs: Arc<Mutex<Vec<Run>>>,
    _heartbeats: Heartbeats,
}

impl Application {
    /// Starts a replica, which answers by `reply`.
    pub fn start<F>(
        store: &Store,
        record: &Record,
        id: &str,
        zone: &str,
        reply: F,
    ) -> std::io::Result<Self>
    where
        F: Fn(&Run) -> Reply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let entry = Entry::new(id, APPLICATION, listener.local_addr()?, zone, SLOTS);
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            record: record.clone(),
            runs: runs.clone(),
            reply,
        });
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = worker.clone();
                std::thread::spawn(move || worker.serve(Connection::new(stream)));
            }
        });
        Ok(Application {
            runs,
            _heartbeats: Heartbeats::start(store, entry),
        })
    }

    /// Returns what the replica has run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no writer panics").clone()
    }
}

struct Worker<F> {
    id: String,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    reply: F,
}

impl<F: Fn(&Run) -> Reply> Worker<F> {
    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_message() {
            if self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let instance = format!("X-Instance-Id: {}\r\n", self.id);
        if request.word(1) == "/health" {
            return connection.respond("200 OK", &instance, b"");
        }
        let expected = request.header("x-expected-instance");
        if !expected.is_empty() && expected != self.id {
            return connection.respond("421 Misdirected Request", &instance, b"");
        }
        let id = request.header("x-attempt-id").to_owned();
        if id.is_empty() {
            return connection.respond("400 Bad Request", "X-Not-Executed: 1\r\n", b"");
        }
        let run = Run {
            id: id.clone(),
            target: request.word(1).to_owned(),
        };
        self.record
            .write(format!("replica {} runs {id} ({})", self.id, run.target));
        self.runs
            .lock()
            .expect("no writer panics")
            .push(run.clone());
        std::thread::sleep(WORK_TIME);
        let reply = (self.reply)(&run);
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Server-Signature: {}.{id}\r\n",
            self.id
        );
        connection.respond(reply.status, &headers, &reply.body)?;
        self.record.write(format!(
            "replica {} has answered {id}: {}, {} bytes",
            self.id,
            reply.status,
            reply.body.len()
        ));
        Ok(())
    }
}
