//! A replica of an application.

use crate::http::{read_message, write_response, Message};
use crate::record::Record;
use std::io::BufReader;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: u64,
}

/// What a replica answers to a request that it has run.
pub type Answering = Arc<dyn Fn(&Message) -> u16 + Send + Sync>;

/// A replica that serves until the process ends.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    service: String,
    version: String,
    work: Duration,
    record: Record,
    answering: Answering,
    runs: Arc<Mutex<Vec<Arrival>>>,
    is_stopped: Arc<AtomicBool>,
}

impl Replica {
    /// Starts a replica of an application, in version `v1`.
    pub fn start(
        record: &Record,
        service: &str,
        id: &str,
        zone: &str,
        address: IpAddr,
        work: Duration,
        answering: Answering,
    ) -> Replica {
        let place = (id, zone, address);
        Replica::start_version(record, service, "v1", place, work, answering)
    }

    /// Starts a replica of a version of an application; `place` is its identifier, its zone
    /// and its address.
    pub fn start_version(
        record: &Record,
        service: &str,
        version: &str,
        place: (&str, &str, IpAddr),
        work: Duration,
        answering: Answering,
    ) -> Replica {
        let (id, zone, address) = place;
        let listener = TcpListener::bind((address, 0)).expect("a free port");
        let replica = Replica {
            id: id.to_owned(),
            address: listener.local_addr().expect("it is bound"),
            zone: zone.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            work,
            record: record.clone(),
            answering,
            runs: Arc::default(),
            is_stopped: Arc::default(),
        };
        listener.set_nonblocking(true).expect("a socket option");
        let accepting = replica.clone();
        std::thread::spawn(move || {
            while !accepting.is_stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let replica = accepting.clone();
                std::thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    /// Stops: no new connection is accepted.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.record.note(&format!("replica {}: stops", self.id));
    }

    /// Returns its entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let Replica {
            service,
            address,
            zone,
            version,
            ..
        } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":6,"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":1700000000000}}"#
        )
    }

    /// Returns the requests that it has run.
    pub fn runs(&self) -> Vec<Arrival> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.respond(&request, &mut writer).is_err() {
                return;
            }
            let close = request.header("connection");
            if close.is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                return;
            }
        }
    }

    fn respond(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let own = &self.id;
        if request.target().starts_with("/health") {
            return write_response(writer, 200, &format!("X-Instance-Id: {own}\r\n"), b"");
        }
        let Some(id) = request.header("x-attempt-id") else {
            return write_response(writer, 400, "X-Not-Executed: 1\r\n", b"");
        };
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != own) {
            return write_response(writer, 421, &format!("X-Instance-Id: {own}\r\n"), b"");
        }
        let line = format!("{} {}", request.method(), request.target());
        let at = self
            .record
            .note(&format!("replica {own}: runs {line} {id}"));
        self.runs.lock().unwrap().push(Arrival {
            id: id.to_owned(),
            at,
        });
        std::thread::sleep(self.work);
        let status = (self.answering)(request);
        self.record
            .note(&format!("replica {own}: {id} has run, answers {status}"));
        let headers = format!("X-Attempt-Id: {id}\r\nX-Server-Signature: sig.{own}.{id}\r\n");
        write_response(writer, status, &headers, b"{\"done\":true}")
    }
}
